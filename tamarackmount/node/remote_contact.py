"""Whether other data centres answer this node.

Load pattern: a data centre is cut off. Its callers are sent away only once the load
balancer has found all of its nodes not ready twice, and until then they lose their
tries there. Silence of the store alone shows a cut late, as a slow store is silent for
as long. So each node also queries nodes of other data centres all the time.
"""

from collections.abc import Callable, Iterable
from itertools import count
from typing import Any

from twisted.internet.task import LoopingCall

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.node.messages import StoreAgeQuery, StoreAgeReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.scheduling.membership.holder_watch import Candidate

QUERY_INTERVAL_S = 0.15
"""Interval between two queries, in seconds."""

QUERY_TIMEOUT_S = 1.0
"""Time for which a reply is waited for, in seconds: a late one shows contact, too."""

MAX_SILENCE_S = 0.4
"""Time without an answer from any other data centre after which these count as lost, in
seconds: two queries of different nodes in a row are unanswered then."""


class RemoteContact:
    """Queries nodes of other data centres in turn."""

    def __init__(
        self,
        reactor: Any,
        peers: PeerCalls,
        data_centre: DataCentreId,
        nodes: Callable[[], Iterable[Candidate]],
    ) -> None:
        """Prepare queries of those of ``nodes`` that are not in ``data_centre``."""
        self._reactor = reactor
        self._peers = peers
        self._data_centre = data_centre
        self._nodes = nodes
        self._turns = count()
        self._last_answer_at: Instant | None = None
        self._queries = LoopingCall(stop_process_on_error(self._query_next))
        self._queries.clock = reactor

    @property
    def is_lost(self) -> bool:
        """Whether other data centres have answered before, and none does now."""
        last_answer_at = self._last_answer_at
        return (
            last_answer_at is not None
            and self._reactor.seconds() > last_answer_at + MAX_SILENCE_S
        )

    def start(self) -> None:
        """Start querying."""
        self._queries.start(QUERY_INTERVAL_S, now=False)

    def _query_next(self) -> None:
        remote = sorted(
            row.node for row in self._nodes() if row.data_centre != self._data_centre
        )
        if not remote:
            # All of them have left for good.
            self._last_answer_at = None
            return
        spawn(self._query(remote[next(self._turns) % len(remote)]))

    async def _query(self, node: MemberId) -> None:
        query = StoreAgeQuery(self._peers.next_call_id(), contact_only=True)
        reply = await self._peers.call(node, query, QUERY_TIMEOUT_S)
        if isinstance(reply, StoreAgeReply):
            self._last_answer_at = Instant(self._reactor.seconds())
