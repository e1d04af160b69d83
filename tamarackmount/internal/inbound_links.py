"""TCP connections that other members opened, with limits on what they keep."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from returns.result import Failure
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.internal.buffer_budget import Reservation
from tamarackmount.internal.codec import MAX_MESSAGE_BYTES, Codec, DecodeError, Envelope
from tamarackmount.internal.connection_limit import ConnectionState
from tamarackmount.internal.keepalive import close_if_unreachable
from tamarackmount.internal.peer_limits import (
    FRAME_ALLOWANCE_BYTES,
    TOO_SLOW,
    PeerLimits,
)
from tamarackmount.internal.refusals import Refusal

_log = logging.getLogger(__name__)

_UNKNOWN_MESSAGE = Failure(DecodeError.UNKNOWN_MESSAGE)

M = TypeVar("M")

MessageHandler = Callable[[Envelope[M]], None]
"""Called with each message that a peer sent."""


@dataclass(slots=True)
class LinkCounters:
    """Counters of messages and bytes since the process started."""

    sent: int = 0
    received: int = 0
    dropped: int = 0
    malformed: int = 0
    unknown: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


def transport_of(protocol: Protocol) -> Any:
    """Return the transport of a connected protocol; mypy can't see its interfaces."""
    return protocol.transport


class Inbound(Int32StringReceiver, Generic[M]):
    """A connection that another member opened."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(
        self,
        codec: Codec[M],
        receive: MessageHandler[M],
        counters: LinkCounters,
        limits: PeerLimits,
    ) -> None:
        """Call ``receive`` with the messages."""
        self._codec = codec
        self._receive = receive
        self._counters = counters
        self._limits = limits
        self._reservation = Reservation(limits.budget, FRAME_ALLOWANCE_BYTES)
        self._is_closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, which would delay small messages."""
        transport_of(self).setTcpNoDelay(True)
        close_if_unreachable(transport_of(self))
        if not self._limits.connections.add(self):
            self.abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle complete frames, and account for an incomplete one."""
        if self._is_closed:
            return
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        kept = len(self._unprocessed)
        if kept and not self._is_closed:
            self._limits.connections.move(self, ConnectionState.RECEIVING)
            if not self._reservation.resize(kept) and not self._displace_stalled(kept):
                self._refuse(self._limits.buffers_full(kept))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle a message; close the connection if it can't be decoded."""
        if self._is_closed:
            return
        self._reservation.release()
        decoded = self._codec.decode(string)
        if decoded == _UNKNOWN_MESSAGE:
            # A peer of a newer version; its other messages are still of use.
            self._counters.unknown += 1
            return
        if isinstance(decoded, Failure):
            self._reject(decoded.failure().value)
            return
        self._limits.connections.move(self, ConnectionState.ESTABLISHED)
        self._counters.received += 1
        self._counters.received_bytes += len(string)
        self._receive(decoded.unwrap())

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection, since a frame is too large."""
        self._reject(f"frame of {length} bytes exceeds the message size limit")

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802, ARG002
        """Return all bytes."""
        self._forget()

    def time_out(self, state: ConnectionState) -> None:  # noqa: ARG002
        """Close the connection, whose frame does not come to an end."""
        self._refuse(TOO_SLOW)

    def displace(self, wanted: int) -> None:
        """Close the connection if its frame has bytes of the shared budget."""
        if self._reservation.reserved:
            self._refuse(self._limits.buffers_full(wanted))

    def abort(self) -> None:
        """Close the connection at once."""
        self._forget()
        transport_of(self).abortConnection()

    def _displace_stalled(self, kept: int) -> bool:
        """Reserve ``kept`` bytes in place of frames that don't come to an end."""
        for connection in self._limits.connections.stalled():
            if connection is not self:
                connection.displace(kept)
                if self._reservation.resize(kept):
                    return True
        return False

    def _refuse(self, refusal: Refusal) -> None:
        self._limits.observer.record_refusal(refusal)
        self.abort()

    def _reject(self, reason: str) -> None:
        self._counters.malformed += 1
        peer = str(transport_of(self).getPeer())
        _log.warning(
            "closed peer connection: invalid message",
            extra={"reason": reason, "peer": peer},
        )
        self.abort()

    def _forget(self) -> None:
        self._is_closed = True
        self._unprocessed = b""
        self._reservation.release()
        self._limits.connections.remove(self)


class InboundFactory(Factory, Generic[M]):
    """Makes the connections that other members open."""

    noisy = False

    def __init__(
        self,
        codec: Codec[M],
        receive: MessageHandler[M],
        counters: LinkCounters,
        limits: PeerLimits,
    ) -> None:
        """Call ``receive`` with the messages of all connections."""
        self._codec = codec
        self._receive = receive
        self._counters = counters
        self._limits = limits

    def buildProtocol(self, addr: object) -> Inbound[M]:  # noqa: N802, ARG002
        """Return the protocol of a new connection."""
        return Inbound(self._codec, self._receive, self._counters, self._limits)
