"""Questions to the policy service, one at a time from each entry VM."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tamarackmount.ids import Instant, MemberId, WorkerId
from tamarackmount.node.messages import AdviceQuery, AdviceReply
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.scheduling.effects import AskAdvice
from tamarackmount.scheduling.model import StepKey
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission
from tamarackmount.units import MS_PER_SECOND

ANSWER_SLACK_S = 0.3
"""How much longer than its decision the service may take, in seconds; the rest is
links and a question before it."""

HEDGE_S = 0.06
"""How much longer than its decision an answer may take before another lane is asked
too, in seconds: links and a busy entry VM need a third of it."""

MAX_ATTEMPTS = 3
"""Lanes that one question goes through at most; each question is paid for."""

LANE_BACKOFF_S = 1.0
"""How long an entry VM that did not answer is asked last, in seconds: one that has
just started needs half of it."""

_log = logging.getLogger(__name__)

Answered = Callable[[StepKey, AdviceAnswer | None], None]


@dataclass(slots=True)
class _Question:
    """A question under way; ``pending`` counts lanes that have not answered."""

    effect: AskAdvice
    attempts: int = 0
    pending: int = 0
    is_done: bool = False
    tried: set[MemberId] = field(default_factory=set)


class HedgedAdviceClient:
    """Spreads questions over this entry VM and those that it is connected to.

    Load pattern: all entry VMs have just started, or one is slow or cut off, while
    every waiting step needs permissions anew. A question whose answer is late is asked
    through another lane too, and the first answer counts.
    """

    def __init__(
        self,
        reactor: Any,
        me: MemberId,
        service: AdviceClient,
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

    def available_concurrency(self) -> int:
        """Return how many lanes there are, those that rest apart."""
        now = self._reactor.seconds()
        return max(1, sum(not self._rests(lane, now) for lane in self._lanes()))

    def ask(self, effect: AskAdvice) -> None:
        """Ask through a free lane, and through others if the answer is late."""
        question = _Question(effect)
        if not self._try(question):
            self._attempt_through(question, self._me)

    def _try(self, question: _Question) -> bool:
        """Ask through a free lane that was not asked yet; tell whether there is one."""
        now = self._reactor.seconds()
        free = [
            lane
            for lane in self._lanes()
            if lane not in self._busy and lane not in question.tried
        ]
        if not free:
            return False
        self._attempt_through(
            question, min(free, key=lambda lane: self._rests(lane, now))
        )
        return True

    def _attempt_through(self, question: _Question, lane: MemberId) -> None:
        question.attempts += 1
        question.pending += 1
        question.tried.add(lane)
        self._busy.add(lane)
        spawn(self._attempt(question, lane))
        late_s = question.effect.expected_ms / MS_PER_SECOND + HEDGE_S
        self._reactor.callLater(
            late_s, stop_process_on_error(lambda: self._hedge(question))
        )

    def _hedge(self, question: _Question) -> None:
        if not question.is_done and question.attempts < MAX_ATTEMPTS:
            self._try(question)

    async def _attempt(self, question: _Question, lane: MemberId) -> None:
        effect = question.effect
        timeout_s = effect.expected_ms / MS_PER_SECOND + ANSWER_SLACK_S
        if lane == self._me:
            deadline = Instant(self._reactor.seconds() + timeout_s)
            answer = await self._service.ask(effect.step, effect.workers, deadline)
        else:
            answer = await self._ask_peer(lane, effect, timeout_s)
        self._busy.discard(lane)
        question.pending -= 1
        if answer is None:
            until = Instant(self._reactor.seconds() + LANE_BACKOFF_S)
            self._rest_until_by_node[lane] = until
            extra = {"job": effect.step.job_id, "lane": lane}
            _log.info("no advice", extra=extra)
        if question.is_done or (answer is None and question.pending):
            return
        question.is_done = True
        self._answered(effect.step, answer)

    async def _ask_peer(
        self, lane: MemberId, effect: AskAdvice, timeout_s: float
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
        reply = await self._peers.call(lane, query, timeout_s)
        if not isinstance(reply, AdviceReply) or not reply.answered:
            return None
        rows = zip(reply.workers, reply.tickets, strict=True)
        return AdviceAnswer(
            tuple(Permission(WorkerId(worker), ticket) for worker, ticket in rows),
            reply.valid_ms,
        )

    def _lanes(self) -> list[MemberId]:
        return [self._me, *self._peers.connected_peers()]

    def _rests(self, lane: MemberId, now: float) -> bool:
        return self._rest_until_by_node.get(lane, 0.0) > now


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
