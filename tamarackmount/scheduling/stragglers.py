"""Runs that take far longer than their kind does.

Load pattern: a few workers turn several times slower, or let what they run stand still,
while they answer every look. A task that allows it gets a copy elsewhere as soon as it
falls behind its step. Other runs are stopped and started elsewhere once two jobs show
that it is the worker, which gets nothing new for a while.
"""

import logging
from statistics import median

from tamarackmount.ids import Instant
from tamarackmount.scheduling.placement import could_run
from tamarackmount.scheduling.run_ends import (
    MIN_DURATION_SAMPLES,
    WORKER_BACKOFF_S,
    format_task,
)
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import WorkerState

_log = logging.getLogger(__name__)

STRAGGLER_FACTOR = 2.5
"""A run is a straggler after this many times what others of its step took: tasks of a
step differ by a third."""

FORECAST_STRAGGLER_FACTOR = 8.0
"""Without others to compare with, after this many times its forecast: jobs of a queue
differ by 2.6 times their mean, estimates and workers by half of that again."""

SPECULATIVE_COPY_FACTOR = 1.5
"""A task that may have copies gets one after this many times what others of its step
took: tasks of a step differ by a sixth, and a copy in vain costs a second's room."""

LEAST_COPY_S = 0.4
"""No task gets a copy before this, in seconds: ends are told up to 0.1 s late."""

LEAST_S = 1.2
"""No run is a straggler before this, in seconds; the shortest kinds take 0.6 s."""

BLAMED_JOBS = 2
"""Stragglers of this many jobs at once are a worker's fault; those of one may be the
job's own."""

STRAGGLER_CHECK_INTERVAL_S = 0.2
"""Pause between two checks, in seconds."""


def handle_stragglers(state: SchedulerState, now: Instant) -> None:
    """Stop runs that another worker would surely end sooner."""
    if now < state.check_stragglers_at:
        return
    state.check_stragglers_at = Instant(now + STRAGGLER_CHECK_INTERVAL_S)
    for worker in list(state.workers_by_incarnation.values()):
        if not worker.has_fresh_state:
            continue
        _copy_slow(state, worker, now)
        found = _stragglers(state, worker, now)
        jobs = {run.task.job_id for _, run in found}
        if len(jobs) < BLAMED_JOBS and not worker.is_slow(now):
            continue
        worker.backoff_until = max(
            worker.backoff_until, Instant(now + WORKER_BACKOFF_S)
        )
        for step, run in found:
            _stop(state, worker, step, run, now)


def _copy_slow(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Start copies of tasks that others of their step have left behind."""
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if len(step.took_s) < MIN_DURATION_SAMPLES or run.task.index in step.straggled:
            continue
        usual_s = median(step.took_s)
        ran_s = now - run.began_at
        if ran_s <= max(LEAST_COPY_S, SPECULATIVE_COPY_FACTOR * usual_s):
            continue
        if state.request_speculative_copy(run):
            step.straggled.add(run.task.index)
            step.failed_on.add(worker.incarnation.worker_id)
            extra = {
                "job": step.key.job_id,
                "task": format_task(run.task),
                "worker": worker.incarnation.worker_id,
                "ran_s": round(ran_s, 3),
                "usual_s": round(usual_s, 3),
            }
            _log.info("straggler copied", extra=extra)


def _stragglers(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> list[tuple[StepState, Run]]:
    found = []
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.is_orphaned or run.phase is not RunPhase.RUNNING:
            continue
        if _is_straggler(state, step, run, now):
            found.append((step, run))
    return found


def _is_straggler(
    state: SchedulerState, step: StepState, run: Run, now: Instant
) -> bool:
    if step.spec.perpetual or step.spec.fills or run.task.index in step.straggled:
        return False
    ran_s = now - run.began_at
    if len(step.took_s) >= MIN_DURATION_SAMPLES:
        return ran_s > max(LEAST_S, STRAGGLER_FACTOR * max(step.took_s))
    queue = step.job.accepted.queue
    if not state.forecast.has_enough_samples(queue):
        return False
    expected_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
    return ran_s > max(LEAST_S, FORECAST_STRAGGLER_FACTOR * expected_s)


def _stop(
    state: SchedulerState, worker: WorkerState, step: StepState, run: Run, now: Instant
) -> None:
    """Stop a straggler once; a task that is long by itself is left alone then."""
    elsewhere = any(
        other is not worker and other.can_start and could_run(step, other)
        for other in state.workers_by_incarnation.values()
    )
    if not elsewhere:
        return
    step.straggled.add(run.task.index)
    step.failed_on.add(worker.incarnation.worker_id)
    extra = {
        "job": step.key.job_id,
        "task": format_task(run.task),
        "worker": worker.incarnation.worker_id,
        "ran_s": round(now - run.began_at, 3),
    }
    _log.info("straggler stopped", extra=extra)
    runs = list(step.runs_by_index.values()) if step.spec.gang else [run]
    for member in runs:
        state.stop_run(member, now)
