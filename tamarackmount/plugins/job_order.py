"""Job orders, which decide whose task is placed next when not all fit."""

from dataclasses import dataclass
from typing import Protocol

from tamarackmount.plugins.manager import Registry

Rank = tuple[float, ...]
"""Sort key; lower goes first."""


@dataclass(frozen=True, slots=True)
class TeamJobUsage:
    """Usage of a team with waiting jobs.

    ``weighted_share`` is the team's largest fraction of the data centre's cores,
    memory or accelerators, divided by its configured share. ``oldest_number`` is the
    acceptance number of its first waiting job.
    """

    weighted_share: float
    oldest_number: int


class JobOrder(Protocol):
    """Ranks teams, and the jobs within a team."""

    def team_rank(self, usage: TeamJobUsage) -> Rank:
        """Return the rank of a team among the teams with waiting work."""

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the rank of a job among its team's jobs of one priority."""


JOB_ORDERS: Registry[JobOrder] = Registry("job order")
"""Job orders by name."""
