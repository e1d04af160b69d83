"""Questions to the policy service, one at a time from each entry VM."""

import logging
from collections.abc import Callable
from typing import Any

from tamarackmount.ids import Instant, MemberId, WorkerId
from tamarackmount.node.messages import AdviceQuery, AdviceReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.platform.advice import AdviceService
from tamarackmount.scheduling.effects import AskAdvice
from tamarackmount.scheduling.model import StepKey
from tamarackmount.scheduling.tickets import AdviceAnswer, Permission
from tamarackmount.units import MS_PER_SECOND

ANSWER_SLACK_S = 0.3
"""How much longer than its decision the service may take, in seconds; the rest is
links and a question before it."""

LANE_REST_S = 3.0
"""How long an entry VM that did not answer is left out, in seconds."""

_log = logging.getLogger(__name__)

Answered = Callable[[StepKey, AdviceAnswer | None], None]


class AdviceLanes:
    """Spreads questions over this entry VM and those that it is connected to."""

    def __init__(
        self,
        reactor: Any,
        me: MemberId,
        service: AdviceService,
        peers: PeerCalls,
        answered: Answered,
    ) -> None:
        """Tell ``answered`` of each answer."""
        self._reactor = reactor
        self._me = me
        self._service = service
        self._peers = peers
        self._answered = answered
        self._busy: set[MemberId] = set()
        self._rest_until_by_node: dict[MemberId, Instant] = {}

    def count(self) -> int:
        """Return how many lanes there are."""
        return len(self._lanes())

    async def ask(self, effect: AskAdvice) -> None:
        """Ask through a free lane."""
        free = [lane for lane in self._lanes() if lane not in self._busy]
        lane = free[0] if free else self._me
        timeout_s = effect.expected_ms / MS_PER_SECOND + ANSWER_SLACK_S
        self._busy.add(lane)
        if lane == self._me:
            deadline = Instant(self._reactor.seconds() + timeout_s)
            answer = await self._service.ask(effect.step, effect.workers, deadline)
        else:
            answer = await self._ask_peer(lane, effect, timeout_s)
        self._busy.discard(lane)
        if answer is None:
            until = Instant(self._reactor.seconds() + LANE_REST_S)
            self._rest_until_by_node[lane] = until
            extra = {"job": effect.step.job_id, "lane": lane}
            _log.info("no advice", extra=extra)
        self._answered(effect.step, answer)

    async def _ask_peer(
        self, lane: MemberId, effect: AskAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        step = effect.step
        query = AdviceQuery(
            call_id=self._peers.next_id(),
            job_id=step.job_id,
            occurrence=step.occurrence,
            step=step.step,
            workers=list(effect.workers),
            timeout_ms=int(timeout_s * MS_PER_SECOND),
        )
        reply = await self._peers.call(lane, query, timeout_s)
        if not isinstance(reply, AdviceReply) or not reply.answered:
            return None
        rows = zip(reply.workers, reply.tickets, strict=True)
        return AdviceAnswer(
            tuple(Permission(WorkerId(worker), ticket) for worker, ticket in rows),
            reply.valid_ms,
        )

    def _lanes(self) -> list[MemberId]:
        now = self._reactor.seconds()
        lanes = [self._me, *self._peers.connected()]
        return [
            lane for lane in lanes if self._rest_until_by_node.get(lane, 0.0) <= now
        ] or [self._me]


def reply_to(query: AdviceQuery, answer: AdviceAnswer | None) -> AdviceReply:
    """Return the message with an answer."""
    if answer is None:
        return AdviceReply(query.call_id, answered=False)
    return AdviceReply(
        query.call_id,
        answered=True,
        workers=[row.worker_id for row in answer.permissions],
        tickets=[row.ticket for row in answer.permissions],
        valid_ms=answer.valid_ms,
    )
