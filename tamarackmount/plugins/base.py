"""Interface of queue policies.

The policies are in :mod:`tamarackmount.plugins.queue_policies`; interfaces of the other
kinds of plug-in are in ``job_order`` and ``placement``.
"""

from dataclasses import dataclass
from typing import Protocol

from tamarackmount.ids import Instant


@dataclass(frozen=True, slots=True)
class TeamQueueUsage:
    """Usage of a queue by one team with waiting requests.

    ``share`` and ``active_share`` are weights without unit: the team's own, and the
    sum over all teams with waiting or running requests in the queue. ``running`` is
    the number of the team's requests that hold an upstream slot of the queue,
    ``slots`` the number of slots that the queue's service has. ``oldest`` is when the
    team's first waiting request arrived.
    """

    share: float
    active_share: float
    running: int
    slots: int
    oldest: Instant


QueueRank = tuple[float, float]
"""Sort key of a team in a queue; the lowest one is served first."""


class QueuePolicy(Protocol):
    """Order in which the teams of one queue get free upstream slots.

    Inside a team, requests are served in order of arrival. A team is ranked again
    whenever its own use or oldest request changes, so computing a rank must take O(1).
    """

    def rank(self, usage: TeamQueueUsage) -> QueueRank:
        """Return the sort key of a team."""
