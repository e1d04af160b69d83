"""Hedged requests to the advice service, one at a time from each entry VM.

Only if no entry VM is free, this node sends a request although it is busy.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tamarackmount.ids import Instant, MemberId, WorkerId
from tamarackmount.node.messages import AdviceQuery, AdviceReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.scheduling.domain.effects import AskAdvice
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket
from tamarackmount.units import MS_PER_SECOND

ANSWER_TIMEOUT_MARGIN_S = 0.3
"""Time that an answer may take beyond the service's decision time, in seconds: for
network latency, and for a request that the service still handles when this one
arrives."""

HEDGE_DELAY_S = 0.06
"""Time beyond the service's decision time after which a late request is also sent
through another node, in seconds. Network latency and a busy entry VM take a third of
it."""

LATE_ANSWER_TOLERANCE_S = 0.1
"""Time after its deadline within which an answer still counts, in seconds: a busy
process reads it some milliseconds late. The validity of tickets counts from then."""

MAX_VALID_MS = 3_600_000.0
"""Longest validity of tickets that is believed, in milliseconds; policies name a few
seconds."""

MAX_ATTEMPTS = 3
"""Maximum number of nodes for one request; each request is billed."""

NODE_BACKOFF_S = 1.0
"""Time for which a node that did not answer is used only if no other is free, in
seconds. A node that has just started answers after half of this time."""

_log = logging.getLogger(__name__)

AnswerCallback = Callable[[StepKey, AdviceAnswer | None], None]


@dataclass(slots=True)
class _Request:
    """A request in progress; ``pending`` counts nodes that have not answered."""

    effect: AskAdvice
    attempts: int = 0
    pending: int = 0
    is_done: bool = False
    tried_nodes: set[MemberId] = field(default_factory=set)


class HedgedAdviceClient:
    """Spreads requests over this node and those that it is connected to.

    Load pattern: every waiting step needs new tickets while all entry VMs have just
    started, or while one is slow or cut off. A request whose answer is late is
    therefore also sent through another node, and the first answer is used.
    """

    def __init__(
        self,
        reactor: Any,
        node_id: MemberId,
        service: AdviceClient,
        peers: PeerCalls,
        on_answer: AnswerCallback,
    ) -> None:
        """Call ``on_answer`` with each answer, or with ``None`` if there is none."""
        self._reactor = reactor
        self._node_id = node_id
        self._service = service
        self._peers = peers
        self._on_answer = on_answer
        self._busy_nodes: set[MemberId] = set()
        self._backoff_until_by_node: dict[MemberId, Instant] = {}

    def available_concurrency(self) -> int:
        """Return the number of nodes that are not backing off, at least one."""
        now = self._reactor.seconds()
        return max(
            1, sum(not self._is_backing_off(node, now) for node in self._nodes())
        )

    def ask(self, effect: AskAdvice) -> None:
        """Send a request through a free node, and through others if it is late.

        If none is free, it is sent from this node although that is busy.
        """
        request = _Request(effect)
        if not self._send_through_free_node(request):
            self._send_through(request, self._node_id)

    def _send_through_free_node(self, request: _Request) -> bool:
        """Send through a free node not tried yet; tell whether there is one."""
        now = self._reactor.seconds()
        free = [
            node
            for node in self._nodes()
            if node not in self._busy_nodes and node not in request.tried_nodes
        ]
        if not free:
            return False
        self._send_through(
            request, min(free, key=lambda node: self._is_backing_off(node, now))
        )
        return True

    def _send_through(self, request: _Request, node: MemberId) -> None:
        request.attempts += 1
        request.pending += 1
        request.tried_nodes.add(node)
        self._busy_nodes.add(node)
        spawn(self._attempt(request, node))
        hedge_after_s = request.effect.expected_ms / MS_PER_SECOND + HEDGE_DELAY_S
        self._reactor.callLater(
            hedge_after_s, stop_process_on_error(lambda: self._hedge(request))
        )

    def _hedge(self, request: _Request) -> None:
        if not request.is_done and request.attempts < MAX_ATTEMPTS:
            self._send_through_free_node(request)

    async def _attempt(self, request: _Request, node: MemberId) -> None:
        effect = request.effect
        timeout_s = effect.expected_ms / MS_PER_SECOND + ANSWER_TIMEOUT_MARGIN_S
        deadline = Instant(self._reactor.seconds() + timeout_s)
        if node == self._node_id:
            answer = await self._service.ask(effect.step, effect.workers, deadline)
        else:
            answer = await self._request_from_peer(node, effect, timeout_s)
        if self._reactor.seconds() > deadline + LATE_ANSWER_TOLERANCE_S:
            # This process was suspended: the tickets may have expired long ago.
            answer = None
        self._busy_nodes.discard(node)
        request.pending -= 1
        if answer is None:
            until = Instant(self._reactor.seconds() + NODE_BACKOFF_S)
            self._backoff_until_by_node[node] = until
            # The key is kept for operators' tools: the node that sent the request.
            extra = {"job": effect.step.job_id, "lane": node}
            _log.info("no advice", extra=extra)
        if request.is_done or (answer is None and request.pending):
            return
        request.is_done = True
        self._on_answer(effect.step, answer)

    async def _request_from_peer(
        self, node: MemberId, effect: AskAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        step = effect.step
        query = AdviceQuery(
            call_id=self._peers.next_call_id(),
            job_id=step.job_id,
            occurrence=step.occurrence,
            step=step.step,
            workers=list(effect.workers),
            timeout_ms=int(timeout_s * MS_PER_SECOND),
        )
        reply = await self._peers.call(node, query, timeout_s)
        if not isinstance(reply, AdviceReply) or not reply.answered:
            return None
        is_valid = 0.0 <= reply.valid_ms <= MAX_VALID_MS
        if len(reply.workers) != len(reply.tickets) or not is_valid:
            _log.warning("advice reply not usable; ignored", extra={"node": node})
            return None
        pairs = zip(reply.workers, reply.tickets, strict=True)
        return AdviceAnswer(
            tuple(WorkerTicket(WorkerId(worker), ticket) for worker, ticket in pairs),
            reply.valid_ms,
        )

    def _nodes(self) -> list[MemberId]:
        return [self._node_id, *self._peers.connected_peers()]

    def _is_backing_off(self, node: MemberId, now: float) -> bool:
        return self._backoff_until_by_node.get(node, 0.0) > now


def reply_to(query: AdviceQuery, answer: AdviceAnswer | None) -> AdviceReply:
    """Return the reply message for an answer."""
    if answer is None:
        return AdviceReply(query.call_id, answered=False)
    return AdviceReply(
        query.call_id,
        answered=True,
        workers=[row.worker_id for row in answer.tickets],
        tickets=[row.ticket for row in answer.tickets],
        valid_ms=answer.valid_ms,
    )
