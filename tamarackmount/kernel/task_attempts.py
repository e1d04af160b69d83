"""Starts and stops attempts of tasks on workers, and accounts for their resources."""

from tamarackmount.adapters.worker_schema import Amount, StartCommand, TaskCommand
from tamarackmount.ids import Instant, WorkerId
from tamarackmount.kernel.job_effects import CheckpointTask, StartTask, StopTask
from tamarackmount.kernel.jobs import (
    UNSENT_PHASES,
    Attempt,
    AttemptPhase,
    Job,
    StopReason,
    TaskState,
)
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.resources import Resources

MS_PER_S = 1_000


class TaskAttempts:
    """Creates, stops and releases attempts.

    Every attempt counts against its worker and team until it is released.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Work on ``state``."""
        self._state = state

    def begin(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        """Start a waiting task on a worker with enough free capacity."""
        attempt = self._create(job, index, worker_id, why, now)
        self._commit_and_start(attempt, now)
        return attempt

    def await_preemption(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        """Reserve a worker for a waiting task until preemption has freed capacity."""
        attempt = self._create(job, index, worker_id, why, now)
        self._state.links_by_worker[worker_id].preempting_attempt = attempt
        self._state.ledger.reserve(worker_id, job.id)
        return attempt

    def start_after_preemption(self, attempt: Attempt, now: Instant) -> None:
        """Start the task for which the worker was reserved."""
        self._end_reservation(attempt)
        self._commit_and_start(attempt, now)

    def send_start(self, attempt: Attempt, now: Instant) -> None:
        """Send the start command, once."""
        state = self._state
        attempt.phase = AttemptPhase.STARTING
        attempt.sent_at = now
        attempt.lease_until = state.lease_deadline(now)
        attempt.job.waiting_since = now
        state.health.attempt_started(attempt.worker_id)
        state.refresh_worker(attempt.worker_id)
        state.emit(StartTask(attempt.worker_id, self._start_command(attempt)))

    def stop(self, attempt: Attempt, reason: StopReason, now: Instant) -> None:
        """Stop an attempt; one whose start was not sent ends at once."""
        if attempt.phase in UNSENT_PHASES:
            self.drop_unsent(attempt, now)
            return
        if attempt.phase is AttemptPhase.STOPPING:
            return
        attempt.phase = AttemptPhase.STOPPING
        attempt.stop_reason = reason
        self.send_stop(attempt)

    def send_stop(self, attempt: Attempt) -> None:
        """Send the stop command, again if a report still shows the attempt."""
        self._state.emit(StopTask(attempt.worker_id, self._task_command(attempt)))

    def checkpoint_then_stop(
        self, attempt: Attempt, reason: StopReason, now: Instant
    ) -> None:
        """Request a checkpoint from a running attempt, to stop it after that."""
        if attempt.phase is not AttemptPhase.RUNNING:
            if attempt.phase is not AttemptPhase.CHECKPOINTING:
                self.stop(attempt, reason, now)
            return
        attempt.phase = AttemptPhase.CHECKPOINTING
        attempt.stop_reason = reason
        command = self._task_command(attempt)
        self._state.emit(CheckpointTask(attempt.worker_id, command))

    def drop_unsent(self, attempt: Attempt, now: Instant) -> None:
        """Remove an attempt whose start command was never sent."""
        job = attempt.job
        self.release(attempt)
        job.attempted.discard(attempt.index)
        if job.closing:
            job.end(attempt.index, TaskState.CANCELLED)
        else:
            job.waiting.add(attempt.index)
        self._state.job_changed(job, now)

    def adopt(
        self, job: Job, index: int, number: int, worker_id: WorkerId, now: Instant
    ) -> Attempt:
        """Take over an attempt that a former owner started."""
        state = self._state
        attempt = Attempt(
            job=job,
            index=index,
            number=number,
            worker_id=worker_id,
            phase=AttemptPhase.RUNNING,
            sent_at=now,
            lease_until=state.lease_deadline(now),
            seen_at_step=state.step,
            why="started by a former owner",
        )
        self._register(attempt)
        if not job.spec.idempotent:
            job.attempted.add(index)
        state.ledger.adopt(worker_id, attempt.amount, attempt.is_preemptible)
        self._attach_to_worker(attempt)
        return attempt

    def release(self, attempt: Attempt) -> None:
        """Remove an attempt that is certainly over and free its resources."""
        state = self._state
        job = attempt.job
        del job.attempts_by_index[attempt.index]
        account = state.accounts.account(job.team_id)
        del account.attempts_by_task[attempt.task_id]
        state.accounts.remove(job.team_id, attempt.amount)
        state.place_needed = True
        if attempt.phase is AttemptPhase.AWAITING_PREEMPTION:
            self._end_reservation(attempt)
            return
        link = state.links_by_worker[attempt.worker_id]
        del link.attempts_by_task[attempt.task_id]
        state.ledger.release(attempt.worker_id, attempt.amount, attempt.is_preemptible)
        job.tasks_by_rack[link.rack] -= 1
        state.health.attempt_ended(attempt.worker_id)
        state.refresh_worker(attempt.worker_id)

    def _create(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        attempt = Attempt(
            job=job,
            index=index,
            number=job.next_attempt_number(self._state.epoch),
            worker_id=worker_id,
            phase=AttemptPhase.AWAITING_PREEMPTION,
            sent_at=now,
            lease_until=now,
            why=why,
        )
        self._register(attempt)
        return attempt

    def _register(self, attempt: Attempt) -> None:
        job = attempt.job
        job.waiting.discard(attempt.index)
        job.backoff_until_by_index.pop(attempt.index, None)
        job.attempts_by_index[attempt.index] = attempt
        account = self._state.accounts.account(job.team_id)
        account.attempts_by_task[attempt.task_id] = attempt
        self._state.accounts.add(job.team_id, attempt.amount)
        self._state.queue.refresh(job)

    def _commit_and_start(self, attempt: Attempt, now: Instant) -> None:
        job = attempt.job
        self._state.ledger.commit(
            attempt.worker_id, attempt.amount, attempt.is_preemptible
        )
        self._attach_to_worker(attempt)
        if job.spec.idempotent:
            self.send_start(attempt, now)
            return
        attempt.phase = AttemptPhase.SAVING
        job.attempted.add(attempt.index)
        self._state.saves.mark_urgent(job, attempt)

    def _attach_to_worker(self, attempt: Attempt) -> None:
        link = self._state.links_by_worker[attempt.worker_id]
        link.attempts_by_task[attempt.task_id] = attempt
        attempt.job.tasks_by_rack[link.rack] += 1

    def _end_reservation(self, attempt: Attempt) -> None:
        self._state.links_by_worker[attempt.worker_id].preempting_attempt = None
        self._state.ledger.reserve(attempt.worker_id, None)

    def _start_command(self, attempt: Attempt) -> StartCommand:
        job = attempt.job
        return StartCommand(
            epoch=self._state.epoch,
            task_id=attempt.task_id,
            attempt=attempt.number,
            team=job.team_id,
            amount=as_amount(job.amount),
            lease_ms=round(self._state.timing.task_lease_s * MS_PER_S),
            run_ms=job.spec.run_ms,
            checkpoint=job.checkpoints_by_index.get(attempt.index, ""),
        )

    def _task_command(self, attempt: Attempt) -> TaskCommand:
        return TaskCommand(
            epoch=self._state.epoch, task_id=attempt.task_id, attempt=attempt.number
        )


def as_amount(resources: Resources) -> Amount:
    """Return resources as an amount of the worker protocol."""
    return Amount(
        millicores=resources.millicores,
        memory_mib=resources.memory_mib,
        accelerators=resources.accelerators,
    )


def as_resources(amount: Amount) -> Resources:
    """Return an amount of the worker protocol as resources."""
    return Resources(amount.millicores, amount.memory_mib, amount.accelerators)
