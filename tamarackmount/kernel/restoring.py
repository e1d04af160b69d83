"""Takes over the jobs of former owners from their records."""

import heapq
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure

from tamarackmount.ids import Instant, JobId
from tamarackmount.kernel.cell import Cell
from tamarackmount.kernel.index_ranges import IndexRanges
from tamarackmount.kernel.job_records import JobRecord, job_from_record, read_record
from tamarackmount.kernel.jobs import AttemptEnd, Job, TaskState
from tamarackmount.kernel.placing import Placing
from tamarackmount.kernel.runnable import check
from tamarackmount.kernel.task_ends import TaskEnds

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, order=True)
class _Hold:
    until: Instant
    job_id: JobId


class Restoring:
    """Holds restored jobs until no former owner's attempt can run unseen."""

    def __init__(self, cell: Cell, ends: TaskEnds, placing: Placing) -> None:
        """Work on the state of ``cell``."""
        self._cell = cell
        self._ends = ends
        self._placing = placing
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

    def end_holds(self, now: Instant) -> None:
        """Let held jobs go on for which every former lease is over."""
        while self._holds and self._holds[0].until <= now:
            hold = heapq.heappop(self._holds)
            job = self._cell.table.jobs_by_id.get(hold.job_id)
            if job is not None and job.held:
                self._release(job, now)

    def _take(self, record: JobRecord, now: Instant) -> None:
        known = self._cell.table.jobs_by_id.get(record.job_id)
        if known is not None:
            self._merge(known, record, now)
        elif not record.dropped:
            self._add(job_from_record(record), now)

    def _add(self, job: Job, now: Instant) -> None:
        cell = self._cell
        job.order = self._placing.order_of(job)
        job.waiting_since = now
        job.ended = job.is_over()
        cell.table.add(job)
        if job.ended:
            memory = cell.timing.job_memory_s
            cell.table.drop_after(job, Instant(now + memory))
            return
        self._hold(job, now)
        check(cell, job, now)

    def _hold(self, job: Job, now: Instant) -> None:
        until = self._cell.lease_deadline(now)
        job.held = True
        job.why_waiting = "a former owner's attempt may still run"
        heapq.heappush(self._holds, _Hold(until, job.id))
        account = self._cell.accounts.account(job.team_id)
        account.uncertain_until = max(account.uncertain_until, until)

    def _merge(self, job: Job, record: JobRecord, now: Instant) -> None:
        """Take over what a newer record of a job that is still held knows."""
        newer = (record.epoch, record.version) > (job.epoch, job.version)
        if not newer or not job.held:
            return
        job.epoch, job.version = record.epoch, record.version
        job.cancelled = job.cancelled or record.cancelled
        job.failed = job.failed or record.failed
        for state, ranges in record.ended.items():
            self._end_all(job, state, ranges)
        for index in IndexRanges(record.attempted):
            if index in job.waiting:
                job.attempted.add(index)
        self._cell.settle(job, now)

    def _end_all(
        self, job: Job, state: TaskState, ranges: list[tuple[int, int]]
    ) -> None:
        for index in IndexRanges(ranges):
            if index in job.waiting:
                job.waiting.discard(index)
                job.end(index, state)

    def _release(self, job: Job, now: Instant) -> None:
        job.held = False
        job.why_waiting = ""
        for index in list(job.attempted):
            if index in job.waiting:
                self._ends.apply_reported(job, index, AttemptEnd.LOST, now)
        if job.closing:
            job.end_waiting(TaskState.CANCELLED)
        elif job.is_gang and 0 < job.waiting_count() < job.spec.tasks:
            self._ends.break_gang(job, now)
        self._cell.settle(job, now)
        self._cell.place_needed = True
