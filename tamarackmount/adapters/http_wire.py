"""Parts of the HTTP client below :mod:`http_exchange`, built on Twisted's agent.

They are the endpoints, the connection pool, the body producer and the header encoding.
"""

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
"""Time after which an idle connection is closed, in seconds.

Servers must keep idle connections open for longer.
"""


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of an HTTP client.

    ``idle_per_host`` is the largest number of idle connections to one address,
    ``connect_timeout_s`` is in seconds, and ``max_response_bytes`` is the largest
    accepted body, in bytes.
    """

    idle_per_host: int
    connect_timeout_s: float
    max_response_bytes: int


class _Consumer(Protocol):
    def write(self, data: bytes) -> None: ...


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes a whole body from memory in one call."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: _Consumer) -> "Deferred[None]":  # noqa: N802
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at the start."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at the start."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at the start."""


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Creates endpoints for IP addresses; never looks up host names."""

    def __init__(self, reactor: ClientReactor, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        host = uri.host.decode("ascii")
        endpoint_class: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )
        return cast(IStreamClientEndpoint, endpoint)


def make_producer(body: bytes) -> IBodyProducer | None:
    """Return a producer for a body, or ``None`` if the body is empty."""
    if not body:
        return None
    return cast(IBodyProducer, _BytesProducer(body))


def make_pool(reactor: ClientReactor, limits: Limits) -> HTTPConnectionPool:
    """Return a connection pool within ``limits`` that never retries a request."""
    pool_class: Any = HTTPConnectionPool
    pool: Any = pool_class(reactor, persistent=limits.idle_per_host > 0)
    pool.maxPersistentPerHost = limits.idle_per_host
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    pool.retryAutomatically = False
    return cast(HTTPConnectionPool, pool)


def make_agent(
    reactor: ClientReactor, limits: Limits, pool: HTTPConnectionPool
) -> Agent:
    """Return an agent that connects to IP addresses only."""
    endpoints = _IpEndpointFactory(reactor, limits.connect_timeout_s)
    make_agent_from: Any = Agent.usingEndpointFactory
    agent: Agent = make_agent_from(reactor, endpoints, pool)
    return agent


def encode_headers(headers: Iterable[HttpHeader]) -> Headers:
    """Return the headers as bytes; raise ``ValueError`` if they can't be encoded."""
    encoded = Headers()
    for header in headers:
        encoded.addRawHeader(
            header.name.encode("ascii"), header.value.encode("latin-1")
        )
    return encoded
