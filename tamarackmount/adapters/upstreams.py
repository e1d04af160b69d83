"""Client of the upstreams.

Assumptions:

- An upstream frees the slot of a request by the deadline in ``Deadline-Ms`` at the
  latest, counted from the request's arrival, also when the connection is closed.
- A connection that was never established carried no request.
- An upstream keeps idle connections open for longer than ``IDLE_CONNECTION_S``. A
  request on a connection that it closes at the same moment counts as sent.
- A response is truncated unless its body has the declared length or ends with the
  last chunk of its chunked coding. One whose end is marked only by the end of the
  connection counts as truncated.
- Interim responses (1xx) are not passed on.
- A response with a ``Request-Id`` header names the request that it belongs to. One
  that names another request counts as a failure after sending.

Neither the client nor its connection pool retries requests.
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

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest response accepted from an upstream, in bytes."""

CONNECT_TIMEOUT_S = 1.0
"""Time-out of connecting to an upstream, in seconds."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Names of the headers that apply to one connection only, in lower case."""

REPLACED_HEADERS = frozenset(
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
"""Names of the caller's headers that are dropped or replaced, in lower case."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to one upstream; ``path`` includes the query."""

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
class UpstreamResponse:
    """A complete response of an upstream, with its end-to-end headers."""

    status: int
    headers: list[HttpHeader]
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamError:
    """A request without a complete response.

    ``result`` is ``FAILED_BEFORE_SEND`` only if it is certain that no byte was sent,
    otherwise ``FAILED_AFTER_SEND``.
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
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Keep at most ``idle_per_upstream`` idle connections to each upstream."""
        limits = Limits(idle_per_upstream, connect_timeout_s, max_response_bytes)
        self._exchanger = HttpExchanger(reactor, limits)

    def send(
        self, request: UpstreamRequest
    ) -> "Deferred[Result[UpstreamResponse, UpstreamError]]":
        """Send a request once; cancelling the deferred aborts the connection."""
        path = request.path if request.path.startswith("/") else f"/{request.path}"
        url = f"http://{url_host(request.host)}:{request.port}{path}"
        headers = [
            *end_to_end_headers(request.headers, REPLACED_HEADERS),
            *self._request_headers(request),
        ]
        sent = self._exchanger.send(
            request.method, url, headers, request.body, request.deadline
        )
        return sent.addCallback(_parse_response, request.request_id)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._exchanger.close()

    def _request_headers(self, request: UpstreamRequest) -> list[HttpHeader]:
        remaining_s = request.deadline - self._exchanger.seconds()
        headers = [
            HttpHeader("Request-Id", request.request_id),
            HttpHeader("Idempotent", "true" if request.idempotent else "false"),
            HttpHeader("Deadline-Ms", str(max(0, int(remaining_s * 1_000)))),
        ]
        if request.traceparent:
            headers.append(HttpHeader("traceparent", request.traceparent))
        return headers


def end_to_end_headers(
    headers: Iterable[HttpHeader], dropped: frozenset[str] = frozenset()
) -> list[HttpHeader]:
    """Return the headers that are neither hop-by-hop nor named in ``dropped``."""
    given = list(headers)
    removed_names = HOP_BY_HOP_HEADERS | dropped | _names_in_connection_header(given)
    return [header for header in given if header.name.lower() not in removed_names]


def _names_in_connection_header(headers: list[HttpHeader]) -> frozenset[str]:
    values = [header.value for header in headers if header.name.lower() == "connection"]
    return frozenset(
        name.strip().lower() for value in values for name in value.split(",")
    )


def _parse_response(
    result: ExchangeResult, request_id: RequestId
) -> Result[UpstreamResponse, UpstreamError]:
    if isinstance(result, Failure):
        return Failure(_to_upstream_error(result.failure()))
    response: Answer = result.unwrap()
    headers = end_to_end_headers(response.headers)
    if _names_other_request(headers, request_id):
        detail = "Request-Id of the response differs from that of the request"
        return Failure(UpstreamError(AttemptResult.FAILED_AFTER_SEND, detail))
    return Success(UpstreamResponse(response.status, headers, response.body))


def _names_other_request(headers: list[HttpHeader], request_id: RequestId) -> bool:
    return any(
        header.name.lower() == "request-id" and header.value != request_id
        for header in headers
    )


def _to_upstream_error(error: ExchangeError) -> UpstreamError:
    if error.fault is ExchangeFault.NOT_SENT:
        return UpstreamError(AttemptResult.FAILED_BEFORE_SEND, error.detail)
    return UpstreamError(AttemptResult.FAILED_AFTER_SEND, error.detail)
