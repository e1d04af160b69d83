"""Handle stragglers: runs that take far longer than comparable ones.

Load pattern: a few workers become several times slower, or make no progress with their
runs, while they answer every poll. A task that allows it gets a speculative copy
elsewhere as soon as it falls behind its step. Other runs are stopped and started
elsewhere once stragglers of two jobs, or the durations of its recent runs, show that
the worker is at fault; it gets no new runs for a while.

There are two thresholds: a task is slow enough for a copy above
``SPECULATIVE_COPY_FACTOR`` times the median duration of its step's other tasks, and its
run is a straggler above ``STRAGGLER_FACTOR`` times their longest duration.
"""

import logging
from statistics import median

from tamarackmount.ids import Instant
from tamarackmount.scheduling.run_ends import (
    MIN_DURATION_SAMPLES,
    WORKER_BACKOFF_S,
    duration_factor,
    format_task,
)
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.worker_choice import could_run
from tamarackmount.scheduling.workers import WorkerState

_log = logging.getLogger(__name__)

STRAGGLER_FACTOR = 2.5
"""Multiple, without unit, of the longest duration of its step's other tasks after which
a run is a straggler: durations within a step differ by a third from the longest, and
by a sixth from the median."""

FORECAST_STRAGGLER_FACTOR = 8.0
"""Multiple, without unit, of its forecast after which a run is a straggler. It is used
while the step has fewer than ``MIN_DURATION_SAMPLES`` durations to compare with, if the
queue's forecast has ``MIN_SAMPLES``. Jobs of a queue differ by 2.6 times their mean,
estimates and workers by half of that again."""

SPECULATIVE_COPY_FACTOR = 1.5
"""Multiple, without unit, of the median duration of its step's other tasks after which
a task gets a speculative copy, if it allows one: durations within a step differ by a
sixth from the median, and a needless copy costs a second of capacity."""

MIN_COPY_AGE_S = 0.4
"""Least run time before a speculative copy, in seconds: ends are reported up to 0.1 s
late."""

MIN_STRAGGLER_AGE_S = 1.2
"""Least run time of a straggler, in seconds; the shortest kinds of task take 0.6 s."""

MIN_STRAGGLING_JOBS = 2
"""Number of jobs with stragglers on a worker at once from which on the worker is at
fault; with one, it may be the job itself."""

STRAGGLER_CHECK_INTERVAL_S = 0.2
"""Time between two checks, in seconds."""


def handle_stragglers(state: SchedulerState, now: Instant) -> None:
    """Copy slow tasks that allow it, and stop stragglers on workers at fault.

    Runs are stopped that another worker would surely end sooner.
    """
    if now < state.check_stragglers_at:
        return
    state.check_stragglers_at = Instant(now + STRAGGLER_CHECK_INTERVAL_S)
    for worker in list(state.workers_by_incarnation.values()):
        if not worker.has_fresh_state:
            continue
        _copy_slow_tasks(state, worker, now)
        stragglers = _find_stragglers(state, worker, now)
        jobs = {run.task.job_id for _, run in stragglers}
        if len(jobs) < MIN_STRAGGLING_JOBS and not worker.is_slow(now):
            continue
        worker.backoff_until = max(
            worker.backoff_until, Instant(now + WORKER_BACKOFF_S)
        )
        for step, run in stragglers:
            _stop_straggler(state, worker, step, run, now)


def _copy_slow_tasks(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Request speculative copies of tasks that are slower than others of their step."""
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if (
            len(step.durations_s) < MIN_DURATION_SAMPLES
            or run.task.index in step.handled_stragglers
        ):
            continue
        median_s = median(step.durations_s) * duration_factor(state, step, run)
        ran_s = now - run.began_at
        if ran_s <= max(MIN_COPY_AGE_S, SPECULATIVE_COPY_FACTOR * median_s):
            continue
        if state.request_speculative_copy(run):
            step.handled_stragglers.add(run.task.index)
            step.failed_on.add(worker.incarnation.worker_id)
            extra = {
                "job": step.key.job_id,
                "task": format_task(run.task),
                "worker": worker.incarnation.worker_id,
                "ran_s": round(ran_s, 3),
                "usual_s": round(median_s, 3),
            }
            _log.info("straggler copied", extra=extra)


def _find_stragglers(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> list[tuple[StepState, Run]]:
    stragglers = []
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.is_orphaned or run.phase is not RunPhase.RUNNING:
            continue
        if _is_straggler(state, step, run, now):
            stragglers.append((step, run))
    return stragglers


def _is_straggler(
    state: SchedulerState, step: StepState, run: Run, now: Instant
) -> bool:
    if (
        step.spec.perpetual
        or step.spec.fills
        or run.task.index in step.handled_stragglers
    ):
        return False
    ran_s = now - run.began_at
    if ran_s <= MIN_STRAGGLER_AGE_S:
        return False
    factor = duration_factor(state, step, run)
    if len(step.durations_s) >= MIN_DURATION_SAMPLES:
        return ran_s > STRAGGLER_FACTOR * factor * max(step.durations_s)
    queue = step.job.accepted.queue_name
    if not state.forecast.has_enough_samples(queue):
        return False
    expected_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
    return ran_s > FORECAST_STRAGGLER_FACTOR * factor * expected_s


def _stop_straggler(
    state: SchedulerState, worker: WorkerState, step: StepState, run: Run, now: Instant
) -> None:
    """Stop a straggler, if another worker could run its task.

    Each task is stopped once only, as it may take long on any worker. The members of a
    gang are stopped together.
    """
    can_run_elsewhere = any(
        other is not worker and other.can_start and could_run(step, other)
        for other in state.workers_by_incarnation.values()
    )
    if not can_run_elsewhere:
        return
    step.handled_stragglers.add(run.task.index)
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
