"""Build HTTP connections with limits, on transports in memory and in virtual time."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tamarackmount.internal.bounded_request import BoundedRequest, body_of
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.connection_limit import ConnectionState
from tamarackmount.internal.decode_queue import DecodeQueue
from tamarackmount.internal.port_limits import PortLimits
from tamarackmount.internal.refusals import Refusal, RefusalReason
from tamarackmount.node.http_ports import BoundedSite

MAX_BODY_BYTES = 65_536
SERVED_PATH = "/served"
UNKNOWN = Refusal(404, RefusalReason.NOT_SERVED)

make_failure: Any = Failure


class SocketTransport(StringTransport):
    """A transport that is paused, half-closed and aborted like a socket."""

    is_half_closed = False
    is_aborted = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_half_closed = True

    def abortConnection(self) -> None:  # noqa: N802
        self.is_aborted = True
        self.disconnecting = True

    @property
    def is_paused(self) -> bool:
        return self.producerState == "paused"


class Policy:
    """Serves one path, with bodies up to a limit."""

    max_body_bytes = MAX_BODY_BYTES

    def refusal(self, _request: BoundedRequest, path: str) -> Refusal | None:
        return None if path == SERVED_PATH else UNKNOWN


class WaitingResource(Resource):
    """Answers requests when the test says so, or at once."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        """Start without requests."""
        Resource.__init__(self)  # type: ignore[no-untyped-call]
        self.answers_at_once = True
        self.waiting: list[Any] = []
        self.bodies: list[bytes] = []

    def render(self, request: BoundedRequest) -> Any:
        self.bodies.append(body_of(request))
        if self.answers_at_once:
            return b"served"
        self.waiting.append(request)
        request.notifyFinish().addErrback(lambda _: self.waiting.remove(request))
        return NOT_DONE_YET

    def answer(self) -> None:
        """Answer the oldest request that waits."""
        request = self.waiting.pop(0)
        request.write(b"served")
        request.finish()


class Observer:
    """Keeps refusals and the states of evicted connections, in order."""

    def __init__(self) -> None:
        """Start without any."""
        self.refusals: list[Refusal] = []
        self.evictions: list[ConnectionState] = []

    def record_refusal(self, refusal: Refusal) -> None:
        self.refusals.append(refusal)

    def record_eviction(self, state: ConnectionState, _limit: int) -> None:
        self.evictions.append(state)


@dataclass(eq=False)
class Connection:
    """The server end of a connection, and what it sent."""

    channel: Any
    transport: SocketTransport = field(default_factory=SocketTransport)
    is_lost: bool = False

    def send(self, data: bytes) -> None:
        """Receive bytes of the client, unless the server has aborted."""
        if not self.transport.disconnecting:
            self.channel.dataReceived(data)

    def lose(self) -> None:
        """Close the connection by the client."""
        self.is_lost = True
        self.channel.connectionLost(make_failure(ConnectionDone()))

    @property
    def sent(self) -> bytes:
        """All bytes that the server sent."""
        transport: Any = self.transport
        return bytes(transport.value())

    @property
    def statuses(self) -> list[int]:
        """Statuses of the responses so far."""
        parts = self.sent.split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]


class FixedWork:
    """Clock by which each piece of work takes the same time."""

    def __init__(self) -> None:
        """Let work take 1 ms."""
        self.took_s = 0.001
        self._readings = 0

    def __call__(self) -> float:
        self._readings += 1
        return self._readings * self.took_s


class Port:
    """A port with limits, without a network."""

    def __init__(self, budget_bytes: int = 200_000, max_connections: int = 20) -> None:
        """Share ``budget_bytes`` among up to ``max_connections``."""
        self.clock = Clock()
        self.budget = BufferBudget(budget_bytes)
        self.observer = Observer()
        self.resource = WaitingResource()
        self.work_time = FixedWork()
        self.queue = DecodeQueue(self.clock, self.work_time)
        limits = PortLimits(
            self.clock,
            max_connections,
            self.budget,
            self.queue,
            Policy(),
            self.observer,
        )
        self.connections = limits.connections
        self.site: Any = BoundedSite(self.resource, limits)

    def connect(self) -> Connection:
        """Open a connection."""
        channel: Any = self.site.buildProtocol(None)
        connection = Connection(channel)
        channel.makeConnection(connection.transport)
        return connection


def post(
    body: bytes = b"", path: str = SERVED_PATH, length: int | None = None
) -> bytes:
    """Return a request whose announced length may differ from its body's."""
    announced = len(body) if length is None else length
    return (
        f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {announced}\r\n\r\n"
    ).encode() + body


CHUNKED = b"POST /served HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int) -> bytes:
    """Return a body in chunks of ``size`` bytes, with its end."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
