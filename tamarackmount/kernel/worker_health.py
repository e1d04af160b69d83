"""Tells workers that fail what they start from jobs that fail everywhere."""

from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import Instant, JobId, WorkerId

FAILED_JOBS_BEFORE_REST = 3
"""Different jobs that must fail one after another before a worker rests."""

EXCUSES_BEFORE_BLAME = 2
"""Good workers on which a job failed before its failures blame no worker."""

PROVEN_AFTER_S = 5.0
"""Run time after which an attempt speaks for its worker, in seconds."""

LONGEST_REST_FACTOR = 16
"""How many times the first rest the longest one lasts."""


class WorkerHealthState(Enum):
    """How far a worker is trusted."""

    TRUSTED = "trusted"
    BACKOFF = "resting"
    PROBATION = "probation"


@dataclass(slots=True)
class _Record:
    state: WorkerHealthState = WorkerHealthState.TRUSTED
    rest_until: Instant = Instant(0.0)
    rests: int = 0
    on_trial: int = 0
    failed_jobs: dict[JobId, None] = field(default_factory=dict)


class WorkerHealth:
    """Trust in each worker, from how the starts of different jobs went there.

    A success proves a worker good and so excuses it for the jobs that failed
    there: a job that failed on several good workers blames no further one.
    """

    def __init__(self, backoff_s: float) -> None:
        """Trust every worker; ``backoff_s`` is how long a first rest lasts."""
        self._backoff_s = backoff_s
        self._records_by_worker: dict[WorkerId, _Record] = {}
        self._excuses_by_job: dict[JobId, set[WorkerId]] = {}
        self._resting: dict[WorkerId, Instant] = {}

    def state(self, worker_id: WorkerId) -> WorkerHealthState:
        """Return how far the worker is trusted."""
        record = self._records_by_worker.get(worker_id)
        return record.state if record else WorkerHealthState.TRUSTED

    def accepts(self, worker_id: WorkerId) -> bool:
        """Tell whether a start may be sent to the worker now."""
        record = self._records_by_worker.get(worker_id)
        if record is None or record.state is WorkerHealthState.TRUSTED:
            return True
        return record.state is WorkerHealthState.PROBATION and record.on_trial == 0

    def started(self, worker_id: WorkerId) -> None:
        """Note a start; a worker on probation takes one at a time."""
        record = self._records_by_worker.get(worker_id)
        if record is not None and record.state is WorkerHealthState.PROBATION:
            record.on_trial += 1

    def over(self, worker_id: WorkerId) -> None:
        """Note that an attempt is over, whatever its end."""
        record = self._records_by_worker.get(worker_id)
        if record is not None:
            record.on_trial = max(0, record.on_trial - 1)

    def proved(self, worker_id: WorkerId) -> None:
        """Note an attempt that ran well."""
        record = self._records_by_worker.get(worker_id)
        if record is None:
            return
        for job_id in record.failed_jobs:
            self._excuses_by_job.setdefault(job_id, set()).add(worker_id)
        self._resting.pop(worker_id, None)
        del self._records_by_worker[worker_id]

    def failed(self, worker_id: WorkerId, job_id: JobId, now: Instant) -> None:
        """Note that a job's attempt failed at or soon after its start."""
        if len(self._excuses_by_job.get(job_id, ())) >= EXCUSES_BEFORE_BLAME:
            return
        record = self._records_by_worker.setdefault(worker_id, _Record())
        record.failed_jobs[job_id] = None
        if record.state is WorkerHealthState.BACKOFF:
            return
        on_probation = record.state is WorkerHealthState.PROBATION
        if on_probation or len(record.failed_jobs) >= FAILED_JOBS_BEFORE_REST:
            self._rest(worker_id, record, now)

    def end_backoffs(self, now: Instant) -> list[WorkerId]:
        """Put workers whose rest is over on probation and return them."""
        rested = [worker for worker, until in self._resting.items() if until <= now]
        for worker_id in rested:
            del self._resting[worker_id]
            record = self._records_by_worker[worker_id]
            record.state = WorkerHealthState.PROBATION
            record.on_trial = 0
        return rested

    def forget_job(self, job_id: JobId) -> None:
        """Forget what is known of a job that is no longer kept."""
        self._excuses_by_job.pop(job_id, None)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Forget what is known of a worker that is no longer listed."""
        self._records_by_worker.pop(worker_id, None)
        self._resting.pop(worker_id, None)

    def _rest(self, worker_id: WorkerId, record: _Record, now: Instant) -> None:
        factor = min(2**record.rests, LONGEST_REST_FACTOR)
        record.state = WorkerHealthState.BACKOFF
        record.rests += 1
        record.rest_until = Instant(now + self._backoff_s * factor)
        self._resting[worker_id] = record.rest_until
