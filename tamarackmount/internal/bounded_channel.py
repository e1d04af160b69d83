"""HTTP connections whose buffers are limited.

What a connection buffers counts against the budget of the process. A request that does
not fit, or that can't be served, is refused as soon as that is known: before its body
is kept. The connection then reads on for a bounded time without keeping anything, since
closing it with unread bytes would drop the response.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http

from tamarackmount.internal.buffer_budget import Reservation
from tamarackmount.internal.chunked_body import ChunkedDecoder, MalformedChunkError
from tamarackmount.internal.connection_limit import (
    TIMEOUT_S_BY_STATE,
    ConnectionState,
)
from tamarackmount.internal.port_limits import PortLimits
from tamarackmount.internal.refusals import Refusal, RefusalReason, too_large

CONNECTION_ALLOWANCE_BYTES = 16 * 1024
"""Bytes that each connection may buffer beside the shared budget; ordinary requests
need no more."""

SMALL_BODY_BYTES = 4 * 1024
"""Largest body that is kept before the request is checked, in bytes."""

READ_BYTES = 16 * 1024
"""Bytes that are read from a connection at once."""

HEADER_FIELD_BYTES = 256
"""Memory that a header field takes beside its text, in bytes."""

MAX_LENGTH_DIGITS = 18
"""Largest number of digits of an announced length; Python refuses to convert some
thousands."""

MAX_HEADER_FIELDS = 100
"""Largest number of header fields of a request."""

MAX_LINES_PER_READ = 64
"""Number of lines of a chunked body that are decoded at once; more have to wait in the
queue of the process."""

MAX_PATH_SEGMENTS = 100
"""Largest number of segments of a path; each is an object of its own once decoded."""

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


class BoundedChannel(HTTPChannel):  # type: ignore[misc]
    """An HTTP connection that buffers a limited number of bytes."""

    maxHeaders = MAX_HEADER_FIELDS  # noqa: N815  (name set by Twisted)

    def __init__(self, limits: PortLimits) -> None:
        """Serve one connection of a port with ``limits``."""
        HTTPChannel.__init__(self)
        self._limits = limits
        self._buffer = b""
        self.paused = False
        self._dataBuffer: list[bytes] = []
        self._reservation = Reservation(limits.budget, CONNECTION_ALLOWANCE_BYTES)
        self._chunked: ChunkedDecoder | None = None
        self._undecoded = b""
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
        hosts = request.requestHeaders.getRawHeaders(b"host", ())
        if self._path.count(b"/") > MAX_PATH_SEGMENTS or not b"".join(hosts).isascii():
            self.refuse(BAD_REQUEST)
            return
        request.max_body_bytes = self._limits.policy.max_body_bytes
        self._is_checked = False
        self._chunked = ChunkedDecoder() if self.length is None else None
        self._body_bytes = self.length or 0
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
        elif self._chunked is None:
            self._transferDecoder.dataReceived(data)
        else:
            self._receive_chunks(data)

    def decode_received(self) -> None:
        """Decode the received part of a chunked body, or the next request."""
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        if self.paused:
            self.paused = False
            self.dataReceived(b"")
            return
        data, self._undecoded = self._undecoded, b""
        self._decode_chunks(data)
        self._account()

    def allContentReceived(self) -> None:  # noqa: N802
        """Serve a complete request; its bytes are kept until it is answered."""
        if self._is_discarding:
            return
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
        if self._busyReceiving and self._buffer and not self.paused:
            # More requests came in the same read; other connections go first.
            self.paused = True
            self._wait_in_queue()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection; what was received and not served is dropped."""
        self._limits.queue.remove(self)
        self._buffer = self._undecoded = b""
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
        if self._undecoded or self.paused:
            self._networkProducer.pauseProducing()

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
        self.transport.resumeProducing()
        self._limits.connections.move(self, ConnectionState.DISCARDING)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(BAD_REQUEST)

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> Any:  # noqa: N802
        if header == b"Content-Length" and len(data) > MAX_LENGTH_DIGITS:
            return self._failChooseTransferDecoder()
        return HTTPChannel._maybeChooseTransferDecoder(self, header, data)

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
        """Decode a part of a body, now or, if that is costly, when it is its turn."""
        is_waiting = bool(self._undecoded)
        if not is_waiting and data.count(b"\r\n") <= MAX_LINES_PER_READ:
            self._decode_chunks(data)
            return
        self._undecoded += data
        if not is_waiting:
            self._wait_in_queue()

    def _wait_in_queue(self) -> None:
        self._networkProducer.pauseProducing()
        self._limits.queue.add(self)

    def _decode_chunks(self, data: bytes) -> None:
        decoder = self._chunked
        if decoder is None:
            return
        try:
            part = decoder.decode(data)
        except MalformedChunkError:
            self.refuse(BAD_REQUEST)
            return
        self._body_bytes += len(part)
        self._check_body()
        if self._is_discarding:
            return
        self.requests[-1].handleContentChunk(part)
        if decoder.is_done:
            self._chunked = None
            self._finishRequestBody(decoder.rest)

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
        unparsed += len(self._undecoded) + sum(map(len, self._dataBuffer))
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
        self._limits.queue.remove(self)
        self._buffer = self._undecoded = b""
        self._dataBuffer = []
        self._chunked = None
        self._body_bytes = self._served_bytes = 0
        self._reservation.release()


def channel_factory(limits: PortLimits) -> Callable[[], BoundedChannel]:
    """Return a function that makes the connections of a port."""
    return lambda: BoundedChannel(limits)
