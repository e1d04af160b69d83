"""Tracking of which job records need to be saved and which are saved."""

from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, JobId
from tamarackmount.kernel.job_effects import Durability, SaveRecords
from tamarackmount.kernel.job_records import record_text
from tamarackmount.kernel.job_table import JobTable
from tamarackmount.kernel.jobs import Attempt, Job

SOON_DELAY_S = 0.05
"""Longest delay before saving a record that a caller may look up, in seconds."""

RETRY_DELAY_S = 0.5
"""Delay before a refused record is saved again, in seconds."""

MAX_OPEN_SAVES = 1_000
"""Most saves tracked until the log has them; the oldest stored ones are forgotten."""


@dataclass(slots=True)
class Save:
    """Records that are saved under one token.

    ``attempts`` start once the records are stored by another member or the log.
    """

    versions_by_job: dict[JobId, int]
    attempts: list[Attempt] = field(default_factory=list)
    is_stored: bool = False


class RecordSaves:
    """Groups changed jobs into saves and tracks the outcome of each."""

    def __init__(self, epoch: Epoch, table: JobTable, record_save_s: float) -> None:
        """Start with nothing to save."""
        self._epoch = epoch
        self._table = table
        self._record_save_s = record_save_s
        self._due_at_by_job: dict[JobId, Instant] = {}
        self._next_due_at = Instant(float("inf"))
        self._urgent_jobs: dict[JobId, Job] = {}
        self._urgent_attempts: list[Attempt] = []
        self._saves_by_token: dict[int, Save] = {}
        self._last_token = 0
        self._dropped_texts: list[str] = []

    def mark(self, job: Job, now: Instant, *, soon: bool = False) -> None:
        """Schedule a save of the job's record; ``soon`` shortens the delay."""
        if not job.accepted:
            return
        self._mark_due(
            job.id, Instant(now + (SOON_DELAY_S if soon else self._record_save_s))
        )

    def mark_urgent(self, job: Job, attempt: Attempt | None = None) -> None:
        """Save the record with the effects of this input, before ``attempt`` starts."""
        self._urgent_jobs[job.id] = job
        if attempt is not None:
            self._urgent_attempts.append(attempt)

    def mark_dropped(self, job: Job) -> None:
        """Replace a refused job's record, which may be stored after all."""
        job.epoch = self._epoch
        job.version += 1
        self._dropped_texts.append(record_text(job, dropped=True))

    def version_after_next_save(self, job: Job) -> int:
        """Return the record version that will contain the job's current state."""
        return job.version + 1

    def flush(self, now: Instant) -> list[SaveRecords]:
        """Return the saves that are due."""
        saves = []
        if self._urgent_jobs:
            jobs = list(self._urgent_jobs.values())
            saves.append(self._create_save(jobs, self._urgent_attempts, urgent=True))
            self._urgent_jobs = {}
            self._urgent_attempts = []
        if self._dropped_texts:
            self._last_token += 1
            saves.append(SaveRecords(self._last_token, self._dropped_texts, False))
            self._dropped_texts = []
        due = self._take_due(now)
        if due:
            saves.append(self._create_save(due, [], urgent=False))
        return saves

    def saved(self, token: int, durability: Durability) -> list[Attempt]:
        """Mark records as stored; return the attempts that waited for it."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        logged = durability is Durability.LOG
        for job_id, version in save.versions_by_job.items():
            self._mark_stored(job_id, version, logged)
        if logged:
            del self._saves_by_token[token]
        if save.is_stored:
            return []
        save.is_stored = True
        self._drop_oldest_stored()
        return save.attempts

    def jobs_of(self, token: int) -> list[Job]:
        """Return the jobs whose records are saved under a token."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        jobs = map(self._table.jobs_by_id.get, save.versions_by_job)
        return [job for job in jobs if job is not None]

    def refused(self, token: int, now: Instant) -> list[Attempt]:
        """Schedule a new save of refused records; return the attempts that waited."""
        save = self._saves_by_token.get(token)
        if save is None or save.is_stored:
            return []
        del self._saves_by_token[token]
        for job_id in save.versions_by_job:
            self._mark_due(job_id, Instant(now + RETRY_DELAY_S))
        return save.attempts

    def _create_save(
        self, jobs: list[Job], attempts: list[Attempt], *, urgent: bool
    ) -> SaveRecords:
        self._last_token += 1
        versions_by_job = {}
        for job in jobs:
            job.epoch = self._epoch
            job.version += 1
            versions_by_job[job.id] = job.version
            self._due_at_by_job.pop(job.id, None)
        self._saves_by_token[self._last_token] = Save(versions_by_job, attempts)
        records = [record_text(job) for job in jobs]
        return SaveRecords(self._last_token, records, urgent)

    def _mark_due(self, job_id: JobId, due: Instant) -> None:
        scheduled = self._due_at_by_job.get(job_id)
        if scheduled is None or due < scheduled:
            self._due_at_by_job[job_id] = due
            self._next_due_at = min(self._next_due_at, due)

    def _take_due(self, now: Instant) -> list[Job]:
        if now < self._next_due_at:
            return []
        due = [job_id for job_id, at in self._due_at_by_job.items() if at <= now]
        for job_id in due:
            del self._due_at_by_job[job_id]
        self._next_due_at = min(
            self._due_at_by_job.values(), default=Instant(float("inf"))
        )
        jobs = map(self._table.jobs_by_id.get, due)
        return [job for job in jobs if job is not None and job.accepted]

    def _mark_stored(self, job_id: JobId, version: int, logged: bool) -> None:
        job = self._table.jobs_by_id.get(job_id)
        if job is None:
            return
        job.saved_version = max(job.saved_version, version)
        job.logged = job.logged or logged

    def _drop_oldest_stored(self) -> None:
        while len(self._saves_by_token) > MAX_OPEN_SAVES:
            token = next(iter(self._saves_by_token))
            if not self._saves_by_token[token].is_stored:
                return
            del self._saves_by_token[token]
