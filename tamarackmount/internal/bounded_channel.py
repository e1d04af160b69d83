"""HTTP connections whose buffers are limited.

What a connection buffers counts against the budget of the process. A request that does
not fit, or that can't be served, is refused as soon as that is known: before its body
is kept. The connection then reads on for a bounded time without keeping anything, since
closing it with unread bytes would drop the response.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http

from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.buffer_budget import BufferBudget, Reservation
from tamarackmount.internal.chunked_body import ChunkedDecoder, MalformedChunkError
from tamarackmount.internal.connection_limit import (
    TIMEOUT_S_BY_STATE,
    ConnectionState,
    ConnectionTable,
    EvictionObserver,
)
from tamarackmount.internal.refusals import Refusal, RefusalReason, too_large

CONNECTION_ALLOWANCE_BYTES = 8 * 1024
"""Bytes that each connection may buffer beside the shared budget; ordinary requests
need no more."""

SMALL_BODY_BYTES = 4 * 1024
"""Largest body that is kept before the request is checked, in bytes."""

READ_BYTES = 16 * 1024
"""Bytes that are read from a connection at once."""

HEADER_FIELD_BYTES = 256
"""Memory that a header field takes beside its text, in bytes."""

MAX_HEADER_FIELDS = 100
"""Largest number of header fields of a request."""

MAX_PIPELINED_BYTES = 4 * 1024
"""Bytes of further requests that are read while a request is served."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes that are read and dropped after a refusal before the connection is aborted."""

BUFFERS_FULL_RETRY_AFTER_S = 1
"""Retry time of callers whose request does not fit into the buffers, in seconds."""

HTTPChannel: Any = http.HTTPChannel  # its methods have no types

BAD_REQUEST = Refusal(400, RefusalReason.BAD_REQUEST)

TOO_SLOW = Refusal(
    408,
    RefusalReason.TOO_SLOW,
    bound=TIMEOUT_S_BY_STATE[ConnectionState.RECEIVING],
)


class RequestPolicy(Protocol):
    """Decides by its header whether a request can be served."""

    @property
    def max_body_bytes(self) -> int:
        """The largest body that is accepted, in bytes."""

    def refusal(self, request: BoundedRequest, path: str) -> Refusal | None:
        """Return the response if the request can't be served, whatever its body."""


class NoBodies:
    """The policy of ports whose requests have no body."""

    max_body_bytes = 0

    def refusal(self, request: BoundedRequest, path: str) -> None:  # noqa: ARG002
        """Refuse no request by its header."""
        return


class ConnectionObserver(EvictionObserver, Protocol):
    """Records refused requests and evicted connections."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal."""


class PortLimits:
    """What the connections of one port share."""

    def __init__(
        self,
        reactor: Any,
        max_connections: int,
        budget: BufferBudget,
        policy: RequestPolicy,
        observer: ConnectionObserver,
    ) -> None:
        """Count buffers in ``budget``; refuse by ``policy``."""
        self.reactor = reactor
        self.budget = budget
        self.policy = policy
        self.observer = observer
        self.connections = ConnectionTable(reactor, max_connections, observer)


class BoundedChannel(HTTPChannel):  # type: ignore[misc]
    """An HTTP connection that buffers a limited number of bytes."""

    maxHeaders = MAX_HEADER_FIELDS  # noqa: N815  (name set by Twisted)

    def __init__(self, limits: PortLimits) -> None:
        """Serve one connection of a port with ``limits``."""
        HTTPChannel.__init__(self)
        self._limits = limits
        self._buffer = b""
        self._dataBuffer: list[bytes] = []
        self._reservation = Reservation(limits.budget, CONNECTION_ALLOWANCE_BYTES)
        self._body_bytes = 0
        self._served_bytes = 0
        self._is_checked = False
        self._is_discarding = False
        self._discarded_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Limit the bytes that one read returns and that wait to be sent."""
        self.transport.bufferSize = READ_BYTES
        HTTPChannel.connectionMade(self)
        if not self._limits.connections.add(self):
            self.abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and account for those that are kept."""
        if self._is_discarding:
            self._discard(len(data))
            return
        HTTPChannel.dataReceived(self, data)
        self._account()

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuse a request whose body would not be accepted; else prepare for it."""
        request = self.requests[-1]
        request.max_body_bytes = self._limits.policy.max_body_bytes
        self._is_checked = False
        if self.length is None:
            self._body_bytes = 0
            self._transferDecoder = ChunkedDecoder(
                self._receive_chunks, self._finishRequestBody
            )
        else:
            self._body_bytes = self.length
        expects_continue = request.requestHeaders.hasHeader(b"expect")
        if expects_continue and self.length != 0:
            self._check_header()
        if not self._is_discarding and self._body_bytes:
            self._check_body()
        if not self._is_discarding:
            HTTPChannel.allHeadersReceived(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of a body, or requests that follow the one being served."""
        if self._is_discarding:
            self._discard(len(data))
        elif self._handlingRequest:
            self._keep_pipelined(data)
        else:
            try:
                self._transferDecoder.dataReceived(data)
            except MalformedChunkError:
                self.refuse(BAD_REQUEST)

    def allContentReceived(self) -> None:  # noqa: N802
        """Serve a complete request; its bytes are kept until it is answered."""
        self._served_bytes = self._header_bytes() + self._body_bytes
        self._body_bytes = 0
        self._limits.connections.move(self, ConnectionState.SERVING)
        HTTPChannel.allContentReceived(self)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Return the bytes of a request that is answered."""
        self._served_bytes = 0
        self._reservation.release()
        self._limits.connections.move(self, ConnectionState.IDLE)
        HTTPChannel.requestDone(self, request)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection; pipelined requests are dropped."""
        self._buffer = b""
        self._dataBuffer = []
        self._limits.connections.move(self, ConnectionState.CLOSING)
        HTTPChannel.loseConnection(self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading, since the client doesn't read."""
        self._limits.connections.set_unread(self, True)
        HTTPChannel.pauseProducing(self)

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again, since the client does."""
        self._limits.connections.set_unread(self, False)
        HTTPChannel.resumeProducing(self)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, ARG002
        """Refuse a request whose header has too long a line."""
        self.refuse(BAD_REQUEST)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Return all bytes."""
        HTTPChannel.connectionLost(self, reason)
        self._forget()
        self._limits.connections.remove(self)

    def time_out(self, state: ConnectionState) -> None:
        """Close the connection, which was in ``state`` for too long."""
        if state is ConnectionState.RECEIVING:
            self.refuse(TOO_SLOW)
        elif state is ConnectionState.IDLE:
            self.loseConnection()
        else:
            self._limits.connections.remove(self)
            self.abort()

    def displace(self, wanted: int) -> None:
        """Refuse the incomplete request if it has bytes of the shared budget."""
        if self._reservation.reserved:
            self.refuse(self._buffers_full(wanted))

    def abort(self) -> None:
        """Close the connection at once, and drop what was not sent."""
        self._is_discarding = True
        self._forget()
        self.transport.abortConnection()

    def refuse(self, refusal: Refusal) -> None:
        """Respond to an incomplete request, and keep nothing more."""
        if self._is_discarding:
            return
        self._is_discarding = True
        self._forget()
        for request in self.requests:
            if request.content is not None:
                request.content.close()
        self.setRawMode()
        self._limits.observer.record_refusal(refusal)
        self.transport.write(refusal.encode())
        self._networkProducer.unregisterProducer()
        # Sends the end of the stream after the response; reading goes on.
        self.transport.loseWriteConnection()
        self._limits.connections.move(self, ConnectionState.DISCARDING)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(BAD_REQUEST)

    def _check_header(self) -> None:
        """Refuse a request that can't be served whatever its body is."""
        if self._is_checked:
            return
        self._is_checked = True
        path = self._path.partition(b"?")[0].decode("latin-1")
        refusal = self._limits.policy.refusal(self.requests[-1], path)
        if refusal is not None:
            self.refuse(refusal)

    def _check_body(self) -> None:
        """Refuse a body that is too large, or reserve bytes for it.

        Small bodies are left to the resource, which answers without closing the
        connection.
        """
        max_body_bytes = self._limits.policy.max_body_bytes
        if self._body_bytes <= min(SMALL_BODY_BYTES, max_body_bytes):
            return
        self._check_header()
        if self._is_discarding:
            return
        if self._body_bytes > max_body_bytes:
            self.refuse(too_large(self._body_bytes, max_body_bytes))
            return
        self._account()

    def _receive_chunks(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._check_body()
        if self._is_discarding:
            self._transferDecoder.stop()
        else:
            self.requests[-1].handleContentChunk(data)

    def _keep_pipelined(self, data: bytes) -> None:
        """Keep bytes of the next requests, and stop reading above a limit."""
        held = b"".join((*self._dataBuffer, data))
        self._dataBuffer = [held]
        if len(held) > MAX_PIPELINED_BYTES:
            self._networkProducer.pauseProducing()

    def _account(self) -> None:
        """Reserve what is buffered; refuse the request if that is not possible."""
        # Bytes of the body that were read with the header are in its length.
        unparsed = max(0, len(self._buffer) - self._body_bytes)
        unparsed += sum(map(len, self._dataBuffer))
        held = unparsed + self._header_bytes() + self._body_bytes + self._served_bytes
        if self._is_discarding:
            return
        if held and not self._handlingRequest:
            self._limits.connections.move(self, ConnectionState.RECEIVING)
        if self._reservation.resize(held) or self._displace_stalled(held):
            return
        if self._handlingRequest:
            # Callers repeat requests that a closed connection left unanswered.
            self._dataBuffer = []
            self.persistent = False
            self._reservation.resize(held - unparsed)
            return
        self.refuse(self._buffers_full(held))

    def _displace_stalled(self, held: int) -> bool:
        """Reserve ``held`` bytes in place of requests that don't come to an end."""
        for connection in self._limits.connections.stalled():
            if connection is self:
                continue
            connection.displace(held)
            if self._reservation.resize(held):
                return True
        return False

    def _buffers_full(self, wanted: int) -> Refusal:
        budget = self._limits.budget
        return Refusal(
            503,
            RefusalReason.BUFFERS_FULL,
            BUFFERS_FULL_RETRY_AFTER_S,
            value=budget.used + wanted,
            bound=budget.limit,
        )

    def _header_bytes(self) -> int:
        fields: int = self._receivedHeaderCount * HEADER_FIELD_BYTES
        return fields + int(self._receivedHeaderSize)

    def _discard(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abortConnection()

    def _forget(self) -> None:
        self._buffer = b""
        self._dataBuffer = []
        self._body_bytes = self._served_bytes = 0
        self._reservation.release()


def channel_factory(limits: PortLimits) -> Callable[[], BoundedChannel]:
    """Return a function that makes the connections of a port."""
    return lambda: BoundedChannel(limits)
