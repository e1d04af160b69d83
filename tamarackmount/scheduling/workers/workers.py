"""State of workers as the holder knows it: capacity, lease, clock and runs."""

import math
from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import Instant, JobId
from tamarackmount.resources import NOTHING, Resources, componentwise_maximum
from tamarackmount.scheduling.domain.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import WorkerEntry
from tamarackmount.scheduling.jobs.runs import Run
from tamarackmount.units import MS_PER_SECOND

LEASE_MS = 6_000
"""Length of the lease under which a worker runs its tasks, in milliseconds; it is
longer than a takeover, which takes 2 s."""

MIN_CLOCK_RATE = 0.98
"""Lowest rate that the platform specifies for a worker's clock, as a fraction of real
time."""

CALL_DELAY_S = 0.5
"""Time after which a call that was sent has arrived, or never will, in seconds."""

MAX_INHERITED_LEASE_S = CALL_DELAY_S + LEASE_MS / MS_PER_SECOND / MIN_CLOCK_RATE
"""Longest time for which a lease given by a former holder may last, in seconds from
the last moment at which that holder may have sent a renewal."""

CLOCK_TOLERANCE_MS = 500
"""Amount by which a reply may be older than the last report that was handled, in
milliseconds: both may have waited in a process that was paused."""

SLOWNESS_SMOOTHING = 0.3
"""Weight of the newest run's duration ratio in a worker's slowness, without unit. A
worker counts as slow after about three runs in a row that took 2.5 times as long as
usual, or after one that took more than seven times as long."""

MIN_SLOW_LOG_RATIO = 0.6
"""Slowness above which a worker counts as slow: the natural logarithm of a duration
1.8 times as long as usual, without unit."""

SLOWNESS_DECAY_S = 6.0
"""Time in which a worker's slowness decays to about a third (1/e), in seconds; as long
as a disturbance lasts."""


class ContactState(Enum):
    """Whether a worker has answered this holder.

    A worker is ``EXPIRED`` once it was removed, or once its lease expired before it had
    answered with all ends.
    """

    UNCONFIRMED = "unseen"
    CONFIRMED = "following"
    EXPIRED = "gone"


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its worker.

    It worked for ``longest_s`` seconds at most. ``silent_peers`` is the number of other
    workers that fell silent at the same moment and ran no task of its job.
    """

    run: Run
    longest_s: float
    silent_peers: int


@dataclass(frozen=True, slots=True)
class LapsedWorker:
    """A worker that did not answer until its lease was over, at ``lapsed_at``.

    ``runs`` are those that it had.
    """

    entry: WorkerEntry
    runs: tuple[LostRun, ...]
    lapsed_at: Instant


@dataclass(frozen=True, slots=True)
class RemovedWorker:
    """A worker that was removed after it fell silent, and the jobs that it ran."""

    fell_silent_at: Instant
    job_ids: frozenset[JobId]
    removed_at: Instant


@dataclass(slots=True)
class WorkerState:
    """One incarnation of a worker.

    A worker ``is_stored`` once the store has a record of it. ``used`` is the capacity
    of all runs that may still be running, ``largest_capacity`` the largest that was
    registered before. ``reported_end_number`` is the
    highest end number (see ``EndedRun``) in the worker's reports, ``stored_end_number``
    the highest one that is stored. ``lease_ends`` is when everything on the worker has
    ended, unless the lease is renewed.

    A worker that left a call unanswered is suspected (``is_suspected``) until it
    answers any call. ``last_poll_failed`` is whether its last poll gave no report, be
    it for lack of an answer or for an unhealthy one. A worker is silent
    (``silent_since``) from a second such poll in a row until a poll gives a report. One
    that is suspected or silent is unresponsive.

    A worker ``was_registered`` if this holder has ever read its registration, and
    ``has_announced_drain`` if this holder or a former one has read that it drains.
    ``fell_silent_at`` is when the first regular poll without an answer ended since the
    worker's last answer. A poll is nearly always in flight, and ends when the worker
    crashes, while an order without an answer may just be late.

    It ``has_unlisted_ends`` while its last report did not list all ends, and
    ``has_listed_all_ends`` once a report to this holder did. Before that, it may have
    run tasks of which neither the store nor this holder knows.

    Calls name a worker's id only, so that the next incarnation under the same id takes
    those that were meant for this one. ``lease_calls_end`` is when the last call that
    gave this one a lease has arrived. Such a lease is on this one's clock, which is
    ahead of the next one's, and lasts there for as long as a worker takes any.
    ``foreign_lease_ends`` is when leases from calls to former incarnations are over.

    A worker ``is_evacuated`` while the operator keeps its data centre from new runs.

    A worker that ``needs_extra_poll`` is polled at once, also while another poll waits
    for its answer: it has to tell whether it runs a task.

    ``slowness`` is the smoothed logarithm of how many times as long as usual its runs
    took, as of ``slowness_at``.
    """

    entry: WorkerEntry
    contact: ContactState = ContactState.UNCONFIRMED
    is_registered: bool = True
    was_registered: bool = False
    has_announced_drain: bool = False
    used: Resources = NOTHING
    largest_capacity: Resources = NOTHING
    runs_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    is_stored: bool = False
    reported_end_number: int = 0
    stored_end_number: int = 0
    lease_ends: Instant = Instant(0.0)
    lease_calls_end: Instant = Instant(0.0)
    foreign_lease_ends: Instant = Instant(0.0)
    poll_in_flight: bool = False
    needs_extra_poll: bool = False
    extra_poll_in_flight: bool = False
    next_poll_at: Instant = Instant(0.0)
    earliest_poll_at: Instant = Instant(0.0)
    backoff_until: Instant = Instant(0.0)
    silent_since: Instant | None = None
    answered_at: Instant = Instant(0.0)
    fell_silent_at: Instant | None = None
    is_suspected: bool = False
    last_poll_failed: bool = False
    has_unlisted_ends: bool = False
    has_listed_all_ends: bool = False
    failures_in_row: int = 0
    is_evacuated: bool = False
    cold_until: Instant = Instant(0.0)
    slowness: float = 0.0
    slowness_at: Instant = Instant(0.0)
    _clock_ms: int = 0
    _clock_sent: Instant = Instant(0.0)
    _clock_read: Instant | None = None
    _free: Resources = NOTHING
    _available: Resources = NOTHING
    _free_inputs: tuple[Resources, Resources] | None = None

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The worker's incarnation."""
        return self.entry.incarnation

    @property
    def free(self) -> Resources:
        """The capacity that no run has reserved.

        The difference is kept until one of the two amounts is replaced: placement reads
        it for every worker in each round.
        """
        self._update_free()
        return self._free

    @property
    def available(self) -> Resources:
        """The capacity that new runs can use: what is free, and no negative part.

        A worker whose capacity has shrunk may have less of a resource than its runs
        have reserved.
        """
        self._update_free()
        return self._available

    @property
    def nominal_capacity(self) -> Resources:
        """The largest capacity that the worker has had, resource by resource."""
        return componentwise_maximum(self.largest_capacity, self.entry.capacity)

    def count_runs_of(self, step: StepKey) -> int:
        """Return how many runs of a step may still be running on the worker.

        Runs that no task needs any more are left out.
        """
        return sum(
            task.step_key == step and not run.is_orphaned
            for task, run in self.runs_by_task.items()
        )

    def covers_reservations(self, amount: Resources) -> bool:
        """Whether the capacity covers all runs, in each resource of ``amount``."""
        parts = (
            (amount.millicores, self.free.millicores),
            (amount.memory_mib, self.free.memory_mib),
            (amount.accelerators, self.free.accelerators),
        )
        return all(free >= 0 for needed, free in parts if needed)

    @property
    def can_start(self) -> bool:
        """Whether the worker may be given new runs."""
        return (
            self.contact is ContactState.CONFIRMED
            and self.is_registered
            and not self.entry.is_draining
            and self.silent_since is None
            and not self.is_suspected
            and not self.is_evacuated
        )

    @property
    def is_incarnation_certain(self) -> bool:
        """Whether this incarnation has answered, and no call lacks an answer since.

        If not, another one may have taken its place under the same id.
        """
        return (
            self.contact is ContactState.CONFIRMED
            and self.silent_since is None
            and not (self.last_poll_failed or self.is_suspected)
        )

    @property
    def has_fresh_state(self) -> bool:
        """Whether what is known of its runs is up to date: no call lacks an answer."""
        return self.is_incarnation_certain and not self.has_unlisted_ends

    @property
    def may_have_unknown_runs(self) -> bool:
        """Whether a former holder's runs may be or have been there unknown to this one.

        Nothing of them is left once the worker's lease has expired.
        """
        return (
            self.is_stored
            and not self.has_listed_all_ends
            and self.contact is not ContactState.EXPIRED
        )

    def record_answer(self, now: Instant) -> None:
        """Record that the worker has answered a call just now."""
        self.answered_at = now
        self.fell_silent_at = None
        self.is_suspected = False

    def record_listed_ends(self, *, are_all: bool) -> None:
        """Record whether the report that is handled lists all ends."""
        self.has_unlisted_ends = not are_all
        self.has_listed_all_ends |= are_all

    def record_unanswered_poll(self, now: Instant) -> None:
        """Record that a regular poll has ended without an answer just now."""
        if self.fell_silent_at is None:
            self.fell_silent_at = now

    @property
    def reported_at(self) -> Instant:
        """When the last report of its runs was handled."""
        return self._clock_read or Instant(0.0)

    def is_outdated(self, clock_ms: int, sent: Instant) -> bool:
        """Tell whether a report was made before the one that was handled last.

        The answers to two polls that are in flight at once arrive in any order. A poll
        sent after the last report is newer in any case, also if the clock was set back.
        """
        if self._clock_read is None or sent >= self._clock_read:
            return False
        return clock_ms < self._clock_ms

    def record_clock(self, clock_ms: int, sent: Instant, now: Instant) -> None:
        """Record a reading of the worker's clock, made between ``sent`` and ``now``."""
        self._clock_ms = clock_ms
        self._clock_sent = sent
        self._clock_read = now
        if not self.poll_in_flight:
            # Only orders may still be under way.
            latest = Instant(now + CALL_DELAY_S)
            self.lease_calls_end = min(self.lease_calls_end, latest)

    def may_have_read(self, clock_ms: int) -> bool:
        """Tell whether a reply with this reading may come from this incarnation.

        The clock of the next one starts anew.
        """
        return (
            self._clock_read is None or clock_ms >= self._clock_ms - CLOCK_TOLERANCE_MS
        )

    def lease_end_clock_ms(self, now: Instant) -> int | None:
        """Return the end of a lease that begins now, on the worker's clock.

        Return None if that clock was never read.
        """
        if self._clock_read is None:
            return None
        elapsed_ms = (now - self._clock_read) * MS_PER_SECOND
        return self._clock_ms + int(elapsed_ms) + LEASE_MS

    def lease_sent(self, lease_end_clock_ms: int) -> None:
        """Record that an order with this lease end was sent."""
        if self._clock_read is None:
            return
        left_ms = (lease_end_clock_ms - self._clock_ms) / MIN_CLOCK_RATE
        ends = Instant(self._clock_read + left_ms / MS_PER_SECOND)
        self.lease_ends = max(self.lease_ends, ends)

    def record_lease_call(self, arrives_by: Instant) -> None:
        """Record that a call with a lease was sent, which arrives by then."""
        self.lease_calls_end = max(self.lease_calls_end, arrives_by)

    def record_former(
        self, former: "WorkerState", now: Instant, longest_lease_s: float
    ) -> None:
        """Record which leases calls to a former incarnation may have given this one.

        Those in progress are aborted now.
        """
        has_open_order = any(
            run.is_ordered and run.confirmed_at is None
            for run in former.runs_by_task.values()
        )
        arrived_by = Instant(now + CALL_DELAY_S)
        if not has_open_order:
            arrived_by = min(arrived_by, former.lease_calls_end)
        ends = Instant(arrived_by + longest_lease_s)
        self.foreign_lease_ends = max(
            self.foreign_lease_ends, former.foreign_lease_ends, ends
        )
        self.lease_ends = max(
            self.lease_ends, former.lease_ends, self.foreign_lease_ends
        )

    def record_duration_ratio(self, ratio: float, now: Instant) -> None:
        """Record how many times as long as usual a run took."""
        current = self._slowness(now)
        self.slowness = current + SLOWNESS_SMOOTHING * (math.log(ratio) - current)
        self.slowness_at = now

    def is_slow(self, now: Instant) -> bool:
        """Tell whether recent runs took far longer here than elsewhere."""
        return self._slowness(now) > MIN_SLOW_LOG_RATIO

    def is_cold(self, now: Instant) -> bool:
        """Tell whether the worker has come back too recently to run at full speed."""
        return now < self.cold_until

    def _update_free(self) -> None:
        inputs = self._free_inputs
        capacity, used = self.entry.capacity, self.used
        if inputs is None or inputs[0] is not capacity or inputs[1] is not used:
            self._free_inputs = (capacity, used)
            self._free = capacity - used
            self._available = componentwise_maximum(self._free, NOTHING)

    def _slowness(self, now: Instant) -> float:
        return self.slowness * math.exp((self.slowness_at - now) / SLOWNESS_DECAY_S)

    def reserve_capacity(self, run: Run) -> None:
        """Reserve the capacity of a run."""
        self.runs_by_task[run.task] = run
        self.used = self.used + run.amount

    def release_capacity(self, run: Run) -> None:
        """Release the capacity of a run."""
        if self.runs_by_task.get(run.task) is run:
            del self.runs_by_task[run.task]
            self.used = self.used - run.amount
