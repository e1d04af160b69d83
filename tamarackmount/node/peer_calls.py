"""Queries between entry VMs, matched with their replies by call id."""

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
    WaitingQuery,
    WaitingReply,
)

Query = PhaseQuery | WaitingQuery | AdviceQuery | StoreQuery | StoreAgeQuery
QueryReply = PhaseReply | WaitingReply | AdviceReply | StoreReply | StoreAgeReply


class PeerCalls:
    """Sends queries to other entry VMs and matches the replies with them."""

    def __init__(self, reactor: Any, links: PeerLinks[NodeMessage]) -> None:
        """Send over ``links``."""
        self._reactor = reactor
        self._links = links
        self._call_ids = count(1)
        self._pending_by_id: dict[int, Deferred[QueryReply | None]] = {}
        self.peers: set[MemberId] = set()

    def next_call_id(self) -> int:
        """Return the id of a new query."""
        return next(self._call_ids)

    def connected_peers(self) -> list[MemberId]:
        """Return the entry VMs with an open connection, sorted by id."""
        return [peer for peer in sorted(self.peers) if self._links.is_open(peer)]

    async def call(
        self, to: MemberId, query: Query, timeout_s: float
    ) -> QueryReply | None:
        """Return the reply, or ``None`` after a timeout or without a connection."""
        pending: Deferred[QueryReply | None] = Deferred()
        self._pending_by_id[query.call_id] = pending
        if not self._links.send(to, query):
            self._finish(query.call_id, None)
            return await pending
        timer = self._reactor.callLater(timeout_s, self._finish, query.call_id, None)
        reply = await pending
        if timer.active():
            timer.cancel()
        return reply

    def handle_reply(self, reply: QueryReply) -> None:
        """Pass a reply to its caller; drop it if the call has timed out."""
        self._finish(reply.call_id, reply)

    def _finish(self, call_id: int, reply: QueryReply | None) -> None:
        pending = self._pending_by_id.pop(call_id, None)
        if pending is not None:
            pending.callback(reply)
