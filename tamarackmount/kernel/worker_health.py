"""Detects faulty workers, as distinct from jobs that fail on every worker."""

from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import Instant, JobId, WorkerId

FAILED_JOBS_BEFORE_BACKOFF = 3
"""Number of distinct jobs that must fail on a worker before it is backed off.

A success on the worker resets the count.
"""

PROVEN_WORKERS_TO_BLAME_JOB = 2
"""Number of proven workers on which a job failed that make the job the cause.

Its further failures don't count against any worker.
"""

PROVEN_AFTER_S = 5.0
"""Run time after which an attempt proves that its worker works, in seconds."""

MAX_BACKOFF_FACTOR = 16
"""Maximum backoff of a worker, as a multiple of its first one.

The backoff doubles each time until an attempt on the worker succeeds.
"""


class WorkerHealthState(Enum):
    """Whether a worker may get new attempts, and how many."""

    TRUSTED = "trusted"
    BACKOFF = "resting"
    PROBATION = "probation"


@dataclass(slots=True)
class _Record:
    """Record of a worker with failures.

    ``on_trial`` counts the attempts that started while the worker was on probation. It
    is decremented, down to 0, for each attempt that ends, also for one that started
    before the probation.
    """

    state: WorkerHealthState = WorkerHealthState.TRUSTED
    backoff_until: Instant = Instant(0.0)
    backoffs: int = 0
    on_trial: int = 0
    failed_jobs: dict[JobId, None] = field(default_factory=dict)


class WorkerHealth:
    """Health of each worker, judged by the attempts of different jobs on it.

    A success proves that a worker works, so the earlier failures on it are put down
    to their jobs. Once a job has failed on ``PROVEN_WORKERS_TO_BLAME_JOB`` such
    workers, its failures no longer count against any worker.
    """

    def __init__(self, backoff_s: float) -> None:
        """Trust every worker; ``backoff_s`` is the duration of a first backoff."""
        self._backoff_s = backoff_s
        self._records_by_worker: dict[WorkerId, _Record] = {}
        self._proven_workers_by_job: dict[JobId, set[WorkerId]] = {}
        self._backoff_until_by_worker: dict[WorkerId, Instant] = {}

    def state(self, worker_id: WorkerId) -> WorkerHealthState:
        """Return the health state of a worker."""
        record = self._records_by_worker.get(worker_id)
        return record.state if record else WorkerHealthState.TRUSTED

    def accepts(self, worker_id: WorkerId) -> bool:
        """Return whether a start may be sent to the worker now.

        A worker on probation runs one attempt at a time.
        """
        record = self._records_by_worker.get(worker_id)
        if record is None or record.state is WorkerHealthState.TRUSTED:
            return True
        return record.state is WorkerHealthState.PROBATION and record.on_trial == 0

    def attempt_started(self, worker_id: WorkerId) -> None:
        """Record the start of an attempt."""
        record = self._records_by_worker.get(worker_id)
        if record is not None and record.state is WorkerHealthState.PROBATION:
            record.on_trial += 1

    def attempt_ended(self, worker_id: WorkerId) -> None:
        """Record that an attempt has ended, with any result."""
        record = self._records_by_worker.get(worker_id)
        if record is not None:
            record.on_trial = max(0, record.on_trial - 1)

    def mark_proven(self, worker_id: WorkerId) -> None:
        """Record an attempt that proves that the worker works."""
        record = self._records_by_worker.get(worker_id)
        if record is None:
            return
        for job_id in record.failed_jobs:
            self._proven_workers_by_job.setdefault(job_id, set()).add(worker_id)
        self._backoff_until_by_worker.pop(worker_id, None)
        del self._records_by_worker[worker_id]

    def attempt_failed(self, worker_id: WorkerId, job_id: JobId, now: Instant) -> None:
        """Record an attempt that failed within ``PROVEN_AFTER_S`` of its start."""
        if (
            len(self._proven_workers_by_job.get(job_id, ()))
            >= PROVEN_WORKERS_TO_BLAME_JOB
        ):
            return
        record = self._records_by_worker.setdefault(worker_id, _Record())
        record.failed_jobs[job_id] = None
        if record.state is WorkerHealthState.BACKOFF:
            return
        on_probation = record.state is WorkerHealthState.PROBATION
        if on_probation or len(record.failed_jobs) >= FAILED_JOBS_BEFORE_BACKOFF:
            self._back_off(worker_id, record, now)

    def end_backoffs(self, now: Instant) -> list[WorkerId]:
        """Put workers whose backoff has ended on probation and return them."""
        ready = [
            worker_id
            for worker_id, until in self._backoff_until_by_worker.items()
            if until <= now
        ]
        for worker_id in ready:
            del self._backoff_until_by_worker[worker_id]
            record = self._records_by_worker[worker_id]
            record.state = WorkerHealthState.PROBATION
            record.on_trial = 0
        return ready

    def forget_job(self, job_id: JobId) -> None:
        """Delete the data of a job that is no longer in the job table."""
        self._proven_workers_by_job.pop(job_id, None)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Delete the data of a worker that is no longer listed."""
        self._records_by_worker.pop(worker_id, None)
        self._backoff_until_by_worker.pop(worker_id, None)

    def _back_off(self, worker_id: WorkerId, record: _Record, now: Instant) -> None:
        factor = min(2**record.backoffs, MAX_BACKOFF_FACTOR)
        record.state = WorkerHealthState.BACKOFF
        record.backoffs += 1
        record.backoff_until = Instant(now + self._backoff_s * factor)
        self._backoff_until_by_worker[worker_id] = record.backoff_until
