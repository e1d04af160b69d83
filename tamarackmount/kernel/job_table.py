"""Indexes all jobs of one data centre."""

import heapq
from collections.abc import Iterable

from tamarackmount.ids import DataCentreId, Instant, JobId, WorkspaceId
from tamarackmount.kernel.jobs import Job


class JobTable:
    """Jobs by id and by team; ended jobs are removed after a deadline."""

    def __init__(self, data_centre: DataCentreId) -> None:
        """Start empty."""
        self._data_centre = data_centre
        self.jobs_by_id: dict[JobId, Job] = {}
        self._job_ids_by_team: dict[WorkspaceId, dict[JobId, None]] = {}
        self._removals: list[tuple[Instant, JobId]] = []
        self._next_number = 1

    def job_id(self, team_id: WorkspaceId, name: str) -> JobId:
        """Return the id of the job to which a team gave ``name``."""
        return JobId(f"{self._data_centre}:{team_id}:{name}")

    def allocate_number(self) -> int:
        """Return a number for a newly submitted job, higher than all others."""
        number = self._next_number
        self._next_number += 1
        return number

    def add(self, job: Job) -> None:
        """Add a job; its id must not be in use."""
        self.jobs_by_id[job.id] = job
        self._job_ids_by_team.setdefault(job.team_id, {})[job.id] = None
        self._next_number = max(self._next_number, job.accepted_number + 1)

    def remove(self, job: Job) -> None:
        """Remove a job."""
        del self.jobs_by_id[job.id]
        job_ids = self._job_ids_by_team[job.team_id]
        del job_ids[job.id]
        if not job_ids:
            del self._job_ids_by_team[job.team_id]

    def find(self, team_id: WorkspaceId, job_id: JobId) -> Job | None:
        """Return an accepted job of the team by its id or the team's name for it."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            job = self.jobs_by_id.get(self.job_id(team_id, job_id))
        if job is None or job.team_id != team_id or not job.accepted:
            return None
        return job

    def of_team(self, team_id: WorkspaceId) -> Iterable[Job]:
        """Return the accepted jobs of a team in the order of their ids."""
        job_ids = sorted(self._job_ids_by_team.get(team_id, ()))
        jobs = (self.jobs_by_id[job_id] for job_id in job_ids)
        return [job for job in jobs if job.accepted]

    def schedule_removal(self, job: Job, deadline: Instant) -> None:
        """Schedule the removal of an ended job at the deadline."""
        heapq.heappush(self._removals, (deadline, job.id))

    def remove_expired(self, now: Instant) -> list[JobId]:
        """Remove the ended jobs whose deadline has passed and return their ids."""
        removed = []
        while self._removals and self._removals[0][0] <= now:
            _, job_id = heapq.heappop(self._removals)
            job = self.jobs_by_id.get(job_id)
            if job is None or not job.is_over():
                continue
            self.remove(job)
            removed.append(job_id)
        return removed
