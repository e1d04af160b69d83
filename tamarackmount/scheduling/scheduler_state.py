"""State of the scheduler, shared by the modules that take its decisions."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Instant,
    JobId,
    QueueName,
    WorkspaceId,
)
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import Effect, StartRun, StopRun
from tamarackmount.scheduling.domain.fleet_config import FleetConfig, Queue, Workspace
from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    ServiceName,
    StepKey,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.estimates.duration_spread import DurationSpread
from tamarackmount.scheduling.estimates.forecast import Forecast
from tamarackmount.scheduling.estimates.peak_use import (
    LARGE_PEAK_AGE_S,
    URGENT_PEAK_AGE_S,
    PeakUse,
)
from tamarackmount.scheduling.estimates.urgent_peaks import UrgentPeaks
from tamarackmount.scheduling.estimates.wait_correction import WaitCorrection
from tamarackmount.scheduling.jobs.due_queue import DueQueue
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, WorkspaceRateLimiter
from tamarackmount.scheduling.jobs.runs import JobState, Run, RunPhase, StepState
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.shares.observer import NoObserver, Observer
from tamarackmount.scheduling.shares.returns import Returns
from tamarackmount.scheduling.shares.shares import CapacityShares, WorkspaceShares
from tamarackmount.scheduling.store.record_limits import DEFAULT_MAX_RECORD_BYTES
from tamarackmount.scheduling.store.write_ahead import WriteAhead
from tamarackmount.scheduling.workers.crash_suspects import CrashSuspects
from tamarackmount.scheduling.workers.isolation_index import IsolationIndex
from tamarackmount.scheduling.workers.large_tasks import LargeTasks
from tamarackmount.scheduling.workers.pool_loads import (
    PoolLoad,
    PoolLoadKey,
    pool_load_key,
)
from tamarackmount.scheduling.workers.worker_speeds import LearnedWorkerSpeeds
from tamarackmount.scheduling.workers.workers import (
    MIN_CLOCK_RATE,
    LapsedWorker,
    RemovedWorker,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

DEFAULT_STOP_TIMEOUT_MS = 900
"""Longest time that a stop may take, in milliseconds, until the settings tell it."""

DEFAULT_MAX_LEASE_MS = 10_000
"""Longest lease that a worker takes, in milliseconds, until the settings tell it."""

STOP_RETRY_S = 0.2
"""Minimum time between two stop orders for one run, in seconds; an order takes
milliseconds."""


@dataclass(slots=True)
class SchedulerState:
    """Jobs, workers and workspaces as the holder of one fencing token knows them.

    ``ready_steps_by_key`` are steps that may start now and have tasks without a run;
    ``ready_counts_by_job`` is how many of them each job has, by the step's number.
    ``delayed_steps_by_key`` wait for their due time, which ``due_steps`` has.
    ``due_jobs`` has the due times of jobs' next occurrences, and
    ``jobs_with_due_occurrences`` the jobs that have further ones which are due.
    ``unix_ms`` is the time of the last tick. ``changed_jobs``, ``changed_workers`` and
    ``removed_workers`` have changes that the store does not
    hold yet. ``unstored_starts`` are start orders that are sent once the store holds
    their runs. ``runs_may_be_incomplete`` is set after a takeover while former holders
    may have runs that the store does not hold. ``orphaned_run_count_by_task`` counts
    orphaned runs that may still be running. ``stored_final_phase_by_job`` has the final
    phases that the store holds; callers are told of no others. ``used_by_workspace`` is
    what counts towards each workspace's ceiling: what all runs use that may still be
    running, orphaned ones included. ``orphaned_by_workspace`` is the part of these,
    which is free again within the time that a stop takes. ``unknown_use`` is what runs
    that this holder does not know may use at most, as of the last round.
    ``load_by_pool`` is the capacity that runs other than orphaned ones reserve in each
    pool, by queue. ``shares`` are those of the last round. ``isolation`` has the
    suspects and the runs that tasks are kept apart from, and ``crash_suspects`` the
    suspects of each crash that is not explained. ``lapsed_workers`` did not answer
    until their leases were over. ``replaced_incarnations`` are over but may still be
    registered. ``removed_after_silence`` are workers that fell silent and were removed
    lately.
    ``superseded`` is set once a worker has refused this holder's fencing token. A stop
    takes at most ``stop_timeout_ms``, a worker takes a lease of at most
    ``max_lease_ms``, and the store takes records of at most ``max_record_bytes``.
    """

    fencing_token: Epoch
    find_job: Callable[[JobId], AcceptedJob | None]
    fleet_config: FleetConfig | None = None
    jobs_by_id: dict[JobId, JobState] = field(default_factory=dict)
    ready_steps_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    ready_counts_by_job: dict[JobId, Counter[int]] = field(default_factory=dict)
    delayed_steps_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    due_steps: DueQueue[StepKey] = field(default_factory=DueQueue)
    due_jobs: DueQueue[JobId] = field(default_factory=DueQueue)
    jobs_with_due_occurrences: dict[JobId, JobState] = field(default_factory=dict)
    unix_ms: int = 0
    workers_by_incarnation: dict[WorkerIncarnation, WorkerState] = field(
        default_factory=dict
    )
    orphaned_run_count_by_task: Counter[TaskKey] = field(default_factory=Counter)
    used_by_workspace: dict[WorkspaceId, Resources] = field(default_factory=dict)
    orphaned_by_workspace: dict[WorkspaceId, Resources] = field(default_factory=dict)
    unknown_use: Resources = NOTHING
    load_by_pool: dict[PoolLoadKey, PoolLoad] = field(default_factory=dict)
    shares: WorkspaceShares = field(default_factory=CapacityShares)
    stored_final_phase_by_job: dict[JobId, JobPhase] = field(default_factory=dict)
    failure_cause_by_job: dict[JobId, FailureCause] = field(default_factory=dict)
    changed_jobs: set[JobId] = field(default_factory=set)
    changed_workers: set[WorkerIncarnation] = field(default_factory=set)
    removed_workers: set[WorkerIncarnation] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    unstored_starts: list[StartRun] = field(default_factory=list)
    write_ahead: WriteAhead = field(default_factory=WriteAhead)
    runs_may_be_incomplete: bool = False
    observer: Observer = field(default_factory=NoObserver)
    forecast: Forecast = field(default_factory=Forecast)
    duration_spread: DurationSpread = field(default_factory=DurationSpread)
    urgent_use: PeakUse = field(default_factory=lambda: PeakUse(URGENT_PEAK_AGE_S))
    large_use: PeakUse = field(default_factory=lambda: PeakUse(LARGE_PEAK_AGE_S))
    large_tasks: LargeTasks = field(default_factory=LargeTasks)
    worker_speeds: LearnedWorkerSpeeds = field(default_factory=LearnedWorkerSpeeds)
    workspace_rate_limiter: WorkspaceRateLimiter = field(
        default_factory=WorkspaceRateLimiter
    )
    refused_by_pool: Counter[tuple[ServiceName, WorkspaceId]] = field(
        default_factory=Counter
    )
    returns: Returns = field(default_factory=Returns)
    wait_correction: WaitCorrection = field(default_factory=WaitCorrection)
    urgent_peaks: UrgentPeaks = field(default_factory=UrgentPeaks)
    non_urgent_fraction_by_workspace: dict[WorkspaceId, float] = field(
        default_factory=dict
    )
    authority: HolderAuthority = HolderAuthority.FULL
    check_stragglers_at: Instant = Instant(0.0)
    evacuated_data_centres: frozenset[DataCentreId] = frozenset()
    isolation: IsolationIndex = field(default_factory=IsolationIndex)
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    replaced_incarnations: set[WorkerIncarnation] = field(default_factory=set)
    lapsed_workers: dict[WorkerIncarnation, LapsedWorker] = field(default_factory=dict)
    removed_after_silence: deque[RemovedWorker] = field(default_factory=deque)
    superseded: bool = False
    stop_timeout_ms: int = DEFAULT_STOP_TIMEOUT_MS
    max_lease_ms: int = DEFAULT_MAX_LEASE_MS
    max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES

    @property
    def longest_lease_s(self) -> float:
        """The longest lease on the slowest permitted clock, in seconds."""
        return self.max_lease_ms / MS_PER_SECOND / MIN_CLOCK_RATE

    @property
    def suspected_tasks(self) -> AbstractSet[TaskKey]:
        """The tasks with evidence that they crash their workers."""
        return self.isolation.suspects

    def emit(self, effect: Effect) -> None:
        """Queue an effect for the node to carry out."""
        self.effects.append(effect)

    def queue_of(self, job: JobState) -> Queue:
        """Return a job's queue as configured now, or else as it was on acceptance."""
        terms = job.accepted.terms
        if self.fleet_config is None:
            return terms
        return self.fleet_config.queues_by_name.get(terms.name, terms)

    def is_urgent_queue(self, name: QueueName) -> bool:
        """Tell whether a queue is configured as urgent now."""
        config = self.fleet_config
        queue = config.queues_by_name.get(name) if config is not None else None
        return queue is not None and queue.priority == URGENT_PRIORITY

    def usable_capacity_by_service(self) -> dict[ServiceName, Resources]:
        """Return the capacity of each pool's workers that may start tasks."""
        return self._capacity_by_service(lambda worker: worker.can_start)

    def occupied_capacity_by_service(self) -> dict[ServiceName, Resources]:
        """Return the capacity of each pool's workers that may start or have tasks."""
        return self._capacity_by_service(
            lambda worker: worker.can_start or bool(worker.runs_by_task)
        )

    def _capacity_by_service(
        self, counts: Callable[[WorkerState], bool]
    ) -> dict[ServiceName, Resources]:
        sums: dict[ServiceName, list[int]] = {}
        for worker in self.workers_by_incarnation.values():
            if counts(worker):
                row = sums.setdefault(worker.entry.service, [0, 0, 0])
                capacity = worker.entry.capacity
                row[0] += capacity.millicores
                row[1] += capacity.memory_mib
                row[2] += capacity.accelerators
        return {service: Resources(*row) for service, row in sums.items()}

    def add_job(self, job: JobState) -> None:
        """Add a job; runs of it may be known already."""
        self.jobs_by_id[job.job_id] = job
        self.wait_for_next_occurrence(job)

    def step_of(self, task: TaskKey) -> StepState | None:
        """Return the step of a task, or None if no known job has the task.

        A step of an occurrence that had no state so far is created: a former holder may
        have begun it.
        """
        job = self.jobs_by_id.get(task.job_id)
        if job is None:
            return None
        step = job.steps_by_key.get(task.step_key)
        if step is None and 0 <= task.step < len(job.accepted.spec.steps):
            if task.occurrence in job.unopened and not job.phase.is_final:
                self.open_occurrence(job, task.occurrence)
            step = job.find_step(task.step_key)
        if step is None or not 0 <= task.index < step.spec.count:
            return None
        return step

    def open_occurrence(self, job: JobState, occurrence: int) -> None:
        """Create the state of an occurrence's steps, and mark those that are ready."""
        steps = job.open_occurrence(occurrence)
        for step in steps:
            self.make_ready(step)

    def make_ready(self, step: StepState) -> None:
        """Mark a step as ready once the steps before it are done, and it is due."""
        if not step.pending or step.job.phase.is_final:
            return
        job = step.job
        for number in step.spec.after:
            if not job.steps_by_key[step.key._replace(step=number)].is_done:
                return
        if step.due_unix_ms > self.unix_ms:
            self.delayed_steps_by_key[step.key] = step
            self.due_steps.add(step.key, step.due_unix_ms)
        else:
            self.add_ready(step)

    def add_ready(self, step: StepState) -> None:
        """Mark a step as ready, if it is not yet."""
        key = step.key
        if key not in self.ready_steps_by_key:
            self.ready_counts_by_job.setdefault(key.job_id, Counter())[key.step] += 1
        self.ready_steps_by_key[key] = step

    def remove_ready(self, key: StepKey) -> None:
        """Mark a step as not ready, if it is."""
        if self.ready_steps_by_key.pop(key, None) is None:
            return
        counts = self.ready_counts_by_job[key.job_id]
        counts[key.step] -= 1
        if not counts[key.step]:
            del counts[key.step]
        if not counts:
            del self.ready_counts_by_job[key.job_id]

    def wait_for_next_occurrence(self, job: JobState) -> None:
        """Let a job's next occurrence, if there is one, begin when it is due."""
        occurrence = job.next_occurrence
        if occurrence is not None and not job.phase.is_final:
            self.due_jobs.add(job.job_id, job.due_unix_ms(occurrence))

    def add_orphaned_run(
        self, worker: WorkerState, run: Run, now: Instant, *, stops_now: bool = True
    ) -> None:
        """Reserve the capacity of a run that no task needs, and stop it.

        Unless it ``stops_now``, it is stopped once the worker reports it.

        It counts towards its workspace's ceiling until it is over, and its task starts
        nowhere before that.
        """
        run.is_orphaned = True
        self.orphaned_run_count_by_task[run.task] += 1
        worker.reserve_capacity(run)
        self.isolation.add_run(run)
        self._count_ceiling_usage(run, 1)
        if stops_now:
            self.stop_run(run, now)

    def workspace_of_job(self, job: JobState) -> Workspace | None:
        """Return the workspace of a job, or None if the configuration lacks it."""
        if self.fleet_config is None:
            return None
        return self.fleet_config.workspaces_by_id.get(job.accepted.workspace_id)

    def find_workers(
        self, incarnations: Iterable[WorkerIncarnation]
    ) -> Iterator[WorkerState]:
        """Yield those of the workers that are known."""
        for incarnation in incarnations:
            worker = self.workers_by_incarnation.get(incarnation)
            if worker is not None:
                yield worker

    def find_run(
        self, incarnation: WorkerIncarnation, task: TaskKey, run_number: int
    ) -> Run | None:
        """Return the run with this number, or None if it is not known."""
        worker = self.workers_by_incarnation.get(incarnation)
        run = worker.runs_by_task.get(task) if worker is not None else None
        return run if run is not None and run.number == run_number else None

    def is_start_wanted(self, run: Run) -> bool:
        """Tell whether a run whose start order is not sent yet should still start.

        Its job may have ended since, its task may be done by another run, or the run
        may have been stopped.
        """
        step = self.step_of(run.task)
        return (
            run.phase is RunPhase.STARTING
            and step is not None
            and not step.job.phase.is_final
            and run.task.index not in step.done
        )

    def add_run(self, worker: WorkerState, step: StepState, run: Run) -> None:
        """Add a new run of a step, with its capacity and its workspace's usage."""
        worker.reserve_capacity(run)
        self.isolation.add_run(run)
        self.changed_workers.add(worker.incarnation)
        step.runs_by_index[run.task.index] = run
        step.pending.discard(run.task.index)
        if not step.pending:
            self.remove_ready(step.key)
            self.compare_wait(step.job, run.began_at)
        accepted = step.job.accepted
        use = self._use_of(step, run.amount, run.began_at)
        if use is not None:
            use.add(accepted.service, run.amount, run.began_at)
            run.counted_use = use
        self._count_ceiling_usage(run, 1)
        spec = step.spec
        if not spec.perpetual:
            run.expected_s = self.forecast.estimate_s(
                accepted.queue_name, spec.estimated_ms
            )
        load = self.load_by_pool.setdefault(pool_load_key(step.job), PoolLoad())
        load.add(run, 1, spec.is_preemptible)

    def is_large(self, service: ServiceName, amount: Resources, now: Instant) -> bool:
        """Return whether a task needs a large part of its pool's largest workers."""
        workers = self.workers_by_incarnation.values()
        return self.large_tasks.is_large(service, amount, workers, now)

    def _use_of(
        self, step: StepState, amount: Resources, now: Instant
    ) -> PeakUse | None:
        """Return the use that a task counts towards, if any."""
        if step.spec.perpetual:
            return None
        if step.job.priority == URGENT_PRIORITY:
            return self.urgent_use
        is_large = self.is_large(step.job.accepted.service, amount, now)
        return self.large_use if is_large else None

    def compare_wait(self, job: JobState, now: Instant) -> None:
        """Correct later forecasts by how long a job has waited, once for each job."""
        if job.forecast_wait_s is None:
            return
        pool = job.accepted.service, job.priority == URGENT_PRIORITY
        waited_s = now - job.accepted_at
        self.wait_correction.add_sample(pool, job.forecast_wait_s, waited_s)
        job.forecast_wait_s = None

    def drop_run(self, run: Run, now: Instant) -> None:
        """Remove a run that has ended; make its task pending if it needs a run.

        An orphaned run only stops blocking its task.
        """
        worker = self.workers_by_incarnation.get(run.incarnation)
        if worker is not None:
            worker.release_capacity(run)
            self.changed_workers.add(worker.incarnation)
        self.isolation.remove_run(run)
        self._count_ceiling_usage(run, -1)
        if run.is_orphaned:
            self.orphaned_run_count_by_task -= Counter([run.task])
            return
        job = self.jobs_by_id.get(run.task.job_id)
        if job is None:
            return
        if run.counted_use is not None:
            run.counted_use.remove(job.accepted.service, run.amount)
        step = job.steps_by_key[run.task.step_key]
        self._release_pool_load(step, run)
        if step.runs_by_index.get(run.task.index) is run:
            del step.runs_by_index[run.task.index]
        step.original_runs = [
            original for original in step.original_runs if original is not run
        ]
        self.make_task_pending(step, run.task.index)
        if step.is_done:
            job.close_occurrence_if_done(step.key.occurrence)
        self.remove_if_finished(job)

    def _release_pool_load(self, step: StepState, run: Run) -> None:
        key = pool_load_key(step.job)
        load = self.load_by_pool.get(key)
        if load is not None:
            load.add(run, -1, step.spec.is_preemptible)
            if load.runs <= 0:
                del self.load_by_pool[key]

    def _count_ceiling_usage(self, run: Run, count: int) -> None:
        """Add what a run uses of its workspace's ceiling (``count`` is 1 or -1)."""
        workspace = run.workspace_id
        if workspace is None:
            return
        sums = [self.used_by_workspace]
        if run.is_orphaned:
            sums.append(self.orphaned_by_workspace)
        for by_workspace in sums:
            used = by_workspace.get(workspace, NOTHING)
            by_workspace[workspace] = used + run.ceiling_usage * count

    def request_speculative_copy(self, run: Run) -> bool:
        """Let a task start again beside a run that may be lost, if its step allows it.

        Load pattern: a worker is cut off, hangs or becomes slow while it runs urgent
        tasks. These would be late long before its lease expires.

        A task has one copy at a time. Return whether the task may start again.
        """
        step = self.step_of(run.task)
        index = run.task.index
        if step is None or not step.allows_speculative_copy or index in step.done:
            return False
        if run.task in self.suspected_tasks:
            # A copy would crash a second worker before the first crash is known.
            return False
        if step.runs_by_index.get(index) is not run:
            return False
        if any(original.task == run.task for original in step.original_runs):
            return False
        del step.runs_by_index[index]
        step.original_runs.append(run)
        self.make_task_pending(step, index)
        return True

    def make_task_pending(self, step: StepState, index: int) -> None:
        """Make a task pending unless it is done, has a run or its job has ended."""
        if step.job.phase.is_final or index in step.done:
            return
        if index in step.runs_by_index:
            return
        step.pending.add(index)
        self.add_ready(step)
        if (0 if step.spec.gang else index) in step.checkpoints_by_index:
            self.changed_jobs.add(step.key.job_id)

    def remove_if_finished(self, job: JobState) -> None:
        """Remove a job whose final phase is stored and that has no run left.

        A job that was removed before that would start again if its record is read once
        more, as after a repeated submission.
        """
        if job.job_id in self.changed_jobs:
            return
        if job.job_id not in self.stored_final_phase_by_job:
            return
        if any(step.runs() for step in job.steps_by_key.values()):
            return
        if self.jobs_by_id.pop(job.job_id, None) is not None:
            self.crash_suspects.job_removed(job)

    def stop_run(self, run: Run, now: Instant) -> None:
        """Send a stop order for a run, unless one is in flight or was just sent.

        Callers repeat this until the stop is confirmed.
        """
        if run.phase is RunPhase.RUNNING:
            run.phase = RunPhase.STOPPING
        elif run.phase is RunPhase.STARTING:
            run.phase = RunPhase.OUTCOME_UNKNOWN
        worker = self.workers_by_incarnation.get(run.incarnation)
        if worker is None or run.stop_in_flight or now < run.next_stop_at:
            return
        run.stop_in_flight = True
        run.next_stop_at = Instant(now + STOP_RETRY_S)
        self.emit(StopRun(run.incarnation, worker.entry.address, run.task, run.number))
