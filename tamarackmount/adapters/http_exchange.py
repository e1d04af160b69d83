"""HTTP exchanges: one request and its complete response before a deadline.

An exchange succeeds only if the response is not truncated: it has a status, headers
and a body that has its declared length or ends with the last chunk of its chunked
coding. A failure tells whether any byte of the request may have been sent; it reports
``NOT_SENT`` only if that is certain. Requests are never retried.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol, cast

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from tamarackmount.adapters.http_wire import (
    Limits,
    encode_headers,
    make_agent,
    make_pool,
    make_producer,
)
from tamarackmount.adapters.reactor import ClientReactor, DelayedCall
from tamarackmount.ids import Instant
from tamarackmount.kernel.messages import HttpHeader


class ExchangeFault(Enum):
    """How an exchange failed.

    ``NOT_SENT`` means that no byte of the request was sent. With ``NO_RESPONSE`` the
    exchange ended before the end of the response's headers, with ``TRUNCATED`` before
    the end of its body, and with ``TOO_LARGE`` the body exceeded the limit; in these
    three cases the server may have handled the request.
    """

    NOT_SENT = "not_sent"
    NO_RESPONSE = "no_answer"
    TRUNCATED = "cut_answer"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """A failed exchange."""

    fault: ExchangeFault
    detail: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response, without the headers that belong to the connection."""

    status: int
    headers: Sequence[HttpHeader]
    body: bytes


ExchangeResult = Result[Answer, ExchangeError]
"""Result of an exchange."""


class _TwistedResponse(Protocol):
    code: int
    headers: Headers

    def deliverBody(self, protocol: StreamProtocol) -> None: ...  # noqa: N802


class _Transport(Protocol):
    def stopProducing(self) -> None: ...  # noqa: N802


class _BodyCollector(StreamProtocol):
    """Collects the body of a response, up to a limit."""

    def __init__(self, exchange: "_Exchange", max_bytes: int) -> None:
        self._exchange = exchange
        self._max_bytes = max_bytes
        self._size = 0
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size += len(data)
        if self._size > self._max_bytes:
            self._exchange.fail(
                ExchangeFault.TOO_LARGE,
                f"response body exceeds the limit of {self._max_bytes} bytes",
            )
            return
        self._chunks.append(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        if not isinstance(reason.value, ResponseDone):
            self._exchange.fail(ExchangeFault.TRUNCATED, _describe_failure(reason))
            return
        self._exchange.complete(b"".join(self._chunks))

    def abort(self) -> None:
        self._chunks.clear()
        transport = cast(_Transport | None, self.transport)
        if transport is not None:
            transport.stopProducing()


class _Exchange:
    """State of one exchange; ``result`` fires exactly once."""

    def __init__(self, max_response_bytes: int) -> None:
        self.result: Deferred[ExchangeResult] = Deferred(self._on_cancel)
        self._max_answer_bytes = max_response_bytes
        self._pending_response: Deferred[IResponse] | None = None
        self._collector: _BodyCollector | None = None
        self._response: _TwistedResponse | None = None
        self._timeout: DelayedCall | None = None
        self._abort_detail = ""
        self._is_finished = False

    def start(self, pending_response: "Deferred[IResponse]") -> None:
        self._pending_response = pending_response
        pending_response.addCallbacks(self._on_response, self._on_failure)

    def set_deadline(self, reactor: ClientReactor, deadline: Instant) -> None:
        if self._is_finished:
            return
        delay_s = max(0.0, deadline - reactor.seconds())
        self._timeout = reactor.callLater(delay_s, self._on_deadline)

    def fail(self, fault: ExchangeFault, detail: str) -> None:
        if self._is_finished:
            return
        self._finish(Failure(ExchangeError(fault, detail)))
        if self._collector is not None:
            self._collector.abort()

    def complete(self, body: bytes) -> None:
        response = self._response
        if self._is_finished or response is None:
            return
        headers = [
            HttpHeader(name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        self._finish(Success(Answer(response.code, headers, body)))

    def _on_response(self, response: Any) -> None:
        self._pending_response = None
        self._response = response
        collector = _BodyCollector(self, self._max_answer_bytes)
        self._collector = collector
        response.deliverBody(collector)

    def _on_failure(self, failure: TwistedFailure) -> None:
        self._pending_response = None
        detail = self._abort_detail or _describe_failure(failure)
        if isinstance(failure.value, ConnectError | ConnectingCancelledError):
            self.fail(ExchangeFault.NOT_SENT, detail)
            return
        self.fail(ExchangeFault.NO_RESPONSE, detail)

    def _on_deadline(self) -> None:
        self._timeout = None
        self._abort("deadline passed before the response was complete")

    def _on_cancel(self, result: "Deferred[ExchangeResult]") -> None:
        self._abort("cancelled")

    def _abort(self, detail: str) -> None:
        self._abort_detail = detail
        if self._pending_response is None:
            self.fail(ExchangeFault.TRUNCATED, detail)
            return
        self._pending_response.cancel()
        self.fail(ExchangeFault.NO_RESPONSE, detail)

    def _finish(self, result: ExchangeResult) -> None:
        self._is_finished = True
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self.result.callback(result)


class HttpExchanger:
    """Sends HTTP requests over a bounded pool of persistent connections.

    A request on an idle connection that the server closes at the same moment fails
    with ``NO_RESPONSE``, although the server may not have received it.
    """

    def __init__(self, reactor: ClientReactor, limits: Limits) -> None:
        """Use ``reactor`` for connections and time-outs."""
        self._reactor = reactor
        self._limits = limits
        self._pool = make_pool(reactor, limits)
        self._agent = make_agent(reactor, limits, self._pool)

    def seconds(self) -> Instant:
        """Return the current time of the clock that deadlines refer to."""
        return Instant(self._reactor.seconds())

    def send(
        self,
        method: str,
        url: str,
        headers: Iterable[HttpHeader],
        body: bytes,
        deadline: Instant,
    ) -> "Deferred[ExchangeResult]":
        """Send one request; cancelling the deferred aborts the connection."""
        exchange = _Exchange(self._limits.max_response_bytes)
        if deadline <= self._reactor.seconds():
            exchange.fail(
                ExchangeFault.NOT_SENT, "deadline passed before the request was sent"
            )
            return exchange.result
        try:
            exchange.start(self._request(method, url, headers, body))
        except ValueError as error:
            exchange.fail(ExchangeFault.NOT_SENT, str(error))
            return exchange.result
        exchange.set_deadline(self._reactor, deadline)
        return exchange.result

    def _request(
        self, method: str, url: str, headers: Iterable[HttpHeader], body: bytes
    ) -> "Deferred[IResponse]":
        return self._agent.request(
            method.encode("ascii"),
            url.encode("ascii"),
            encode_headers(headers),
            make_producer(body),
        )

    def close(self) -> "Deferred[None]":
        """Close idle connections; the deferred fires once they are closed."""
        close_connections: Any = self._pool.closeCachedConnections
        closed: Deferred[None] = close_connections()
        return closed


def _describe_failure(failure: TwistedFailure) -> str:
    """Return a short text for a failure and the failures nested in it."""
    value = failure.value
    reasons = getattr(value, "reasons", None)
    if not reasons:
        return f"{type(value).__name__}: {value}"
    nested = ", ".join(_describe_failure(reason) for reason in reasons)
    return f"{type(value).__name__}({nested})"
