"""Periodic syncs with the workers, which renew leases and return reports."""

import heapq
from dataclasses import dataclass

from tamarackmount.adapters.worker_schema import (
    AttemptReport,
    AttemptState,
    SyncCommand,
    WorkerReport,
)
from tamarackmount.ids import Instant, TaskId, WorkerId
from tamarackmount.kernel.attempt_reconciler import (
    END_BY_REPORTED_STATE,
    AttemptReconciler,
)
from tamarackmount.kernel.job_effects import SyncWorker
from tamarackmount.kernel.jobs import (
    RENEWED_PHASES,
    UNSENT_PHASES,
    Attempt,
    AttemptEnd,
    AttemptPhase,
)
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import MS_PER_S, TaskAttempts, as_resources
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.worker_health import PROVEN_AFTER_S
from tamarackmount.kernel.worker_links import UnsavedEnd, WorkerLink

MAX_FAILURES_WITH_RENEWAL = 2
"""Number of consecutive failed syncs after which leases are no longer renewed.

A renewal in a sync that failed may have arrived all the same, so each one delays the
time from which the task may be started elsewhere.
"""


@dataclass(frozen=True, slots=True, order=True)
class _DueSync:
    at: Instant
    worker_id: WorkerId


class WorkerSyncs:
    """Sends syncs to all workers, one at a time to each, and reads the reports."""

    def __init__(
        self, state: SchedulerState, attempts: TaskAttempts, ends: TaskEnds
    ) -> None:
        """Start without any scheduled sync."""
        self._state = state
        self._attempts = attempts
        self._ends = ends
        self._reconciler = AttemptReconciler(state, attempts, ends)
        self._due: list[_DueSync] = []

    def schedule(self, link: WorkerLink, at: Instant) -> None:
        """Schedule the next sync of the worker."""
        link.next_sync_at = at
        heapq.heappush(self._due, _DueSync(at, link.worker_id))

    def sync_soon(self, link: WorkerLink, now: Instant) -> None:
        """Sync now, to learn the result of a command from the worker's report."""
        if not link.sync_pending and link.next_sync_at > now:
            self.schedule(link, now)

    def send_due(self, now: Instant) -> None:
        """Send the syncs that are due, and end expired attempts on those workers."""
        while self._due and self._due[0].at <= now:
            due = heapq.heappop(self._due)
            link = self._state.links_by_worker.get(due.worker_id)
            if link is None or link.sync_pending or link.next_sync_at != due.at:
                continue
            self._end_expired(link, now)
            if self._remove_if_unlisted(link):
                continue
            self._send(link, now)

    def failed(self, link: WorkerLink, now: Instant) -> None:
        """Handle a failed sync; whether it took effect is unknown."""
        if not link.sync_pending:
            return
        link.sync_pending = False
        link.answering = False
        link.failures += 1
        self._state.refresh_worker(link.worker_id)
        self._end_expired(link, now)
        self.schedule(link, Instant(now + self._state.timing.worker_sync_s))

    def synced(self, link: WorkerLink, report: WorkerReport, now: Instant) -> None:
        """Handle the report that answers the pending sync."""
        if not link.sync_pending or report.epoch != self._state.epoch:
            return
        link.sync_pending = False
        link.answering = True
        link.failures = 0
        link.epoch_acknowledged = True
        link.reported_capacity = as_resources(report.capacity)
        state = self._state
        state.ledger.add(link.worker_id, link.rack, link.capacity())
        self._read_attempts(link, report, now)
        self._reconciler.release_stopped_orphans(link, report, now)
        state.refresh_worker(link.worker_id)
        next_at = Instant(link.sync_sent_at + state.timing.worker_sync_s)
        self.schedule(link, max(next_at, now))

    def _send(self, link: WorkerLink, now: Instant) -> None:
        state = self._state
        renewed = _renewable(link)
        for attempt in renewed:
            attempt.lease_until = state.lease_deadline(now)
        link.sync_pending = True
        link.sync_step = state.step
        link.sync_sent_at = now
        command = SyncCommand(
            epoch=state.epoch,
            owner=state.owner,
            lease_ms=round(state.timing.task_lease_s * MS_PER_S),
            renew=[attempt.task_id for attempt in renewed],
            forget=self._forgettable(link),
        )
        state.emit(SyncWorker(link.worker_id, command))

    def _forgettable(self, link: WorkerLink) -> list[TaskId]:
        return [
            task
            for task, end in link.unsaved_ends_by_task.items()
            if task not in link.attempts_by_task and self._is_saved(end)
        ]

    def _is_saved(self, end: UnsavedEnd) -> bool:
        job = self._state.table.jobs_by_id.get(end.job_id)
        return job is None or job.saved_version >= end.version

    def _read_attempts(
        self, link: WorkerLink, report: WorkerReport, now: Instant
    ) -> None:
        mentioned = set()
        for entry in report.attempts:
            mentioned.add(entry.task_id)
            attempt = link.attempts_by_task.get(entry.task_id)
            if attempt is not None and attempt.number == entry.attempt:
                self._update_attempt(link, attempt, entry, now)
            else:
                self._reconciler.reconcile(link, entry, now)
        reported = {(entry.task_id, entry.attempt) for entry in report.attempts}
        for attempt in list(link.attempts_by_task.values()):
            if (attempt.task_id, attempt.number) not in reported:
                self._handle_unreported(link, attempt, now)
        for task in set(link.unsaved_ends_by_task) - mentioned:
            del link.unsaved_ends_by_task[task]

    def _update_attempt(
        self, link: WorkerLink, attempt: Attempt, entry: AttemptReport, now: Instant
    ) -> None:
        if entry.state is not AttemptState.RUNNING:
            self._reconciler.keep_until_saved(link, entry.task_id, attempt.job)
            end = END_BY_REPORTED_STATE[entry.state]
            self._ends.attempt_ended(attempt, end, now, entry.checkpoint)
            return
        attempt.seen_at_step = attempt.seen_at_step or self._state.step
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
        elif attempt.phase is AttemptPhase.STOPPING:
            self._attempts.send_stop(attempt)
        if now - attempt.sent_at >= PROVEN_AFTER_S:
            self._state.health.mark_proven(attempt.worker_id)

    def _handle_unreported(
        self, link: WorkerLink, attempt: Attempt, now: Instant
    ) -> None:
        if attempt.phase in UNSENT_PHASES:
            return
        if attempt.seen_at_step:
            if attempt.seen_at_step < link.sync_step:
                self._ends.attempt_ended(attempt, AttemptEnd.WORKER_RESTARTED, now)
            return
        arrived_by = attempt.sent_at + self._state.timing.command_timeout_s
        if arrived_by < link.sync_sent_at:
            self._ends.attempt_ended(attempt, AttemptEnd.NOT_STARTED, now)

    def _end_expired(self, link: WorkerLink, now: Instant) -> None:
        for attempt in list(link.attempts_by_task.values()):
            if attempt.phase not in UNSENT_PHASES and attempt.lease_until <= now:
                self._ends.attempt_ended(attempt, AttemptEnd.LOST, now)
        self._reconciler.release_expired_orphans(link, now)

    def _remove_if_unlisted(self, link: WorkerLink) -> bool:
        if (
            link.listed
            or link.attempts_by_task
            or link.orphans_by_key
            or link.preempting_attempt
        ):
            return False
        del self._state.links_by_worker[link.worker_id]
        self._state.ledger.remove(link.worker_id)
        self._state.health.forget_worker(link.worker_id)
        return True


def _renewable(link: WorkerLink) -> list[Attempt]:
    if link.failures >= MAX_FAILURES_WITH_RENEWAL:
        return []
    attempts = link.attempts_by_task.values()
    return [attempt for attempt in attempts if attempt.phase in RENEWED_PHASES]
