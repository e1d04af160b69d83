"""Whole HTTP exchanges: one request out, one whole answer back, by a deadline.

An exchange succeeds only with the whole answer: status, headers and a body of
the declared length or with a clean end of its chunked coding. Failures tell
whether any byte may have been sent; when in doubt they say so. Nothing is retried.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol, cast

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

from tamarackmount.adapters.reactor import ClientReactor, DelayedCall
from tamarackmount.ids import Instant
from tamarackmount.kernel.messages import HttpHeader

IDLE_CONNECTION_S = 15.0
"""How long an idle connection is kept, in seconds; servers must keep it longer."""


class ExchangeFault(Enum):
    """How an exchange failed."""

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"
    CUT_ANSWER = "cut_answer"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """A failed exchange; only with ``NOT_SENT`` surely no byte was sent."""

    fault: ExchangeFault
    detail: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, without the headers that belong to the connection."""

    status: int
    headers: Sequence[HttpHeader]
    body: bytes


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of an HTTP client.

    ``idle_per_host`` bounds idle connections to each address,
    ``connect_timeout_s`` is in seconds, ``max_answer_bytes`` in bytes.
    """

    idle_per_host: int
    connect_timeout_s: float
    max_answer_bytes: int


ExchangeResult = Result[Answer, ExchangeError]
"""Outcome of an exchange."""


class _Response(Protocol):
    code: int
    headers: Headers
    length: Any

    def deliverBody(self, protocol: StreamProtocol) -> None: ...  # noqa: N802


class _Consumer(Protocol):
    def write(self, data: bytes) -> None: ...


class _Transport(Protocol):
    def stopProducing(self) -> None: ...  # noqa: N802


@implementer(IBodyProducer)
class _BytesProducer:
    """Hands a body that is in memory to the connection at once."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: _Consumer) -> "Deferred[None]":  # noqa: N802
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing is left to resume."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing is left to stop."""


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Endpoints for IP numbers; no name is ever looked up."""

    def __init__(self, reactor: ClientReactor, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        host = uri.host.decode("ascii")
        endpoint: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        made = endpoint(self._reactor, host, uri.port, timeout=self._connect_timeout_s)
        return cast(IStreamClientEndpoint, made)


class _BodyCollector(StreamProtocol):
    """Collects an answer's body, up to a limit."""

    def __init__(self, exchange: "_Exchange", max_bytes: int) -> None:
        self._exchange = exchange
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size += len(data)
        if self._size > self._max_bytes:
            self._exchange.fail(
                ExchangeFault.TOO_LARGE, f"over {self._max_bytes} bytes"
            )
            return
        self._parts.append(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        if not isinstance(reason.value, ResponseDone):
            self._exchange.fail(ExchangeFault.CUT_ANSWER, describe(reason))
            return
        self._exchange.complete(b"".join(self._parts))

    def abort(self) -> None:
        self._parts.clear()
        transport = cast(_Transport | None, self.transport)
        if transport is not None:
            transport.stopProducing()


class _Exchange:
    """One exchange from its request to its one result."""

    def __init__(self, max_answer_bytes: int) -> None:
        self.result: Deferred[ExchangeResult] = Deferred(self._cancelled)
        self._max_answer_bytes = max_answer_bytes
        self._requesting: Deferred[IResponse] | None = None
        self._collector: _BodyCollector | None = None
        self._response: _Response | None = None
        self._timeout: DelayedCall | None = None
        self._timed_out = False
        self._over = False

    def start(self, requesting: "Deferred[IResponse]") -> None:
        self._requesting = requesting
        requesting.addCallbacks(self._on_response, self._on_failure)

    def arm(self, reactor: ClientReactor, deadline: Instant) -> None:
        if self._over:
            return
        delay_s = max(0.0, deadline - reactor.seconds())
        self._timeout = reactor.callLater(delay_s, self._on_deadline)

    def fail(self, fault: ExchangeFault, detail: str) -> None:
        if self._over:
            return
        self._finish(Failure(ExchangeError(fault, detail)))
        if self._collector is not None:
            self._collector.abort()

    def complete(self, body: bytes) -> None:
        response = self._response
        if self._over or response is None:
            return
        headers = [
            HttpHeader(name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        self._finish(Success(Answer(response.code, headers, body)))

    def _on_response(self, response: Any) -> None:
        self._requesting = None
        self._response = response
        collector = _BodyCollector(self, self._max_answer_bytes)
        self._collector = collector
        response.deliverBody(collector)

    def _on_failure(self, failure: TwistedFailure) -> None:
        self._requesting = None
        detail = "deadline passed" if self._timed_out else describe(failure)
        if isinstance(failure.value, ConnectError | ConnectingCancelledError):
            self.fail(ExchangeFault.NOT_SENT, detail)
            return
        self.fail(ExchangeFault.NO_ANSWER, detail)

    def _on_deadline(self) -> None:
        self._timeout = None
        self._timed_out = True
        if self._requesting is not None:
            self._requesting.cancel()
            return
        self.fail(ExchangeFault.CUT_ANSWER, "deadline passed")

    def _cancelled(self, result: "Deferred[ExchangeResult]") -> None:
        if self._requesting is not None:
            self._requesting.cancel()
            return
        self.fail(ExchangeFault.CUT_ANSWER, "cancelled")

    def _finish(self, result: ExchangeResult) -> None:
        self._over = True
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self.result.callback(result)


class HttpExchanger:
    """Sends HTTP requests over a bounded pool of persistent connections.

    A request on an idle connection that the server is just closing fails with
    ``NO_ANSWER``, although the server may not have seen it.
    """

    def __init__(self, reactor: ClientReactor, limits: Limits) -> None:
        """Open connections through ``reactor``."""
        self._reactor = reactor
        self._limits = limits
        self._pool = _make_pool(reactor, limits)
        endpoints = _AddressEndpoints(reactor, limits.connect_timeout_s)
        make_agent: Any = Agent.usingEndpointFactory
        self._agent: Agent = make_agent(reactor, endpoints, self._pool)

    def seconds(self) -> Instant:
        """Return the clock's reading that deadlines are compared with."""
        return Instant(self._reactor.seconds())

    def send(
        self,
        method: str,
        url: str,
        headers: Iterable[HttpHeader],
        body: bytes,
        deadline: Instant,
    ) -> "Deferred[ExchangeResult]":
        """Send one request; cancelling the result aborts the connection."""
        exchange = _Exchange(self._limits.max_answer_bytes)
        if deadline <= self._reactor.seconds():
            exchange.fail(ExchangeFault.NOT_SENT, "deadline passed")
            return exchange.result
        try:
            exchange.start(self._request(method, url, headers, body))
        except ValueError as error:
            exchange.fail(ExchangeFault.NOT_SENT, str(error))
            return exchange.result
        exchange.arm(self._reactor, deadline)
        return exchange.result

    def _request(
        self, method: str, url: str, headers: Iterable[HttpHeader], body: bytes
    ) -> "Deferred[IResponse]":
        producer = _BytesProducer(body) if body else None
        return self._agent.request(
            method.encode("ascii"),
            url.encode("ascii"),
            _encode_headers(headers),
            cast(IBodyProducer | None, producer),
        )

    def close(self) -> "Deferred[None]":
        """Close idle connections; fires once they are closed."""
        closing: Any = self._pool.closeCachedConnections
        closed: Deferred[None] = closing()
        return closed


def describe(failure: TwistedFailure) -> str:
    """Return a short text for a failure, with the reasons inside it."""
    value = failure.value
    reasons = getattr(value, "reasons", None)
    if not reasons:
        return f"{type(value).__name__}: {value}"
    inner = ", ".join(describe(reason) for reason in reasons)
    return f"{type(value).__name__}({inner})"


def _make_pool(reactor: ClientReactor, limits: Limits) -> HTTPConnectionPool:
    make: Any = HTTPConnectionPool
    pool: Any = make(reactor, persistent=limits.idle_per_host > 0)
    pool.maxPersistentPerHost = limits.idle_per_host
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    pool.retryAutomatically = False
    return cast(HTTPConnectionPool, pool)


def _encode_headers(headers: Iterable[HttpHeader]) -> Headers:
    encoded = Headers()
    for header in headers:
        encoded.addRawHeader(
            header.name.encode("ascii"), header.value.encode("latin-1")
        )
    return encoded
