"""Forecast how long a new job waits for capacity that can run it.

Load pattern: a burst on a pool that is nearly full. A pool that is full of long tasks
frees capacity slowly, one full of short tasks fast; lost workers, and workers that a
step does not fit on, free none; and urgent jobs wait for urgent work only, because
other work is stopped for them. The sums over workers and waiting steps are kept for a
moment, as the forecast is asked for with each submission.
"""

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.admission.drain_sums import (
    Backlog,
    Shape,
    ShapeCapacity,
    Sums,
)
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.execution.occurrences import unbegun_due_count
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, Tier, tier
from tamarackmount.scheduling.jobs.runs import JobState, StepState, WaitReason
from tamarackmount.scheduling.placement.worker_choice import could_run
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.shares.shares import Amounts, fractions
from tamarackmount.scheduling.workers.free_capacity import count_fitting_tasks
from tamarackmount.scheduling.workers.pool_loads import PoolLoad
from tamarackmount.units import MS_PER_SECOND

SUMS_MAX_AGE_S = 0.05
"""Time for which sums are used again, in seconds; jobs accepted since are added."""

NO_RELEASE_WAIT_S = 600.0
"""Wait for capacity that only perpetual tasks use, in seconds; no job waits so long."""

MANY_TASKS = 1_000_000
"""Limit of counted tasks of a shape on one worker, without unit."""


class DrainForecast:
    """Forecasts waits from sums that are renewed every ``SUMS_MAX_AGE_S``."""

    def __init__(self, state: SchedulerState) -> None:
        """Forecast from the given state."""
        self._state = state
        self._sums: Sums | None = None

    def capacity_of(self, step: StepState, now: Instant) -> ShapeCapacity:
        """Return the capacity of the workers that may start tasks of a step."""
        sums = self._current_sums(now)
        spec = step.spec
        shape = Shape(
            step.job.accepted.service,
            spec.label,
            step.reserved_amount,
            spec.max_per_worker,
        )
        found = sums.capacity_by_shape.get(shape)
        if found is None:
            found = sums.capacity_by_shape[shape] = self._sum_workers(step)
        return found

    def has_free_capacity(self, job: JobState, now: Instant) -> bool:
        """Tell whether all first tasks of a job fit into what is free now.

        Capacity that steps ahead may take at once is not free.
        """
        is_urgent = job.priority == URGENT_PRIORITY
        pool = job.accepted.service, is_urgent
        backlog = self._current_sums(now).backlog_by_pool.get(pool) or Backlog()
        return all(
            self._fits_now(step, backlog, now)
            for step in job.steps_by_key.values()
            if not step.spec.after
        )

    def pool_wait_s(self, job: JobState, now: Instant) -> float:
        """Return how long a job's first steps wait for capacity, in seconds."""
        service = job.accepted.service
        is_urgent = job.priority == URGENT_PRIORITY
        backlog = self._current_sums(now).backlog_by_pool.get((service, is_urgent))
        return max(
            (
                self._step_wait_s(step, backlog or Backlog(), now)
                for step in job.steps_by_key.values()
                if not step.spec.after
            ),
            default=0.0,
        )

    def share_wait_s(self, job: JobState, now: Instant) -> float:
        """Return how long a workspace's waiting work fills its part of a scarce pool.

        It is 0 for a workspace whose demand is not limited, and for urgent jobs, which
        don't wait for their workspace's other work.
        """
        workspace, service = job.accepted.workspace_id, job.accepted.service
        if job.priority == URGENT_PRIORITY:
            return 0.0
        if not self._state.shares.entitled(workspace, service):
            return 0.0
        self._current_sums(now)
        return self.drain_s(workspace, service) or 0.0

    def drain_s(self, workspace: WorkspaceId, service: ServiceName) -> float | None:
        """Return how long what waits fills a workspace's part of a pool, in seconds.

        Return None if no forecast was asked for yet, or if nothing waits.
        """
        if self._sums is None:
            return None
        own = self._sums.backlog_by_owner.get((service, workspace))
        capacity = self._sums.capacity_by_service.get(service)
        if own is None or capacity is None:
            return None
        entitled = self._state.shares.entitled(workspace, service)
        return _work_s(own, capacity, NOTHING) / (entitled or 1.0)

    def work_s(self, job: JobState, now: Instant) -> float:
        """Return how long a job's work fills its workspace's part of the pool."""
        accepted = job.accepted
        capacity = self._current_sums(now).capacity_by_service.get(accepted.service)
        if capacity is None:
            return 0.0
        own = Backlog()
        for step in job.steps_by_key.values():
            task_s = self._state.forecast.estimate_s(
                accepted.queue_name, step.spec.estimated_ms
            )
            count = step.spec.count
            own.add_tasks(step.reserved_amount, count, task_s, has_claim=False)
        entitled = self._state.shares.entitled(accepted.workspace_id, accepted.service)
        return _work_s(own, capacity, NOTHING) / (entitled or 1.0)

    def workspace_wait_s(self, job: JobState, now: Instant) -> float:
        """Return how long the work ahead keeps a job's workspace at its ceiling.

        What orphaned runs use is free before this matters.
        """
        workspace = self._state.workspace_of_job(job)
        if workspace is None:
            return 0.0
        name = workspace.workspace_id
        is_urgent = job.priority == URGENT_PRIORITY
        sums = self._current_sums(now)
        backlog = sums.backlog_by_workspace.get((name, is_urgent), Backlog())
        used = self._state.used_by_workspace.get(name, NOTHING)
        orphaned = self._state.orphaned_by_workspace.get(name, NOTHING)
        free = workspace.ceiling - (used - orphaned)
        return _work_s(backlog, workspace.ceiling, free)

    def add_accepted(self, job: JobState, now: Instant) -> None:
        """Count an accepted job as waiting until the sums are renewed."""
        sums = self._current_sums(now)
        for step in job.steps_by_key.values():
            if not step.spec.after:
                self._add_step(sums, step, len(step.pending))

    @property
    def stop_s(self) -> float:
        """Time within which capacity is free that less urgent work is stopped for.

        It is the longest that a stop takes, in seconds.
        """
        return self._state.stop_timeout_ms / MS_PER_SECOND

    def invalidate(self) -> None:
        """Compute the sums anew with the next forecast, as the workers have changed."""
        self._sums = None

    def renew(self, now: Instant) -> None:
        """Compute the sums anew unless they are of this instant.

        Capacity may have become free since.
        """
        if self._sums is not None and self._sums.at < now:
            self._sums = None

    def wait_s(self, job: JobState, now: Instant) -> float:
        """Return how long a job waits, in seconds, without correction."""
        if self.has_free_capacity(job, now):
            return self.workspace_wait_s(job, now)
        return max(
            self.pool_wait_s(job, now),
            self.share_wait_s(job, now),
            self.workspace_wait_s(job, now),
        )

    def corrected_s(self, job: JobState, wait_s: float) -> float:
        """Return a wait corrected by how long jobs like this one really waited.

        A wait of 0 stays: there is free capacity then.
        """
        if wait_s <= 0:
            return wait_s
        is_urgent = job.priority == URGENT_PRIORITY
        # A stop takes its time whatever other jobs have waited.
        fixed_s = min(wait_s, self.stop_s) if is_urgent else 0.0
        pool = job.accepted.service, is_urgent
        correction = self._state.wait_correction
        return fixed_s + correction.corrected_s(pool, wait_s - fixed_s)

    def _current_sums(self, now: Instant) -> Sums:
        sums = self._sums
        if sums is None or now >= sums.at + SUMS_MAX_AGE_S:
            sums = self._sums = Sums(now)
            sums.capacity_by_service = self._state.usable_capacity_by_service()
            sums.occupied_by_service = self._state.occupied_capacity_by_service()
            for step in self._state.ready_steps_by_key.values():
                # Steps that are late or over a share are not worth waiting for.
                if tier(step, now) <= Tier.IN_TIME:
                    self._add_step(sums, step, len(step.pending))
                self._compare_if_overdue(step.job, now)
            self._add_due_occurrences(sums, now)
        return sums

    def _add_due_occurrences(self, sums: Sums, now: Instant) -> None:
        """Add the occurrences of jobs that are due and have no state yet."""
        for job in self._state.jobs_with_due_occurrences.values():
            for step in job.steps_by_key.values():
                if step.spec.after or tier(step, now) > Tier.IN_TIME:
                    continue
                count = unbegun_due_count(self._state, job) * step.spec.count
                self._add_step(sums, step, count)
                break

    def _compare_if_overdue(self, job: JobState, now: Instant) -> None:
        forecast_s = job.forecast_wait_s
        if forecast_s is None:
            return
        pool = job.accepted.service, job.priority == URGENT_PRIORITY
        correction = self._state.wait_correction
        if correction.is_overdue(pool, forecast_s, now - job.accepted_at):
            self._state.compare_wait(job, now)

    def _add_step(self, sums: Sums, step: StepState, count: int) -> None:
        """Add ``count`` tasks of a step to what waits."""
        accepted = step.job.accepted
        task_s = self._state.forecast.estimate_s(
            accepted.queue_name, step.spec.estimated_ms
        )
        owner_pool = accepted.service, accepted.workspace_id
        own = sums.backlog_by_owner.setdefault(owner_pool, Backlog())
        own.add_tasks(step.reserved_amount, count, task_s, has_claim=False)
        if step.exceeds_pool_share:
            return
        has_claim = step.wait_reason is not WaitReason.NO_CAPACITY
        classes = (True, False) if step.job.priority == URGENT_PRIORITY else (False,)
        for is_urgent in classes:
            owner = accepted.workspace_id, is_urgent
            backlog = sums.backlog_by_workspace.setdefault(owner, Backlog())
            backlog.add_tasks(step.spec.amount, count, task_s, has_claim)
            if step.wait_reason is WaitReason.CEILING:
                # It delays its own workspace only.
                continue
            pool = accepted.service, is_urgent
            backlog = sums.backlog_by_pool.setdefault(pool, Backlog())
            backlog.add_tasks(step.reserved_amount, count, task_s, has_claim)

    def _sum_workers(self, step: StepState) -> ShapeCapacity:
        found = ShapeCapacity()
        amount, bound = step.reserved_amount, step.spec.max_per_worker
        for worker in self._state.workers_by_incarnation.values():
            if not worker.can_start or not could_run(step, worker):
                continue
            capacity, free = worker.entry.capacity, worker.available
            found.capacity = found.capacity + capacity
            found.free = found.free + free
            found.free_tasks += count_fitting_tasks(amount, free, MANY_TASKS, bound)
            found.idle_tasks += count_fitting_tasks(amount, capacity, MANY_TASKS, bound)
        return found

    def _step_wait_s(self, step: StepState, backlog: Backlog, now: Instant) -> float:
        """Return how long a step waits until all of its tasks can start."""
        if self._fits_now(step, backlog, now):
            return 0.0
        found = self.capacity_of(step, now)
        if not found.idle_tasks:
            # The workers are draining or suspected; others or they are back soon.
            return 0.0
        count = min(step.spec.count, found.idle_tasks)
        per_task = _parts(step.reserved_amount)
        free = _parts(found.free)
        service = step.job.accepted.service
        sums = self._current_sums(now)
        usable = sums.capacity_by_service.get(service, NOTHING)
        parts = fractions(found.capacity, usable)
        # What ends on workers that may not start tasks frees nothing for the step.
        occupied = sums.occupied_by_service.get(service, NOTHING)
        run_parts = fractions(found.capacity, occupied)
        gaps = [
            max(
                amount * part + more * count - max(0, unused),
                more * (count - found.free_tasks),
            )
            if more
            else 0.0
            for amount, part, more, unused in zip(
                backlog.amount, parts, per_task, free, strict=True
            )
        ]
        least_s = 0.0
        if step.job.priority == URGENT_PRIORITY and any(gap > 0 for gap in gaps):
            least_s = self.stop_s
            freed = _parts(self._preemptible(service))
            gaps = [
                gap - amount * part
                for gap, amount, part in zip(gaps, freed, run_parts, strict=True)
            ]
        rates = self._release_rates(step, backlog, parts, run_parts, free)
        waits = [
            gap / rate if rate > 0 else NO_RELEASE_WAIT_S
            for gap, rate in zip(gaps, rates, strict=True)
            if gap > 0
        ]
        return max([least_s, *waits])

    def _fits_now(self, step: StepState, backlog: Backlog, now: Instant) -> bool:
        found = self.capacity_of(step, now)
        count = min(step.spec.count, found.idle_tasks)
        if count > found.free_tasks:
            return False
        sums = self._current_sums(now)
        usable = sums.capacity_by_service.get(step.job.accepted.service, NOTHING)
        rows = zip(
            _parts(step.reserved_amount),
            backlog.claims,
            fractions(found.capacity, usable),
            _parts(found.free),
            strict=True,
        )
        return all(
            per_task * count + claimed * part <= unused
            for per_task, claimed, part, unused in rows
            if per_task
        )

    def _loads(self, step: StepState) -> list[PoolLoad]:
        """Return the running work that keeps capacity from a step, by queue."""
        state, service = self._state, step.job.accepted.service
        is_urgent = step.job.priority == URGENT_PRIORITY
        return [
            load
            for use, load in state.load_by_pool.items()
            if use.service == service
            and not (is_urgent and load.preemptible == load.used)
        ]

    def _preemptible(self, service: ServiceName) -> Resources:
        """Return the capacity that stops of less urgent runs would free in a pool."""
        freed = NOTHING
        for use, load in self._state.load_by_pool.items():
            if use.service == service and not self._state.is_urgent_queue(use.queue):
                freed = freed + load.preemptible
        return freed

    def _release_rates(
        self,
        step: StepState,
        backlog: Backlog,
        parts: Amounts,
        run_parts: Amounts,
        free: tuple[int, int, int],
    ) -> list[float]:
        """Return how much capacity ends of tasks free, per second.

        Of what runs in the pool, ``run_parts`` are on workers that the step may use, of
        what waits ``parts``.

        Tasks that run are at any point of their duration. Those ahead fill what is free
        now, and end in turn.
        """
        rates = [0.0, 0.0, 0.0]
        for load in self._loads(step):
            for index, rate in enumerate(load.release_rates):
                rates[index] += rate * run_parts[index]
        for index, (amount, work) in enumerate(
            zip(backlog.amount, backlog.work, strict=True)
        ):
            if work > 0:
                filled = min(max(0, free[index]), amount * parts[index])
                rates[index] += filled * amount / work
        return rates


def _work_s(backlog: Backlog, capacity: Resources, free: Resources) -> float:
    """Return how long a backlog fills a capacity, beyond what fits into its free part.

    The result is in seconds.
    """
    rows = zip(
        backlog.work, backlog.amount, _parts(capacity), _parts(free), strict=True
    )
    return max(
        (
            work / total * max(0.0, 1.0 - max(0, unused) / ahead)
            for work, ahead, total, unused in rows
            if total and ahead
        ),
        default=0.0,
    )


def _parts(amount: Resources) -> tuple[int, int, int]:
    return amount.millicores, amount.memory_mib, amount.accelerators
