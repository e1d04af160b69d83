"""Links to the other members: framed messages over TCP.

A member sends on connections that it opened and reads on connections that others
opened. Messages to a peer without a connection are dropped, as a network would; the
kernel repeats what has to arrive. A frame that is too large or not a message closes
its connection and is counted.
"""

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from returns.result import Failure
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.ids import MemberId
from tamarackmount.internal.addresses import Address
from tamarackmount.internal.codec import MAX_MESSAGE_BYTES, Codec, Envelope

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Bytes waiting for a slow peer after which its connection is dropped."""

MAX_RECONNECT_DELAY_S = 0.5
"""Longest pause between two tries to connect to a peer, jitter apart, in seconds."""

RECONNECT_JITTER_S = 0.1
"""Longest random addition to such a pause, in seconds."""

_log = logging.getLogger(__name__)

M = TypeVar("M")

Receive = Callable[[Envelope[M]], None]


@dataclass(slots=True)
class LinkCounters:
    """What happened on the links since the start."""

    sent: int = 0
    received: int = 0
    dropped: int = 0
    malformed: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


def _transport(protocol: Protocol) -> Any:
    """Return a connected protocol's transport, whose interfaces mypy can't see."""
    return protocol.transport


class _Inbound(Int32StringReceiver, Generic[M]):
    """A connection that another member opened."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(
        self, codec: Codec[M], receive: Receive[M], counters: LinkCounters
    ) -> None:
        self._codec = codec
        self._receive = receive
        self._counters = counters

    def connectionMade(self) -> None:  # noqa: N802  (twisted's name)
        """Turn off delays for small messages."""
        _transport(self).setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Pass a message on, or close on bytes that are none."""
        decoded = self._codec.decode(string)
        if isinstance(decoded, Failure):
            self._reject(decoded.failure().value)
            return
        self._counters.received += 1
        self._counters.received_bytes += len(string)
        self._receive(decoded.unwrap())

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection on a frame that is too large."""
        self._reject(f"frame of {length} bytes")

    def _reject(self, reason: str) -> None:
        self._counters.malformed += 1
        peer = str(_transport(self).getPeer())
        _log.warning("closed peer connection", extra={"reason": reason, "peer": peer})
        _transport(self).abortConnection()


class _InboundFactory(Factory, Generic[M]):
    noisy = False

    def __init__(
        self, codec: Codec[M], receive: Receive[M], counters: LinkCounters
    ) -> None:
        self._codec = codec
        self._receive = receive
        self._counters = counters

    def buildProtocol(self, addr: object) -> _Inbound[M]:  # noqa: N802, ARG002
        return _Inbound(self._codec, self._receive, self._counters)


class _Outbound(Int32StringReceiver):
    """A connection that this member opened."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self) -> None:
        self.is_open = False
        self._unsent = 0
        self._congested = False

    def connectionMade(self) -> None:  # noqa: N802
        """Ask to be told when the peer is slow."""
        self.is_open = True
        _transport(self).setTcpNoDelay(True)
        _transport(self).registerProducer(self, True)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Note that nothing can be sent any more."""
        self.is_open = False

    def send(self, data: bytes) -> bool:
        """Send a frame; return whether it went out or was dropped."""
        if self._congested:
            self._unsent += len(data)
        if self._unsent > MAX_UNSENT_BYTES:
            _transport(self).abortConnection()
            return False
        self.sendString(data)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the peer reads slower than this member writes."""
        self._congested = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that everything written so far is on its way."""
        self._congested = False
        self._unsent = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Note that the connection is gone."""
        self._congested = True


class _OutboundFactory(Factory):
    noisy = False
    protocol = _Outbound


class _Link:
    """A connection to one peer, opened again whenever it is lost."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self._protocol: _Outbound | None = None
        endpoint: Any = TCP4ClientEndpoint(
            reactor, address.host, address.port, timeout=2
        )
        policy = backoffPolicy(
            initialDelay=0.1, maxDelay=MAX_RECONNECT_DELAY_S, jitter=_jitter_s
        )
        factory: Any = _OutboundFactory()
        self._service = ClientService(
            endpoint,
            factory,
            retryPolicy=policy,
            clock=reactor,
            prepareConnection=self._connected,
        )
        self._service.startService()

    @property
    def is_open(self) -> bool:
        return self._protocol is not None and self._protocol.is_open

    def send(self, data: bytes) -> bool:
        if self._protocol is not None and self._protocol.is_open:
            return self._protocol.send(data)
        return False

    def stop(self) -> None:
        self._service.stopService()

    def _connected(self, protocol: _Outbound) -> None:
        self._protocol = protocol


def _jitter_s() -> float:
    return random.uniform(0, RECONNECT_JITTER_S)


class PeerLinks(Generic[M]):
    """The task that owns every connection between this member and others."""

    def __init__(
        self,
        reactor: Any,
        member_id: MemberId,
        addresses_by_id: Mapping[MemberId, Address],
        codec: Codec[M],
        receive: Receive[M],
    ) -> None:
        """Know the peers' addresses; nothing is connected before it is needed."""
        self._reactor = reactor
        self._member_id = member_id
        self._addresses_by_id = addresses_by_id
        self._codec = codec
        self._receive = receive
        self._links_by_id: dict[MemberId, _Link] = {}
        self._port: Any = None
        self.counters = LinkCounters()

    def listen(self, address: Address) -> None:
        """Accept connections of other members."""
        factory = _InboundFactory(self._codec, self._receive, self.counters)
        self._port = self._reactor.listenTCP(
            address.port, factory, interface=address.host
        )

    def send(self, to: MemberId, message: M) -> bool:
        """Send a message to a peer; return whether there was a connection to it."""
        link = self._link(to)
        data = self._codec.encode(Envelope(self._member_id, message))
        if link is not None and link.send(data):
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
            return True
        self.counters.dropped += 1
        return False

    def is_open(self, to: MemberId) -> bool:
        """Tell whether there is a connection to a peer; ask for one if not."""
        link = self._link(to)
        return link is not None and link.is_open

    def forget(self, to: MemberId) -> None:
        """Close the connection to a peer, whose address has changed or is gone."""
        link = self._links_by_id.pop(to, None)
        if link is not None:
            link.stop()

    def stop(self) -> None:
        """Close every connection."""
        if self._port is not None:
            self._port.stopListening()
        for link in self._links_by_id.values():
            link.stop()

    def _link(self, to: MemberId) -> _Link | None:
        link = self._links_by_id.get(to)
        if link is None and to in self._addresses_by_id:
            link = _Link(self._reactor, self._addresses_by_id[to])
            self._links_by_id[to] = link
        return link
