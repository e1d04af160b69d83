"""TCP connections to the other members, for messages in length-prefixed frames.

A member sends on connections that it opened and receives on connections that others
opened. Messages to a peer without a connection are dropped, as a network would drop
them; the kernel repeats those that have to arrive. A frame that is too large or can't
be decoded is counted, and its connection is closed. A message that only a newer version
knows is counted and ignored.
"""

import random
from collections.abc import Mapping
from typing import Any, Generic

from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.ids import MemberId
from tamarackmount.internal.addresses import Address
from tamarackmount.internal.codec import MAX_MESSAGE_BYTES, Codec, Envelope
from tamarackmount.internal.inbound_links import (
    InboundFactory,
    LinkCounters,
    M,
    MessageHandler,
    transport_of,
)
from tamarackmount.internal.keepalive import close_if_unreachable
from tamarackmount.internal.peer_limits import PeerLimits

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Bytes waiting for a slow peer above which its connection is aborted."""

CONNECT_TIMEOUT_S = 0.4
"""Timeout of an attempt to connect to a peer, in seconds. Round trips take a few
milliseconds, and an opening packet that reached a peer before its start is repeated by
the system only after a second."""

MAX_RECONNECT_DELAY_S = 0.5
"""Longest delay between attempts to connect to a peer, without jitter, in seconds."""

USUAL_ATTEMPTS = 120
"""Number of failed attempts in a row after which the delay doubles with each further
one: about a minute, in which a VM that was replaced is back."""

MAX_ABSENT_DELAY_S = 5.0
"""Longest delay between attempts to connect to a peer that has been unreachable for
long, without jitter, in seconds: after a partition all peers are connected within it.
A peer that sends a message is dialled at once."""

MAX_DOUBLINGS = 10
"""Number of doublings of the delay, which bounds the exponent."""

RECONNECT_JITTER_S = 0.1
"""Largest random addition to that delay, in seconds."""


class _Outbound(Int32StringReceiver):
    """A connection that this member opened."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self) -> None:
        self.is_open = False
        self._unsent_bytes = 0
        self._is_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and register for back-pressure."""
        self.is_open = True
        transport_of(self).setTcpNoDelay(True)
        close_if_unreachable(transport_of(self))
        transport_of(self).registerProducer(self, True)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Mark the connection as closed."""
        self.is_open = False

    def send(self, data: bytes) -> bool:
        """Send a frame; return ``False`` if it is dropped since the peer is slow."""
        if self._is_paused:
            self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            transport_of(self).abortConnection()
            return False
        self.sendString(data)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        """Start to count unsent bytes, since the peer reads too slowly."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Reset the count; all bytes were handed to the operating system."""
        self._is_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Treat later bytes as unsent; the connection is closed."""
        self._is_paused = True


class _OutboundFactory(Factory):
    noisy = False
    protocol = _Outbound


class _PeerConnection:
    """A connection to one peer, re-established whenever it is lost."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self._protocol: _Outbound | None = None
        endpoint: Any = TCP4ClientEndpoint(
            reactor, address.host, address.port, timeout=CONNECT_TIMEOUT_S
        )
        self._failed_attempts = 0
        self._usual_delay_s = backoffPolicy(
            initialDelay=0.1, maxDelay=MAX_RECONNECT_DELAY_S, jitter=_jitter_s
        )
        factory: Any = _OutboundFactory()
        self._service = ClientService(
            endpoint,
            factory,
            retryPolicy=self._delay_s,
            clock=reactor,
            prepareConnection=self._on_connected,
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

    @property
    def is_rarely_dialled(self) -> bool:
        return not self.is_open and self._failed_attempts > USUAL_ATTEMPTS

    def _on_connected(self, protocol: _Outbound) -> None:
        self._failed_attempts = 0
        self._protocol = protocol

    def _delay_s(self, failed_attempts: int) -> float:
        """Return the delay before the next attempt, in seconds."""
        self._failed_attempts = failed_attempts
        doublings = min(max(0, failed_attempts - USUAL_ATTEMPTS), MAX_DOUBLINGS)
        delay_s = self._usual_delay_s(failed_attempts) * 2.0**doublings
        return min(delay_s, MAX_ABSENT_DELAY_S + _jitter_s())


def _jitter_s() -> float:
    return random.uniform(0, RECONNECT_JITTER_S)


class PeerLinks(Generic[M]):
    """Sends and receives messages over the connections to the other members."""

    def __init__(
        self,
        reactor: Any,
        member_id: MemberId,
        addresses_by_id: Mapping[MemberId, Address],
        codec: Codec[M],
        receive: MessageHandler[M],
        limits: PeerLimits | None = None,
    ) -> None:
        """Store the peers' addresses; connections are opened on first use."""
        self._reactor = reactor
        self._member_id = member_id
        self._addresses_by_id = addresses_by_id
        self._codec = codec
        self._receive_message = receive
        self._connections_by_id: dict[MemberId, _PeerConnection] = {}
        self._port: Any = None
        self._limits = limits or PeerLimits(reactor)
        self.counters = LinkCounters()

    def listen(self, address: Address) -> None:
        """Accept connections from other members."""
        factory = InboundFactory(
            self._codec, self._receive, self.counters, self._limits
        )
        self._port = self._reactor.listenTCP(
            address.port, factory, interface=address.host
        )

    def send(self, to: MemberId, message: M) -> bool:
        """Send a message to a peer; return ``False`` if it was dropped."""
        connection = self._connection_to(to)
        data = self._codec.encode(Envelope(self._member_id, message))
        if connection is not None and connection.send(data):
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
            return True
        self.counters.dropped += 1
        return False

    def is_open(self, to: MemberId) -> bool:
        """Return whether a peer is connected; start to connect if it is not."""
        connection = self._connection_to(to)
        return connection is not None and connection.is_open

    def forget(self, to: MemberId) -> None:
        """Close the connection to a peer whose address was changed or removed."""
        connection = self._connections_by_id.pop(to, None)
        if connection is not None:
            connection.stop()

    def stop(self) -> None:
        """Stop listening and close the connections that this member opened."""
        if self._port is not None:
            self._port.stopListening()
        for connection in self._connections_by_id.values():
            connection.stop()

    def _receive(self, envelope: Envelope[M]) -> None:
        connection = self._connections_by_id.get(envelope.sender)
        if connection is not None and connection.is_rarely_dialled:
            self.forget(envelope.sender)
            self._connection_to(envelope.sender)
        self._receive_message(envelope)

    def _connection_to(self, to: MemberId) -> _PeerConnection | None:
        connection = self._connections_by_id.get(to)
        if connection is None and to in self._addresses_by_id:
            connection = _PeerConnection(self._reactor, self._addresses_by_id[to])
            self._connections_by_id[to] = connection
        return connection
