"""Keeps workers for a job that waited long for more room than is ever free.

One job at a time has a reservation, so two can't wait for each other. It is given
back at its deadline, and the next job that waited long gets one.
"""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.kernel.capacity import WorkerCapacity, tasks_that_fit
from tamarackmount.kernel.jobs import Attempt, Job, StopReason
from tamarackmount.kernel.preemption import eviction_cost
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.resources import Resources

LONGEST_TERM_FACTOR = 16
"""How many times the first reservation's term the longest one lasts."""

REPLAN_S = 2.0
"""Shortest time after which a reservation is planned anew, in seconds."""

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _Opening:
    """Room for more tasks on a worker from ``at`` on."""

    at: float
    worker_id: WorkerId
    slots: int


@dataclass(slots=True)
class Reservation:
    """Workers kept for a job; ``planned_start`` is when they should have room."""

    job: Job
    worker_ids: list[WorkerId]
    planned_start: Instant
    deadline: Instant
    backfilled: list[Attempt] = field(default_factory=list)


class Reservations:
    """Gives out, plans anew and takes back the one reservation."""

    def __init__(self, state: SchedulerState, ends: TaskEnds) -> None:
        """Work on ``state``."""
        self._state = state
        self._ends = ends
        self.current: Reservation | None = None

    def is_due(self, job: Job, now: Instant) -> bool:
        """Tell whether a job without room has waited long enough for one."""
        if now < job.reserve_from:
            return False
        return (
            job.urgent or now >= job.waiting_since + self._state.timing.reserve_after_s
        )

    def reserve_oldest(self, jobs: list[Job], now: Instant) -> None:
        """Reserve for the job that waited longest, if there is no reservation."""
        if self.current is not None:
            return
        due = [job for job in jobs if self.is_due(job, now)]
        for job in sorted(due, key=lambda job: (not job.urgent, job.waiting_since)):
            term = self._state.timing.reservation_s
            term *= min(2**job.reservations, LONGEST_TERM_FACTOR)
            if self._reserve(job, Instant(now + term), now):
                job.reservations += 1
                return

    def keep_up(self, now: Instant) -> bool:
        """Give an overdue reservation back; plan a late one anew; tell if so."""
        current = self.current
        if current is None:
            return False
        job = current.job
        if not self._state.queue.contains(job):
            self.give_back()
        elif now >= current.deadline:
            job.reserve_from = Instant(now + self._state.timing.reservation_s)
            self.give_back()
        elif now >= current.planned_start:
            self._evict_backfill(current, now)
            self.give_back()
            self._reserve(job, current.deadline, now)
        else:
            return False
        return True

    def give_back(self) -> None:
        """Let all work use the kept workers again."""
        if self.current is None:
            return
        for worker_id in self.current.worker_ids:
            self._set_holder(worker_id, kept=False)
        self.current = None
        self._state.place_needed = True

    def open_for_holder(self, kept: bool) -> None:
        """Open the kept workers while their job is tried, then keep them again."""
        if self.current is None:
            return
        for worker_id in self.current.worker_ids:
            self._set_holder(worker_id, kept=kept)

    def backfill_worker(self, job: Job, now: Instant) -> WorkerId | None:
        """Return a kept worker on which a task is over before the planned start."""
        current = self.current
        run_ms = job.spec.run_ms
        if current is None or run_ms is None or not job.spec.idempotent:
            return None
        if now + run_ms / MS_PER_S > current.planned_start:
            return None
        for worker_id in current.worker_ids:
            room = self._state.ledger.workers_by_id.get(worker_id)
            if (
                room is not None
                and room.is_schedulable
                and job.amount.fits_in(room.free)
            ):
                return worker_id
        return None

    def note_backfill(self, attempt: Attempt) -> None:
        """Remember an attempt that has to end before the planned start."""
        if self.current is not None:
            self.current.backfilled.append(attempt)

    def _set_holder(self, worker_id: WorkerId, *, kept: bool) -> None:
        ledger = self._state.ledger
        link = self._state.links_by_worker.get(worker_id)
        if link is None or link.preempting_attempt is not None or self.current is None:
            return
        ledger.reserve(worker_id, self.current.job.id if kept else None)

    def _evict_backfill(self, current: Reservation, now: Instant) -> None:
        for attempt in current.backfilled:
            if attempt.job.attempts_by_index.get(attempt.index) is attempt:
                self._ends.evict(attempt, StopReason.PREEMPTED, now)

    def _reserve(self, job: Job, deadline: Instant, now: Instant) -> bool:
        openings = sorted(self._openings(job, now), key=lambda one: one.at)
        needed = job.spec.tasks if job.is_gang else 1
        chosen: dict[WorkerId, None] = {}
        for opening in openings:
            chosen[opening.worker_id] = None
            needed -= opening.slots
            if needed <= 0:
                planned = Instant(max(now, opening.at))
                self._keep(job, list(chosen), planned, deadline, now)
                return True
        return False

    def _keep(
        self,
        job: Job,
        worker_ids: list[WorkerId],
        planned_start: Instant,
        deadline: Instant,
        now: Instant,
    ) -> None:
        if planned_start <= now:
            planned_start = Instant(now + REPLAN_S)
        self.current = Reservation(job, worker_ids, planned_start, deadline)
        self.open_for_holder(kept=True)
        if job.urgent:
            self._evict_for(job, worker_ids, now)

    def _evict_for(self, job: Job, worker_ids: list[WorkerId], now: Instant) -> None:
        needed = job.spec.tasks if job.is_gang else 1
        for worker_id in worker_ids:
            if needed <= 0:
                return
            needed -= self._evict_on(worker_id, job, needed, now)

    def _evict_on(
        self, worker_id: WorkerId, job: Job, needed: int, now: Instant
    ) -> int:
        room = self._state.ledger.workers_by_id[worker_id]
        free = room.free
        link = self._state.links_by_worker[worker_id]
        attempts = [one for one in link.attempts_by_task.values() if one.is_preemptible]
        attempts.sort(key=lambda one: (not one.ending, eviction_cost(one, now)))
        for attempt in attempts:
            if tasks_that_fit(free, job.amount) >= needed:
                break
            free = free + attempt.amount
            self._ends.evict(attempt, StopReason.PREEMPTED, now)
        return tasks_that_fit(free, job.amount)

    def _openings(self, job: Job, now: Instant) -> list[_Opening]:
        openings = []
        for room in self._state.ledger.workers_by_id.values():
            if room.placeable and job.amount.fits_in(room.capacity):
                openings += self._openings_on(room, job, now)
        return openings

    def _openings_on(
        self, room: WorkerCapacity, job: Job, now: Instant
    ) -> list[_Opening]:
        link = self._state.links_by_worker[room.id]
        ends = [
            (_expected_end(attempt, job, now), attempt.amount)
            for attempt in link.attempts_by_task.values()
        ]
        ends = [(at, amount) for at, amount in ends if at != float("inf")]
        ends.sort(key=lambda end: end[0])
        return _openings_over_time(room, job.amount, ends, now)


def _openings_over_time(
    room: WorkerCapacity,
    amount: Resources,
    ends: list[tuple[float, Resources]],
    now: Instant,
) -> list[_Opening]:
    free = room.free
    slots = tasks_that_fit(free, amount)
    openings = [_Opening(now, room.id, slots)] if slots else []
    for at, freed in ends:
        free = free + freed
        more = tasks_that_fit(free, amount) - slots
        if more > 0:
            slots += more
            openings.append(_Opening(at, room.id, more))
    return openings


def _expected_end(attempt: Attempt, job: Job, now: Instant) -> float:
    if attempt.ending or (job.urgent and attempt.is_preemptible):
        return now
    run_ms = attempt.job.spec.run_ms
    if run_ms is None:
        return float("inf")
    return max(now, attempt.sent_at + run_ms / MS_PER_S)
