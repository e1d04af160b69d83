"""Queue policies, which choose the team that gets the next free upstream slot."""

from collections.abc import Callable

from tamarackmount.plugins.base import QueuePolicy, QueueRank, TeamQueueUsage
from tamarackmount.plugins.manager import Registry

queue_policies: Registry[Callable[[], QueuePolicy]] = Registry("queue policy")
"""Constructors of queue policies, by the name used in queue documents."""


@queue_policies.register("waiting-time")
class WaitingTimePolicy:
    """Prefers the earliest request among the teams below their concurrency limits.

    A team's concurrency limit is its share of the service's slots among the teams
    active in the queue, and at least one. Teams at or above their limit get slots
    only when no team below its limit waits, so that a burst of one team does not
    delay the others.
    """

    def rank(self, usage: TeamQueueUsage) -> QueueRank:
        """Return whether the team is at its limit, then its oldest arrival time."""
        return (float(usage.running >= concurrency_limit(usage)), usage.oldest)


@queue_policies.register("share-fairness")
class ShareFairnessPolicy:
    """Prefers the team with the least usage relative to its share.

    Between teams of equal usage, the earliest request goes first.
    """

    def rank(self, usage: TeamQueueUsage) -> QueueRank:
        """Return the usage per share with one more slot, then the oldest arrival."""
        return ((usage.running + 1) / usage.share, usage.oldest)


def concurrency_limit(usage: TeamQueueUsage) -> float:
    """Return how many slots the team may hold while other teams wait."""
    if usage.active_share <= 0:
        return 1.0
    return max(1.0, usage.slots * usage.share / usage.active_share)
