"""HTTP/1.1 client for many small requests over persistent connections.

Replies are parsed by ``httptools``. A call ends with a reply or with an error that
tells whether the request may have been sent. The client retries nothing.
"""

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.ids import Instant

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection in seconds; round trips take a few milliseconds."""

IDLE_CONNECTION_S = 10.0
"""Longest idle time of a reused connection in seconds; peers keep theirs for 15 s."""

HTTP_OK = 200

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Maximum length of a reply's body, in bytes; a page of the store is 1 MB."""


class CallErrorKind(Enum):
    """Why a call has no reply.

    ``NOT_SENT`` and ``UNIDENTIFIED`` guarantee that it had no effect. The latter means
    that the expected peer did not answer the question which peer is there.
    """

    NOT_SENT = "not_sent"
    UNIDENTIFIED = "unidentified"
    NO_REPLY = "no_reply"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallError:
    """A call that ended without a reply."""

    kind: CallErrorKind
    detail: str


CallResult = Reply | CallError
"""How a call ended."""


@dataclass(frozen=True, slots=True)
class PeerQuestion:
    """A request that asks which peer a connection leads to.

    An address may be used again, also by the next incarnation of a peer, while a
    connection belongs to one incarnation. The call is only meant for ``expected``.
    ``read_peer`` returns the peer that a reply comes from, or ``None`` if it does not
    tell.
    """

    expected: Hashable
    target: str
    body: bytes
    read_peer: Callable[[Reply], Hashable | None]

    def is_asked_by(self, target: str, body: bytes | None) -> bool:
        """Tell whether a request is the question itself."""
        return (target, body) == (self.target, self.body)


class Address(str):
    """``HOST:PORT`` of a peer, with an IP address as host."""

    __slots__ = ()

    @property
    def host(self) -> str:
        """The IP address."""
        return self.rpartition(":")[0]

    @property
    def port(self) -> int:
        """The port number."""
        return int(self.rpartition(":")[2])


class _Connection(Protocol):
    """One connection with at most one call at a time."""

    def __init__(self) -> None:
        self.idle_since = Instant(0.0)
        self.is_open = True
        self.peer: Hashable | None = None
        self._pending: Deferred[CallResult] | None = None
        self._parser: Any = None
        self._body: list[bytes] = []
        self._size = 0
        self._reply: Reply | None = None
        self._keeps_alive = True

    def connectionMade(self) -> None:  # noqa: N802  (name set by Twisted)
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)

    def exchange(self, request: bytes) -> "Deferred[CallResult]":
        self._pending = Deferred()
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._size = 0
        transport: Any = self.transport
        transport.write(request)
        return self._pending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._parser is None:
            self.abort("bytes received with no call in progress")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.abort(f"malformed HTTP reply: {error}")
        if self._reply is not None and self.is_open:
            self._end_call(self._reply)

    def on_message_begin(self) -> None:
        """Abort if anything follows a reply; called by the parser.

        The next call would take it for its own reply.
        """
        if self._reply is not None:
            self.abort("bytes received after the reply")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            self.abort(f"reply of more than {MAX_REPLY_BYTES} bytes")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Keep the complete reply; called by the parser."""
        if self.is_open and self._reply is None:
            status = self._parser.get_status_code()
            self._reply = Reply(status, b"".join(self._body))
            self._keeps_alive = self._parser.should_keep_alive()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._finish(CallError(CallErrorKind.NO_REPLY, reason.getErrorMessage()))

    def abort(self, detail: str) -> None:
        self.is_open = False
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()
        self._finish(CallError(CallErrorKind.NO_REPLY, detail))

    def close(self) -> None:
        self.is_open = False
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def _end_call(self, reply: Reply) -> None:
        self._parser = self._reply = None
        self._body = []
        if not self._keeps_alive:
            self.close()
        self._finish(reply)

    def _finish(self, result: CallResult) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.callback(result)


class HttpClient:
    """HTTP client that keeps idle connections for each address.

    It does not limit the number of connections: each caller has a bounded number of
    calls in progress.
    """

    def __init__(self, reactor: Any) -> None:
        """Open connections through ``reactor``."""
        self._reactor = reactor
        self._idle_by_address: dict[Address, deque[_Connection]] = {}
        self._busy_by_address: dict[Address, set[_Connection]] = {}

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        deadline: Instant,
        body: bytes | None = None,
        headers: str = "",
        host: str = "",
        may_send: Callable[[], bool] = lambda: True,
        question: PeerQuestion | None = None,
    ) -> CallResult:
        """Send one request and return its reply or error.

        ``headers`` are complete lines, each ending in CR LF. ``host`` is the value of
        the Host header; if it is empty, the address is sent. ``may_send`` is asked once
        there is a connection, right before the request is written; if it says no, or
        the deadline has passed, the error is ``NOT_SENT``.

        With a ``question``, the request is only written to a connection on which the
        expected peer has answered; a new one carries the question first, unless the
        request is the question itself. The time that this takes is added to the
        deadline. If the answer to the question has another status than 200, the call
        returns that; if another peer or none answers, the error is ``UNIDENTIFIED``.
        """
        expected = question.expected if question is not None else None
        connection = self._take_idle(address, expected)
        if connection is None:
            opened = await self._connect(address, deadline)
            if isinstance(opened, CallError):
                return opened
            connection = opened
        encode = partial(_encode_request, host or address, headers=headers)
        # Opening takes time, and the process may have been suspended meanwhile.
        result: CallResult | None = self._refusal(deadline, may_send)
        is_question = question is not None and question.is_asked_by(target, body)
        if result is None and question is not None and not is_question:
            request = encode("POST", question.target, question.body)
            asked_at = self._reactor.seconds()
            result = await self._ask(address, connection, question, request, deadline)
            deadline = Instant(deadline + self._reactor.seconds() - asked_at)
            result = result or self._refusal(deadline, may_send)
        if result is None:
            request = encode(method, target, body)
            result = await self._exchange(address, connection, request, deadline)
            if is_question and question is not None:
                _note_peer(connection, question, result)
        self._keep_idle(address, connection)
        return result

    def abort_calls(self, address: Address) -> None:
        """Abort the calls to an address that are in progress.

        Their requests are not transmitted again, as they would be to a machine that has
        restarted. Idle connections are closed, too.
        """
        for connection in list(self._busy_by_address.get(address, ())):
            connection.abort("aborted")
        self.close_idle_connections(address)

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    async def _ask(
        self,
        address: Address,
        connection: _Connection,
        question: PeerQuestion,
        request: bytes,
        deadline: Instant,
    ) -> CallResult | None:
        """Ask on a new connection which peer answers.

        Return how the call ends unless it is the expected one.
        """
        if connection.peer is not None:
            return None
        answer = await self._exchange(address, connection, request, deadline)
        unidentified = CallErrorKind.UNIDENTIFIED
        if isinstance(answer, CallError):
            return CallError(unidentified, f"peer not known: {answer.detail}")
        if answer.status != HTTP_OK:
            return answer
        _note_peer(connection, question, answer)
        if connection.peer is None:
            return CallError(unidentified, "peer not known: it did not tell")
        if connection.peer != question.expected:
            return CallError(unidentified, "another peer answers")
        if not connection.is_open:
            return CallError(CallErrorKind.NOT_SENT, "connection closed")
        return None

    async def _exchange(
        self,
        address: Address,
        connection: _Connection,
        request: bytes,
        deadline: Instant,
    ) -> CallResult:
        pending = connection.exchange(request)
        left_s = max(0.0, deadline - self._reactor.seconds())
        timer = self._reactor.callLater(left_s, connection.abort, "deadline passed")
        self._busy_by_address.setdefault(address, set()).add(connection)
        result = await pending
        if timer.active():
            timer.cancel()
        self._drop_busy(address, connection)
        return result

    def _refusal(
        self, deadline: Instant, may_send: Callable[[], bool]
    ) -> CallError | None:
        """Return why a request must not be written now, if so."""
        if deadline <= self._reactor.seconds():
            return CallError(CallErrorKind.NOT_SENT, "deadline passed")
        if not may_send():
            return CallError(CallErrorKind.NOT_SENT, "not permitted any more")
        return None

    async def _connect(
        self, address: Address, deadline: Instant
    ) -> "_Connection | CallError":
        left_s = deadline - self._reactor.seconds()
        if left_s <= 0:
            return CallError(CallErrorKind.NOT_SENT, "deadline passed")
        try:
            endpoint = TCP4ClientEndpoint(
                self._reactor,
                address.host,
                address.port,
                timeout=min(left_s, CONNECT_TIMEOUT_S),
            )
            connecting: Any = connectProtocol
            opened: _Connection = await connecting(endpoint, _Connection())
        except Exception as error:  # noqa: BLE001  (Twisted raises many types)
            return CallError(CallErrorKind.NOT_SENT, f"{type(error).__name__}: {error}")
        return opened

    def _take_idle(
        self, address: Address, expected: Hashable | None
    ) -> _Connection | None:
        idle = self._idle_by_address.get(address)
        oldest = self._reactor.seconds() - IDLE_CONNECTION_S
        while idle:
            connection = idle.pop()
            is_usable = connection.is_open and connection.idle_since >= oldest
            if is_usable and (not expected or connection.peer in (None, expected)):
                return connection
            connection.close()
        return None

    def _drop_busy(self, address: Address, connection: _Connection) -> None:
        busy = self._busy_by_address.get(address, set())
        busy.discard(connection)
        if not busy:
            self._busy_by_address.pop(address, None)

    def _keep_idle(self, address: Address, connection: _Connection) -> None:
        if not connection.is_open:
            return
        connection.idle_since = Instant(self._reactor.seconds())
        self._idle_by_address.setdefault(address, deque()).append(connection)


def _note_peer(
    connection: _Connection, question: PeerQuestion, answer: CallResult
) -> None:
    if connection.peer is None and isinstance(answer, Reply):
        connection.peer = question.read_peer(answer)


def _encode_request(
    host: str, method: str, target: str, body: bytes | None, headers: str
) -> bytes:
    lines = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{headers}"
    if body is None:
        return f"{lines}\r\n".encode("latin-1")
    return f"{lines}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
