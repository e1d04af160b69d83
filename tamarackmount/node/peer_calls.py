"""Questions between entry VMs that wait for an answer."""

from itertools import count
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import MemberId
from tamarackmount.internal.links import PeerLinks
from tamarackmount.node.messages import (
    AdviceQuery,
    AdviceReply,
    NodeMessage,
    PhaseQuery,
    PhaseReply,
    StoreAgeQuery,
    StoreAgeReply,
    StoreQuery,
    StoreReply,
)

Query = PhaseQuery | AdviceQuery | StoreQuery | StoreAgeQuery
QueryReply = PhaseReply | AdviceReply | StoreReply | StoreAgeReply


class PeerCalls:
    """Matches answers of other entry VMs with questions."""

    def __init__(self, reactor: Any, links: PeerLinks[NodeMessage]) -> None:
        """Send over ``links``."""
        self._reactor = reactor
        self._links = links
        self._ids = count(1)
        self._waiting_by_id: dict[int, Deferred[QueryReply | None]] = {}
        self.peers: set[MemberId] = set()

    def next_call_id(self) -> int:
        """Return the id of a new question."""
        return next(self._ids)

    def connected_peers(self) -> list[MemberId]:
        """Return the entry VMs to which a connection is open."""
        return [peer for peer in sorted(self.peers) if self._links.is_open(peer)]

    async def call(
        self, to: MemberId, query: Query, timeout_s: float
    ) -> QueryReply | None:
        """Return the answer; nothing without a connection or in time."""
        waiter: Deferred[QueryReply | None] = Deferred()
        self._waiting_by_id[query.call_id] = waiter
        if not self._links.send(to, query):
            self._finish(query.call_id, None)
            return await waiter
        timer = self._reactor.callLater(timeout_s, self._finish, query.call_id, None)
        reply = await waiter
        if timer.active():
            timer.cancel()
        return reply

    def handle_reply(self, reply: QueryReply) -> None:
        """Take an answer; a late one is dropped."""
        self._finish(reply.call_id, reply)

    def _finish(self, call_id: int, reply: QueryReply | None) -> None:
        waiter = self._waiting_by_id.pop(call_id, None)
        if waiter is not None:
            waiter.callback(reply)
