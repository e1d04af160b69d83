"""Choosing what starts next, and where."""

import logging
from collections import Counter
from collections.abc import Iterable

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.fleet_config import Queue
from tamarackmount.scheduling.free_capacity import Rooms
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.model import JobPhase, ServiceName
from tamarackmount.scheduling.ranking import URGENT_PRIORITY, Tier, rank, tier
from tamarackmount.scheduling.run_ends import task_text
from tamarackmount.scheduling.runs import Run, RunPhase, StepState, WaitReason
from tamarackmount.scheduling.scheduler_state import Cell
from tamarackmount.scheduling.worker_reports import StartOrder
from tamarackmount.scheduling.workers import Reach, WorkerState

_log = logging.getLogger(__name__)

FIRST_RUN_AFTER_TAKEOVER = 64
"""Runs of tasks that a former holder may have started are numbered from here, above
any number that it is likely to have used; workers refuse lower ones, which raises the
number further."""

PATIENT_S = 4.0
"""A job that need not start for this long, in seconds, leaves part of its team's
ceiling to urgent ones; about the length of one long task."""

PATIENT_PART = 0.85
"""The part of its ceiling that a team's patient jobs may fill, without unit; a burst
doubles the urgent jobs, which need a quarter of what a team uses."""


def place(cell: Cell, now: Instant) -> list[tuple[StepState, Queue]]:
    """Start what fits, the most urgent steps first; return those that lack room."""
    starved: list[tuple[StepState, Queue]] = []
    if cell.licence is not Licence.FULL or cell.recording.is_stalled(now):
        return starved
    unseen = _unseen_services(cell)
    rooms = Rooms(cell.workers_by_life.values(), now)
    for step in sorted(cell.ready_by_key.values(), key=lambda row: rank(row, now)):
        queue = cell.queue_of(step.job)
        reason = _blocked(step, unseen, now)
        if reason is WaitReason.NONE:
            reason = _without_place(cell, step, queue, rooms, now)
        if reason is WaitReason.NONE:
            policy = _place_gang if step.spec.gang else _place_tasks
            reason = policy(cell, step, queue, rooms, now)
        if reason in (WaitReason.ROOM, WaitReason.CEILING):
            starved.append((step, queue))
        _note_wait(step, reason, now)
    return starved


def _without_place(
    cell: Cell, step: StepState, queue: Queue, rooms: Rooms, now: Instant
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
        return WaitReason.ADVICE
    if not has_quota(cell, step, 1, _ceiling_part(step, now)):
        return WaitReason.CEILING
    if lacks_permission:
        has_place = rooms.has_place(
            step, lambda worker: worker.life.worker_id not in advice.refused
        )
        return WaitReason.ADVICE if has_place else WaitReason.ROOM
    if queue.advice is None:
        has_place = rooms.has_place(step, lambda _: True)
    else:
        has_place = rooms.has_place(
            step, lambda worker: bool(advice.ticket(worker.life, now))
        )
    return WaitReason.NONE if has_place else WaitReason.ROOM


def _unseen_services(cell: Cell) -> set[ServiceName]:
    """Return services with workers that may run what the store does not know of."""
    if not cell.has_unknown_starts:
        return set()
    return {
        worker.entry.service
        for worker in cell.workers_by_life.values()
        if worker.recorded and worker.reach is Reach.UNSEEN
    }


def _blocked(step: StepState, unseen: set[ServiceName], now: Instant) -> WaitReason:
    if now < step.not_before:
        return WaitReason.PAUSE
    is_unsure = step.job.is_restored and step.job.accepted.service in unseen
    if is_unsure and not step.may_copy:
        return WaitReason.TAKEOVER
    return WaitReason.NONE


def _note_wait(step: StepState, reason: WaitReason, now: Instant) -> None:
    if reason is step.waits_for:
        return
    step.waits_for = reason
    if reason in (WaitReason.NONE, WaitReason.PAUSE):
        return
    extra = {
        "job": step.key.job_id,
        "step": f"{step.key.occurrence}.{step.key.step}",
        "reason": reason.value,
        "waiting": len(step.pending),
        "allowed": len(step.advice.allowed),
        "age_s": round(now - step.job.came_at, 3),
    }
    _log.info("step waits", extra=extra)


def could_run(step: StepState, worker: WorkerState) -> bool:
    """Tell whether a worker can ever take a task of the step."""
    return (
        worker.entry.service == step.job.accepted.service
        and (not step.spec.label or step.spec.label in worker.entry.labels)
        and step.room_amount.fits_in(worker.entry.capacity)
    )


def candidates(
    cell: Cell, step: StepState, queue: Queue, now: Instant
) -> list[WorkerState]:
    """Return the workers that may take a task of the step now, room apart."""
    found = [
        worker
        for worker in cell.workers_by_life.values()
        if worker.can_start and now >= worker.rest_until and could_run(step, worker)
    ]
    if queue.advice is not None:
        found = [row for row in found if step.advice.ticket(row.life, now)]
    sound = [
        row
        for row in found
        if row.life.worker_id not in step.failed_on and not row.is_slow(now)
    ]
    return sound or found


def _place_tasks(
    cell: Cell, step: StepState, queue: Queue, rooms: Rooms, now: Instant
) -> WaitReason:
    workers = candidates(cell, step, queue, now)
    if not workers:
        return WaitReason.ADVICE
    for index in sorted(step.pending):
        if step.task(index) in cell.strays_by_task:
            continue
        if not has_quota(cell, step, 1, _ceiling_part(step, now)):
            return WaitReason.CEILING
        worker = _choose(step, index, workers, rooms)
        if worker is None:
            return WaitReason.ROOM
        step.run_number = _next_run(step)
        start(cell, step, index, worker, now)
    return WaitReason.NONE


def _place_gang(
    cell: Cell, step: StepState, queue: Queue, _rooms: Rooms, now: Instant
) -> WaitReason:
    if step.runs_by_index:
        # A member is missing; the others would only wait for it.
        for run in list(step.runs_by_index.values()):
            cell.stop_run(run, now)
        return WaitReason.PAUSE
    if any(step.task(index) in cell.strays_by_task for index in step.pending):
        return WaitReason.STRAY
    if not has_quota(cell, step, step.spec.count, _ceiling_part(step, now)):
        return WaitReason.CEILING
    workers = candidates(cell, step, queue, now)
    if not workers:
        return WaitReason.ADVICE
    chosen = _choose_gang(step, workers)
    if not chosen:
        return WaitReason.ROOM
    step.run_number = _next_run(step)
    for index, worker in enumerate(chosen):
        start(cell, step, index, worker, now)
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
    amount = step.room_amount
    free_by_life = {worker.life: worker.free for worker in workers}
    count_by_life = {worker.life: 0 for worker in workers}
    chosen: list[WorkerState] = []
    for _ in range(step.spec.count):
        fitting = [
            worker
            for worker in workers
            if amount.fits_in(free_by_life[worker.life])
            and not _is_full_of(step, count_by_life[worker.life])
        ]
        if not fitting:
            return []
        worker = min(fitting, key=lambda row: _left(free_by_life[row.life], amount))
        free_by_life[worker.life] = free_by_life[worker.life] - amount
        count_by_life[worker.life] += 1
        chosen.append(worker)
    return chosen


def _choose(
    step: StepState, index: int, workers: list[WorkerState], rooms: Rooms
) -> WorkerState | None:
    """Return the worker for a task: near its data, near its job, with least room left.

    Load pattern: a data centre is cut off. A job that has tasks in all of them is lost
    with any of them; one that is kept together is lost with its own only. Once a few
    workers of a data centre have not answered, the others there are chosen last.
    """
    amount = step.room_amount
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
            row.entry.data_centre in rooms.doubted,
            row.entry.data_centre != home,
            _left(row.free, amount),
        ),
    )


def _home(
    step: StepState, workers: list[WorkerState], rooms: Rooms
) -> DataCentreId | None:
    """Return the data centre in which a job is kept together, the roomiest at first."""
    job = step.job
    if step.spec.perpetual:
        return None
    if job.home is None or job.home in rooms.doubted:
        free_by_home: Counter[DataCentreId] = Counter()
        for worker in workers:
            free_by_home[worker.entry.data_centre] += worker.free.millicores
        sound = {
            home: free
            for home, free in free_by_home.items()
            if home not in rooms.doubted
        }
        job.home = max(sound, key=lambda home: (sound[home], home), default=None)
    return job.home


def _runs_on(step: StepState, worker: WorkerState) -> int:
    if not step.spec.max_per_worker:
        return 0
    return sum(1 for run in step.runs() if run.life == worker.life)


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
    return PATIENT_PART if now < job.start_by - PATIENT_S else 1.0


def has_quota(cell: Cell, step: StepState, count: int, part: float = 1.0) -> bool:
    """Tell whether the job's team may have ``count`` more of its tasks running.

    Only ``part`` of its ceiling is used.
    """
    if cell.fleet is None:
        return False
    team = cell.team(step.job)
    if team is None:
        return True
    used = cell.used_by_team.get(team.team_id, NOTHING)
    return all(
        not most or has + one * count <= most * part
        for has, one, most in quota_parts(used, step.spec.amount, team.ceiling)
    )


def quota_parts(
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
        return FIRST_RUN_AFTER_TAKEOVER
    return step.run_number + 1


def start(
    cell: Cell, step: StepState, index: int, worker: WorkerState, now: Instant
) -> None:
    """Place one task on a worker; the order may wait until the store holds the run."""
    lease_end = worker.lease_end_clock_ms(now)
    if lease_end is None:
        return
    worker.granted(lease_end)
    checkpoint = step.checkpoints_by_index.get(0 if step.spec.gang else index, "")
    run = Run(
        task=step.task(index),
        number=step.run_number,
        life=worker.life,
        amount=step.room_amount,
        charged=step.spec.amount,
        phase=RunPhase.STARTING,
        began_at=now,
        resumed=bool(checkpoint),
    )
    cell.add_run(worker, step, run)
    job = step.job
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING
        cell.changed_jobs.add(job.job_id)
        cell.observer.first_start(job.accepted.queue, now - job.came_at)
    order = StartOrder(
        life=worker.life,
        task=run.task,
        run=run.number,
        text=job.accepted.spec.text,
        lease_end_clock_ms=lease_end,
        checkpoint=checkpoint,
        ticket=step.advice.ticket(worker.life, now),
    )
    if cell.recording.waits:
        cell.unrecorded.append(StartRun(worker.entry.address, order))
    else:
        cell.emit(StartRun(worker.entry.address, order))
    extra = {
        "job": job.job_id,
        "task": task_text(run.task),
        "run": run.number,
        "worker": worker.life.worker_id,
        "waited_s": round(now - job.came_at, 3),
    }
    _log.info("run starts", extra=extra)
