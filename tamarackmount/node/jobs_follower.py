"""Follows the jobs topic on the nodes that should, and keeps their job index."""

import logging
from collections.abc import Callable
from itertools import islice

from twisted.internet.task import LoopingCall

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node.context import NodeContext
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.tasks import stop_process_on_error
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.scheduling.membership.followers import (
    FOLLOWERS_PER_DATA_CENTRE,
    FollowDecision,
    FollowTimer,
    decide,
    followers_in_order,
)

FOLLOW_CHECK_INTERVAL_S = 0.25
"""Interval between two checks whether this node should follow, in seconds."""

_log = logging.getLogger(__name__)


class JobsFollower:
    """Follows the jobs topic while this node should, and empties its index after that.

    ``is_needed_here`` tells whether this node follows in any case, as the holder does.
    """

    def __init__(
        self,
        context: NodeContext,
        registry: NodeRegistry,
        make_tail: Callable[[], TopicTail],
    ) -> None:
        """Prepare to follow with tails that ``make_tail`` returns."""
        self._context = context
        self._registry = registry
        self._make_tail = make_tail
        self._timer = FollowTimer()
        self._tail: TopicTail | None = None
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = context.reactor
        self.is_needed_here: Callable[[], bool] = lambda: False
        registry.on_read = self._check

    @property
    def is_following(self) -> bool:
        """Whether this node follows the topic."""
        return self._tail is not None

    @property
    def leaves_jobs_to_others(self) -> bool:
        """Whether this node does not follow, and knows which others should."""
        return not self.is_following and self._registry.tail.next_offset is not None

    @property
    def has_snapshot(self) -> bool:
        """Whether the index holds what the store had when this node began to follow."""
        return self._tail is not None and self._tail.next_offset is not None

    @property
    def last_contact(self) -> Instant | None:
        """The time of the store's last answer to a read of the topic."""
        return self._tail.last_contact if self._tail is not None else None

    def start(self) -> None:
        """Start checking whether to follow."""
        self._checks.start(FOLLOW_CHECK_INTERVAL_S, now=True)

    def follow_now(self) -> None:
        """Follow from now on, as long as this node is needed."""
        self._timer.follow_now()
        self._apply(True)

    async def read_now(self) -> bool:
        """Read once without waiting; tell whether this reached the end of the topic."""
        return self._tail is not None and await self._tail.read_now()

    def reachable_followers(self) -> list[MemberId]:
        """Return other nodes that probably follow: those of this data centre first."""
        context = self._context
        candidates = self._registry.candidates()
        data_centres = {row.data_centre for row in candidates}
        own = context.settings.data_centre
        found: list[MemberId] = []
        for data_centre in sorted(data_centres, key=lambda name: (name != own, name)):
            order = followers_in_order(candidates, data_centre)
            others = (node for node in order if node != context.node_id)
            reachable = (node for node in others if context.links.is_open(node))
            found.extend(islice(reachable, FOLLOWERS_PER_DATA_CENTRE))
        return found

    def _check(self) -> None:
        if self._registry.tail.next_offset is None:
            return
        now = Instant(self._context.reactor.seconds())
        self._apply(self._timer.update(self._decide(), now))

    def _decide(self) -> FollowDecision:
        if self.is_needed_here():
            return FollowDecision(should_follow=True, is_regular=True)
        context = self._context
        order = followers_in_order(
            self._registry.candidates(), context.settings.data_centre
        )
        return decide(context.node_id, order, context.links.is_open)

    def _apply(self, is_following: bool) -> None:
        if is_following == self.is_following:
            return
        _log.info("jobs followed", extra={"followed": is_following})
        if is_following:
            self._tail = self._make_tail()
            self._tail.start()
        elif self._tail is not None:
            self._tail.stop()
            self._tail = None
            self._context.job_index.clear()
