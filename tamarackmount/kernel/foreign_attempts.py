"""Attempts that a worker reports and that this owner did not start there."""

from tamarackmount.adapters.worker_schema import (
    AttemptReport,
    AttemptState,
    TaskCommand,
    WorkerReport,
)
from tamarackmount.ids import Instant, TaskId
from tamarackmount.kernel import ceilings
from tamarackmount.kernel.cell import Cell
from tamarackmount.kernel.job_effects import StopTask
from tamarackmount.kernel.jobs import (
    AttemptEnd,
    Job,
    StopReason,
    split_task_id,
)
from tamarackmount.kernel.task_attempts import TaskAttempts, as_resources
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.worker_links import (
    AttemptKey,
    Stray,
    UnsavedEnd,
    WorkerLink,
)

END_BY_REPORTED_STATE = {
    AttemptState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    AttemptState.FAILED: AttemptEnd.FAILED,
    AttemptState.STOPPED: AttemptEnd.STOPPED,
    AttemptState.LAPSED: AttemptEnd.LOST,
}
"""What a worker's report says of an attempt that it no longer runs."""


class ForeignAttempts:
    """Adopts what former owners started and keeps account of the rest."""

    def __init__(self, cell: Cell, attempts: TaskAttempts, ends: TaskEnds) -> None:
        """Work on the state of ``cell``."""
        self._cell = cell
        self._attempts = attempts
        self._ends = ends

    def read(self, link: WorkerLink, entry: AttemptReport, now: Instant) -> None:
        """Take note of one reported attempt."""
        job, index = self._find(entry.task_id)
        if entry.state is not AttemptState.RUNNING:
            self._read_ended(link, entry, job, index, now)
        elif job is not None and self._is_adoptable(job, index):
            self._adopt(link, entry, job, index, now)
        else:
            self._note_stray(link, entry, job, now)

    def keep_until_saved(self, link: WorkerLink, task: TaskId, job: Job) -> None:
        """Have the worker remember an ended attempt until the job is saved."""
        version = self._cell.saves.version_after_next_save(job)
        link.unsaved_ends_by_task[task] = UnsavedEnd(job.id, version)

    def end_strays(self, link: WorkerLink, report: WorkerReport, now: Instant) -> None:
        """Release the strays that the worker no longer runs."""
        running = {
            AttemptKey(entry.task_id, entry.attempt)
            for entry in report.attempts
            if entry.state is AttemptState.RUNNING
        }
        for key in set(link.strays_by_key) - running:
            self._release_stray(link, key)
        self.end_lapsed_strays(link, now)

    def end_lapsed_strays(self, link: WorkerLink, now: Instant) -> None:
        """Release the strays whose lease is provably over."""
        for key, stray in list(link.strays_by_key.items()):
            if stray.lease_until <= now:
                self._release_stray(link, key)

    def _find(self, task: TaskId) -> tuple[Job | None, int]:
        parts = split_task_id(task)
        if parts is None:
            return None, 0
        job = self._cell.table.jobs_by_id.get(parts[0])
        if job is None or parts[1] >= job.spec.tasks:
            return None, 0
        return job, parts[1]

    def _is_adoptable(self, job: Job, index: int) -> bool:
        return index in job.waiting or index in job.paused_until_by_index

    def _adopt(
        self,
        link: WorkerLink,
        entry: AttemptReport,
        job: Job,
        index: int,
        now: Instant,
    ) -> None:
        key = AttemptKey(entry.task_id, entry.attempt)
        if key in link.strays_by_key:
            self._release_stray(link, key)
        attempt = self._attempts.adopt(job, index, entry.attempt, link.worker_id, now)
        if job.closing:
            self._attempts.stop(attempt, StopReason.CANCELLED, now)
        elif job.is_gang and (job.gang_broken or not job.held):
            self._ends.break_gang(job, now)
        self._cell.settle(job, now)
        ceilings.enforce(self._cell.accounts.account(job.team_id), self._ends, now)

    def _note_stray(
        self,
        link: WorkerLink,
        entry: AttemptReport,
        job: Job | None,
        now: Instant,
    ) -> None:
        cell = self._cell
        key = AttemptKey(entry.task_id, entry.attempt)
        if key not in link.strays_by_key:
            amount = as_resources(entry.declared)
            deadline = cell.lease_deadline(now)
            link.strays_by_key[key] = Stray(key, entry.team, amount, deadline)
            cell.ledger.adopt(link.worker_id, amount, False)
            cell.accounts.add(entry.team, amount)
        if job is not None:
            command = TaskCommand(
                epoch=cell.epoch, task_id=entry.task_id, attempt=entry.attempt
            )
            cell.emit(StopTask(link.worker_id, command))

    def _release_stray(self, link: WorkerLink, key: AttemptKey) -> None:
        stray = link.strays_by_key.pop(key)
        self._cell.ledger.release(link.worker_id, stray.amount, False)
        self._cell.accounts.remove(stray.team_id, stray.amount)
        self._cell.place_needed = True

    def _read_ended(
        self,
        link: WorkerLink,
        entry: AttemptReport,
        job: Job | None,
        index: int,
        now: Instant,
    ) -> None:
        if job is None:
            return
        if entry.task_id in link.unsaved_ends_by_task:
            return
        self.keep_until_saved(link, entry.task_id, job)
        if not _is_news(job, index, entry.state):
            self._cell.saves.mark(job, now)
            return
        if entry.checkpoint:
            job.checkpoints_by_index[index] = entry.checkpoint
        end = END_BY_REPORTED_STATE[entry.state]
        self._ends.apply_reported(job, index, end, now)


def _is_news(job: Job, index: int, state: AttemptState) -> bool:
    if index not in job.waiting:
        return False
    return job.held or (state is AttemptState.SUCCEEDED and not job.is_gang)
