"""Decides how a task and its job continue after an attempt on a worker has ended."""

from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.job_spec import JobKind
from tamarackmount.kernel.jobs import (
    Attempt,
    AttemptEnd,
    Job,
    StopReason,
    TaskState,
)
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import TaskAttempts
from tamarackmount.kernel.worker_health import PROVEN_AFTER_S


class NextStep(Enum):
    """What happens to a task after an attempt."""

    SUCCEED = "succeed"
    FAIL = "fail"
    CANCEL = "cancel"
    END_UNKNOWN = "end_unknown"
    WAIT = "wait"
    BACK_OFF = "pause"
    RETRY = "retry"
    RETRY_ELSEWHERE = "retry_elsewhere"


IDEMPOTENT_STEPS = {
    AttemptEnd.SUCCEEDED: NextStep.SUCCEED,
    AttemptEnd.FAILED: NextStep.RETRY,
    AttemptEnd.START_FAILED: NextStep.RETRY,
    AttemptEnd.NO_CAPACITY: NextStep.BACK_OFF,
    AttemptEnd.STOPPED: NextStep.WAIT,
    AttemptEnd.LOST: NextStep.WAIT,
    AttemptEnd.WORKER_RESTARTED: NextStep.RETRY_ELSEWHERE,
    AttemptEnd.NOT_STARTED: NextStep.WAIT,
}
"""Next step after an attempt of an idempotent task."""

NON_IDEMPOTENT_STEPS = {
    AttemptEnd.SUCCEEDED: NextStep.SUCCEED,
    AttemptEnd.FAILED: NextStep.FAIL,
    AttemptEnd.START_FAILED: NextStep.FAIL,
    AttemptEnd.NO_CAPACITY: NextStep.FAIL,
    AttemptEnd.STOPPED: NextStep.FAIL,
    AttemptEnd.LOST: NextStep.END_UNKNOWN,
    AttemptEnd.WORKER_RESTARTED: NextStep.END_UNKNOWN,
    AttemptEnd.NOT_STARTED: NextStep.END_UNKNOWN,
}
"""Next step after the only attempt of a task that must not be started again."""

CLOSING_IDEMPOTENT_STEPS = {
    AttemptEnd.SUCCEEDED: NextStep.SUCCEED,
    AttemptEnd.FAILED: NextStep.FAIL,
    AttemptEnd.START_FAILED: NextStep.CANCEL,
    AttemptEnd.NO_CAPACITY: NextStep.CANCEL,
    AttemptEnd.STOPPED: NextStep.CANCEL,
    AttemptEnd.LOST: NextStep.CANCEL,
    AttemptEnd.WORKER_RESTARTED: NextStep.CANCEL,
    AttemptEnd.NOT_STARTED: NextStep.CANCEL,
}
"""Next step after an attempt of an idempotent task of a cancelled or failed job."""

CLOSING_NON_IDEMPOTENT_STEPS = CLOSING_IDEMPOTENT_STEPS | {
    AttemptEnd.LOST: NextStep.END_UNKNOWN,
    AttemptEnd.WORKER_RESTARTED: NextStep.END_UNKNOWN,
    AttemptEnd.NOT_STARTED: NextStep.END_UNKNOWN,
}
"""Next step in a cancelled or failed job, if the task must not start again."""

END_STATE_BY_STEP = {
    NextStep.SUCCEED: TaskState.SUCCEEDED,
    NextStep.FAIL: TaskState.FAILED,
    NextStep.CANCEL: TaskState.CANCELLED,
    NextStep.END_UNKNOWN: TaskState.UNKNOWN,
}
"""State of the task after each step that ends it."""

FAILURE_ENDS = frozenset({AttemptEnd.FAILED, AttemptEnd.START_FAILED})
"""Ends that count as failures of the task and of its worker."""


MAX_RESTARTS = 4
"""Restarts of workers that lost an attempt of a task after which the task has failed.
Others on the same workers lose theirs too, but seldom with the same task each time.
The number is kept by one owner and begins anew with the next."""


class TaskEnds:
    """Applies the ends of attempts to tasks, gangs and jobs."""

    def __init__(self, state: SchedulerState, attempts: TaskAttempts) -> None:
        """Work on ``state``."""
        self._state = state
        self._attempts = attempts

    def attempt_ended(
        self, attempt: Attempt, end: AttemptEnd, now: Instant, checkpoint: str = ""
    ) -> None:
        """Handle the end of an attempt that is certainly over."""
        job = attempt.job
        self._attempts.release(attempt)
        self._update_health(attempt, end, now)
        if checkpoint:
            job.checkpoints_by_index[attempt.index] = checkpoint
        if end in FAILURE_ENDS:
            self._count_failure(attempt, now)
        self._apply_end(job, attempt.index, end, now)
        if job.is_gang:
            self._handle_gang_task_end(job, end, now)
        self._state.job_changed(job, now)

    def apply_former_attempt_end(
        self, job: Job, index: int, end: AttemptEnd, now: Instant
    ) -> None:
        """Handle the end of a former owner's attempt of a waiting task.

        A worker reported the end, or the attempt is presumed lost.
        """
        job.waiting.discard(index)
        job.backoff_until_by_index.pop(index, None)
        if end in FAILURE_ENDS:
            failures = job.failures_by_index.get(index, 0)
            job.failures_by_index[index] = failures + 1
        self._apply_end(job, index, end, now)
        self._state.job_changed(job, now)

    def cancel(self, job: Job, now: Instant) -> None:
        """End every waiting task and stop every attempt of a job."""
        job.cancelled = True
        self._close_job(job, StopReason.CANCELLED, now)

    def fail_job(self, job: Job, reason: str, now: Instant) -> None:
        """Fail a job and end its waiting tasks; attempts of a batch job may finish."""
        if job.closing:
            return
        job.failed = True
        job.reason = reason
        self._close_job(job, StopReason.JOB_FAILED, now)

    def break_gang(self, job: Job, now: Instant) -> None:
        """Stop all attempts of a gang of which not all tasks can run.

        The gang then restarts as a whole.
        """
        job.gang_broken = True
        for attempt in job.live_attempts():
            self._attempts.stop(attempt, StopReason.GANG, now)
        self._restart_gang_when_idle(job, now)

    def preempt(self, attempt: Attempt, reason: StopReason, now: Instant) -> None:
        """Preempt an attempt, or all attempts of its gang, to free capacity."""
        job = attempt.job
        if job.attempts_by_index.get(attempt.index) is not attempt:
            return
        if not job.is_gang:
            self._attempts.checkpoint_then_stop(attempt, reason, now)
            return
        job.gang_broken = True
        for gang_attempt in job.live_attempts():
            self._attempts.checkpoint_then_stop(gang_attempt, reason, now)
        self._restart_gang_when_idle(job, now)

    def _close_job(self, job: Job, reason: StopReason, now: Instant) -> None:
        self._end_waiting(job)
        lets_running_finish = (
            reason is StopReason.JOB_FAILED and job.spec.kind is JobKind.BATCH
        )
        for attempt in job.live_attempts():
            if not lets_running_finish:
                self._attempts.stop(attempt, reason, now)
        self._state.job_changed(job, now)

    def _end_waiting(self, job: Job) -> None:
        if not job.is_quarantined:
            job.end_waiting(TaskState.CANCELLED)

    def _apply_end(self, job: Job, index: int, end: AttemptEnd, now: Instant) -> None:
        step = self._next_step(job, end)
        if step is NextStep.RETRY:
            self._retry(job, index, now)
        elif step is NextStep.RETRY_ELSEWHERE:
            self._retry_elsewhere(job, index, now)
        elif step is NextStep.BACK_OFF:
            self._state.back_off(job, index, now)
        elif step is NextStep.WAIT:
            job.waiting.add(index)
        else:
            job.end(index, END_STATE_BY_STEP[step])
            self._fail_job_if_fatal(job, index, step, now)

    def _next_step(self, job: Job, end: AttemptEnd) -> NextStep:
        idempotent = job.spec.idempotent
        if job.closing:
            steps = (
                CLOSING_IDEMPOTENT_STEPS if idempotent else CLOSING_NON_IDEMPOTENT_STEPS
            )
            return steps[end]
        restarts = job.spec.kind is JobKind.SERVICE and idempotent
        if restarts and end is AttemptEnd.SUCCEEDED:
            return NextStep.BACK_OFF
        return (IDEMPOTENT_STEPS if idempotent else NON_IDEMPOTENT_STEPS)[end]

    def _fail_job_if_fatal(
        self, job: Job, index: int, step: NextStep, now: Instant
    ) -> None:
        fatal = step is NextStep.FAIL or (
            step is NextStep.END_UNKNOWN and job.spec.kind is not JobKind.BATCH
        )
        if fatal:
            self.fail_job(
                job, f"task {index} ended {END_STATE_BY_STEP[step].value}", now
            )

    def _retry(self, job: Job, index: int, now: Instant) -> None:
        if job.is_gang:
            self._state.back_off(job, index, now)
            return
        failures = job.failures_by_index.get(index, 0)
        if failures < job.spec.max_attempts:
            self._state.back_off(job, index, now)
            return
        job.end(index, TaskState.FAILED)
        self.fail_job(job, f"task {index} failed {failures} times", now)

    def _retry_elsewhere(self, job: Job, index: int, now: Instant) -> None:
        """Let a task wait again whose worker restarted, unless that happens often.

        Of a gang, a restart counts for the tasks that were on the worker.
        """
        restarts = job.restarts_by_index.get(index, 0) + 1
        job.restarts_by_index[index] = restarts
        if restarts < MAX_RESTARTS:
            job.waiting.add(index)
            return
        job.end(index, TaskState.FAILED)
        self.fail_job(job, f"task {index} was lost in {restarts} worker restarts", now)

    def _count_failure(self, attempt: Attempt, now: Instant) -> None:
        job, index = attempt.job, attempt.index
        ran_long_enough = now - attempt.sent_at >= PROVEN_AFTER_S
        if ran_long_enough and job.spec.kind is JobKind.SERVICE:
            job.failures_by_index.pop(index, None)
        job.failures_by_index[index] = job.failures_by_index.get(index, 0) + 1
        bad_workers = job.bad_workers_by_index.setdefault(index, set())
        bad_workers.add(attempt.worker_id)

    def _update_health(self, attempt: Attempt, end: AttemptEnd, now: Instant) -> None:
        health = self._state.health
        ran_long_enough = now - attempt.sent_at >= PROVEN_AFTER_S
        if end is AttemptEnd.SUCCEEDED:
            health.mark_proven(attempt.worker_id)
        elif end in FAILURE_ENDS and not ran_long_enough:
            health.attempt_failed(attempt.worker_id, attempt.job.id, now)
        self._state.refresh_worker(attempt.worker_id)

    def _handle_gang_task_end(self, job: Job, end: AttemptEnd, now: Instant) -> None:
        if job.closing:
            return
        if end is not AttemptEnd.SUCCEEDED and not job.gang_broken:
            self._handle_gang_failure(job, end, now)
        if not job.closing:
            self._restart_gang_when_idle(job, now)

    def _handle_gang_failure(self, job: Job, end: AttemptEnd, now: Instant) -> None:
        if end in FAILURE_ENDS:
            job.gang_failures += 1
        if job.gang_failures >= job.spec.max_attempts:
            self.fail_job(job, f"the gang failed {job.gang_failures} times", now)
            return
        self.break_gang(job, now)

    def _restart_gang_when_idle(self, job: Job, now: Instant) -> None:
        if not job.gang_broken or job.attempts_by_index:
            return
        job.gang_broken = False
        succeeded = job.ended_by_state[TaskState.SUCCEEDED]
        if job.waiting_count() == 0:
            return
        if succeeded and not job.spec.idempotent:
            self.fail_job(
                job,
                "ended tasks of the gang are not idempotent and must not run again",
                now,
            )
            return
        for first, last in succeeded.take_all():
            job.waiting.add_range(first, last)
        self._state.job_changed(job, now)
