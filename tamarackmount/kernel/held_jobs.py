"""Job records that one member holds for its data centre."""

from collections.abc import Iterable

from returns.result import Failure

from tamarackmount.ids import JobId
from tamarackmount.kernel.job_records import JobRecord, read_record


class HeldJobs:
    """The newest record of each job, as texts, by job id."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._records_by_job: dict[JobId, JobRecord] = {}
        self._texts_by_job: dict[JobId, str] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._texts_by_job)

    def take(self, texts: Iterable[str]) -> list[str]:
        """Hold the records that are newer than those held; return problems."""
        problems = []
        for text in texts:
            read = read_record(text)
            if isinstance(read, Failure):
                problems.append(f"job record is not readable: {read.failure()}")
            else:
                self._take(read.unwrap(), text)
        return problems

    def drop(self, job_ids: Iterable[JobId]) -> None:
        """Forget jobs."""
        for job_id in job_ids:
            self._records_by_job.pop(job_id, None)
            self._texts_by_job.pop(job_id, None)

    def texts(self) -> list[str]:
        """Return every record."""
        return list(self._texts_by_job.values())

    def _take(self, record: JobRecord, text: str) -> None:
        held = self._records_by_job.get(record.job_id)
        if held is None or record.is_newer_than(held):
            self._records_by_job[record.job_id] = record
            self._texts_by_job[record.job_id] = text
