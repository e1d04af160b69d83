"""Jobs that have tasks to place, by priority and team."""

from collections import Counter
from collections.abc import Iterator

from sortedcontainers import SortedDict

from tamarackmount.ids import WorkspaceId
from tamarackmount.kernel.jobs import Job
from tamarackmount.resources import Resources


class WaitingQueue:
    """Jobs in placement order, kept separately for each priority and team."""

    def __init__(self) -> None:
        """Start empty."""
        self._jobs_by_urgency: dict[bool, dict[WorkspaceId, SortedDict]] = {
            True: {},
            False: {},
        }
        self.job_count_by_amount: Counter[Resources] = Counter()

    def refresh(self, job: Job) -> None:
        """Add or remove the job according to its state."""
        queued = self.contains(job)
        if queued == is_placeable(job):
            return
        if queued:
            self._remove(job)
        else:
            self._add(job)

    def teams(self, urgent: bool) -> list[WorkspaceId]:
        """Return the teams that have queued jobs of a priority."""
        return list(self._jobs_by_urgency[urgent])

    def jobs(self, team_id: WorkspaceId, urgent: bool) -> Iterator[Job]:
        """Yield a team's jobs of a priority.

        The caller must stop iterating once it changes the queue.
        """
        jobs = self._jobs_by_urgency[urgent].get(team_id)
        yield from jobs.values() if jobs else ()

    def contains(self, job: Job) -> bool:
        """Return whether the job is queued."""
        jobs = self._jobs_by_urgency[job.urgent].get(job.team_id)
        return jobs is not None and jobs.get(job.order) is job

    def _add(self, job: Job) -> None:
        jobs = self._jobs_by_urgency[job.urgent].setdefault(job.team_id, SortedDict())
        jobs[job.order] = job
        self.job_count_by_amount[job.amount] += 1

    def _remove(self, job: Job) -> None:
        by_team = self._jobs_by_urgency[job.urgent]
        del by_team[job.team_id][job.order]
        if not by_team[job.team_id]:
            del by_team[job.team_id]
        self.job_count_by_amount[job.amount] -= 1
        if not self.job_count_by_amount[job.amount]:
            del self.job_count_by_amount[job.amount]


def is_placeable(job: Job) -> bool:
    """Return whether the job has tasks that may be placed now."""
    if not job.accepted or job.is_quarantined or job.closing or job.is_infeasible:
        return False
    if job.is_gang:
        return len(job.waiting) == job.spec.tasks
    return len(job.waiting) > 0
