"""Queue policies: which team's request gets the next free upstream slot."""

from collections.abc import Callable

from tamarackmount.plugins.base import QueuePolicy, QueueRank, TeamQueueUsage
from tamarackmount.plugins.manager import Registry

queue_policies: Registry[Callable[[], QueuePolicy]] = Registry("queue policy")
"""Constructors of queue policies by the name that queue documents use."""


@queue_policies.register("waiting-time")
class WaitingTimePolicy:
    """Earliest request first among the teams within their concurrency limits.

    A team's concurrency limit is its share of the service's slots among the teams
    active in the queue, and at least one. Teams at or above their limit get slots
    only when no other team waits, so a burst of one team does not delay the rest.
    """

    def rank(self, use: TeamQueueUsage) -> QueueRank:
        """Return whether the team is at its limit, then its oldest arrival."""
        return (float(use.running >= concurrency_limit(use)), use.oldest)


@queue_policies.register("share-fairness")
class ShareFairnessPolicy:
    """Team with the least use relative to its share first, then earliest first."""

    def rank(self, use: TeamQueueUsage) -> QueueRank:
        """Return the use that one more slot would give, then the oldest arrival."""
        return ((use.running + 1) / use.share, use.oldest)


def concurrency_limit(use: TeamQueueUsage) -> float:
    """Return how many slots the team may hold while other teams wait."""
    if use.active_share <= 0:
        return 1.0
    return max(1.0, use.slots * use.share / use.active_share)
