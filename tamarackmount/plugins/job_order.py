"""Job orders: whose task is placed next when there is not room for all."""

from dataclasses import dataclass
from typing import Protocol

from tamarackmount.plugins.manager import Registry

Rank = tuple[float, ...]
"""Sort key; lower goes first."""


@dataclass(frozen=True, slots=True)
class TeamJobUsage:
    """What a team uses and waits for.

    ``weighted_share`` is the team's largest part of the cell's cores, memory or
    accelerators, divided by its share. ``oldest_number`` is the number under which
    its first waiting job was accepted.
    """

    weighted_share: float
    oldest_number: int


class JobOrder(Protocol):
    """Ranks teams, and the jobs inside one team."""

    def team_rank(self, standing: TeamJobUsage) -> Rank:
        """Return the rank of a team among the teams with waiting work."""

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the rank of a job among its team's jobs of one priority."""


JOB_ORDERS: Registry[JobOrder] = Registry("job order")
"""Job orders by name."""
