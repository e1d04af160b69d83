"""Decide which nodes follow the jobs topic of the store.

Load pattern: a hundred entry VMs, and thousands of records a minute. If every node read
every record, the bytes read from the store would grow with nodes times records, and
small nodes would spend their link and processor time on records that they never need.
So a few nodes in each data centre follow the topic, and the others ask them, or the
holder, about the jobs that their callers name.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.scheduling.membership.holder_watch import Candidate

FOLLOWERS_PER_DATA_CENTRE = 3
"""Number of nodes in each data centre that follow the jobs topic: two may fail before
the others have to wait for a replacement."""

FOLLOW_DELAY_S = 1.0
"""Time for which too few followers have to be reachable before another node begins to
follow, in seconds: a process that restarts is back within it, and a node that has just
started connects to its peers."""

FOLLOW_LINGER_S = 10.0
"""Time for which enough other followers have to be reachable before a node stops
following, in seconds: each new start reads the latest record of every key."""


@dataclass(frozen=True, slots=True)
class FollowDecision:
    """Whether a node should follow, and whether it is one of the regular followers."""

    should_follow: bool
    is_regular: bool


def followers_in_order(
    candidates: Collection[Candidate], data_centre: DataCentreId
) -> list[MemberId]:
    """Return the nodes of a data centre in the order in which they should follow.

    Nodes with more processor time come first; the holder is chosen among them too.
    """
    ordered = sorted(candidates, key=lambda row: (-row.cores, row.node))
    return [row.node for row in ordered if row.data_centre == data_centre]


def decide(
    node_id: MemberId,
    order: Sequence[MemberId],
    is_reachable: Callable[[MemberId], bool],
) -> FollowDecision:
    """Decide whether a node follows, given the order of the nodes of its data centre.

    A node that is not registered yet comes after all others.
    """
    position = order.index(node_id) if node_id in order else len(order)
    if position < FOLLOWERS_PER_DATA_CENTRE:
        return FollowDecision(should_follow=True, is_regular=True)
    reachable = 0
    for other in order[:position]:
        reachable += is_reachable(other)
        if reachable >= FOLLOWERS_PER_DATA_CENTRE:
            return FollowDecision(should_follow=False, is_regular=False)
    return FollowDecision(should_follow=True, is_regular=False)


@dataclass(slots=True)
class FollowTimer:
    """Delays changes between following and not following.

    ``changes_at`` is when the node changes if the decision stays as it is.
    """

    is_following: bool = False
    changes_at: Instant | None = None

    def update(self, decision: FollowDecision, now: Instant) -> bool:
        """Return whether the node follows from now on."""
        if decision.should_follow == self.is_following:
            self.changes_at = None
            return self.is_following
        if self.changes_at is None:
            delay_s = FOLLOW_DELAY_S if decision.should_follow else FOLLOW_LINGER_S
            self.changes_at = Instant(now + (0.0 if decision.is_regular else delay_s))
        if now >= self.changes_at:
            self.is_following = decision.should_follow
            self.changes_at = None
        return self.is_following

    def follow_now(self) -> None:
        """Follow without a delay."""
        self.is_following = True
        self.changes_at = None
