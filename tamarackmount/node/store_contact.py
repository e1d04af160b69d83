"""Whether the store answers this node.

Load pattern: a data centre is cut off from the store. Callers of its nodes can't be
served there, and come to other nodes only once the load balancer sees that these are
not ready. So a node whose reads have brought no answer for a while reads once more, and
counts as cut off soon after that.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from twisted.internet.task import LoopingCall

from tamarackmount.ids import Instant
from tamarackmount.node.tasks import spawn, stop_process_on_error

PROBE_AFTER_S = 0.6
"""Silence of the store after which this node reads once more, in seconds; its long
polls are mostly answered sooner."""

MAX_SILENCE_S = 1.3
"""Silence of the store after which this node counts as cut off from it, in seconds. A
slow store answers the additional read in 0.3 to 0.5 s."""

CHECK_INTERVAL_S = 0.1
"""Interval between two checks of the silence, in seconds."""


class StoreContact:
    """Knows for how long the store has been silent to this node."""

    def __init__(
        self,
        reactor: Any,
        last_answers: Callable[[], Iterable[Instant | None]],
        read_now: Callable[[], Awaitable[bool]],
    ) -> None:
        """Prepare the checks.

        ``last_answers`` returns when the store last answered each of the node's reads;
        ``read_now`` reads once without waiting.
        """
        self._reactor = reactor
        self._started_at = Instant(reactor.seconds())
        self._last_answers = last_answers
        self._read_now = read_now
        self._is_probing = False
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = reactor

    @property
    def is_lost(self) -> bool:
        """Whether this node counts as cut off from the store."""
        return self.silence_s() > MAX_SILENCE_S

    def start(self) -> None:
        """Start checking."""
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def silence_s(self) -> float:
        """Return the time since the store last answered this node, in seconds.

        Before the first answer, this is the time since the node began.
        """
        answers = [answer for answer in self._last_answers() if answer is not None]
        now: float = self._reactor.seconds()
        return now - max(answers, default=self._started_at)

    def _check(self) -> None:
        if not self._is_probing and self.silence_s() > PROBE_AFTER_S:
            self._is_probing = True
            spawn(self._probe())

    async def _probe(self) -> None:
        await self._read_now()
        self._is_probing = False
