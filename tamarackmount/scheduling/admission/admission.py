"""Decide whether a job is accepted, before it is stored.

Load patterns: a job that is too large for every worker, or for its workspace's ceiling,
would wait until its caller has given up. Under overload, the work ahead of a job may
take longer than the job may wait, on the whole pool, within its workspace's share of it
or within its ceiling; such a job would only take capacity from others. Both are refused
at once, with the time after which to retry: in the second case, when the work ahead
fits into the time that the job may wait, in order of refusal (see :mod:`returns`).

Only workers that may start tasks count, and work ahead that fits into free capacity
delays nobody: while steps wait for tickets of the advice service, for example, their
pool may be idle. A job whose first tasks fit into what is free beyond that is never
refused. The forecast, see :mod:`drain_forecast`, is corrected by observed waits.
"""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING
from tamarackmount.scheduling.admission.drain_forecast import DrainForecast
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.jobs.runs import JobState, StepState
from tamarackmount.scheduling.limits.ceilings import ceiling_parts
from tamarackmount.scheduling.placement.worker_choice import (
    could_run_at_nominal_capacity,
)
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.shares.returns import ReturnPool
from tamarackmount.scheduling.workers.workers import ContactState, WorkerState

UNFIT_JOB_RETRY_S = 30.0
"""Time after which to retry a job that is too large for every worker or for its
workspace's ceiling, or for those outside evacuated data centres, in seconds: only an
operator changes workers, ceilings and evacuations."""

UNSURE_FACTOR = 1.5
"""Multiple, without unit, of the time that a job may wait that its forecast may have
while it rests on callers' estimates: a needless refusal loses a caller."""

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


def admit(
    state: SchedulerState, forecast: DrainForecast, job: JobState, now: Instant
) -> Refusal | None:
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
    reason = _unfit_reason(state, steps, workers)
    if reason is not None:
        return Refusal(reason, UNFIT_JOB_RETRY_S)
    if any(step.spec.perpetual for step in steps):
        return None
    max_wait_s = _max_wait_s(state, forecast, job, now)
    wait_s = _forecast_wait_s(state, forecast, job, now)
    if wait_s > max_wait_s:
        forecast.renew(now)
        wait_s = _forecast_wait_s(state, forecast, job, now)
    pool = _return_pool(job)
    if wait_s <= max_wait_s:
        forecast.add_accepted(job, now)
        state.returns.fulfil(pool, job.job_id)
        return None
    retry_s = state.returns.refuse(
        pool, job.job_id, wait_s - max_wait_s, forecast.work_s(job, now), now
    )
    return Refusal(RefusalReason.BACKLOG, retry_s)


def _max_wait_s(
    state: SchedulerState, forecast: DrainForecast, job: JobState, now: Instant
) -> float:
    """Return for how long a job may wait and still be accepted, in seconds.

    It is halfway between the waits after which its end is late and of no use: forecasts
    are rough, and many jobs that they expect to be a little late are on time. An urgent
    job may have less slack than the stops take that make room for it; a caller that is
    refused for that would be late in any case.
    """
    halfway = (job.latest_start + job.latest_late_start) / 2
    max_wait_s = max(halfway - now, forecast.stop_s)
    if not state.forecast.has_enough_samples(job.accepted.queue_name):
        max_wait_s *= UNSURE_FACTOR
    return max_wait_s


def _unfit_reason(
    state: SchedulerState, steps: Sequence[StepState], workers: Iterable[WorkerState]
) -> RefusalReason | None:
    """Return why some step can't run until an operator changes something, if so."""
    if not _can_run(steps, workers):
        return RefusalReason.NO_WORKER
    if not _can_run(steps, [worker for worker in workers if not worker.is_evacuated]):
        return RefusalReason.EVACUATED
    if any(_exceeds_ceiling(state, step) for step in steps):
        return RefusalReason.CEILING
    return None


def _can_run(steps: Iterable[StepState], workers: Iterable[WorkerState]) -> bool:
    return all(
        any(could_run_at_nominal_capacity(step, worker) for worker in workers)
        for step in steps
    )


def _forecast_wait_s(
    state: SchedulerState, forecast: DrainForecast, job: JobState, now: Instant
) -> float:
    """Return how long a job waits, in seconds, and note it in the job uncorrected.

    A job that has to wait comes behind those whose callers were told to return. Urgent
    jobs don't: their callers wait for a second, and most of them never return.
    """
    job.forecast_wait_s = forecast.wait_s(job, now)
    if job.forecast_wait_s <= 0:
        return job.forecast_wait_s
    wait_s = forecast.corrected_s(job, job.forecast_wait_s)
    if job.priority == URGENT_PRIORITY:
        return wait_s
    pool = _return_pool(job)
    return wait_s + state.returns.work_ahead_s(pool, job.job_id, now)


def _return_pool(job: JobState) -> ReturnPool:
    accepted = job.accepted
    is_urgent = job.priority == URGENT_PRIORITY
    return ReturnPool(accepted.service, accepted.workspace_id, is_urgent)


def whole_retry_s(refusal: Refusal, rng: random.Random) -> int:
    """Return the retry time of a refused job in whole seconds.

    Times that are in order of refusal are rounded up; others get jitter.
    """
    if refusal.reason is RefusalReason.BACKLOG:
        return max(1, math.ceil(refusal.retry_after_s))
    return add_jitter(refusal.retry_after_s, rng)


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
