"""Decide whether a job is accepted, before it is stored.

Load patterns: a job that is too large for every worker, or for its workspace's ceiling,
would wait until its caller has given up. Under overload, the work ahead of a job may
take longer than the job may wait, either on the whole pool or within its workspace's
ceiling; such a job would only take capacity from others. Both are refused at once, with
the time after which to retry: in the second case, when the work ahead fits into the
time that the job may wait. Jitter keeps callers from returning together.

Work ahead that fits into free capacity delays nobody: while steps wait for tickets of
the advice service, for example, their pool may be idle. Only the rest of it counts.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.ceilings import ceiling_parts
from tamarackmount.scheduling.ranking import Tier, tier
from tamarackmount.scheduling.runs import JobState, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.worker_choice import could_run
from tamarackmount.scheduling.workers import ContactState, WorkerState

UNFIT_JOB_RETRY_S = 30.0
"""Time after which to retry a job that is too large for every worker or for its
workspace's ceiling, or for those outside evacuated data centres, in seconds: only an
operator changes workers, ceilings and evacuations."""

BACKLOG_REFUSAL_FACTOR = 1.5
"""Multiple, without unit, of the time that a job may wait; a job is refused if the work
ahead takes longer. The forecast is rough, and a needless refusal loses a caller."""

JITTER = 0.3
"""Fraction by which retry times are lengthened or shortened at most, without unit."""


class RefusalReason(Enum):
    """Why a job is not accepted."""

    NO_WORKER = "no worker is large enough"
    CEILING = "its team's ceiling is too low for it"
    EVACUATED = "its workers' data centre is evacuated"
    BACKLOG = "the work ahead of it takes longer than it may wait"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job is not accepted, and when to retry, in seconds."""

    reason: RefusalReason
    retry_after_s: float


def admit(state: SchedulerState, job: JobState, now: Instant) -> Refusal | None:
    """Return why a job is not accepted, or None if it is.

    Every job is accepted while the service has no registered worker, or one that has
    not answered this holder yet.
    """
    steps = list(job.steps_by_key.values())
    workers = [
        worker
        for worker in state.workers_by_incarnation.values()
        if worker.is_registered and worker.entry.service == job.accepted.service
    ]
    if not workers or any(
        worker.contact is ContactState.UNCONFIRMED for worker in workers
    ):
        return None
    if any(not any(could_run(step, worker) for worker in workers) for step in steps):
        return Refusal(RefusalReason.NO_WORKER, UNFIT_JOB_RETRY_S)
    workers = [worker for worker in workers if not worker.is_evacuated]
    if any(not any(could_run(step, worker) for worker in workers) for step in steps):
        return Refusal(RefusalReason.EVACUATED, UNFIT_JOB_RETRY_S)
    if any(_exceeds_ceiling(state, step) for step in steps):
        return Refusal(RefusalReason.CEILING, UNFIT_JOB_RETRY_S)
    if any(step.spec.perpetual for step in steps):
        return None
    wait_s = max(
        _pool_wait_s(state, job, workers, now), _workspace_wait_s(state, job, now)
    )
    max_wait_s = job.latest_late_start - now
    if wait_s <= BACKLOG_REFUSAL_FACTOR * max(0.0, max_wait_s):
        return None
    retry_s = max(1.0, wait_s - max_wait_s)
    return Refusal(RefusalReason.BACKLOG, retry_s)


def add_jitter(retry_after_s: float, rng: random.Random) -> int:
    """Return a retry time in whole seconds, with jitter, for one caller."""
    return max(1, round(retry_after_s * rng.uniform(1 - JITTER, 1 + JITTER)))


def _exceeds_ceiling(state: SchedulerState, step: StepState) -> bool:
    workspace = state.workspace_of_job(step.job)
    if workspace is None:
        return False
    count = step.spec.count if step.spec.gang else 1
    parts = ceiling_parts(NOTHING, step.spec.amount, workspace.ceiling)
    return any(limit and per_task * count > limit for _, per_task, limit in parts)


def _pool_wait_s(
    state: SchedulerState, job: JobState, workers: Iterable[WorkerState], now: Instant
) -> float:
    """Return how long the work ahead of a job keeps its pool busy, in seconds."""
    capacity = free = NOTHING
    for worker in workers:
        capacity = capacity + worker.entry.capacity
        if worker.can_start:
            free = free + worker.free
    ahead = [
        step
        for step in _steps_ahead(state, job, now)
        if step.job.accepted.service == job.accepted.service
    ]
    return _processing_s(state, ahead, capacity, free)


def _workspace_wait_s(state: SchedulerState, job: JobState, now: Instant) -> float:
    """Return how long the work ahead of a job keeps its workspace at its ceiling."""
    workspace = state.workspace_of_job(job)
    if workspace is None:
        return 0.0
    workspace_id = workspace.workspace_id
    ahead = [
        step
        for step in _steps_ahead(state, job, now)
        if step.job.accepted.workspace_id == workspace_id
    ]
    used = state.used_by_workspace.get(workspace_id, NOTHING)
    return _processing_s(state, ahead, workspace.ceiling, workspace.ceiling - used)


def _steps_ahead(state: SchedulerState, job: JobState, now: Instant) -> list[StepState]:
    """Return the waiting steps that are placed before or among those of the job.

    The job counts as one that can still be on time. Steps that are late or over their
    workspace's share are left out, because they are not worth waiting for.
    """
    is_urgent = job.priority == 0
    return [
        step
        for step in state.ready_steps_by_key.values()
        if tier(step, now) <= (Tier.URGENT if is_urgent else Tier.IN_TIME)
    ]


def _processing_s(
    state: SchedulerState,
    steps: Iterable[StepState],
    capacity: Resources,
    free: Resources,
) -> float:
    """Return how long the pending tasks of steps fill a capacity, in seconds.

    Tasks that fit into what is ``free`` of the capacity are left out.
    """
    amount_ahead = NOTHING
    work_by_resource = [0.0, 0.0, 0.0]
    for step in steps:
        queue = step.job.accepted.queue_name
        task_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
        amount = step.spec.amount * len(step.pending)
        amount_ahead = amount_ahead + amount
        for index, part in enumerate(_parts(amount)):
            work_by_resource[index] += part * task_s
    rows = zip(
        work_by_resource,
        _parts(amount_ahead),
        _parts(capacity),
        _parts(free),
        strict=True,
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
