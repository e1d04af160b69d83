"""Reconciles the task attempts that a worker reports with those of this owner."""

from tamarackmount.adapters.worker_schema import (
    AttemptReport,
    AttemptState,
    TaskCommand,
    WorkerReport,
)
from tamarackmount.ids import Instant, TaskId
from tamarackmount.kernel import ceilings
from tamarackmount.kernel.job_effects import StopTask
from tamarackmount.kernel.jobs import (
    AttemptEnd,
    Job,
    StopReason,
    split_task_id,
)
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import TaskAttempts, as_resources
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.worker_links import (
    AttemptKey,
    OrphanedAttempt,
    UnsavedEnd,
    WorkerLink,
)

END_BY_REPORTED_STATE = {
    AttemptState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    AttemptState.FAILED: AttemptEnd.FAILED,
    AttemptState.STOPPED: AttemptEnd.STOPPED,
    AttemptState.LAPSED: AttemptEnd.LOST,
}
"""End of an attempt for each reported state other than running."""


class AttemptReconciler:
    """Adopts the attempts of former owners and tracks orphaned attempts."""

    def __init__(
        self, state: SchedulerState, attempts: TaskAttempts, ends: TaskEnds
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._attempts = attempts
        self._ends = ends

    def reconcile(self, link: WorkerLink, entry: AttemptReport, now: Instant) -> None:
        """Handle a reported attempt that this owner did not start on the worker."""
        job, index = self._find_task(entry.task_id)
        if entry.state is not AttemptState.RUNNING:
            self._handle_ended(link, entry, job, index, now)
        elif job is not None and self._is_adoptable(job, index):
            self._adopt(link, entry, job, index, now)
        else:
            self._track_orphan(link, entry, job, now)

    def keep_until_saved(self, link: WorkerLink, task: TaskId, job: Job) -> None:
        """Keep an ended attempt on the worker until the job is saved."""
        version = self._state.saves.version_after_next_save(job)
        link.unsaved_ends_by_task[task] = UnsavedEnd(job.id, version)

    def release_stopped_orphans(
        self, link: WorkerLink, report: WorkerReport, now: Instant
    ) -> None:
        """Release the orphans that the worker no longer runs or whose lease expired."""
        running = {
            AttemptKey(entry.task_id, entry.attempt)
            for entry in report.attempts
            if entry.state is AttemptState.RUNNING
        }
        for key in set(link.orphans_by_key) - running:
            self._release_orphan(link, key)
        self.release_expired_orphans(link, now)

    def release_expired_orphans(self, link: WorkerLink, now: Instant) -> None:
        """Release the orphans whose lease has certainly expired."""
        for key, orphan in list(link.orphans_by_key.items()):
            if orphan.lease_until <= now:
                self._release_orphan(link, key)

    def _find_task(self, task: TaskId) -> tuple[Job | None, int]:
        parts = split_task_id(task)
        if parts is None:
            return None, 0
        job = self._state.table.jobs_by_id.get(parts[0])
        if job is None or parts[1] >= job.spec.tasks:
            return None, 0
        return job, parts[1]

    def _is_adoptable(self, job: Job, index: int) -> bool:
        return index in job.waiting or index in job.backoff_until_by_index

    def _adopt(
        self,
        link: WorkerLink,
        entry: AttemptReport,
        job: Job,
        index: int,
        now: Instant,
    ) -> None:
        key = AttemptKey(entry.task_id, entry.attempt)
        if key in link.orphans_by_key:
            self._release_orphan(link, key)
        attempt = self._attempts.adopt(job, index, entry.attempt, link.worker_id, now)
        if job.closing:
            self._attempts.stop(attempt, StopReason.CANCELLED, now)
        elif job.is_gang and (job.gang_broken or not job.is_quarantined):
            self._ends.break_gang(job, now)
        self._state.job_changed(job, now)
        ceilings.enforce(self._state.accounts.account(job.team_id), self._ends, now)

    def _track_orphan(
        self,
        link: WorkerLink,
        entry: AttemptReport,
        job: Job | None,
        now: Instant,
    ) -> None:
        state = self._state
        key = AttemptKey(entry.task_id, entry.attempt)
        if key not in link.orphans_by_key:
            amount = as_resources(entry.declared)
            deadline = state.lease_deadline(now)
            link.orphans_by_key[key] = OrphanedAttempt(
                key, entry.team, amount, deadline
            )
            state.ledger.adopt(link.worker_id, amount, False)
            state.accounts.add(entry.team, amount)
        if job is not None:
            command = TaskCommand(
                epoch=state.epoch, task_id=entry.task_id, attempt=entry.attempt
            )
            state.emit(StopTask(link.worker_id, command))

    def _release_orphan(self, link: WorkerLink, key: AttemptKey) -> None:
        orphan = link.orphans_by_key.pop(key)
        self._state.ledger.release(link.worker_id, orphan.amount, False)
        self._state.accounts.remove(orphan.team_id, orphan.amount)
        self._state.place_needed = True

    def _handle_ended(
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
        if not _is_unrecorded_end(job, index, entry.state):
            self._state.saves.mark(job, now)
            return
        if entry.checkpoint:
            job.checkpoints_by_index[index] = entry.checkpoint
        end = END_BY_REPORTED_STATE[entry.state]
        self._ends.apply_former_attempt_end(job, index, end, now)


def _is_unrecorded_end(job: Job, index: int, state: AttemptState) -> bool:
    if index not in job.waiting:
        return False
    return job.is_quarantined or (state is AttemptState.SUCCEEDED and not job.is_gang)
