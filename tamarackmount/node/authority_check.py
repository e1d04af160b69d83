"""Querying the other entry VMs about the store while this one can't reach it."""

from typing import Any

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.messages import StoreAgeQuery, StoreAgeReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn
from tamarackmount.scheduling.membership.holder_authority import (
    FULL_AUTHORITY_LIMIT_S,
    HolderAuthority,
    holder_authority,
)

QUERY_AFTER_S = FULL_AUTHORITY_LIMIT_S - 0.5
"""Heartbeat age from which the other entry VMs are queried, in seconds: early enough
for their replies to arrive before the holder's authority is reduced."""

QUERY_INTERVAL_S = 0.3
"""Interval between two rounds of queries, in seconds."""

REPLY_TTL_S = 1.0
"""Time from a query for which its reply is used, in seconds."""


class AuthorityCheck:
    """Derives the holder's authority from its heartbeats and other nodes' replies."""

    def __init__(self, reactor: Any, peers: PeerCalls) -> None:
        """Query the nodes of ``peers``."""
        self._reactor = reactor
        self._peers = peers
        self._next_query_at = Instant(0.0)
        self._replies_by_node: dict[MemberId, tuple[Instant, int]] = {}

    def check(self, last_heartbeat_sent_at: Instant) -> HolderAuthority:
        """Return what the holder may do.

        ``last_heartbeat_sent_at`` is when its newest accepted heartbeat was sent.
        """
        now = clock.now()
        heartbeat_age_s = now - last_heartbeat_sent_at
        if heartbeat_age_s > QUERY_AFTER_S and now >= self._next_query_at:
            self._next_query_at = Instant(now + QUERY_INTERVAL_S)
            for peer in self._peers.connected_peers():
                spawn(self._query(peer))
        recent_ages_ms = [
            age_ms
            for sent_at, age_ms in self._replies_by_node.values()
            if now - sent_at <= REPLY_TTL_S
        ]
        return holder_authority(heartbeat_age_s, len(self._peers.peers), recent_ages_ms)

    async def _query(self, peer: MemberId) -> None:
        # A reply may be read long after it was made, if this process was suspended.
        sent_at = clock.now()
        query = StoreAgeQuery(self._peers.next_call_id())
        reply = await self._peers.call(peer, query, QUERY_INTERVAL_S)
        if isinstance(reply, StoreAgeReply):
            self._replies_by_node[peer] = (sent_at, reply.age_ms)
