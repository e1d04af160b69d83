"""What the runs of workspaces reserve in pools."""

from dataclasses import dataclass, field
from typing import NamedTuple

from tamarackmount.ids import QueueName, WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.jobs.runs import JobState, Run


class PoolLoadKey(NamedTuple):
    """What the capacity that runs reserve is counted by."""

    service: ServiceName
    workspace: WorkspaceId
    queue: QueueName


@dataclass(slots=True)
class PoolLoad:
    """What the runs of one workspace and queue reserve in a pool.

    ``preemptible`` is the part of ``used`` whose runs may be stopped for more urgent
    work. ``release_rates`` is how much of each resource ends of runs free per second,
    in the units of ``Resources``, if runs are at any point of their forecast duration.
    """

    used: Resources = NOTHING
    preemptible: Resources = NOTHING
    release_rates: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    runs: int = 0

    def add(self, run: Run, count: int, is_preemptible: bool) -> None:
        """Add a run (``count`` is 1), or remove it (-1)."""
        amount = run.amount * count
        self.runs += count
        self.used = self.used + amount
        if is_preemptible:
            self.preemptible = self.preemptible + amount
        if run.expected_s > 0:
            self.release_rates[0] += amount.millicores / run.expected_s
            self.release_rates[1] += amount.memory_mib / run.expected_s
            self.release_rates[2] += amount.accelerators / run.expected_s


def pool_load_key(job: JobState) -> PoolLoadKey:
    """Return what the capacity of a job's runs is counted by."""
    accepted = job.accepted
    return PoolLoadKey(accepted.service, accepted.workspace_id, accepted.queue_name)
