"""Workers as the holder sees them: room, lease, clock and runs."""

import math
from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.runs import Run
from tamarackmount.scheduling.worker_reports import WorkerEntry
from tamarackmount.units import MS_PER_SECOND

LEASE_MS = 6_000
"""Lease of all that a worker runs, in milliseconds: outlives a takeover of 2 s."""

MIN_CLOCK_RATE = 0.98
"""A worker's clock runs at least at this rate, by the platform's page."""

MAX_INHERITED_LEASE_S = 0.5 + LEASE_MS / MS_PER_SECOND / MIN_CLOCK_RATE
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


class ContactState(Enum):
    """Whether a worker follows this holder."""

    UNCONFIRMED = "unseen"
    CONFIRMED = "following"
    LOST = "gone"


@dataclass(slots=True)
class WorkerState:
    """One life of a worker.

    ``used`` is the room of all runs that are not surely over. ``acked`` is the cursor
    that the worker was told, ``known_end`` the highest end that was read and
    ``stored_end`` the highest one in the store. ``lease_ends`` is the instant by which
    everything on the worker is over, unless it is renewed. One that left an order
    unanswered ``is_suspected`` until it answers anything; ``poll_timed_out`` is whether
    the last look had no answer.
    """

    entry: WorkerEntry
    contact: ContactState = ContactState.UNCONFIRMED
    listed: bool = True
    used: Resources = NOTHING
    runs_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    recorded: bool = False
    known_end: int = 0
    stored_end: int = 0
    lease_ends: Instant = Instant(0.0)
    poll_in_flight: bool = False
    next_poll_at: Instant = Instant(0.0)
    earliest_poll_at: Instant = Instant(0.0)
    backoff_until: Instant = Instant(0.0)
    silent_since: Instant | None = None
    answered_at: Instant = Instant(0.0)
    is_suspected: bool = False
    poll_timed_out: bool = False
    failures_in_row: int = 0
    slowness: float = 0.0
    slowness_at: Instant = Instant(0.0)
    _clock_ms: int = 0
    _clock_sent: Instant = Instant(0.0)
    _clock_read: Instant | None = None

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Which life of which worker this is."""
        return self.entry.incarnation

    @property
    def free(self) -> Resources:
        """Room that no run has."""
        return self.entry.capacity - self.used

    @property
    def can_start(self) -> bool:
        """Whether new runs may be sent there at all."""
        return (
            self.contact is ContactState.CONFIRMED
            and self.listed
            and not self.entry.is_draining
            and self.silent_since is None
            and not self.is_suspected
        )

    @property
    def has_fresh_state(self) -> bool:
        """Whether what is known of its runs is new: no call is missing an answer."""
        return (
            self.contact is ContactState.CONFIRMED
            and self.silent_since is None
            and not (self.poll_timed_out or self.is_suspected)
        )

    def answered(self, now: Instant) -> None:
        """Take that the worker has answered a call just now."""
        self.answered_at = now
        self.is_suspected = False

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

    def lease_sent(self, lease_end_clock_ms: int) -> None:
        """Note that an order with this lease end was sent."""
        if self._clock_read is None:
            return
        left_ms = (lease_end_clock_ms - self._clock_ms) / MIN_CLOCK_RATE
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

    def reserve_capacity(self, run: Run) -> None:
        """Count a run's room."""
        self.runs_by_task[run.task] = run
        self.used = self.used + run.amount

    def release_capacity(self, run: Run) -> None:
        """Count a run's room no more."""
        if self.runs_by_task.get(run.task) is run:
            del self.runs_by_task[run.task]
            self.used = self.used - run.amount
