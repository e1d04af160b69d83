"""Which job records are to be held, and which of them are."""

from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, JobId
from tamarackmount.kernel.job_effects import Durability, SaveRecords
from tamarackmount.kernel.job_records import record_text
from tamarackmount.kernel.job_table import JobTable
from tamarackmount.kernel.jobs import Attempt, Job

SOON_S = 0.05
"""Longest wait of a record that somebody may look for, in seconds."""

RETRY_S = 0.5
"""Wait before a refused record is offered again, in seconds."""

MAX_OPEN_SAVES = 1_000
"""Most saves whose arrival in the log is still waited for."""


@dataclass(slots=True)
class Save:
    """Records that were offered under one token.

    ``attempts`` start once the records are held.
    """

    versions_by_job: dict[JobId, int]
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False


class RecordSaves:
    """Groups changed jobs into saves and follows what became of them."""

    def __init__(self, epoch: Epoch, table: JobTable, record_save_s: float) -> None:
        """Start with nothing to save."""
        self._epoch = epoch
        self._table = table
        self._record_save_s = record_save_s
        self._due_by_job: dict[JobId, Instant] = {}
        self._next_due = Instant(float("inf"))
        self._urgent_jobs: dict[JobId, Job] = {}
        self._urgent_attempts: list[Attempt] = []
        self._saves_by_token: dict[int, Save] = {}
        self._last_token = 0
        self._dropped_texts: list[str] = []

    def mark(self, job: Job, now: Instant, *, soon: bool = False) -> None:
        """Have the job's record saved within a while."""
        if not job.accepted:
            return
        self._mark_due(job.id, Instant(now + (SOON_S if soon else self._record_save_s)))

    def mark_urgent(self, job: Job, attempt: Attempt | None = None) -> None:
        """Have the record saved with this step's effects, before ``attempt``."""
        self._urgent_jobs[job.id] = job
        if attempt is not None:
            self._urgent_attempts.append(attempt)

    def mark_dropped(self, job: Job) -> None:
        """Have a refused job's record replaced, should somebody hold it after all."""
        job.epoch = self._epoch
        job.version += 1
        self._dropped_texts.append(record_text(job, dropped=True))

    def version_after_next_save(self, job: Job) -> int:
        """Return the version that will hold what the job is now."""
        return job.version + 1

    def flush(self, now: Instant) -> list[SaveRecords]:
        """Return the saves that are due."""
        saves = []
        if self._urgent_jobs:
            jobs = list(self._urgent_jobs.values())
            saves.append(self._offer(jobs, self._urgent_attempts, urgent=True))
            self._urgent_jobs = {}
            self._urgent_attempts = []
        if self._dropped_texts:
            self._last_token += 1
            saves.append(SaveRecords(self._last_token, self._dropped_texts, False))
            self._dropped_texts = []
        due = self._take_due(now)
        if due:
            saves.append(self._offer(due, [], urgent=False))
        return saves

    def saved(self, token: int, durability: Durability) -> list[Attempt]:
        """Note that records are held and return the attempts that waited for it."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        logged = durability is Durability.LOG
        for job_id, version in save.versions_by_job.items():
            self._note_held(job_id, version, logged)
        if logged:
            del self._saves_by_token[token]
        if save.held:
            return []
        save.held = True
        self._forget_oldest()
        return save.attempts

    def jobs_of(self, token: int) -> list[Job]:
        """Return the jobs whose records were offered under the token."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        jobs = map(self._table.jobs_by_id.get, save.versions_by_job)
        return [job for job in jobs if job is not None]

    def refused(self, token: int, now: Instant) -> list[Attempt]:
        """Note that nobody holds the records; return the attempts that waited."""
        save = self._saves_by_token.get(token)
        if save is None or save.held:
            return []
        del self._saves_by_token[token]
        for job_id in save.versions_by_job:
            self._mark_due(job_id, Instant(now + RETRY_S))
        return save.attempts

    def _offer(
        self, jobs: list[Job], attempts: list[Attempt], *, urgent: bool
    ) -> SaveRecords:
        self._last_token += 1
        versions_by_job = {}
        for job in jobs:
            job.epoch = self._epoch
            job.version += 1
            versions_by_job[job.id] = job.version
            self._due_by_job.pop(job.id, None)
        self._saves_by_token[self._last_token] = Save(versions_by_job, attempts)
        records = [record_text(job) for job in jobs]
        return SaveRecords(self._last_token, records, urgent)

    def _mark_due(self, job_id: JobId, due: Instant) -> None:
        known = self._due_by_job.get(job_id)
        if known is None or due < known:
            self._due_by_job[job_id] = due
            self._next_due = min(self._next_due, due)

    def _take_due(self, now: Instant) -> list[Job]:
        if now < self._next_due:
            return []
        due = [job_id for job_id, at in self._due_by_job.items() if at <= now]
        for job_id in due:
            del self._due_by_job[job_id]
        self._next_due = min(self._due_by_job.values(), default=Instant(float("inf")))
        jobs = map(self._table.jobs_by_id.get, due)
        return [job for job in jobs if job is not None and job.accepted]

    def _note_held(self, job_id: JobId, version: int, logged: bool) -> None:
        job = self._table.jobs_by_id.get(job_id)
        if job is None:
            return
        job.saved_version = max(job.saved_version, version)
        job.logged = job.logged or logged

    def _forget_oldest(self) -> None:
        while len(self._saves_by_token) > MAX_OPEN_SAVES:
            token = next(iter(self._saves_by_token))
            if not self._saves_by_token[token].held:
                return
            del self._saves_by_token[token]
