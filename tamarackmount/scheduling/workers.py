"""Workers as the holder sees them: room, lease, clock and runs."""

import math
from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.model import TaskKey, WorkerLife
from tamarackmount.scheduling.runs import Run
from tamarackmount.scheduling.worker_reports import WorkerEntry
from tamarackmount.units import MS_PER_SECOND

LEASE_MS = 6_000
"""Lease of all that a worker runs, in milliseconds: outlives a takeover of 2 s."""

SLOWEST_CLOCK = 0.98
"""A worker's clock runs at least at this rate, by the platform's page."""

UNKNOWN_LEASE_S = 0.5 + LEASE_MS / MS_PER_SECOND / SLOWEST_CLOCK
"""Longest lease that an earlier holder may have left on a worker, in seconds, from
the last moment at which that holder may have sent a renewal; half a second is for
renewals on their way."""


SPEED_SMOOTHING = 0.3
"""Weight of the newest run in a worker's speed: three slow runs in a row tell."""

SLOW_LOG_RATIO = 0.6
"""Logarithm of the ratio to the forecast from which on a worker is slow: 1.8 times."""

SLOW_MEMORY_S = 6.0
"""In this time the memory of a worker's speed fades to a third, in seconds: as long as
a disturbance lasts."""


class Reach(Enum):
    """Whether a worker follows this holder."""

    UNSEEN = "unseen"
    FOLLOWING = "following"
    GONE = "gone"


@dataclass(slots=True)
class WorkerState:
    """One life of a worker.

    ``used`` is the room of all runs that are not surely over. ``acked`` is the
    cursor that the worker was told, ``known_end`` the highest end that was read and
    ``stored_end`` the highest one in the store. ``lease_ends`` is the instant by
    which everything on the worker is over, unless it is renewed. One that left an order
    unanswered ``is_doubted`` until it answers anything; ``look_missed`` is whether the
    last look had no answer.
    """

    entry: WorkerEntry
    reach: Reach = Reach.UNSEEN
    listed: bool = True
    used: Resources = NOTHING
    runs_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    recorded: bool = False
    known_end: int = 0
    stored_end: int = 0
    lease_ends: Instant = Instant(0.0)
    hold_in_flight: bool = False
    next_hold_at: Instant = Instant(0.0)
    look_again_at: Instant = Instant(0.0)
    rest_until: Instant = Instant(0.0)
    silent_since: Instant | None = None
    answered_at: Instant = Instant(0.0)
    is_doubted: bool = False
    look_missed: bool = False
    failures_in_row: int = 0
    slowness: float = 0.0
    slowness_at: Instant = Instant(0.0)
    _clock_ms: int = 0
    _clock_sent: Instant = Instant(0.0)
    _clock_read: Instant | None = None

    @property
    def life(self) -> WorkerLife:
        """Which life of which worker this is."""
        return self.entry.life

    @property
    def free(self) -> Resources:
        """Room that no run has."""
        return self.entry.capacity - self.used

    @property
    def can_start(self) -> bool:
        """Whether new runs may be sent there at all."""
        return (
            self.reach is Reach.FOLLOWING
            and self.listed
            and not self.entry.is_draining
            and self.silent_since is None
            and not self.is_doubted
        )

    @property
    def is_heard(self) -> bool:
        """Whether what is known of its runs is new: no call is missing an answer."""
        return (
            self.reach is Reach.FOLLOWING
            and self.silent_since is None
            and not (self.look_missed or self.is_doubted)
        )

    def answered(self, now: Instant) -> None:
        """Take that the worker has answered a call just now."""
        self.answered_at = now
        self.is_doubted = False

    def read_clock(self, clock_ms: int, sent: Instant, now: Instant) -> None:
        """Take a reading that a worker made between ``sent`` and ``now``."""
        self._clock_ms = clock_ms
        self._clock_sent = sent
        self._clock_read = now

    def lease_end_clock_ms(self, now: Instant) -> int | None:
        """Return the end of a lease that begins now, on the worker's clock.

        Nothing if the worker's clock was never read.
        """
        if self._clock_read is None:
            return None
        passed_ms = (now - self._clock_read) * MS_PER_SECOND
        return self._clock_ms + int(passed_ms) + LEASE_MS

    def granted(self, lease_end_clock_ms: int) -> None:
        """Note that an order with this lease end was sent."""
        if self._clock_read is None:
            return
        left_ms = (lease_end_clock_ms - self._clock_ms) / SLOWEST_CLOCK
        ends = Instant(self._clock_read + left_ms / MS_PER_SECOND)
        self.lease_ends = max(self.lease_ends, ends)

    def note_speed(self, ratio: float, now: Instant) -> None:
        """Take how many times its forecast a run took."""
        current = self._slowness(now)
        self.slowness = current + SPEED_SMOOTHING * (math.log(ratio) - current)
        self.slowness_at = now

    def is_slow(self, now: Instant) -> bool:
        """Tell whether runs lately took far longer here than elsewhere."""
        return self._slowness(now) > SLOW_LOG_RATIO

    def _slowness(self, now: Instant) -> float:
        return self.slowness * math.exp((self.slowness_at - now) / SLOW_MEMORY_S)

    def hold_room(self, run: Run) -> None:
        """Count a run's room."""
        self.runs_by_task[run.task] = run
        self.used = self.used + run.amount

    def free_room(self, run: Run) -> None:
        """Count a run's room no more."""
        if self.runs_by_task.get(run.task) is run:
            del self.runs_by_task[run.task]
            self.used = self.used - run.amount
