"""Make single HTTP calls; a failure says whether any byte was sent."""

from dataclasses import dataclass
from io import BytesIO
from typing import Any
from typing import Protocol as TypingProtocol

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
    DNSLookupError,
)
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

CONNECT_TIMEOUT_S = 3.0
"""Timeout of connecting, in seconds."""


@dataclass(frozen=True, slots=True)
class Header:
    """One header of a request or response."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; ``timeout_s`` covers connecting, sending and the whole response."""

    method: str
    url: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        for header in self.headers:
            if header.name.lower() == name.lower():
                return header.value
        return ""


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call without a complete response.

    ``sent`` is false only if nothing was sent.
    """

    sent: bool
    message: str


class HttpOpener(TypingProtocol):
    """Makes HTTP calls."""

    def send(self, request: HttpRequest) -> Deferred[Result[HttpResponse, HttpFailure]]:
        """Send a request once, without retries."""
        ...


class HttpAgent(TypingProtocol):
    """The part of twisted's ``IAgent`` that is used here."""

    def request(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers | None = None,
        bodyProducer: Any = None,  # noqa: N803
    ) -> Deferred[IResponse]:
        """Send a request."""
        ...


class AgentOpener:
    """Makes HTTP calls with a twisted agent."""

    def __init__(self, agent: HttpAgent, clock: IReactorTime) -> None:
        """Use ``agent``, which must not retry requests by itself."""
        self._agent = agent
        self._clock = clock

    def send(self, request: HttpRequest) -> Deferred[Result[HttpResponse, HttpFailure]]:
        """Send a request once."""
        body = _Body(request.body)
        sending: Deferred[IResponse] = self._agent.request(
            request.method.encode("ascii"),
            request.url.encode("ascii"),
            _to_headers(request.headers),
            body,
        )
        reading = sending.addCallback(_read_response)
        reading.addTimeout(request.timeout_s, self._clock, _to_timeout)
        return reading.addCallbacks(Success, _to_failure, errbackArgs=(body,))


def make_opener(reactor: Any, *, persistent: bool = False) -> AgentOpener:
    """Return an opener that uses the reactor.

    A ``persistent`` opener keeps connections open. The outcome of a request is unknown
    if the peer closes the reused connection at that moment.
    """
    pool = HTTPConnectionPool(  # type: ignore[no-untyped-call]
        reactor, persistent=persistent
    )
    pool.retryAutomatically = False
    agent = Agent(  # type: ignore[no-untyped-call]
        reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
    )
    return AgentOpener(agent, IReactorTime(reactor))


class _Body(FileBodyProducer):
    """A request body that records when the request is written."""

    def __init__(self, body: bytes) -> None:
        super().__init__(BytesIO(body))  # type: ignore[no-untyped-call]
        self.started = False
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body; the headers are written just before."""
        self.started = True
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body is already written."""


class _BodyReader(Protocol):
    """Collects a response's body; ``finished`` fails if the body is incomplete."""

    def __init__(self) -> None:
        self.finished: Deferred[bytes] = Deferred(lambda _: self._close())
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect one part of the body."""
        self._chunks.append(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Fire ``finished`` with the body, or fail it if the body is incomplete."""
        if isinstance(reason.value, ResponseDone):
            self.finished.callback(b"".join(self._chunks))
        else:
            self.finished.errback(reason)

    def _close(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def _to_headers(headers: tuple[Header, ...]) -> Headers:
    raw = Headers()
    for header in headers:
        raw.addRawHeader(header.name, header.value)
    return raw


def _read_response(response: Any) -> Deferred[HttpResponse]:
    headers = tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.finished.addCallback(
        lambda body: HttpResponse(int(response.code), headers, body)
    )


def _to_timeout(outcome: object, timeout_s: float) -> object:
    """Replace the failure of a cancelled call with a timeout error."""
    if not isinstance(outcome, TwistedFailure):
        return outcome
    return TwistedFailure(  # type: ignore[no-untyped-call]
        DeferredTimeoutError(timeout_s)
    )


_NETWORK_ERRORS = (
    CancelledError,
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
    ConnectTimeoutError,
    DNSLookupError,
    DeferredTimeoutError,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)

_TIMEOUTS = (ConnectTimeoutError, DeferredTimeoutError)


def _to_failure(
    failure: TwistedFailure, body: _Body
) -> Result[HttpResponse, HttpFailure]:
    error = failure.value
    assert error is not None
    if not isinstance(error, _NETWORK_ERRORS):
        raise error
    return Failure(HttpFailure(body.started, _reason(failure)))


def _reason(failure: TwistedFailure) -> str:
    """Return the innermost reason that twisted gives, on one line."""
    reasons = getattr(failure.value, "reasons", None)
    if reasons:
        return _reason(reasons[0])
    if isinstance(failure.value, _TIMEOUTS):
        return "no response in time"
    return " ".join(failure.getErrorMessage().split())
