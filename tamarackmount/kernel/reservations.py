"""Reserves workers for a job that needs more capacity than is ever free at once.

Only one job has a reservation at a time, so two jobs can't block each other. A
reservation ends at its deadline, and the next job that has waited long gets one.
"""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.kernel.capacity import WorkerCapacity, tasks_that_fit
from tamarackmount.kernel.jobs import Attempt, Job, StopReason
from tamarackmount.kernel.preemption import preemption_cost
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.resources import Resources

MAX_DURATION_FACTOR = 16
"""Maximum duration of a reservation, as a multiple of the job's first one.

The duration doubles with each reservation of the job.
"""

MIN_REPLAN_S = 2.0
"""Minimum time until a reservation is planned again, in seconds."""

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _CapacityForecast:
    """Capacity for ``tasks`` more tasks that a worker should have from ``at`` on."""

    at: float
    worker_id: WorkerId
    tasks: int


@dataclass(slots=True)
class Reservation:
    """Workers reserved for a job.

    ``planned_start`` is when they should have the capacity that the job needs.
    ``backfilled`` are the attempts of other jobs that must end before then.
    """

    job: Job
    worker_ids: list[WorkerId]
    planned_start: Instant
    deadline: Instant
    backfilled: list[Attempt] = field(default_factory=list)


class Reservations:
    """Creates, replans and ends the data centre's single reservation."""

    def __init__(self, state: SchedulerState, ends: TaskEnds) -> None:
        """Start without a reservation."""
        self._state = state
        self._ends = ends
        self.current: Reservation | None = None

    def is_due(self, job: Job, now: Instant) -> bool:
        """Return whether a job that does not fit has waited long enough for one."""
        if now < job.reserve_from:
            return False
        return (
            job.urgent or now >= job.waiting_since + self._state.timing.reserve_after_s
        )

    def reserve_oldest(self, jobs: list[Job], now: Instant) -> None:
        """Reserve for the job that has waited longest, unless a reservation exists.

        Urgent jobs come first. A job for which no workers can be planned is skipped.
        """
        if self.current is not None:
            return
        due = [job for job in jobs if self.is_due(job, now)]
        for job in sorted(due, key=lambda job: (not job.urgent, job.waiting_since)):
            duration_s = self._state.timing.reservation_s
            duration_s *= min(2**job.reservations, MAX_DURATION_FACTOR)
            if self._reserve(job, Instant(now + duration_s), now):
                job.reservations += 1
                return

    def update(self, now: Instant) -> bool:
        """End a reservation that is over; replan one past its planned start.

        It is over once its deadline has passed or its job is no longer queued. At the
        planned start, backfilled attempts that still run are preempted. Returns whether
        the reservation has changed.
        """
        current = self.current
        if current is None:
            return False
        job = current.job
        if not self._state.queue.contains(job):
            self.end()
        elif now >= current.deadline:
            job.reserve_from = Instant(now + self._state.timing.reservation_s)
            self.end()
        elif now >= current.planned_start:
            self._preempt_backfill(current, now)
            self.end()
            self._reserve(job, current.deadline, now)
        else:
            return False
        return True

    def end(self) -> None:
        """End the reservation, so that all jobs may use its workers again."""
        if self.current is None:
            return
        for worker_id in self.current.worker_ids:
            self._enforce_on(worker_id, enforced=False)
        self.current = None
        self._state.place_needed = True

    def set_enforced(self, enforced: bool) -> None:
        """Lift the reservation while its job is being placed, or enforce it again."""
        if self.current is None:
            return
        for worker_id in self.current.worker_ids:
            self._enforce_on(worker_id, enforced=enforced)

    def select_backfill_worker(self, job: Job, now: Instant) -> WorkerId | None:
        """Return a reserved worker with capacity for a task that ends in time.

        It must end before the planned start. Only idempotent jobs with a known run time
        qualify, as a backfilled task that overruns is preempted.
        """
        current = self.current
        run_ms = job.spec.run_ms
        if current is None or run_ms is None or not job.spec.idempotent:
            return None
        if now + run_ms / MS_PER_S > current.planned_start:
            return None
        for worker_id in current.worker_ids:
            worker = self._state.ledger.workers_by_id.get(worker_id)
            if (
                worker is not None
                and worker.is_schedulable
                and job.amount.fits_in(worker.free)
            ):
                return worker_id
        return None

    def add_backfill(self, attempt: Attempt) -> None:
        """Record an attempt that must end before the planned start."""
        if self.current is not None:
            self.current.backfilled.append(attempt)

    def _enforce_on(self, worker_id: WorkerId, *, enforced: bool) -> None:
        ledger = self._state.ledger
        link = self._state.links_by_worker.get(worker_id)
        if link is None or link.preempting_attempt is not None or self.current is None:
            return
        ledger.reserve(worker_id, self.current.job.id if enforced else None)

    def _preempt_backfill(self, current: Reservation, now: Instant) -> None:
        for attempt in current.backfilled:
            if attempt.job.attempts_by_index.get(attempt.index) is attempt:
                self._ends.preempt(attempt, StopReason.PREEMPTED, now)

    def _reserve(self, job: Job, deadline: Instant, now: Instant) -> bool:
        forecasts = sorted(self._forecasts(job, now), key=lambda forecast: forecast.at)
        needed = job.spec.tasks if job.is_gang else 1
        chosen: dict[WorkerId, None] = {}
        for forecast in forecasts:
            chosen[forecast.worker_id] = None
            needed -= forecast.tasks
            if needed <= 0:
                planned = Instant(max(now, forecast.at))
                self._create(job, list(chosen), planned, deadline, now)
                return True
        return False

    def _create(
        self,
        job: Job,
        worker_ids: list[WorkerId],
        planned_start: Instant,
        deadline: Instant,
        now: Instant,
    ) -> None:
        if planned_start <= now:
            planned_start = Instant(now + MIN_REPLAN_S)
        self.current = Reservation(job, worker_ids, planned_start, deadline)
        self.set_enforced(enforced=True)
        if job.urgent:
            self._preempt_for(job, worker_ids, now)

    def _preempt_for(self, job: Job, worker_ids: list[WorkerId], now: Instant) -> None:
        needed = job.spec.tasks if job.is_gang else 1
        for worker_id in worker_ids:
            if needed <= 0:
                return
            needed -= self._preempt_on_worker(worker_id, job, needed, now)

    def _preempt_on_worker(
        self, worker_id: WorkerId, job: Job, needed: int, now: Instant
    ) -> int:
        worker = self._state.ledger.workers_by_id[worker_id]
        free = worker.free
        link = self._state.links_by_worker[worker_id]
        attempts = [
            attempt
            for attempt in link.attempts_by_task.values()
            if attempt.is_preemptible
        ]
        attempts.sort(
            key=lambda attempt: (not attempt.ending, preemption_cost(attempt, now))
        )
        for attempt in attempts:
            if tasks_that_fit(free, job.amount) >= needed:
                break
            free = free + attempt.amount
            self._ends.preempt(attempt, StopReason.PREEMPTED, now)
        return tasks_that_fit(free, job.amount)

    def _forecasts(self, job: Job, now: Instant) -> list[_CapacityForecast]:
        forecasts = []
        for worker in self._state.ledger.workers_by_id.values():
            if worker.is_placeable and job.amount.fits_in(worker.capacity):
                forecasts += self._forecasts_for_worker(worker, job, now)
        return forecasts

    def _forecasts_for_worker(
        self, worker: WorkerCapacity, job: Job, now: Instant
    ) -> list[_CapacityForecast]:
        link = self._state.links_by_worker[worker.id]
        ends = [
            (_expected_end(attempt, job, now), attempt.amount)
            for attempt in link.attempts_by_task.values()
        ]
        ends = [(at, amount) for at, amount in ends if at != float("inf")]
        ends.sort(key=lambda end: end[0])
        return _forecasts_over_time(worker, job.amount, ends, now)


def _forecasts_over_time(
    worker: WorkerCapacity,
    amount: Resources,
    ends: list[tuple[float, Resources]],
    now: Instant,
) -> list[_CapacityForecast]:
    free = worker.free
    fitting = tasks_that_fit(free, amount)
    forecasts = [_CapacityForecast(now, worker.id, fitting)] if fitting else []
    for at, freed in ends:
        free = free + freed
        more = tasks_that_fit(free, amount) - fitting
        if more > 0:
            fitting += more
            forecasts.append(_CapacityForecast(at, worker.id, more))
    return forecasts


def _expected_end(attempt: Attempt, job: Job, now: Instant) -> float:
    if attempt.ending or (job.urgent and attempt.is_preemptible):
        return now
    run_ms = attempt.job.spec.run_ms
    if run_ms is None:
        return float("inf")
    return max(now, attempt.sent_at + run_ms / MS_PER_S)
