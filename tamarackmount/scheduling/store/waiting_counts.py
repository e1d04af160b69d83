"""How many accepted jobs of each queue have not started."""

from typing import Protocol

from tamarackmount.ids import JobId, QueueName
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase


class StoredJob(Protocol):
    """The newest records of a job."""

    is_final: bool

    @property
    def accepted(self) -> AcceptedJob | None:
        """The job as it was submitted, or None if no valid record of it was read."""

    @property
    def phase(self) -> JobPhase | None:
        """The phase that callers are told, or None for a job that was not submitted."""


class WaitingCounts:
    """Counts of waiting jobs by queue.

    Only jobs that changed since the last count are looked at, since looking at a job
    decodes its records.
    """

    __slots__ = ("_changed_by_id", "_count_by_queue", "_queue_by_id")

    def __init__(self) -> None:
        """Start without jobs."""
        self._changed_by_id: dict[JobId, StoredJob] = {}
        self._queue_by_id: dict[JobId, QueueName] = {}
        self._count_by_queue: dict[QueueName, int] = {}

    def count(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not started."""
        for job_id, job in self._changed_by_id.items():
            self._uncount(job_id)
            if job.phase is JobPhase.QUEUED and job.accepted is not None:
                name = job.accepted.queue_name
                self._queue_by_id[job_id] = name
                self._count_by_queue[name] = self._count_by_queue.get(name, 0) + 1
        self._changed_by_id.clear()
        return self._count_by_queue.get(queue, 0)

    def update(self, job_id: JobId, job: StoredJob) -> None:
        """Record that a job has a new record."""
        if job.is_final:
            self.remove(job_id)
        else:
            self._changed_by_id[job_id] = job

    def remove(self, job_id: JobId) -> None:
        """Forget a job that has ended or was removed."""
        self._changed_by_id.pop(job_id, None)
        self._uncount(job_id)

    def clear(self) -> None:
        """Forget all jobs."""
        self._changed_by_id.clear()
        self._queue_by_id.clear()
        self._count_by_queue.clear()

    def _uncount(self, job_id: JobId) -> None:
        queue = self._queue_by_id.pop(job_id, None)
        if queue is not None:
            self._count_by_queue[queue] -= 1
