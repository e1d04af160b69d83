"""Choosing what starts next, and where."""

import logging
from collections import Counter
from collections.abc import Iterable

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.fleet_config import Queue
from tamarackmount.scheduling.free_capacity import FreeCapacityIndex
from tamarackmount.scheduling.holder_authority import HolderAuthority
from tamarackmount.scheduling.model import JobPhase, ServiceName
from tamarackmount.scheduling.ranking import URGENT_PRIORITY, Tier, rank, tier
from tamarackmount.scheduling.run_ends import format_task
from tamarackmount.scheduling.runs import Run, RunPhase, StepState, WaitReason
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.worker_reports import StartOrder
from tamarackmount.scheduling.workers import ContactState, WorkerState

_log = logging.getLogger(__name__)

FIRST_RUN_NUMBER_AFTER_TAKEOVER = 64
"""Runs of tasks that a former holder may have started are numbered from here, above
any number that it is likely to have used; workers refuse lower ones, which raises the
number further."""

NON_URGENT_SLACK_S = 4.0
"""A job that need not start for this long, in seconds, leaves part of its team's
ceiling to urgent ones; about the length of one long task."""

NON_URGENT_CEILING_FRACTION = 0.85
"""The part of its ceiling that a team's patient jobs may fill, without unit; a burst
doubles the urgent jobs, which need a quarter of what a team uses."""


def place(state: SchedulerState, now: Instant) -> list[tuple[StepState, Queue]]:
    """Start what fits, the most urgent steps first; return those that lack room."""
    starved: list[tuple[StepState, Queue]] = []
    if state.authority is not HolderAuthority.FULL or state.write_ahead.is_stalled(now):
        return starved
    unseen = _unseen_services(state)
    rooms = FreeCapacityIndex(state.workers_by_incarnation.values(), now)
    for step in sorted(
        state.ready_steps_by_key.values(), key=lambda row: rank(row, now)
    ):
        queue = state.queue_of(step.job)
        reason = _blocked(step, unseen, now)
        if reason is WaitReason.NONE:
            reason = _without_place(state, step, queue, rooms, now)
        if reason is WaitReason.NONE:
            policy = _place_gang if step.spec.gang else _place_tasks
            reason = policy(state, step, queue, rooms, now)
        if reason in (WaitReason.NO_CAPACITY, WaitReason.CEILING):
            starved.append((step, queue))
        _note_wait(step, reason, now)
    return starved


def _without_place(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    rooms: FreeCapacityIndex,
    now: Instant,
) -> WaitReason:
    """Return why a step can't start, where that is seen without a look at all workers.

    Permission is not worth asking for if a late step could not use it; one that can be
    in time may get room made at any moment.
    """
    if step.spec.gang and step.runs_by_index:
        # Members that run without the others have to be stopped, room or not.
        return WaitReason.NONE
    advice = step.advice
    lacks_permission = queue.advice is not None and not advice.has_ticket(now)
    if lacks_permission and tier(step, now) <= Tier.IN_TIME:
        return WaitReason.NO_PERMITTED_WORKER
    if not is_under_ceiling(state, step, 1, _ceiling_part(step, now)):
        return WaitReason.CEILING
    if lacks_permission:
        has_place = rooms.has_fitting_worker(
            step, lambda worker: worker.incarnation.worker_id not in advice.refused
        )
        return WaitReason.NO_PERMITTED_WORKER if has_place else WaitReason.NO_CAPACITY
    if queue.advice is None:
        has_place = rooms.has_fitting_worker(step, lambda _: True)
    else:
        has_place = rooms.has_fitting_worker(
            step, lambda worker: bool(advice.usable_ticket(worker.incarnation, now))
        )
    return WaitReason.NONE if has_place else WaitReason.NO_CAPACITY


def _unseen_services(state: SchedulerState) -> set[ServiceName]:
    """Return services with workers that may run what the store does not know of."""
    if not state.may_have_unstored_starts:
        return set()
    return {
        worker.entry.service
        for worker in state.workers_by_incarnation.values()
        if worker.recorded and worker.contact is ContactState.UNCONFIRMED
    }


def _blocked(step: StepState, unseen: set[ServiceName], now: Instant) -> WaitReason:
    if now < step.not_before:
        return WaitReason.BACKOFF
    is_unsure = step.job.is_restored and step.job.accepted.service in unseen
    if is_unsure and not step.allows_speculative_copy:
        return WaitReason.TAKEOVER
    return WaitReason.NONE


def _note_wait(step: StepState, reason: WaitReason, now: Instant) -> None:
    if reason is step.wait_reason:
        return
    step.wait_reason = reason
    if reason in (WaitReason.NONE, WaitReason.BACKOFF):
        return
    extra = {
        "job": step.key.job_id,
        "step": f"{step.key.occurrence}.{step.key.step}",
        "reason": reason.value,
        "waiting": len(step.pending),
        "allowed": len(step.advice.allowed),
        "age_s": round(now - step.job.submitted_at, 3),
    }
    _log.info("step waits", extra=extra)


def could_run(step: StepState, worker: WorkerState) -> bool:
    """Tell whether a worker can ever take a task of the step."""
    return (
        worker.entry.service == step.job.accepted.service
        and (not step.spec.label or step.spec.label in worker.entry.labels)
        and step.reserved_amount.fits_in(worker.entry.capacity)
    )


def candidates(
    state: SchedulerState, step: StepState, queue: Queue, now: Instant
) -> list[WorkerState]:
    """Return the workers that may take a task of the step now, room apart."""
    found = [
        worker
        for worker in state.workers_by_incarnation.values()
        if worker.can_start and now >= worker.backoff_until and could_run(step, worker)
    ]
    if queue.advice is not None:
        found = [
            row for row in found if step.advice.usable_ticket(row.incarnation, now)
        ]
    sound = [
        row
        for row in found
        if row.incarnation.worker_id not in step.failed_on and not row.is_slow(now)
    ]
    return sound or found


def _place_tasks(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    rooms: FreeCapacityIndex,
    now: Instant,
) -> WaitReason:
    workers = candidates(state, step, queue, now)
    if not workers:
        return WaitReason.NO_PERMITTED_WORKER
    for index in sorted(step.pending):
        if step.task(index) in state.orphaned_run_count_by_task:
            continue
        if not is_under_ceiling(state, step, 1, _ceiling_part(step, now)):
            return WaitReason.CEILING
        worker = _choose(step, index, workers, rooms)
        if worker is None:
            return WaitReason.NO_CAPACITY
        step.run_number = _next_run(step)
        start(state, step, index, worker, now)
    return WaitReason.NONE


def _place_gang(
    state: SchedulerState,
    step: StepState,
    queue: Queue,
    _rooms: FreeCapacityIndex,
    now: Instant,
) -> WaitReason:
    if step.runs_by_index:
        # A member is missing; the others would only wait for it.
        for run in list(step.runs_by_index.values()):
            state.stop_run(run, now)
        return WaitReason.BACKOFF
    if any(
        step.task(index) in state.orphaned_run_count_by_task for index in step.pending
    ):
        return WaitReason.ORPHANED_RUN
    if not is_under_ceiling(state, step, step.spec.count, _ceiling_part(step, now)):
        return WaitReason.CEILING
    workers = candidates(state, step, queue, now)
    if not workers:
        return WaitReason.NO_PERMITTED_WORKER
    chosen = _choose_gang(step, workers)
    if not chosen:
        return WaitReason.NO_CAPACITY
    step.run_number = _next_run(step)
    for index, worker in enumerate(chosen):
        start(state, step, index, worker, now)
    return WaitReason.NONE


def _choose_gang(step: StepState, workers: list[WorkerState]) -> list[WorkerState]:
    """Return a worker for each member, on one rack if the step asks for that."""
    for group in _gang_groups(step, workers):
        chosen = _spread_gang(step, group)
        if chosen:
            return chosen
    return []


def _gang_groups(
    step: StepState, workers: list[WorkerState]
) -> Iterable[list[WorkerState]]:
    if step.spec.same_rack:
        racks = sorted({worker.entry.rack for worker in workers})
        for rack in racks:
            yield [worker for worker in workers if worker.entry.rack == rack]
    yield workers


def _spread_gang(step: StepState, workers: list[WorkerState]) -> list[WorkerState]:
    amount = step.reserved_amount
    free_by_incarnation = {worker.incarnation: worker.free for worker in workers}
    count_by_incarnation = {worker.incarnation: 0 for worker in workers}
    chosen: list[WorkerState] = []
    for _ in range(step.spec.count):
        fitting = [
            worker
            for worker in workers
            if amount.fits_in(free_by_incarnation[worker.incarnation])
            and not _is_full_of(step, count_by_incarnation[worker.incarnation])
        ]
        if not fitting:
            return []
        worker = min(
            fitting, key=lambda row: _left(free_by_incarnation[row.incarnation], amount)
        )
        free_by_incarnation[worker.incarnation] = (
            free_by_incarnation[worker.incarnation] - amount
        )
        count_by_incarnation[worker.incarnation] += 1
        chosen.append(worker)
    return chosen


def _choose(
    step: StepState, index: int, workers: list[WorkerState], rooms: FreeCapacityIndex
) -> WorkerState | None:
    """Return the worker for a task: near its data, near its job, with least room left.

    Load pattern: a data centre is cut off. A job that has tasks in all of them is lost
    with any of them; one that is kept together is lost with its own only. Once a few
    workers of a data centre have not answered, the others there are chosen last.
    """
    amount = step.reserved_amount
    task = step.task(index)
    fitting = [
        worker
        for worker in workers
        if amount.fits_in(worker.free)
        and task not in worker.runs_by_task
        and not _is_full_of(step, _runs_on(step, worker))
    ]
    if not fitting:
        return None
    near = [row for row in fitting if row.entry.rack == step.spec.rack] or fitting
    home = _home(step, near, rooms)
    return min(
        near,
        key=lambda row: (
            row.entry.data_centre in rooms.suspected_data_centres,
            row.entry.data_centre != home,
            _left(row.free, amount),
        ),
    )


def _home(
    step: StepState, workers: list[WorkerState], rooms: FreeCapacityIndex
) -> DataCentreId | None:
    """Return the data centre in which a job is kept together, the roomiest at first."""
    job = step.job
    if step.spec.perpetual:
        return None
    if (
        job.preferred_data_centre is None
        or job.preferred_data_centre in rooms.suspected_data_centres
    ):
        free_by_home: Counter[DataCentreId] = Counter()
        for worker in workers:
            free_by_home[worker.entry.data_centre] += worker.free.millicores
        sound = {
            home: free
            for home, free in free_by_home.items()
            if home not in rooms.suspected_data_centres
        }
        job.preferred_data_centre = max(
            sound, key=lambda home: (sound[home], home), default=None
        )
    return job.preferred_data_centre


def _runs_on(step: StepState, worker: WorkerState) -> int:
    if not step.spec.max_per_worker:
        return 0
    return sum(1 for run in step.runs() if run.incarnation == worker.incarnation)


def _is_full_of(step: StepState, count: int) -> bool:
    bound = step.spec.max_per_worker
    return bool(bound) and count >= bound


def _left(free: Resources, amount: Resources) -> tuple[int, int, int]:
    left = free - amount
    return left.accelerators, left.millicores, left.memory_mib


def _ceiling_part(step: StepState, now: Instant) -> float:
    """Return how much of its team's ceiling a step may fill.

    Load pattern: a team's long jobs fill its ceiling, and its urgent ones, which come
    in bursts and last a second, wait until one of the long ones ends.
    """
    job = step.job
    if job.priority == URGENT_PRIORITY or step.spec.perpetual:
        return 1.0
    return (
        NON_URGENT_CEILING_FRACTION
        if now < job.latest_start - NON_URGENT_SLACK_S
        else 1.0
    )


def is_under_ceiling(
    state: SchedulerState, step: StepState, count: int, part: float = 1.0
) -> bool:
    """Tell whether the job's team may have ``count`` more of its tasks running.

    Only ``part`` of its ceiling is used.
    """
    if state.fleet is None:
        return False
    team = state.team(step.job)
    if team is None:
        return True
    used = state.used_by_team.get(team.team_id, NOTHING)
    return all(
        not most or has + one * count <= most * part
        for has, one, most in ceiling_parts(used, step.spec.amount, team.ceiling)
    )


def ceiling_parts(
    used: Resources, amount: Resources, ceiling: Resources
) -> tuple[tuple[int, int, int], ...]:
    """Return what is used, what a task adds and the ceiling, for each kind of room."""
    return (
        (used.millicores, amount.millicores, ceiling.millicores),
        (used.memory_mib, amount.memory_mib, ceiling.memory_mib),
        (used.accelerators, amount.accelerators, ceiling.accelerators),
    )


def _next_run(step: StepState) -> int:
    if step.run_number == 0 and step.job.is_restored:
        return FIRST_RUN_NUMBER_AFTER_TAKEOVER
    return step.run_number + 1


def start(
    state: SchedulerState,
    step: StepState,
    index: int,
    worker: WorkerState,
    now: Instant,
) -> None:
    """Place one task on a worker; the order may wait until the store holds the run."""
    lease_end = worker.lease_end_clock_ms(now)
    if lease_end is None:
        return
    worker.lease_sent(lease_end)
    checkpoint = step.checkpoints_by_index.get(0 if step.spec.gang else index, "")
    run = Run(
        task=step.task(index),
        number=step.run_number,
        incarnation=worker.incarnation,
        amount=step.reserved_amount,
        ceiling_usage=step.spec.amount,
        phase=RunPhase.STARTING,
        began_at=now,
        resumed=bool(checkpoint),
    )
    state.add_run(worker, step, run)
    job = step.job
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING
        state.changed_jobs.add(job.job_id)
        state.observer.record_first_start(job.accepted.queue, now - job.submitted_at)
    order = StartOrder(
        incarnation=worker.incarnation,
        task=run.task,
        run=run.number,
        text=job.accepted.spec.text,
        lease_end_clock_ms=lease_end,
        checkpoint=checkpoint,
        ticket=step.advice.usable_ticket(worker.incarnation, now),
    )
    if state.write_ahead.is_enabled:
        state.unstored_starts.append(StartRun(worker.entry.address, order))
    else:
        state.emit(StartRun(worker.entry.address, order))
    extra = {
        "job": job.job_id,
        "task": format_task(run.task),
        "run": run.number,
        "worker": worker.incarnation.worker_id,
        "waited_s": round(now - job.submitted_at, 3),
    }
    _log.info("run starts", extra=extra)
