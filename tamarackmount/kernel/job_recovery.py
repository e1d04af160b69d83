"""Takes over the jobs of former owners from their records."""

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
class _Hold:
    until: Instant
    job_id: JobId


class JobRecovery:
    """Holds restored jobs until no former owner's attempt can run unseen."""

    def __init__(
        self, state: SchedulerState, ends: TaskEnds, placer: TaskPlacer
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._ends = ends
        self._placer = placer
        self._holds: list[_Hold] = []

    def restore(self, texts: Sequence[str], now: Instant) -> None:
        """Take the newest record of every job; bad ones are logged."""
        newest_by_job: dict[JobId, JobRecord] = {}
        for text in texts:
            result = read_record(text)
            if isinstance(result, Failure):
                logger.warning(
                    "bad job record", extra={"error": result.failure(), "record": text}
                )
                continue
            record = result.unwrap()
            known = newest_by_job.get(record.job_id)
            if known is None or record.is_newer_than(known):
                newest_by_job[record.job_id] = record
        for record in newest_by_job.values():
            self._take(record, now)

    def release_quarantined(self, now: Instant) -> None:
        """Let held jobs go on for which every former lease is over."""
        while self._holds and self._holds[0].until <= now:
            hold = heapq.heappop(self._holds)
            job = self._state.table.jobs_by_id.get(hold.job_id)
            if job is not None and job.is_quarantined:
                self._release(job, now)

    def _take(self, record: JobRecord, now: Instant) -> None:
        known = self._state.table.jobs_by_id.get(record.job_id)
        if known is not None:
            self._merge(known, record, now)
        elif not record.dropped:
            self._add(job_from_record(record), now)

    def _add(self, job: Job, now: Instant) -> None:
        state = self._state
        job.order = self._placer.order_of(job)
        job.waiting_since = now
        job.ended = job.is_over()
        state.table.add(job)
        if job.ended:
            memory = state.timing.job_memory_s
            state.table.drop_after(job, Instant(now + memory))
            return
        self._hold(job, now)
        check(state, job, now)

    def _hold(self, job: Job, now: Instant) -> None:
        until = self._state.lease_deadline(now)
        job.is_quarantined = True
        job.why_waiting = "a former owner's attempt may still run"
        heapq.heappush(self._holds, _Hold(until, job.id))
        account = self._state.accounts.account(job.team_id)
        account.uncertain_until = max(account.uncertain_until, until)

    def _merge(self, job: Job, record: JobRecord, now: Instant) -> None:
        """Take over what a newer record of a job that is still held knows."""
        newer = (record.epoch, record.version) > (job.epoch, job.version)
        if not newer or not job.is_quarantined:
            return
        job.epoch, job.version = record.epoch, record.version
        job.cancelled = job.cancelled or record.cancelled
        job.failed = job.failed or record.failed
        for state, ranges in record.ended.items():
            self._end_all(job, state, ranges)
        for index in IndexRanges(record.attempted):
            if index in job.waiting:
                job.attempted.add(index)
        self._state.settle(job, now)

    def _end_all(
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
                self._ends.apply_reported(job, index, AttemptEnd.LOST, now)
        if job.closing:
            job.end_waiting(TaskState.CANCELLED)
        elif job.is_gang and 0 < job.waiting_count() < job.spec.tasks:
            self._ends.break_gang(job, now)
        self._state.settle(job, now)
        self._state.place_needed = True
