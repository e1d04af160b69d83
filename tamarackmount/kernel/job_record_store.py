"""Stores the job records that one member keeps for its data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from returns.result import Failure

from tamarackmount.ids import Instant, JobId
from tamarackmount.kernel.job_records import JobRecord, read_record

ENDED_RECORD_RETENTION_S = 7_200.0
"""How long the record of an ended job is kept, in seconds.

This is longer than an owner keeps an ended job.
"""


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Records that were stored, and errors of those that could not be read."""

    newer: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


class JobRecordStore:
    """The newest record of each job."""

    def __init__(self) -> None:
        """Start empty."""
        self._records_by_job: dict[JobId, JobRecord] = {}
        self._texts_by_job: dict[JobId, str] = {}
        self._expiry_by_job: dict[JobId, Instant] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._texts_by_job)

    def merge(self, texts: Iterable[str], now: Instant) -> MergeResult:
        """Store the records that are newer than those in the store."""
        result = MergeResult()
        for text in texts:
            read = read_record(text)
            if isinstance(read, Failure):
                problem = f"job record cannot be read: {read.failure()}"
                result.problems.append(problem)
            elif self._store_if_newer(read.unwrap(), text, now):
                result.newer.append(text)
        return result

    def drop(self, job_ids: Iterable[JobId]) -> None:
        """Delete the records of the given jobs."""
        for job_id in job_ids:
            self._records_by_job.pop(job_id, None)
            self._texts_by_job.pop(job_id, None)
            self._expiry_by_job.pop(job_id, None)

    def drop_expired(self, now: Instant) -> None:
        """Delete the records of ended jobs whose retention time has passed."""
        expired = []
        # Entries are inserted in order of expiry, so the first later one ends the scan.
        for job_id, expiry in self._expiry_by_job.items():
            if expiry > now:
                break
            expired.append(job_id)
        self.drop(expired)

    def texts(self) -> list[str]:
        """Return the text of every record."""
        return list(self._texts_by_job.values())

    def _store_if_newer(self, record: JobRecord, text: str, now: Instant) -> bool:
        stored = self._records_by_job.get(record.job_id)
        if stored is not None and not record.is_newer_than(stored):
            return False
        self._records_by_job[record.job_id] = record
        self._texts_by_job[record.job_id] = text
        self._expiry_by_job.pop(record.job_id, None)
        if _is_finished(record):
            self._expiry_by_job[record.job_id] = Instant(now + ENDED_RECORD_RETENTION_S)
        return True


def _is_finished(record: JobRecord) -> bool:
    ranges = [pair for pairs in record.ended.values() for pair in pairs]
    ended = sum(last - first + 1 for first, last in ranges)
    return record.dropped or ended >= record.spec.tasks
