"""Turns for work that would keep a node from all other callers if done at once.

Load pattern: many clients submit large jobs at the same moment. Each takes several
milliseconds to decode, and a node that did them one after another would answer nobody
else meanwhile. So they are done one at a time, in order of arrival, with pauses.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant
from tamarackmount.node.tasks import stop_process_on_error

SMALL_BYTES = 8 * 1024
"""Size up to which work needs no turn, in bytes: jobs of ordinary callers have a few
steps and a text of up to 4,000 bytes."""

PAUSE_FACTOR = 2.0
"""Length of the pause after a turn as a multiple of the turn's, without unit."""

MAX_TURN_S = 1.0
"""Longest duration of a turn that is believed, in seconds: the process may have been
suspended meanwhile."""

NEW_RATE_WEIGHT = 0.2
"""Weight of the newest turn in the mean time that a byte takes, without unit."""

MAX_RETRY_S = 30
"""Maximum retry time of work that is refused, in seconds."""


@dataclass(frozen=True, slots=True)
class _Turn:
    size: int
    deadline: Instant
    result: "Deferred[bool]"


class PacedQueue:
    """Gives turns in order of arrival, and pauses between them.

    The sizes of all work that waits are bounded, and work that would miss its deadline
    is refused at once.
    """

    def __init__(self, reactor: Any, max_bytes: int) -> None:
        """Let work of up to ``max_bytes`` wait."""
        self._reactor = reactor
        self._max_bytes = max_bytes
        self._turns: deque[_Turn] = deque()
        self._timer: Any = None
        self._free_at = Instant(0.0)
        self._seconds_per_byte = 0.0
        self.waiting_bytes = 0

    async def wait_turn(self, size: int, deadline: Instant) -> bool:
        """Wait until work of ``size`` bytes may be done; return False if it is refused.

        The work is what the caller does before it next waits.
        """
        if size <= SMALL_BYTES:
            return True
        starts_at = self._reactor.seconds() + self._wait_s()
        if self.waiting_bytes + size > self._max_bytes or starts_at > deadline:
            return False
        turn = _Turn(size, deadline, Deferred())
        self._turns.append(turn)
        self.waiting_bytes += size
        self._schedule()
        return await turn.result

    @property
    def retry_s(self) -> int:
        """Time after which refused work may find a turn, in whole seconds."""
        return min(MAX_RETRY_S, max(1, math.ceil(self._wait_s())))

    def _wait_s(self) -> float:
        """Return for how long new work would wait, in seconds."""
        pause_s: float = max(0.0, self._free_at - self._reactor.seconds())
        work_s = self.waiting_bytes * self._seconds_per_byte
        return pause_s + work_s * (1 + PAUSE_FACTOR)

    def _schedule(self) -> None:
        if self._timer is None and self._turns:
            delay_s = max(0.0, self._free_at - self._reactor.seconds())
            start = stop_process_on_error(self._start_next)
            self._timer = self._reactor.callLater(delay_s, start)

    def _start_next(self) -> None:
        self._timer = None
        started_at = self._reactor.seconds()
        turn = self._take_turn(started_at)
        if turn is not None:
            # The work is done within this call.
            turn.result.callback(True)
            took_s = min(self._reactor.seconds() - started_at, MAX_TURN_S)
            self._record_turn(turn, took_s)
        self._schedule()

    def _take_turn(self, now: float) -> _Turn | None:
        """Remove and return the first turn; refuse those whose deadline has passed."""
        while self._turns:
            turn = self._turns.popleft()
            self.waiting_bytes -= turn.size
            if turn.deadline >= now:
                return turn
            turn.result.callback(False)
        return None

    def _record_turn(self, turn: _Turn, took_s: float) -> None:
        self._free_at = Instant(self._reactor.seconds() + took_s * PAUSE_FACTOR)
        rate = took_s / turn.size
        mean = self._seconds_per_byte or rate
        self._seconds_per_byte = mean + NEW_RATE_WEIGHT * (rate - mean)
