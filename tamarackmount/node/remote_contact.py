"""Whether other data centres answer this node.

Load pattern: a data centre is cut off. Its callers are sent away only once the load
balancer has found all of its nodes not ready twice, and until then they lose their
tries there. Silence of the store alone shows a cut late, as a slow store is silent for
as long. So a node that has not heard the store for a moment also queries nodes of other
data centres.
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

QUERY_AFTER_S = 0.2
"""Silence of the store after which other data centres are queried, in seconds."""

QUERY_INTERVAL_S = 0.2
"""Interval between two queries, in seconds."""

QUERY_TIMEOUT_S = 1.0
"""Time for which a reply is waited for, in seconds: a late one shows contact, too."""

MAX_ANSWER_S = 0.5
"""Time without an answer, in seconds, up to which other data centres count as reached:
one of several queried nodes may be slow."""

CHECK_INTERVAL_S = 0.1
"""Interval between two checks whether to query, in seconds."""


class RemoteContact:
    """Queries nodes of other data centres in turn while the store is silent."""

    def __init__(
        self,
        reactor: Any,
        peers: PeerCalls,
        data_centre: DataCentreId,
        nodes: Callable[[], Iterable[Candidate]],
        store_silence_s: Callable[[], float],
    ) -> None:
        """Prepare queries of those of ``nodes`` that are not in ``data_centre``.

        ``store_silence_s`` returns the time since the store last answered this node, in
        seconds.
        """
        self._reactor = reactor
        self._peers = peers
        self._data_centre = data_centre
        self._nodes = nodes
        self._store_silence_s = store_silence_s
        self._turns = count()
        self._next_query_at = Instant(0.0)
        self._unanswered_since: Instant | None = None
        self._has_answered = False
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = reactor

    def unanswered_s(self) -> float:
        """Return for how long queries have had no answer, in seconds.

        It is 0 as long as no other data centre has ever answered this node.
        """
        since = self._unanswered_since
        if since is None or not self._has_answered:
            return 0.0
        now: float = self._reactor.seconds()
        return now - since

    def is_answered(self) -> bool:
        """Tell whether queries are sent and answered: this node is not cut off."""
        return self._has_answered and self.unanswered_s() <= MAX_ANSWER_S

    def start(self) -> None:
        """Start checking whether to query."""
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def _check(self) -> None:
        now = Instant(self._reactor.seconds())
        if self._store_silence_s() <= QUERY_AFTER_S:
            self._unanswered_since = None
            return
        if now < self._next_query_at:
            return
        self._next_query_at = Instant(now + QUERY_INTERVAL_S)
        remote = {
            row.node for row in self._nodes() if row.data_centre != self._data_centre
        }
        if not remote:
            self._unanswered_since = None
            return
        if self._unanswered_since is None:
            self._unanswered_since = now
        connected = [node for node in self._peers.connected_peers() if node in remote]
        if connected:
            spawn(self._query(connected[next(self._turns) % len(connected)]))

    async def _query(self, node: MemberId) -> None:
        query = StoreAgeQuery(self._peers.next_call_id(), contact_only=True)
        reply = await self._peers.call(node, query, QUERY_TIMEOUT_S)
        if isinstance(reply, StoreAgeReply):
            self._has_answered = True
            self._unanswered_since = None
