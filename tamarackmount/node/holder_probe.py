"""Probing the holder while its heartbeats are missing."""

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.messages import StoreAgeQuery, StoreAgeReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn

PROBE_AFTER_S = 0.45
"""Time without a heartbeat after which the holder is probed, in seconds; heartbeats
follow each other sooner while the holder and the store are well."""

PROBE_TIMEOUT_S = 0.2
"""Timeout of a probe, in seconds. The holder reads the store for its answer, which
takes 20 ms in all, and a slow VM several times as long."""

MAX_STORE_AGE_MS = 400
"""Time since the store's last answer above which a probed node does not reach the
store, in milliseconds; it has read the store just before its answer."""


async def store_reader(
    peers: PeerCalls, node: MemberId, timeout_s: float
) -> StoreAgeReply | None:
    """Return the reply of another node that has just read the store, otherwise None."""
    query = StoreAgeQuery(peers.next_call_id(), read_now=True)
    reply = await peers.call(node, query, timeout_s)
    if isinstance(reply, StoreAgeReply) and reply.age_ms <= MAX_STORE_AGE_MS:
        return reply
    return None


class HolderProbe:
    """Asks the holder whether it lives and reaches the store."""

    def __init__(self, peers: PeerCalls) -> None:
        """Probe over the links of ``peers``."""
        self._peers = peers
        self._probed_node: MemberId | None = None
        self._is_probing = False
        self.is_unresponsive = False

    def update(self, holder: MemberId | None, silent_since: Instant) -> None:
        """Probe the holder if its heartbeats have been missing since ``silent_since``.

        ``is_unresponsive`` is the result of the last probe of this silence.
        """
        is_silent = clock.now() > silent_since + PROBE_AFTER_S
        if holder is None or not is_silent or holder != self._probed_node:
            self.is_unresponsive = False
            self._probed_node = holder if is_silent else None
        if self._probed_node is not None and not self._is_probing:
            self._is_probing = True
            spawn(self._probe(self._probed_node))

    async def _probe(self, holder: MemberId) -> None:
        reply = await store_reader(self._peers, holder, PROBE_TIMEOUT_S)
        self._is_probing = False
        if holder == self._probed_node:
            self.is_unresponsive = reply is None
