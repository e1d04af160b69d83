"""Asking the other entry VMs for the store, while this one does not reach it."""

from typing import Any

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.messages import StoreAgeQuery, StoreAgeReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn
from tamarackmount.scheduling.holder_authority import FULL_S, Licence, licence

ASK_AFTER_S = FULL_S - 0.5
"""Age of the last sign of life from which on others are asked, in seconds: answers are
there when it counts."""

ASK_PAUSE_S = 0.3
"""Pause between two rounds of questions, in seconds."""

ANSWER_KEPT_S = 1.0
"""An answer counts for this long, in seconds."""


class LicenceCheck:
    """Keeps the newest answers of the other entry VMs."""

    def __init__(self, reactor: Any, peers: PeerCalls) -> None:
        """Ask ``peers``."""
        self._reactor = reactor
        self._peers = peers
        self._ask_at = Instant(0.0)
        self._answers_by_node: dict[MemberId, tuple[Instant, int]] = {}

    def check(self, last_proof: Instant) -> Licence:
        """Return what the holder may do; ``last_proof`` is of its last sign of life."""
        now = clock.now()
        age_s = now - last_proof
        if age_s > ASK_AFTER_S and now >= self._ask_at:
            self._ask_at = Instant(now + ASK_PAUSE_S)
            for peer in self._peers.connected():
                spawn(self._ask(peer))
        fresh = [
            age_ms
            for heard, age_ms in self._answers_by_node.values()
            if now - heard <= ANSWER_KEPT_S
        ]
        return licence(age_s, len(self._peers.peers), fresh)

    async def _ask(self, peer: MemberId) -> None:
        query = StoreAgeQuery(self._peers.next_id())
        reply = await self._peers.call(peer, query, ASK_PAUSE_S)
        if isinstance(reply, StoreAgeReply):
            self._answers_by_node[peer] = (clock.now(), reply.age_ms)
