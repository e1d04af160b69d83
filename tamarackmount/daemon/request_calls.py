"""The task that owns callers' requests while they are under way.

It keeps each request's bytes, sends attempts to upstreams, hands requests to other
data centres, and gives every request its one final answer. What to do with each
request is the node's decision.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from opentelemetry.trace import Span, SpanKind, Tracer
from returns.result import Failure, Result
from twisted.internet.defer import Deferred

from tamarackmount.adapters.upstreams import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamError,
    UpstreamRequest,
)
from tamarackmount.daemon.http_answers import (
    FinalAnswer,
    Refusal,
    error_answer,
    refusal_answer,
)
from tamarackmount.daemon.metrics import RequestMetrics
from tamarackmount.daemon.tracing import start_span, traceparent_of
from tamarackmount.ids import Instant, MemberId, QueueName, RequestId, TeamId, TicketId
from tamarackmount.kernel.effects import (
    AbortCall,
    CallUpstream,
    FinishRequest,
    ForwardRequest,
)
from tamarackmount.kernel.messages import (
    AttemptResult,
    ForwardedReply,
    ForwardedRequest,
    HttpHeader,
    Outcome,
)
from tamarackmount.kernel.request_effects import remaining_ms

_log = logging.getLogger(__name__)

FORWARD_MARGIN_MS = 100
"""How much sooner a request ends where it was forwarded to, in milliseconds.

So its outcome is back before the forwarding member has to call it unknown.
"""

_LOST = Refusal(502, "upstream_failed", "the answer of the attempt is not at hand")


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What a caller sent: the part of its request that upstreams see."""

    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    idempotent: bool
    method: str
    path: str
    headers: list[HttpHeader]
    body: bytes
    traceparent: str


class AnswerSink(Protocol):
    """Where the final answer of a request goes."""

    def finish(self, answer: FinalAnswer) -> None:
        """Deliver the answer; called once."""


class NodeInput(Protocol):
    """What this task tells the node."""

    def attempt_ended(self, ticket_id: TicketId, result: AttemptResult) -> None:
        """Tell how an attempt at an upstream ended."""

    def forward_ended(self, call_id: int) -> bool:
        """Tell that a forwarded request was answered; return if it counts."""


@dataclass(slots=True)
class _Call:
    content: RequestContent
    sink: AnswerSink
    span: Span
    started: Instant
    answer: FinalAnswer | None = None
    abort: Callable[[], None] | None = None


class RequestCalls:
    """Requests under way, by call id."""

    def __init__(
        self,
        upstreams: UpstreamClient,
        clock: Callable[[], Instant],
        tracer: Tracer,
        metrics: RequestMetrics,
    ) -> None:
        """Start with no request."""
        self._upstreams = upstreams
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._calls_by_id: dict[int, _Call] = {}
        self._attempts_by_ticket: dict[TicketId, Deferred[Any]] = {}
        self._last_call_id = 0

    def __len__(self) -> int:
        """Return the number of requests under way."""
        return len(self._calls_by_id)

    def open(self, content: RequestContent, sink: AnswerSink) -> int:
        """Take a request in and return its call id."""
        self._last_call_id += 1
        span = start_span(
            self._tracer, "entry.request", SpanKind.SERVER, content.traceparent
        )
        span.set_attribute("request_id", content.request_id)
        span.set_attribute("team", content.team_id)
        span.set_attribute("queue", content.queue)
        call = _Call(content, sink, span, self._clock())
        self._calls_by_id[self._last_call_id] = call
        return self._last_call_id

    def forget(self, call_id: int) -> None:
        """Drop a request whose caller is gone."""
        call = self._calls_by_id.pop(call_id, None)
        if call is not None:
            call.span.end()

    def send(self, effect: CallUpstream, node: NodeInput) -> None:
        """Send one attempt to an upstream."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            node.attempt_ended(effect.ticket_id, AttemptResult.UNUSED)
            return
        span = start_span(
            self._tracer,
            "upstream.attempt",
            SpanKind.CLIENT,
            traceparent_of(call.span),
        )
        span.set_attribute("upstream", effect.upstream_id)
        sent = self._upstreams.send(_upstream_request(call, effect, span))
        self._attempts_by_ticket[effect.ticket_id] = sent
        sent.addCallback(self._attempt_done, effect, span, node)

    def abort(self, effect: AbortCall) -> None:
        """Cut the connection of an attempt."""
        attempt = self._attempts_by_ticket.get(effect.ticket_id)
        if attempt is not None:
            attempt.cancel()

    def finish(self, effect: FinishRequest) -> None:
        """Give a request its final answer, as the node decided."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            return
        if effect.outcome is Outcome.ANSWERED:
            answer = call.answer or error_answer(_LOST, Outcome.UNKNOWN)
        elif effect.reason is not None:
            answer = refusal_answer(
                effect.reason, effect.outcome, effect.retry_after_ms
            )
        else:
            answer = error_answer(_LOST, effect.outcome, effect.retry_after_ms)
        self._deliver(effect.call_id, answer)

    def forwarded_message(self, effect: ForwardRequest) -> ForwardedRequest | None:
        """Return the message that hands a request to another member."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            return None
        content = call.content
        left_ms = remaining_ms(effect.deadline, self._clock())
        return ForwardedRequest(
            call_id=effect.call_id,
            request_id=content.request_id,
            team_id=content.team_id,
            queue=content.queue,
            idempotent=content.idempotent,
            remaining_ms=max(1, left_ms - FORWARD_MARGIN_MS),
            method=content.method,
            path=content.path,
            headers=content.headers,
            body=content.body,
            traceparent=traceparent_of(call.span),
        )

    def forward_answered(self, reply: ForwardedReply, node: NodeInput) -> None:
        """Pass on what became of a request handed to another data centre."""
        if reply.call_id not in self._calls_by_id:
            return
        if not node.forward_ended(reply.call_id):
            return
        self._deliver(reply.call_id, answer_of_reply(reply))

    def _attempt_done(
        self,
        result: Result[UpstreamAnswer, UpstreamError],
        effect: CallUpstream,
        span: Span,
        node: NodeInput,
    ) -> None:
        self._attempts_by_ticket.pop(effect.ticket_id, None)
        attempt = self._note_attempt(result, effect)
        span.set_attribute("result", attempt.value)
        span.end()
        node.attempt_ended(effect.ticket_id, attempt)

    def _note_attempt(
        self, result: Result[UpstreamAnswer, UpstreamError], effect: CallUpstream
    ) -> AttemptResult:
        if isinstance(result, Failure):
            error: UpstreamError = result.failure()
            _log.info(
                "attempt failed",
                extra={"upstream": effect.upstream_id, "detail": error.detail},
            )
            return error.result
        call = self._calls_by_id.get(effect.call_id)
        if call is not None:
            upstream_answer = result.unwrap()
            call.answer = FinalAnswer(
                outcome=Outcome.ANSWERED,
                status=upstream_answer.status,
                headers=upstream_answer.headers,
                body=upstream_answer.body,
                served_by=effect.upstream_id,
            )
        return AttemptResult.ANSWERED

    def _deliver(self, call_id: int, answer: FinalAnswer) -> None:
        call = self._calls_by_id.pop(call_id)
        call.span.set_attribute("outcome", answer.outcome.value)
        call.span.end()
        elapsed_s = self._clock() - call.started
        self._metrics.finished(call.content.queue, answer.outcome, elapsed_s)
        call.sink.finish(answer)


class PeerSink:
    """Sends the final answer of a forwarded request back to its entry VM."""

    def __init__(
        self,
        to: MemberId,
        call_id: int,
        send: Callable[[MemberId, ForwardedReply], object],
    ) -> None:
        """Answer the call ``call_id`` of the member ``to``."""
        self._to = to
        self._call_id = call_id
        self._send = send

    def finish(self, answer: FinalAnswer) -> None:
        """Send the answer."""
        reply = ForwardedReply(
            call_id=self._call_id,
            outcome=answer.outcome,
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
            status=answer.status,
            headers=[*answer.headers, HttpHeader(_SERVED_BY, answer.served_by)],
            body=answer.body,
        )
        self._send(self._to, reply)


_SERVED_BY = "Served-By"


def answer_of_reply(reply: ForwardedReply) -> FinalAnswer:
    """Return the answer that another member sent back."""
    return FinalAnswer(
        outcome=reply.outcome,
        status=reply.status,
        headers=[header for header in reply.headers if header.value],
        body=reply.body,
        reason=reply.reason,
        retry_after_ms=reply.retry_after_ms,
    )


def content_of_forwarded(message: ForwardedRequest) -> RequestContent:
    """Return the content of a request that another member handed over."""
    return RequestContent(
        request_id=message.request_id,
        team_id=message.team_id,
        queue=message.queue,
        idempotent=message.idempotent,
        method=message.method,
        path=message.path,
        headers=message.headers,
        body=message.body,
        traceparent=message.traceparent,
    )


def _upstream_request(call: _Call, effect: CallUpstream, span: Span) -> UpstreamRequest:
    content = call.content
    return UpstreamRequest(
        host=effect.address.host,
        port=effect.address.port,
        method=content.method,
        path=content.path,
        headers=content.headers,
        body=content.body,
        request_id=content.request_id,
        idempotent=content.idempotent,
        deadline=effect.deadline,
        traceparent=traceparent_of(span),
    )
