"""Updates of tasks, steps and jobs when runs end."""

import logging
from collections.abc import Iterable
from statistics import median

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import EndedRun, RunEnd
from tamarackmount.scheduling.evidence.crash_evidence import (
    clear_task,
    explain_crashes,
    find_culprits,
    find_member_over_budget,
)
from tamarackmount.scheduling.evidence.gang_crashes import gang_crashes
from tamarackmount.scheduling.jobs.objectives import set_deadlines
from tamarackmount.scheduling.jobs.runs import JobState, Run, StepState
from tamarackmount.scheduling.jobs.wait_log import log_unfinished_waits
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.scheduling.workers.workers import WorkerState

_log = logging.getLogger(__name__)

MIN_DURATION_SAMPLES = 2
"""Number of finished tasks of a step that are needed to judge the others by their
durations."""

MIN_SPEED_SAMPLES = 4
"""Number of finished tasks of a step from which on their durations tell how fast their
workers are."""

MIN_DURATION_RATIO = 0.2
"""Lower bound, without unit, of a run's duration relative to the mean of its step when
it counts for a worker's speed: ends are reported about 0.1 s late, so the ratio of
short runs says little."""

FAILURES_BEFORE_BACKOFF = 2
"""Consecutive failures after which a worker gets no new run for a while. It is meant
for failures of unlike jobs in a row, since one may be the job's own fault. Failures of
a step that also failed on other workers are left out, but two failures of one step on
one worker count as two."""

WORKER_BACKOFF_S = 4.0
"""How long a failing or slow worker gets no new run, in seconds: as long as the
platform's shortest disturbance of a worker."""


def handle_run_end(
    state: SchedulerState, worker: WorkerState, ended: EndedRun, now: Instant
) -> None:
    """Handle a run end that the worker has not reported before."""
    worker.reported_end_number = max(worker.reported_end_number, ended.end_number)
    state.changed_workers.add(worker.incarnation)
    run = state.find_run(worker.incarnation, ended.task, ended.run_number)
    step = state.step_of(ended.task)
    if run is not None:
        _log_end(worker, ended, now, run, step)
        state.observer.record_run_end(ended.outcome.value)
    if step is not None and not step.job.phase.is_final:
        step.run_number = max(step.run_number, ended.run_number)
        if ended.checkpoint:
            record_checkpoint(step, ended.task.index, ended.checkpoint)
        _HANDLER_BY_OUTCOME[ended.outcome](state, worker, step, ended, now)
    if run is not None:
        state.drop_run(run, now)


def record_checkpoint(step: StepState, index: int, checkpoint: str) -> None:
    """Record the checkpoint from which a task resumes; members of a gang share one."""
    step.checkpoints_by_index[0 if step.spec.gang else index] = checkpoint


def _handle_done(
    state: SchedulerState,
    worker: WorkerState,
    step: StepState,
    ended: EndedRun,
    now: Instant,
) -> None:
    worker.failures_in_row = 0
    if step.spec.perpetual:
        return
    _add_duration_sample(state, worker, step, ended, now)
    was_done = step.is_done
    indexes = range(step.spec.count) if step.spec.gang else (ended.task.index,)
    for index in indexes:
        _mark_task_done(state, step, index, ended, now)
    state.changed_jobs.add(step.key.job_id)
    if step.is_done and not was_done:
        step.job.done_count_by_step[step.key.step] += 1
        _learn_from_durations(state, step, now)
        state.remove_ready(step.key)
        set_deadlines(step.job, state.queue_of(step.job), state.forecast)
        _handle_step_done(state, step, now)


def _add_duration_sample(
    state: SchedulerState,
    worker: WorkerState,
    step: StepState,
    ended: EndedRun,
    now: Instant,
) -> None:
    run = state.find_run(worker.incarnation, ended.task, ended.run_number)
    if run is None or run.resumed or run.is_adopted:
        return
    took_s = now - run.began_at
    if took_s <= 0:
        return
    usual_took_s = took_s / duration_factor(state, step, run)
    if len(step.durations_s) >= MIN_DURATION_SAMPLES:
        usual_s = sum(step.durations_s) / len(step.durations_s)
        ratio = max(MIN_DURATION_RATIO, usual_took_s / usual_s)
        worker.record_duration_ratio(ratio, now)
    step.durations_s.append(usual_took_s)
    if not step.spec.gang:
        step.duration_by_worker_s.append((worker.incarnation, took_s))
    queue = step.job.accepted.queue_name
    if state.forecast.has_enough_samples(queue):
        forecast_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
        state.duration_spread.add_forecast_ratio(queue, usual_took_s / forecast_s)
    state.forecast.add_sample(queue, step.spec.estimated_ms, usual_took_s)


def duration_factor(state: SchedulerState, step: StepState, run: Run) -> float:
    """Return how many times as long as usual a run takes, without unit.

    Members of a gang take as long as the slowest one.
    """
    members = {run.incarnation}
    if step.spec.gang:
        members.update(member.incarnation for member in step.runs_by_index.values())
    return max(
        map(state.worker_speeds.duration_factor, state.find_workers(members)),
        default=1.0,
    )


def expected_duration_s(state: SchedulerState, step: StepState, run: Run) -> float:
    """Return the forecast duration of a run on its worker, in seconds."""
    queue = step.job.accepted.queue_name
    usual_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
    return usual_s * duration_factor(state, step, run)


def _learn_from_durations(state: SchedulerState, step: StepState, now: Instant) -> None:
    """Learn the workers' speeds and the spread from a step that is done.

    Single runs are not judged as they end: short ones end first. A worker that is slow
    for the moment is left out.
    """
    rows, step.duration_by_worker_s = step.duration_by_worker_s, []
    if len(rows) < MIN_SPEED_SAMPLES:
        return
    usual_s = median(step.durations_s)
    for incarnation, took_s in rows:
        worker = state.workers_by_incarnation.get(incarnation)
        if worker is not None and not worker.is_slow(now):
            factor = state.worker_speeds.duration_factor(worker)
            queue = step.job.accepted.queue_name
            state.duration_spread.add_step_ratio(queue, took_s / factor / usual_s)
            state.worker_speeds.add_sample(worker, took_s / usual_s)


def _mark_task_done(
    state: SchedulerState, step: StepState, index: int, ended: EndedRun, now: Instant
) -> None:
    step.done.add(index)
    step.pending.discard(index)
    step.checkpoints_by_index.pop(index, None)
    give_up_culprits(state, clear_task(state, step, index), now)
    runs = [run for run in step.original_runs if run.task.index == index]
    if index in step.runs_by_index:
        runs.append(step.runs_by_index[index])
    for run in runs:
        if run.number != ended.run_number:
            state.stop_run(run, now)


def _handle_failure(
    state: SchedulerState,
    worker: WorkerState,
    step: StepState,
    ended: EndedRun,
    now: Instant,
) -> None:
    _count_worker_failure(worker, step, now)
    if step.spec.perpetual:
        return
    index = 0 if step.spec.gang else ended.task.index
    if index in step.done or not step.count_failed_run(index, ended.run_number):
        return
    state.changed_jobs.add(step.key.job_id)
    queue = state.queue_of(step.job)
    if step.failures_by_index[index] >= queue.max_attempts:
        end_job(state, step.job, JobPhase.FAILED, now, FailureCause.ATTEMPTS)


def _count_worker_failure(worker: WorkerState, step: StepState, now: Instant) -> None:
    is_first_worker = not step.failed_on - {worker.incarnation.worker_id}
    step.avoid_worker(worker.incarnation.worker_id, now)
    if not is_first_worker:
        return
    worker.failures_in_row += 1
    if worker.failures_in_row >= FAILURES_BEFORE_BACKOFF:
        worker.backoff_until = Instant(now + WORKER_BACKOFF_S)
        extra = {
            "worker": worker.incarnation.worker_id,
            "failures": worker.failures_in_row,
        }
        # The message is kept for operators' tools: the worker is backing off.
        _log.info("worker rests", extra=extra)


def _handle_other_end(
    state: SchedulerState,
    worker: WorkerState,
    step: StepState,
    ended: EndedRun,
    now: Instant,
) -> None:
    """Leave the task as it is: the caller drops the run, and the task waits again."""


_HANDLER_BY_OUTCOME = {
    RunEnd.DONE: _handle_done,
    RunEnd.FAILED: _handle_failure,
    RunEnd.STOPPED: _handle_other_end,
    RunEnd.LEASE_EXPIRED: _handle_other_end,
    RunEnd.GANG_BROKEN: _handle_other_end,
    RunEnd.GANG_INCOMPLETE: _handle_other_end,
}


def _handle_step_done(state: SchedulerState, step: StepState, now: Instant) -> None:
    job = step.job
    if job.is_done:
        end_job(state, job, JobPhase.COMPLETED, now)
        return
    for other in job.steps_of(step.key.occurrence):
        state.make_ready(other)
    job.close_occurrence_if_done(step.key.occurrence)


def give_up_culprits(
    state: SchedulerState, crashes: Iterable[WorkerIncarnation], now: Instant
) -> None:
    """Fail the jobs whose tasks are the culprits of some crashes."""
    for step, task in find_culprits(state, crashes):
        _give_up(state, step, task, now)


def give_up_gang_over_budget(
    state: SchedulerState, step: StepState, now: Instant
) -> bool:
    """Fail the job of a gang that may not start again; tell whether it was failed.

    Its runs may have ended otherwise than with crashes since it was weighed.
    """
    task = find_member_over_budget(step)
    if task is not None:
        _give_up(state, step, task, now)
    return task is not None


def _give_up(
    state: SchedulerState, step: StepState, task: TaskKey, now: Instant
) -> None:
    evidence = step.crashes_by_index[task.index]
    extra = {
        "job": task.job_id,
        "queue": step.job.accepted.queue_name,
        "task": format_task(task),
        "crashes": len(evidence),
        "evidence": [_format_crash(crash) for crash in evidence],
        "gang_crashes": _count_gang_crashes(step),
        "cause": FailureCause.WORKER_CRASHES.value,
    }
    _log.warning("task given up", extra=extra)
    explain_crashes(state, step, task)
    end_job(state, step.job, JobPhase.FAILED, now, FailureCause.WORKER_CRASHES)


def _count_gang_crashes(step: StepState) -> int:
    """Return how many runs of a gang ended with crashes; 0 for other steps."""
    return gang_crashes(step, with_explained=True).total if step.spec.gang else 0


def _format_crash(crash: CrashRecord) -> str:
    """Return a crash for logs: the worker, the run's longest time and its marks."""
    marks = (
        ("confirmed", crash.is_confirmed),
        ("early", crash.is_early),
        ("widespread", crash.is_widespread),
        ("explained", crash.is_explained),
    )
    names = [name for name, is_set in marks if is_set]
    return " ".join([crash.worker.worker_id, f"{crash.ran_ms}ms", *names])


def end_job(
    state: SchedulerState,
    job: JobState,
    phase: JobPhase,
    now: Instant,
    cause: FailureCause | None = None,
) -> None:
    """End a job, with a cause if it failed; stop the runs of its unfinished tasks."""
    if job.phase.is_final:
        return
    job.phase = phase
    job.failure_cause = cause
    if cause is not None:
        state.failure_cause_by_job[job.job_id] = cause
    state.changed_jobs.add(job.job_id)
    state.jobs_with_due_occurrences.pop(job.job_id, None)
    log_unfinished_waits(job, now)
    for step in job.steps_by_key.values():
        state.remove_ready(step.key)
        state.delayed_steps_by_key.pop(step.key, None)
    for run in job.runs():
        task = run.task
        if task.index not in job.steps_by_key[task.step_key].done:
            state.stop_run(run, now)
    extra = {
        "job": job.job_id,
        "queue": job.accepted.queue_name,
        "phase": phase.value,
        "cause": cause.value if cause is not None else "",
        "age_s": round(now - job.accepted_at, 3),
        "late": now > job.target_at,
    }
    _log.info("job ended", extra=extra)
    state.observer.record_job_end(
        job.accepted.queue_name, phase.value, now - job.accepted_at
    )


def end_if_all_steps_done(state: SchedulerState, job: JobState, now: Instant) -> None:
    """End a restored job if all its steps are done.

    The store may hold a job's last run end without its final phase.
    """
    if job.is_done:
        end_job(state, job, JobPhase.COMPLETED, now)


def _log_end(
    worker: WorkerState,
    ended: EndedRun,
    now: Instant,
    run: Run,
    step: StepState | None,
) -> None:
    extra = {
        "job": ended.task.job_id,
        "queue": step.job.accepted.queue_name if step is not None else "",
        "task": format_task(ended.task),
        "run": ended.run_number,
        "worker": worker.incarnation.worker_id,
        "how": ended.outcome.value,
        "ran_s": round(now - run.began_at, 3),
    }
    _log.info("run ended", extra=extra)


def format_task(task: TaskKey) -> str:
    """Return a task's name within its job, for logs."""
    return f"{task.occurrence}.{task.step}.{task.index}"
