"""Asking the other entry VMs for the store, while this one does not reach it."""

from typing import Any

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.messages import StoreAgeQuery, StoreAgeReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn
from tamarackmount.scheduling.holder_authority import (
    FULL_AUTHORITY_LIMIT_S,
    HolderAuthority,
    holder_authority,
)

QUERY_AFTER_S = FULL_AUTHORITY_LIMIT_S - 0.5
"""Age of the last sign of life from which on others are asked, in seconds: answers are
there when it counts."""

QUERY_INTERVAL_S = 0.3
"""Pause between two rounds of questions, in seconds."""

ANSWER_TTL_S = 1.0
"""An answer counts for this long, in seconds."""


class AuthorityCheck:
    """Keeps the newest answers of the other entry VMs."""

    def __init__(self, reactor: Any, peers: PeerCalls) -> None:
        """Ask ``peers``."""
        self._reactor = reactor
        self._peers = peers
        self._ask_at = Instant(0.0)
        self._answers_by_node: dict[MemberId, tuple[Instant, int]] = {}

    def check(self, last_heartbeat_sent_at: Instant) -> HolderAuthority:
        """Return what the holder may do.

        ``last_heartbeat_sent_at`` is of its last sign of life.
        """
        now = clock.now()
        age_s = now - last_heartbeat_sent_at
        if age_s > QUERY_AFTER_S and now >= self._ask_at:
            self._ask_at = Instant(now + QUERY_INTERVAL_S)
            for peer in self._peers.connected_peers():
                spawn(self._ask(peer))
        fresh = [
            age_ms
            for heard, age_ms in self._answers_by_node.values()
            if now - heard <= ANSWER_TTL_S
        ]
        return holder_authority(age_s, len(self._peers.peers), fresh)

    async def _ask(self, peer: MemberId) -> None:
        query = StoreAgeQuery(self._peers.next_call_id())
        reply = await self._peers.call(peer, query, QUERY_INTERVAL_S)
        if isinstance(reply, StoreAgeReply):
            self._answers_by_node[peer] = (clock.now(), reply.age_ms)
