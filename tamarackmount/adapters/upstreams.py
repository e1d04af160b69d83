"""Client of the upstreams.

Assumptions:

- An upstream that is told ``Deadline-Ms``, or whose connection is cut, gives its
  slot back at the latest by that deadline, counted from the request's arrival.
- A connection that was never established carried no request.
- An upstream keeps idle connections for longer than ``IDLE_CONNECTION_S``; a
  request on a connection that it closes at that moment counts as sent.
- An answer is whole when it has its declared length or its chunked coding ends;
  answers that end with the connection alone count as cut.
- Interim answers (1xx) are not passed on.
- An answer with a ``Request-Id`` header names the request that it belongs to; one
  that names another request is no answer.

The client never retries, neither does its pool.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from tamarackmount.adapters.http_exchange import (
    Answer,
    ExchangeError,
    ExchangeFault,
    ExchangeResult,
    HttpExchanger,
)
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.adapters.workers import url_host
from tamarackmount.ids import Instant, RequestId
from tamarackmount.kernel.messages import AttemptResult, HttpHeader

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer taken from an upstream, in bytes."""

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection to an upstream, in seconds."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection, in lower case."""

OWN_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "deadline-ms",
        "expect",
        "host",
        "idempotent",
        "request-id",
        "timeout-ms",
        "traceparent",
    }
)
"""Headers of a caller that the client drops or sets itself, in lower case."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One request for one upstream; ``path`` includes the query."""

    host: str
    port: int
    method: str
    path: str
    headers: list[HttpHeader]
    body: bytes
    request_id: RequestId
    idempotent: bool
    deadline: Instant
    traceparent: str


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's whole answer with its end-to-end headers."""

    status: int
    headers: list[HttpHeader]
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamError:
    """No whole answer came.

    ``result`` is ``FAILED_BEFORE_SEND`` only when surely no byte was sent, else
    ``FAILED_AFTER_SEND``.
    """

    result: AttemptResult
    detail: str


class UpstreamClient:
    """Sends requests to upstreams."""

    def __init__(
        self,
        reactor: ClientReactor,
        idle_per_upstream: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Keep at most ``idle_per_upstream`` idle connections to each upstream."""
        limits = Limits(idle_per_upstream, connect_timeout_s, max_answer_bytes)
        self._exchanger = HttpExchanger(reactor, limits)

    def send(
        self, request: UpstreamRequest
    ) -> "Deferred[Result[UpstreamAnswer, UpstreamError]]":
        """Send a request once; cancelling the result aborts the connection."""
        path = request.path if request.path.startswith("/") else f"/{request.path}"
        url = f"http://{url_host(request.host)}:{request.port}{path}"
        headers = [*end_to_end(request.headers, OWN_HEADERS), *self._own(request)]
        sent = self._exchanger.send(
            request.method, url, headers, request.body, request.deadline
        )
        return sent.addCallback(_read, request.request_id)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._exchanger.close()

    def _own(self, request: UpstreamRequest) -> list[HttpHeader]:
        remaining_s = request.deadline - self._exchanger.seconds()
        headers = [
            HttpHeader("Request-Id", request.request_id),
            HttpHeader("Idempotent", "true" if request.idempotent else "false"),
            HttpHeader("Deadline-Ms", str(max(0, int(remaining_s * 1_000)))),
        ]
        if request.traceparent:
            headers.append(HttpHeader("traceparent", request.traceparent))
        return headers


def end_to_end(
    headers: Iterable[HttpHeader], dropped: frozenset[str] = frozenset()
) -> list[HttpHeader]:
    """Return the headers that are neither hop-by-hop nor named in ``dropped``."""
    given = list(headers)
    unwanted = HOP_BY_HOP | dropped | _named_by_connection(given)
    return [header for header in given if header.name.lower() not in unwanted]


def _named_by_connection(headers: list[HttpHeader]) -> frozenset[str]:
    values = [header.value for header in headers if header.name.lower() == "connection"]
    return frozenset(
        name.strip().lower() for value in values for name in value.split(",")
    )


def _read(
    result: ExchangeResult, request_id: RequestId
) -> Result[UpstreamAnswer, UpstreamError]:
    if isinstance(result, Failure):
        return Failure(_error(result.failure()))
    answer: Answer = result.unwrap()
    headers = end_to_end(answer.headers)
    if _answers_another(headers, request_id):
        detail = "the answer names another request"
        return Failure(UpstreamError(AttemptResult.FAILED_AFTER_SEND, detail))
    return Success(UpstreamAnswer(answer.status, headers, answer.body))


def _answers_another(headers: list[HttpHeader], request_id: RequestId) -> bool:
    return any(
        header.name.lower() == "request-id" and header.value != request_id
        for header in headers
    )


def _error(error: ExchangeError) -> UpstreamError:
    if error.fault is ExchangeFault.NOT_SENT:
        return UpstreamError(AttemptResult.FAILED_BEFORE_SEND, error.detail)
    return UpstreamError(AttemptResult.FAILED_AFTER_SEND, error.detail)
