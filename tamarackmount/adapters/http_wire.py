"""How HTTP requests get onto the wire: endpoints, pool and body producer."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.kernel.messages import HttpHeader

IDLE_CONNECTION_S = 15.0
"""How long an idle connection is kept, in seconds; servers must keep it longer."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of an HTTP client.

    ``idle_per_host`` bounds idle connections to each address,
    ``connect_timeout_s`` is in seconds, ``max_answer_bytes`` in bytes.
    """

    idle_per_host: int
    connect_timeout_s: float
    max_answer_bytes: int


class _Consumer(Protocol):
    def write(self, data: bytes) -> None: ...


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


def make_producer(body: bytes) -> IBodyProducer | None:
    """Return the producer of a body, or ``None`` for an empty one."""
    if not body:
        return None
    return cast(IBodyProducer, _BytesProducer(body))


def make_pool(reactor: ClientReactor, limits: Limits) -> HTTPConnectionPool:
    """Return a bounded pool that never retries."""
    make: Any = HTTPConnectionPool
    pool: Any = make(reactor, persistent=limits.idle_per_host > 0)
    pool.maxPersistentPerHost = limits.idle_per_host
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    pool.retryAutomatically = False
    return cast(HTTPConnectionPool, pool)


def make_agent(
    reactor: ClientReactor, limits: Limits, pool: HTTPConnectionPool
) -> Agent:
    """Return an agent that connects to IP numbers only."""
    endpoints = _AddressEndpoints(reactor, limits.connect_timeout_s)
    make: Any = Agent.usingEndpointFactory
    agent: Agent = make(reactor, endpoints, pool)
    return agent


def encode_headers(headers: Iterable[HttpHeader]) -> Headers:
    """Return headers as bytes; raises ``ValueError`` if they can't be written."""
    encoded = Headers()
    for header in headers:
        encoded.addRawHeader(
            header.name.encode("ascii"), header.value.encode("latin-1")
        )
    return encoded
