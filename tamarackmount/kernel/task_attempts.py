"""Starts and stops attempts and keeps every count of them."""

from tamarackmount.adapters.worker_schema import Amount, StartCommand, TaskCommand
from tamarackmount.ids import Instant, WorkerId
from tamarackmount.kernel.cell import Cell
from tamarackmount.kernel.job_effects import CheckpointTask, StartTask, StopTask
from tamarackmount.kernel.jobs import (
    UNSENT_PHASES,
    Attempt,
    AttemptPhase,
    Job,
    StopReason,
    TaskState,
)
from tamarackmount.resources import Resources

MS_PER_S = 1_000


class TaskAttempts:
    """Every attempt counts against worker and team until it is released."""

    def __init__(self, cell: Cell) -> None:
        """Work on the state of ``cell``."""
        self._cell = cell

    def begin(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        """Start a waiting task on a worker that has room for it."""
        attempt = self._make(job, index, worker_id, why, now)
        self._commit(attempt, now)
        return attempt

    def claim(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        """Keep a worker for a waiting task until there is room for it."""
        attempt = self._make(job, index, worker_id, why, now)
        self._cell.links_by_worker[worker_id].claim = attempt
        self._cell.ledger.hold(worker_id, job.id)
        return attempt

    def start_claimed(self, attempt: Attempt, now: Instant) -> None:
        """Start the task for which the worker was kept."""
        self._end_claim(attempt)
        self._commit(attempt, now)

    def send_start(self, attempt: Attempt, now: Instant) -> None:
        """Send the start command, once."""
        cell = self._cell
        attempt.phase = AttemptPhase.STARTING
        attempt.sent_at = now
        attempt.lease_until = cell.lease_deadline(now)
        attempt.job.waiting_since = now
        cell.health.started(attempt.worker_id)
        cell.refresh_worker(attempt.worker_id)
        cell.emit(StartTask(attempt.worker_id, self._start_command(attempt)))

    def stop(self, attempt: Attempt, reason: StopReason, now: Instant) -> None:
        """Bring an attempt to its end; one that was not sent ends at once."""
        if attempt.phase in UNSENT_PHASES:
            self.drop_unsent(attempt, now)
            return
        if attempt.phase is AttemptPhase.STOPPING:
            return
        attempt.phase = AttemptPhase.STOPPING
        attempt.stop_reason = reason
        self.send_stop(attempt)

    def send_stop(self, attempt: Attempt) -> None:
        """Send the stop command, again if an earlier one had no effect."""
        self._cell.emit(StopTask(attempt.worker_id, self._task_command(attempt)))

    def checkpoint_then_stop(
        self, attempt: Attempt, reason: StopReason, now: Instant
    ) -> None:
        """Have a running attempt save its progress before it is stopped."""
        if attempt.phase is not AttemptPhase.RUNNING:
            if attempt.phase is not AttemptPhase.CHECKPOINTING:
                self.stop(attempt, reason, now)
            return
        attempt.phase = AttemptPhase.CHECKPOINTING
        attempt.stop_reason = reason
        command = self._task_command(attempt)
        self._cell.emit(CheckpointTask(attempt.worker_id, command))

    def drop_unsent(self, attempt: Attempt, now: Instant) -> None:
        """Take back an attempt whose start command was never sent."""
        job = attempt.job
        self.release(attempt)
        job.attempted.discard(attempt.index)
        if job.closing:
            job.end(attempt.index, TaskState.CANCELLED)
        else:
            job.waiting.add(attempt.index)
        self._cell.settle(job, now)

    def adopt(
        self, job: Job, index: int, number: int, worker_id: WorkerId, now: Instant
    ) -> Attempt:
        """Take over an attempt that a former owner started."""
        cell = self._cell
        attempt = Attempt(
            job=job,
            index=index,
            number=number,
            worker_id=worker_id,
            phase=AttemptPhase.RUNNING,
            sent_at=now,
            lease_until=cell.lease_deadline(now),
            seen_at_step=cell.step,
            why="started by a former owner",
        )
        self._count(attempt)
        if not job.spec.idempotent:
            job.attempted.add(index)
        cell.ledger.adopt(worker_id, attempt.amount, attempt.yields)
        self._attach(attempt)
        return attempt

    def release(self, attempt: Attempt) -> None:
        """Give back what an attempt that is provably over held."""
        cell = self._cell
        job = attempt.job
        del job.attempts_by_index[attempt.index]
        account = cell.accounts.account(job.team_id)
        del account.attempts_by_task[attempt.task_id]
        cell.accounts.remove(job.team_id, attempt.amount)
        cell.place_needed = True
        if attempt.phase is AttemptPhase.CLAIMING:
            self._end_claim(attempt)
            return
        link = cell.links_by_worker[attempt.worker_id]
        del link.attempts_by_task[attempt.task_id]
        cell.ledger.release(attempt.worker_id, attempt.amount, attempt.yields)
        job.tasks_by_rack[link.rack] -= 1
        cell.health.over(attempt.worker_id)
        cell.refresh_worker(attempt.worker_id)

    def _make(
        self, job: Job, index: int, worker_id: WorkerId, why: str, now: Instant
    ) -> Attempt:
        attempt = Attempt(
            job=job,
            index=index,
            number=job.next_number(self._cell.epoch),
            worker_id=worker_id,
            phase=AttemptPhase.CLAIMING,
            sent_at=now,
            lease_until=now,
            why=why,
        )
        self._count(attempt)
        return attempt

    def _count(self, attempt: Attempt) -> None:
        job = attempt.job
        job.waiting.discard(attempt.index)
        job.paused_until_by_index.pop(attempt.index, None)
        job.attempts_by_index[attempt.index] = attempt
        account = self._cell.accounts.account(job.team_id)
        account.attempts_by_task[attempt.task_id] = attempt
        self._cell.accounts.add(job.team_id, attempt.amount)
        self._cell.queue.refresh(job)

    def _commit(self, attempt: Attempt, now: Instant) -> None:
        job = attempt.job
        self._cell.ledger.commit(attempt.worker_id, attempt.amount, attempt.yields)
        self._attach(attempt)
        if job.spec.idempotent:
            self.send_start(attempt, now)
            return
        attempt.phase = AttemptPhase.SAVING
        job.attempted.add(attempt.index)
        self._cell.saves.mark_urgent(job, attempt)

    def _attach(self, attempt: Attempt) -> None:
        link = self._cell.links_by_worker[attempt.worker_id]
        link.attempts_by_task[attempt.task_id] = attempt
        attempt.job.tasks_by_rack[link.rack] += 1

    def _end_claim(self, attempt: Attempt) -> None:
        self._cell.links_by_worker[attempt.worker_id].claim = None
        self._cell.ledger.hold(attempt.worker_id, None)

    def _start_command(self, attempt: Attempt) -> StartCommand:
        job = attempt.job
        return StartCommand(
            epoch=self._cell.epoch,
            task_id=attempt.task_id,
            attempt=attempt.number,
            team=job.team_id,
            amount=as_amount(job.amount),
            lease_ms=round(self._cell.timing.task_lease_s * MS_PER_S),
            run_ms=job.spec.run_ms,
            checkpoint=job.checkpoints_by_index.get(attempt.index, ""),
        )

    def _task_command(self, attempt: Attempt) -> TaskCommand:
        return TaskCommand(
            epoch=self._cell.epoch, task_id=attempt.task_id, attempt=attempt.number
        )


def as_amount(resources: Resources) -> Amount:
    """Return the amount as workers' messages state it."""
    return Amount(
        millicores=resources.millicores,
        memory_mib=resources.memory_mib,
        accelerators=resources.accelerators,
    )


def as_resources(amount: Amount) -> Resources:
    """Return the amount of a worker's message."""
    return Resources(amount.millicores, amount.memory_mib, amount.accelerators)
