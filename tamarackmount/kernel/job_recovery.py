"""Restores the jobs of former owners from their records."""

import heapq
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure

from tamarackmount.ids import Instant, JobId
from tamarackmount.kernel.feasibility import check
from tamarackmount.kernel.index_ranges import IndexRanges
from tamarackmount.kernel.job_records import JobRecord, job_from_record, read_record
from tamarackmount.kernel.jobs import AttemptEnd, Job, TaskState
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.task_placement import TaskPlacer

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, order=True)
class _Quarantine:
    until: Instant
    job_id: JobId


class JobRecovery:
    """Quarantines restored jobs while a former owner's attempts may run unseen."""

    def __init__(
        self, state: SchedulerState, ends: TaskEnds, placer: TaskPlacer
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._ends = ends
        self._placer = placer
        self._quarantines: list[_Quarantine] = []

    def restore(self, texts: Sequence[str], now: Instant) -> None:
        """Restore the newest record of every job; log and skip unreadable ones."""
        newest_by_job: dict[JobId, JobRecord] = {}
        for text in texts:
            result = read_record(text)
            if isinstance(result, Failure):
                logger.warning(
                    "skipped a job record that cannot be read",
                    extra={"error": result.failure(), "record": text},
                )
                continue
            record = result.unwrap()
            known = newest_by_job.get(record.job_id)
            if known is None or record.is_newer_than(known):
                newest_by_job[record.job_id] = record
        for record in newest_by_job.values():
            self._restore_record(record, now)

    def release_quarantined(self, now: Instant) -> None:
        """Release the quarantined jobs for which every former lease has expired."""
        while self._quarantines and self._quarantines[0].until <= now:
            quarantine = heapq.heappop(self._quarantines)
            job = self._state.table.jobs_by_id.get(quarantine.job_id)
            if job is not None and job.is_quarantined:
                self._release(job, now)

    def _restore_record(self, record: JobRecord, now: Instant) -> None:
        known = self._state.table.jobs_by_id.get(record.job_id)
        if known is not None:
            self._merge_into_quarantined(known, record, now)
        elif not record.dropped:
            self._restore_job(job_from_record(record), now)

    def _restore_job(self, job: Job, now: Instant) -> None:
        state = self._state
        job.order = self._placer.order_of(job)
        job.waiting_since = now
        job.ended = job.is_over()
        state.table.add(job)
        if job.ended:
            retention = state.timing.ended_job_retention_s
            state.table.schedule_removal(job, Instant(now + retention))
            return
        self._quarantine(job, now)
        check(state, job, now)

    def _quarantine(self, job: Job, now: Instant) -> None:
        until = self._state.lease_deadline(now)
        job.is_quarantined = True
        job.why_waiting = "waits until no attempt of a former owner can still run"
        heapq.heappush(self._quarantines, _Quarantine(until, job.id))
        account = self._state.accounts.account(job.team_id)
        account.uncertain_until = max(account.uncertain_until, until)

    def _merge_into_quarantined(
        self, job: Job, record: JobRecord, now: Instant
    ) -> None:
        """Merge a newer record into a job that is still quarantined."""
        newer = (record.epoch, record.version) > (job.epoch, job.version)
        if not newer or not job.is_quarantined:
            return
        job.epoch, job.version = record.epoch, record.version
        job.cancelled = job.cancelled or record.cancelled
        job.failed = job.failed or record.failed
        for state, ranges in record.ended.items():
            self._end_waiting_tasks(job, state, ranges)
        for index in IndexRanges(record.attempted):
            if index in job.waiting:
                job.attempted.add(index)
        self._state.job_changed(job, now)

    def _end_waiting_tasks(
        self, job: Job, state: TaskState, ranges: list[tuple[int, int]]
    ) -> None:
        for index in IndexRanges(ranges):
            if index in job.waiting:
                job.waiting.discard(index)
                job.end(index, state)

    def _release(self, job: Job, now: Instant) -> None:
        job.is_quarantined = False
        job.why_waiting = ""
        for index in list(job.attempted):
            if index in job.waiting:
                self._ends.apply_former_attempt_end(job, index, AttemptEnd.LOST, now)
        if job.closing:
            job.end_waiting(TaskState.CANCELLED)
        elif job.is_gang and 0 < job.waiting_count() < job.spec.tasks:
            self._ends.break_gang(job, now)
        self._state.job_changed(job, now)
        self._state.place_needed = True
