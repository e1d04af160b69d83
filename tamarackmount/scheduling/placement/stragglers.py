"""Handle stragglers: runs that take far longer than comparable ones, or are stuck.

Load pattern: a few workers become several times slower, or make no progress with their
runs, while they answer every poll. A task that allows it gets a speculative copy
elsewhere as soon as it falls behind its step. Other runs are stopped and started
elsewhere once stragglers of two jobs, or the durations of its recent runs, show that
the worker is at fault; it gets no new runs for a while. A run whose reported progress
stands still is stuck: it is copied or stopped without waiting for others.

There are two thresholds: a task is slow enough for a copy above a multiple of its
step's median duration, and its run is a straggler above a multiple of the longest one.
Both follow from how far durations of its queue differ by themselves.
"""

import logging
import math

from tamarackmount.ids import Instant, QueueName
from tamarackmount.scheduling.domain.worker_reports import WHOLE_WORK_PERCENT
from tamarackmount.scheduling.execution.run_ends import (
    MIN_DURATION_SAMPLES,
    WORKER_BACKOFF_S,
    duration_factor,
    format_task,
)
from tamarackmount.scheduling.jobs.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.placement.worker_choice import could_run
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState

_log = logging.getLogger(__name__)

STRAGGLER_FACTOR = 2.5
"""Multiple, without unit, of the longest duration of its step's other tasks after which
a run is a straggler, while the spread of its queue's durations is not known."""

STRAGGLER_SPREADS = 2.0
"""Number of standard deviations of a duration's logarithm by which a straggler exceeds
the longest other duration; one run in forty exceeds even the median by that."""

MIN_STRAGGLER_FACTOR = 1.5
"""Least multiple, without unit, for stragglers and copies where durations are alike: a
worker's learned factor is off by up to a fifth while little is known, and ends are
reported up to a sixth of the shortest task late."""

MAX_STRAGGLER_FACTOR = 4.0
"""Largest multiple, without unit, for stragglers and copies: work that waits longer for
a worker at fault is late in any queue."""

FORECAST_STRAGGLER_FACTOR = 8.0
"""Multiple, without unit, of its forecast after which a run is a straggler, while the
spread around the queue's forecast is not known. It is used while the step has fewer
than ``MIN_DURATION_SAMPLES`` durations to compare with, if the queue's forecast has
``MIN_SAMPLES``. Jobs of a queue differ by 2.6 times their mean, estimates and workers
by half of that again."""

FORECAST_STRAGGLER_SPREADS = 3.0
"""Number of standard deviations of a duration's logarithm by which a straggler exceeds
its forecast; one run in seven hundred does by itself."""

MIN_FORECAST_STRAGGLER_FACTOR = 2.5
"""Least multiple, without unit, of its forecast for a straggler: the jobs of a queue
may change their kind."""

MAX_FORECAST_STRAGGLER_FACTOR = 16.0
"""Largest multiple, without unit, of its forecast for a straggler."""

SPECULATIVE_COPY_FACTOR = 1.5
"""Multiple, without unit, of the median duration of its step's other tasks after which
a task gets a speculative copy, if it allows one, while the spread of its queue's
durations is not known."""

COPY_SPREADS = 2.0
"""Number of standard deviations of a duration's logarithm by which a task that is
copied exceeds the median: a needless copy costs a second of capacity, and one run in
forty gets one."""

MIN_COPY_AGE_S = 0.4
"""Least run time before a speculative copy, in seconds: ends are reported up to 0.1 s
late."""

STRAGGLER_CHECK_INTERVAL_S = 0.2
"""Time between two checks, in seconds."""

MAX_STOP_S = 0.9
"""Longest time that a stop takes, in seconds."""

MAX_REPORT_DELAY_S = 0.1
"""Longest time by which an end is reported late, in seconds."""

MIN_STRAGGLER_AGE_S = MAX_STOP_S + MAX_REPORT_DELAY_S + STRAGGLER_CHECK_INTERVAL_S
"""Least run time of a straggler, in seconds: its task starts anew only after a stop, so
a younger run would probably have ended sooner by itself."""

MIN_STALL_S = 0.45
"""Least time without progress after which a run is stuck, in seconds: workers with
urgent tasks report every 0.4 s, and a run starts to progress within 0.1 s."""

STALLED_PERCENTS = 5.0
"""Progress that a run should have made in that time, in percent of its work: progress
is reported in whole percents, and a task may be longer than forecast."""

MIN_STRAGGLING_JOBS = 2
"""Number of jobs with stragglers on a worker at once from which on the worker is at
fault; with one, it may be the job itself."""


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
        rows = _running(state, worker)
        to_stop = [row for row in rows if _is_stuck(*row)]
        stragglers = [row for row in rows if _is_straggler(state, *row, now)]
        jobs = {run.task.job_id for _, run in stragglers}
        if len(jobs) >= MIN_STRAGGLING_JOBS or worker.is_slow(now):
            to_stop += stragglers
        if not to_stop:
            continue
        worker.backoff_until = max(
            worker.backoff_until, Instant(now + WORKER_BACKOFF_S)
        )
        for step, run in to_stop:
            if run.task.index not in step.handled_stragglers:
                _stop_straggler(state, worker, step, run, now)


def _copy_slow_tasks(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Request speculative copies of tasks that are slower than others of their step."""
    for step, run in _running(state, worker):
        ran_s = now - run.began_at
        if (
            not step.allows_speculative_copy
            or ran_s <= MIN_COPY_AGE_S
            or run.task.index in step.handled_stragglers
        ):
            continue
        usual_s = _usual_duration_s(state, step, run)
        is_slow = usual_s is not None and ran_s > _copy_factor(state, step) * usual_s
        if not is_slow and not _is_stuck(step, run):
            continue
        if state.request_speculative_copy(run):
            step.handled_stragglers.add(run.task.index)
            step.avoid_worker(worker.incarnation.worker_id, now)
            extra = {
                "job": step.key.job_id,
                "task": format_task(run.task),
                "worker": worker.incarnation.worker_id,
                "ran_s": round(ran_s, 3),
                "usual_s": round(usual_s or run.expected_s, 3),
            }
            _log.info("straggler copied", extra=extra)


def _usual_duration_s(state: SchedulerState, step: StepState, run: Run) -> float | None:
    """Return how long a run should take by others of its step, in seconds.

    None while too few of them have ended.
    """
    if len(step.durations_s) < MIN_DURATION_SAMPLES:
        return None
    return _median_s(step) * duration_factor(state, step, run)


def _is_stuck(step: StepState, run: Run) -> bool:
    """Tell whether a run has made no progress for longer than it should have.

    Only times at which the worker has reported count. Perpetual tasks and those that
    fill free capacity may progress as little as they like. Members of a gang make no
    progress before all are there.
    """
    spec = step.spec
    progress = run.progress_percent
    if spec.perpetual or spec.fills or progress >= WHOLE_WORK_PERCENT:
        return False
    if run.confirmed_at is None or (spec.gang and not progress):
        return False
    # A run begins anew when its order leaves, which may have waited for the store.
    progressed_at = max(run.progressed_at, run.began_at)
    worked_s = progressed_at - run.began_at
    percent_s = max(
        run.expected_s / WHOLE_WORK_PERCENT, worked_s / progress if progress else 0.0
    )
    stalled_s = run.confirmed_at - progressed_at
    return stalled_s > max(MIN_STALL_S, STALLED_PERCENTS * percent_s)


def _median_s(step: StepState) -> float:
    """Return the median duration of a step's tasks, in seconds.

    Tasks that still run count as longer than those that have ended, as short ones end
    first. While most of them run, it is at least the longest duration so far.
    """
    durations_s = sorted(step.durations_s)
    count = len(durations_s) + len(step.runs())
    return durations_s[min(len(durations_s) - 1, (count - 1) // 2)]


def _running(state: SchedulerState, worker: WorkerState) -> list[tuple[StepState, Run]]:
    """Return a worker's running runs that a task needs, with their steps."""
    return [
        (step, run)
        for run in worker.runs_by_task.values()
        if run.phase is RunPhase.RUNNING and not run.is_orphaned
        if (step := state.step_of(run.task)) is not None
    ]


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
        return ran_s > _straggler_factor(state, step) * factor * max(step.durations_s)
    queue = step.job.accepted.queue_name
    if not state.forecast.has_enough_samples(queue):
        return False
    expected_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
    return ran_s > _forecast_straggler_factor(state, queue) * factor * expected_s


def _copy_factor(state: SchedulerState, step: StepState) -> float:
    spread = state.duration_spread.within_step(step.job.accepted.queue_name)
    if spread is None:
        return SPECULATIVE_COPY_FACTOR
    return _limited_factor(COPY_SPREADS * spread)


def _straggler_factor(state: SchedulerState, step: StepState) -> float:
    spread = state.duration_spread.within_step(step.job.accepted.queue_name)
    if spread is None:
        return STRAGGLER_FACTOR
    return _limited_factor(STRAGGLER_SPREADS * spread)


def _limited_factor(log_factor: float) -> float:
    return min(MAX_STRAGGLER_FACTOR, max(MIN_STRAGGLER_FACTOR, math.exp(log_factor)))


def _forecast_straggler_factor(state: SchedulerState, queue: QueueName) -> float:
    spread = state.duration_spread.of_forecast(queue)
    if spread is None:
        return FORECAST_STRAGGLER_FACTOR
    factor = math.exp(FORECAST_STRAGGLER_SPREADS * spread)
    return min(
        MAX_FORECAST_STRAGGLER_FACTOR, max(MIN_FORECAST_STRAGGLER_FACTOR, factor)
    )


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
    step.avoid_worker(worker.incarnation.worker_id, now)
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
