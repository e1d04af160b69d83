"""The component that holds callers' requests while they are in flight.

It keeps the content of each request, sends attempts to upstreams, builds the messages
that forward requests to other data centres, and delivers one final response to each
request. The node decides what to do with a request.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from opentelemetry.trace import Span, SpanKind, Tracer
from returns.result import Failure, Result
from twisted.internet.defer import Deferred

from tamarackmount.adapters.upstreams import (
    UpstreamClient,
    UpstreamError,
    UpstreamRequest,
    UpstreamResponse,
)
from tamarackmount.daemon.http_responses import (
    REFUSALS,
    FinalResponse,
    Refusal,
    error_response,
    refusal_response,
)
from tamarackmount.daemon.metrics import RequestMetrics
from tamarackmount.daemon.tracing import start_span, traceparent_of
from tamarackmount.ids import (
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TicketId,
    WorkspaceId,
)
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
    RefusalReason,
)
from tamarackmount.kernel.request_effects import remaining_ms

_log = logging.getLogger(__name__)

FORWARD_MARGIN_MS = 100
"""How much earlier the deadline of a forwarded request is, in milliseconds.

The response then arrives before the forwarding member reports the outcome as unknown.
"""

_RESPONSE_LOST = Refusal(
    502, "upstream_failed", "the response of the upstream was lost"
)


@dataclass(frozen=True, slots=True)
class RequestContent:
    """Content of a caller's request, as far as it is passed on."""

    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    method: str
    path: str
    headers: list[HttpHeader]
    body: bytes
    traceparent: str


class ResponseSink(Protocol):
    """Receiver of the final response to a request."""

    def finish(self, response: FinalResponse) -> None:
        """Deliver the response; called once."""


class DaemonCallbacks(Protocol):
    """Callbacks of the daemon that :class:`RequestCalls` calls."""

    def attempt_ended(self, ticket_id: TicketId, result: AttemptResult) -> None:
        """Handle the end of an attempt at an upstream."""

    def forward_ended(self, call_id: int, sender: MemberId) -> bool:
        """Handle the response to a forwarded request; return whether it is used."""

    def forward_refused(self, call_id: int, sender: MemberId) -> None:
        """Handle that a stopping member did not take a forwarded request."""


@dataclass(slots=True)
class _Call:
    content: RequestContent
    sink: ResponseSink
    span: Span
    started_at: Instant
    response: FinalResponse | None = None
    abort: Callable[[], None] | None = None


class RequestCalls:
    """Requests in flight, by call id."""

    def __init__(
        self,
        upstreams: UpstreamClient,
        clock: Callable[[], Instant],
        tracer: Tracer,
        metrics: RequestMetrics,
    ) -> None:
        """Create an empty table of requests."""
        self._upstreams = upstreams
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._calls_by_id: dict[int, _Call] = {}
        self._attempts_by_ticket: dict[TicketId, Deferred[Any]] = {}
        self._last_call_id = 0

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._calls_by_id)

    def add(self, content: RequestContent, sink: ResponseSink) -> int:
        """Add a request and return its call id."""
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

    def discard(self, call_id: int) -> None:
        """Remove a request whose caller has disconnected."""
        call = self._calls_by_id.pop(call_id, None)
        if call is not None:
            call.span.end()

    def send(self, effect: CallUpstream, daemon: DaemonCallbacks) -> None:
        """Send one attempt to an upstream."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            daemon.attempt_ended(effect.ticket_id, AttemptResult.UNUSED)
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
        sent.addCallback(self._attempt_done, effect, span, daemon)

    def abort(self, effect: AbortCall) -> None:
        """Cancel an attempt, which closes its connection."""
        attempt = self._attempts_by_ticket.get(effect.ticket_id)
        if attempt is not None:
            attempt.cancel()

    def finish(self, effect: FinishRequest) -> None:
        """Deliver the final response that the node decided on."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            return
        if effect.outcome is Outcome.ANSWERED:
            response = call.response or error_response(_RESPONSE_LOST, Outcome.UNKNOWN)
        elif effect.reason is not None:
            response = refusal_response(
                effect.reason, effect.outcome, effect.retry_after_ms
            )
        else:
            response = error_response(
                _RESPONSE_LOST, effect.outcome, effect.retry_after_ms
            )
        self._deliver(effect.call_id, response)

    def build_forwarded_request(
        self, effect: ForwardRequest
    ) -> ForwardedRequest | None:
        """Return the message that forwards a request to another member."""
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            return None
        content = call.content
        time_left_ms = remaining_ms(effect.deadline, self._clock())
        return ForwardedRequest(
            call_id=effect.call_id,
            request_id=content.request_id,
            team_id=content.team_id,
            queue=content.queue,
            idempotent=content.idempotent,
            remaining_ms=max(1, time_left_ms - FORWARD_MARGIN_MS),
            method=content.method,
            path=content.path,
            headers=content.headers,
            body=content.body,
            traceparent=traceparent_of(call.span),
        )

    def handle_forwarded_response(
        self, sender: MemberId, message: ForwardedReply, daemon: DaemonCallbacks
    ) -> None:
        """Deliver the response to a forwarded request, unless it is no longer used.

        A request that a stopping member did not take is forwarded elsewhere instead.
        """
        if message.call_id not in self._calls_by_id:
            return
        if message.outcome is Outcome.NOT_RUN and message.reason == _DRAINING:
            daemon.forward_refused(message.call_id, sender)
            return
        if not daemon.forward_ended(message.call_id, sender):
            return
        self._deliver(message.call_id, response_from_forwarded(message))

    def _attempt_done(
        self,
        result: Result[UpstreamResponse, UpstreamError],
        effect: CallUpstream,
        span: Span,
        daemon: DaemonCallbacks,
    ) -> None:
        self._attempts_by_ticket.pop(effect.ticket_id, None)
        attempt_result = self._record_attempt(result, effect)
        span.set_attribute("result", attempt_result.value)
        span.end()
        daemon.attempt_ended(effect.ticket_id, attempt_result)

    def _record_attempt(
        self, result: Result[UpstreamResponse, UpstreamError], effect: CallUpstream
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
            upstream_response = result.unwrap()
            call.response = FinalResponse(
                outcome=Outcome.ANSWERED,
                status=upstream_response.status,
                headers=upstream_response.headers,
                body=upstream_response.body,
                served_by=effect.upstream_id,
            )
        return AttemptResult.ANSWERED

    def _deliver(self, call_id: int, response: FinalResponse) -> None:
        call = self._calls_by_id.pop(call_id)
        call.span.set_attribute("outcome", response.outcome.value)
        call.span.end()
        elapsed_s = self._clock() - call.started_at
        self._metrics.finished(call.content.queue, response.outcome, elapsed_s)
        call.sink.finish(response)


class PeerSink:
    """Sends the final response of a forwarded request back to its entry VM."""

    def __init__(
        self,
        to: MemberId,
        call_id: int,
        send: Callable[[MemberId, ForwardedReply], object],
    ) -> None:
        """Respond to the call ``call_id`` of the member ``to``."""
        self._to = to
        self._call_id = call_id
        self._send = send

    def finish(self, response: FinalResponse) -> None:
        """Send the response."""
        message = ForwardedReply(
            call_id=self._call_id,
            outcome=response.outcome,
            reason=response.reason,
            retry_after_ms=response.retry_after_ms,
            status=response.status,
            headers=[*response.headers, HttpHeader(_SERVED_BY, response.served_by)],
            body=response.body,
        )
        self._send(self._to, message)

    def refuse(self) -> None:
        """Answer that this member stops and has not taken the request."""
        response = refusal_response(RefusalReason.DRAINING, Outcome.NOT_RUN, 0)
        self.finish(response)


_SERVED_BY = "Served-By"
_DRAINING = REFUSALS[RefusalReason.DRAINING].error


def response_from_forwarded(message: ForwardedReply) -> FinalResponse:
    """Return the response in a message of another member."""
    return FinalResponse(
        outcome=message.outcome,
        status=message.status,
        # ``Served-By`` is empty if no upstream served the request; the caller then gets
        # no such header.
        headers=[header for header in message.headers if header.value],
        body=message.body,
        reason=message.reason,
        retry_after_ms=message.retry_after_ms,
    )


def content_from_forwarded(message: ForwardedRequest) -> RequestContent:
    """Return the content of a request that another member forwarded."""
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
