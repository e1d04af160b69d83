"""Choose which waiting tasks start next, and on which workers."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.domain.model import ServiceName, WorkerIncarnation
from tamarackmount.scheduling.evidence.crash_evidence import is_suspect
from tamarackmount.scheduling.evidence.suspect_isolation import (
    isolated_workers,
    waits_apart,
)
from tamarackmount.scheduling.execution.run_ends import give_up_gang_over_budget
from tamarackmount.scheduling.execution.run_starts import start_run
from tamarackmount.scheduling.jobs.ranking import Tier, rank, tier
from tamarackmount.scheduling.jobs.run_numbers import next_run_number
from tamarackmount.scheduling.jobs.runs import StepState, WaitReason
from tamarackmount.scheduling.jobs.wait_log import update_wait_reason
from tamarackmount.scheduling.limits.ceilings import (
    ceiling_fraction,
    is_under_ceiling,
    update_unknown_use,
)
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.placement.gang_choice import (
    choose_gang_workers,
    is_at_worker_limit,
    remaining,
)
from tamarackmount.scheduling.placement.headroom import Headroom
from tamarackmount.scheduling.placement.reservations import Reservations
from tamarackmount.scheduling.placement.speed_choice import (
    NEUTRAL_RANK,
    SpeedRank,
    speed_ranks,
)
from tamarackmount.scheduling.placement.worker_choice import (
    eligible_workers,
    has_failed_on,
)
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.record_limits import max_runs_per_worker
from tamarackmount.scheduling.workers.free_capacity import (
    FreeCapacityIndex,
    count_runs_on,
)
from tamarackmount.scheduling.workers.workers import WorkerState

MAX_STARTS_PER_ROUND = 200
"""Number of started tasks after which a round ends. The next one begins a moment later:
answers and heartbeats in between do not wait for all tasks of a wide job. A gang starts
as a whole."""


@dataclass(slots=True)
class PlacementResult:
    """What a round of placement has left.

    ``blocked_steps`` lack free capacity, or would exceed the part of their workspace's
    ceiling that they may fill: see ``ceiling_fraction``. Unless the round
    ``is_complete``, it ended after many starts, and the steps of lower rank were not
    looked at.
    """

    blocked_steps: list[tuple[StepState, Queue]] = field(default_factory=list)
    is_complete: bool = True


def place(
    state: SchedulerState, capacity_index: FreeCapacityIndex, now: Instant
) -> PlacementResult:
    """Start the tasks that fit, in order of rank, up to a number of them."""
    result = PlacementResult()
    if state.authority is not HolderAuthority.FULL or state.write_ahead.is_stalled(now):
        return result
    unconfirmed = _services_with_unconfirmed_workers(state)
    update_unknown_use(state)
    reservations = Reservations(state, now)
    headroom = Headroom(state, now)
    for step in sorted(
        state.ready_steps_by_key.values(), key=lambda step: rank(step, now)
    ):
        if step.job.phase.is_final:
            # A gang of the job was given up in this round.
            continue
        queue = state.queue_of(step.job)
        reason = _blocking_reason(step, unconfirmed, now)
        if reason is WaitReason.NONE:
            reason = _quick_wait_reason(state, step, queue, capacity_index, now)
        if reason is WaitReason.NONE:
            place_step = _place_gang if step.spec.gang else _place_tasks
            reason = place_step(
                state, step, queue, capacity_index, reservations, headroom, now
            )
        reservations.update(step, queue, reason)
        if reason in (WaitReason.NO_CAPACITY, WaitReason.CEILING):
            result.blocked_steps.append((step, queue))
        update_wait_reason(step, reason, now)
        if headroom.started >= MAX_STARTS_PER_ROUND:
            result.is_complete = False
            break
    return result


def _quick_wait_reason(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    capacity_index: FreeCapacityIndex,
    now: Instant,
) -> WaitReason:
    """Return why a step can't start, if that shows without scanning all workers.

    No advice is requested for a step behind ``Tier.IN_TIME`` that waits for capacity or
    because of a ceiling. So such a step is reported as waiting for a ticket only if a
    worker has free capacity for it. A step in a better tier is reported as waiting for
    a ticket even without free capacity, as preemption may free some at any moment.
    """
    if step.spec.gang and step.runs_by_index:
        # An incomplete gang has to be stopped, whether or not there is free capacity.
        return WaitReason.NONE
    advice = step.advice
    lacks_ticket = queue.advice is not None and not advice.has_usable_ticket(now)
    if lacks_ticket and tier(step, now) <= Tier.IN_TIME:
        return WaitReason.NO_ELIGIBLE_WORKER
    if not is_under_ceiling(state, step, 1, ceiling_fraction(step, now)):
        return WaitReason.CEILING
    if lacks_ticket:
        has_worker = capacity_index.has_fitting_worker(
            step, lambda worker: worker.incarnation.worker_id not in advice.refused
        )
        return WaitReason.NO_ELIGIBLE_WORKER if has_worker else WaitReason.NO_CAPACITY
    if queue.advice is None:
        has_worker = capacity_index.has_fitting_worker(step, lambda _: True)
    else:
        # There are far fewer workers with tickets than workers.
        has_worker = any(
            step.reserved_amount.fits_in(worker.available)
            and worker.can_start
            and advice.usable_ticket(worker.incarnation, now)
            for worker in state.find_workers(advice.allowed.values())
        )
    return WaitReason.NONE if has_worker else WaitReason.NO_CAPACITY


def _services_with_unconfirmed_workers(state: SchedulerState) -> set[ServiceName]:
    """Return the services whose workers may have runs that the store does not hold."""
    if not state.runs_may_be_incomplete:
        return set()
    return {
        worker.entry.service
        for worker in state.workers_by_incarnation.values()
        if worker.may_have_unknown_runs
    }


def _blocking_reason(
    step: StepState, unconfirmed: set[ServiceName], now: Instant
) -> WaitReason:
    if now < step.not_before:
        return WaitReason.BACKOFF
    is_uncertain = step.job.is_restored and step.job.accepted.service in unconfirmed
    if is_uncertain and not step.allows_speculative_copy:
        return WaitReason.TAKEOVER
    return WaitReason.NONE


def _place_tasks(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    capacity_index: FreeCapacityIndex,
    reservations: Reservations,
    headroom: Headroom,
    now: Instant,
) -> WaitReason:
    workers = eligible_workers(state, step, queue, now)
    if not workers:
        return WaitReason.NO_ELIGIBLE_WORKER
    usable = reservations.usable_workers(step, workers)
    ranks = _speed_ranks(state, step, usable, now)
    reason = WaitReason.NONE
    for index in _indexes_to_start(state, step, headroom):
        # Checked for each task, as every start here adds to the workspace's use.
        if not is_under_ceiling(state, step, 1, ceiling_fraction(step, now)):
            return WaitReason.CEILING
        worker = _choose_worker(
            state, step, index, usable, ranks, capacity_index, reservations
        )
        if worker is None and waits_apart(state, step, index, now):
            # The others of its step don't wait with a suspect.
            reason = WaitReason.NO_CAPACITY
            continue
        if worker is None:
            return WaitReason.NO_CAPACITY
        if not headroom.allows(step, (worker,)):
            return WaitReason.HEADROOM
        step.run_number = next_run_number(step)
        start_run(state, step, index, worker, now)
        headroom.record_start(worker)
    return reason


def _indexes_to_start(
    state: SchedulerState, step: StepState, headroom: Headroom
) -> Iterator[int]:
    """Yield the tasks of a step that may start, until the round is over."""
    for index in step.pending:
        if headroom.started >= MAX_STARTS_PER_ROUND:
            return
        # An earlier run of the task may still be running.
        if step.task(index) in state.orphaned_run_count_by_task:
            continue
        yield index


def _place_gang(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    _capacity_index: FreeCapacityIndex,
    reservations: Reservations,
    headroom: Headroom,
    now: Instant,
) -> WaitReason:
    # ``_capacity_index`` is not used: the signature is that of ``_place_tasks``.
    reason = _restart_reason(state, step, now)
    if reason is not WaitReason.NONE:
        return reason
    if step.crashes_by_index and give_up_gang_over_budget(state, step, now):
        return WaitReason.NONE
    if not is_under_ceiling(state, step, step.spec.count, ceiling_fraction(step, now)):
        return WaitReason.CEILING
    workers = eligible_workers(state, step, queue, now)
    if not workers:
        return WaitReason.NO_ELIGIBLE_WORKER
    ranks = _speed_ranks(state, step, workers, now)
    chosen = choose_gang_workers(state, step, workers, ranks, reservations, now)
    if not chosen:
        return WaitReason.NO_CAPACITY
    if not headroom.allows(step, chosen):
        return WaitReason.HEADROOM
    step.run_number = next_run_number(step)
    _start_gang(state, step, chosen, headroom, now)
    return WaitReason.NONE


def _restart_reason(state: SchedulerState, step: StepState, now: Instant) -> WaitReason:
    """Return why a gang can't start yet as earlier runs of it are not over."""
    if step.runs_by_index:
        # A member is missing, and the others can only wait for it.
        for run in list(step.runs_by_index.values()):
            state.stop_run(run, now)
        return WaitReason.BACKOFF
    has_orphans = any(
        task.step_key == step.key and task.index in step.pending
        for task in state.orphaned_run_count_by_task
    )
    return WaitReason.ORPHANED_RUN if has_orphans else WaitReason.NONE


def _start_gang(
    state: SchedulerState,
    step: StepState,
    workers: Sequence[WorkerState],
    headroom: Headroom,
    now: Instant,
) -> None:
    for index, worker in enumerate(workers):
        start_run(state, step, index, worker, now)
        headroom.record_start(worker)


def _speed_ranks(
    state: SchedulerState, step: StepState, workers: Sequence[WorkerState], now: Instant
) -> dict[WorkerIncarnation, SpeedRank]:
    if not state.worker_speeds.has_samples:
        return {}
    usual_s = state.forecast.estimate_s(
        step.job.accepted.queue_name, step.spec.estimated_ms
    )
    return speed_ranks(state.worker_speeds, step, workers, usual_s, now)


def _choose_worker(
    state: SchedulerState,
    step: StepState,
    index: int,
    workers: Sequence[WorkerState],
    ranks: Mapping[WorkerIncarnation, SpeedRank],
    capacity_index: FreeCapacityIndex,
    reservations: Reservations,
) -> WorkerState | None:
    """Return the best-fitting worker near the task's data and its job's other tasks.

    Load pattern: a data centre is cut off. A job with tasks in all data centres is lost
    with any of them; a job that is kept in one is lost with that one only. Once a few
    workers of a data centre have not answered, its other workers are chosen last.
    Before them come cold workers: a task there takes longer, but less than a wait.
    """
    amount = step.reserved_amount
    task = step.task(index)
    max_runs = max_runs_per_worker(state.max_record_bytes)
    fitting = [
        worker
        for worker in workers
        if amount.fits_in(worker.available)
        and task not in worker.runs_by_task
        and len(worker.runs_by_task) < max_runs
        and not is_at_worker_limit(step, _count_runs_on(step, worker))
    ]
    if not fitting:
        return None
    fitting = list(isolated_workers(state, step, index, fitting, capacity_index.now))
    if not fitting:
        return None
    near = [
        worker for worker in fitting if worker.entry.rack == step.spec.rack
    ] or fitting
    data_centre = _data_centre_of_job(step, near, capacity_index)
    suspected = capacity_index.suspected_data_centres
    reserved = reservations.reserved_workers
    # A suspect may take what runs beside it with it.
    is_spared = is_suspect(state, step, index)
    return min(
        near,
        key=lambda worker: (
            (entry := worker.entry).data_centre in suspected,
            has_failed_on(step, worker),
            worker.is_cold(capacity_index.now),
            len(worker.runs_by_task) if is_spared else 0,
            entry.incarnation in reserved,
            (rank := ranks.get(entry.incarnation, NEUTRAL_RANK))[0],
            worker.entry.data_centre != data_centre,
            rank[1],
            remaining(worker.available, amount),
        ),
    )


def _data_centre_of_job(
    step: StepState, workers: list[WorkerState], capacity_index: FreeCapacityIndex
) -> DataCentreId | None:
    """Return the data centre in which a job's tasks are kept together.

    The one with most free processor time is chosen, and another one if that may be cut
    off. Perpetual tasks are not kept together.
    """
    job = step.job
    if step.spec.perpetual:
        return None
    if (
        job.preferred_data_centre is None
        or job.preferred_data_centre in capacity_index.suspected_data_centres
    ):
        free_by_data_centre: Counter[DataCentreId] = Counter()
        for worker in workers:
            free_by_data_centre[worker.entry.data_centre] += worker.available.millicores
        available = {
            data_centre: free
            for data_centre, free in free_by_data_centre.items()
            if data_centre not in capacity_index.suspected_data_centres
        }
        job.preferred_data_centre = max(
            available,
            key=lambda data_centre: (available[data_centre], data_centre),
            default=None,
        )
    return job.preferred_data_centre


def _count_runs_on(step: StepState, worker: WorkerState) -> int:
    if not step.spec.max_per_worker:
        return 0
    return count_runs_on(step, worker)
