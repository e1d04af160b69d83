"""Job records that one member holds for its data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from returns.result import Failure

from tamarackmount.ids import Instant, JobId
from tamarackmount.kernel.job_records import JobRecord, read_record

OVER_MEMORY_S = 7_200.0
"""How long the record of a job that is over is held, in seconds.

That is longer than an owner remembers such a job.
"""


@dataclass(frozen=True, slots=True)
class Taken:
    """What came of records: those that were news, and what was wrong with others."""

    newer: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


class JobRecordStore:
    """The newest record of each job, as texts, by job id."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._records_by_job: dict[JobId, JobRecord] = {}
        self._texts_by_job: dict[JobId, str] = {}
        self._forget_at_by_job: dict[JobId, Instant] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._texts_by_job)

    def take(self, texts: Iterable[str], now: Instant) -> Taken:
        """Hold the records that are newer than those held."""
        taken = Taken()
        for text in texts:
            read = read_record(text)
            if isinstance(read, Failure):
                problem = f"job record is not readable: {read.failure()}"
                taken.problems.append(problem)
            elif self._take(read.unwrap(), text, now):
                taken.newer.append(text)
        return taken

    def drop(self, job_ids: Iterable[JobId]) -> None:
        """Forget jobs."""
        for job_id in job_ids:
            self._records_by_job.pop(job_id, None)
            self._texts_by_job.pop(job_id, None)
            self._forget_at_by_job.pop(job_id, None)

    def drop_old(self, now: Instant) -> None:
        """Forget jobs that were over long ago."""
        old = []
        # In the order of their times, the earliest first.
        for job_id, forget_at in self._forget_at_by_job.items():
            if forget_at > now:
                break
            old.append(job_id)
        self.drop(old)

    def texts(self) -> list[str]:
        """Return every record."""
        return list(self._texts_by_job.values())

    def _take(self, record: JobRecord, text: str, now: Instant) -> bool:
        held = self._records_by_job.get(record.job_id)
        if held is not None and not record.is_newer_than(held):
            return False
        self._records_by_job[record.job_id] = record
        self._texts_by_job[record.job_id] = text
        self._forget_at_by_job.pop(record.job_id, None)
        if _is_over(record):
            self._forget_at_by_job[record.job_id] = Instant(now + OVER_MEMORY_S)
        return True


def _is_over(record: JobRecord) -> bool:
    ranges = [pair for pairs in record.ended.values() for pair in pairs]
    ended = sum(last - first + 1 for first, last in ranges)
    return record.dropped or ended >= record.spec.tasks
