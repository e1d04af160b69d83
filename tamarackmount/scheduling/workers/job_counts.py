"""Counts by worker and job."""

from dataclasses import dataclass, field

from tamarackmount.ids import JobId
from tamarackmount.scheduling.domain.model import WorkerIncarnation


@dataclass(slots=True)
class JobCounts:
    """Numbers of runs or tasks by worker and job; jobs without any are left out."""

    _count_by_job: dict[WorkerIncarnation, dict[JobId, int]] = field(
        default_factory=dict
    )

    def add(self, worker: WorkerIncarnation, job_id: JobId, count: int) -> None:
        """Add to the number of a job on a worker; ``count`` may be negative."""
        by_job = self._count_by_job.setdefault(worker, {})
        by_job[job_id] = by_job.get(job_id, 0) + count
        if not by_job[job_id]:
            del by_job[job_id]
        if not by_job:
            del self._count_by_job[worker]

    def remove_worker(self, worker: WorkerIncarnation) -> None:
        """Remove the numbers of all jobs on a worker."""
        self._count_by_job.pop(worker, None)

    def job_count(self, worker: WorkerIncarnation) -> int:
        """Return the number of jobs on a worker."""
        return len(self._count_by_job.get(worker, ()))

    def has_any_besides(self, worker: WorkerIncarnation, job_id: JobId) -> bool:
        """Tell whether a worker has any of other jobs."""
        by_job = self._count_by_job.get(worker)
        return by_job is not None and (len(by_job) > 1 or job_id not in by_job)
