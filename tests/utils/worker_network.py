"""TCP connections between holders and workers in virtual time.

A connection belongs to the worker incarnation that accepted it. Bytes that can't be
delivered are transmitted again until their sender aborts the connection; bytes for an
incarnation that is over reset it, once another one is there to answer.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.error import ConnectionLost, TimeoutError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

STEP_S = 0.02
"""Time that a segment takes one way, in seconds."""

make_failure: Callable[..., Any] = Failure
connection_lost: Callable[..., Exception] = ConnectionLost
timed_out: Callable[..., Exception] = TimeoutError


class Peer(Protocol):
    """A machine that accepts connections."""

    @property
    def life(self) -> object:
        """The incarnation that is there now."""

    def is_reached(self, now: float) -> bool:
        """Tell whether a segment arrives now."""


class HolderReactor(Clock):
    """Reactor of one process; it stands still while the process is suspended."""

    def __init__(self, network: "WorkerNetwork") -> None:
        """Begin at the network's time."""
        super().__init__()
        self.rightNow = network.now
        self.is_killed = False
        self._network = network

    def catch_up(self) -> None:
        """Run what is due by the network's time."""
        self.advance(max(0.0, self._network.now - self.rightNow))

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,  # noqa: ARG002
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: ARG002, N803
    ) -> "Connecting":
        connecting = Connecting(host, factory, self)
        self._network.connecting.append(connecting)
        self.callLater(timeout, connecting.time_out)
        return connecting


@dataclass(slots=True, eq=False)
class Connecting:
    """An attempt to connect."""

    host: str
    factory: Any
    reactor: HolderReactor
    is_over: bool = False

    def time_out(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.factory.clientConnectionFailed(self, make_failure(timed_out()))

    def establish(self, connection: "Connection") -> None:
        if self.is_over:
            connection.is_open = False
            return
        self.is_over = True
        connection.protocol = self.factory.buildProtocol(None)
        connection.protocol.makeConnection(connection)


@dataclass(slots=True, eq=False)
class Connection:
    """A holder's end of a connection, and the incarnation at the other end."""

    host: str
    life: object
    reactor: HolderReactor
    network: "WorkerNetwork"
    protocol: Any = None
    is_open: bool = True
    unsent: list[tuple[float, bytes]] = field(default_factory=list)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option, which changes nothing here."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option, which changes nothing here."""

    def write(self, data: bytes) -> None:
        if self.is_open:
            self.unsent.append((self.network.now + STEP_S, data))

    def loseConnection(self) -> None:  # noqa: N802
        self._close()

    def abortConnection(self) -> None:  # noqa: N802
        self.unsent.clear()
        self._close()

    def respond(self, data: bytes) -> None:
        """Deliver bytes of the worker, unless its connection is gone."""
        if self.is_open:
            self.reactor.callLater(0, self._receive, data)

    def reset(self) -> None:
        """End the connection at the worker's side."""
        self.unsent.clear()
        self.reactor.callLater(0, self._close)

    def _receive(self, data: bytes) -> None:
        if self.is_open:
            self.protocol.dataReceived(data)

    def _close(self) -> None:
        if self.is_open:
            self.is_open = False
            reason = make_failure(connection_lost())
            self.reactor.callLater(0, self.protocol.connectionLost, reason)


class WorkerNetwork:
    """Carries bytes between holders and workers."""

    def __init__(
        self,
        now: float,
        peer_by_host: dict[str, Any],
        on_request: Callable[[str, bytes, Connection], None],
    ) -> None:
        """Deliver requests to ``on_request``, with the host that they came to."""
        self.now = now
        self.connecting: list[Connecting] = []
        self.connections: list[Connection] = []
        self._peer_by_host: dict[str, Peer] = peer_by_host
        self._on_request = on_request

    def kill(self, reactor: HolderReactor) -> None:
        """End a process; what it has written still arrives."""
        reactor.is_killed = True
        self.connecting = [one for one in self.connecting if one.reactor is not reactor]

    def reset_connections(self, life: object) -> None:
        """Reset the connections of an incarnation that ends."""
        for connection in self.connections:
            if connection.life is life:
                connection.reset()

    def step(self) -> None:
        """Deliver what is due now."""
        for connecting in list(self.connecting):
            self._connect(connecting)
        for connection in list(self.connections):
            self._deliver(connection)
        self.connections = [
            one for one in self.connections if one.is_open or one.unsent
        ]

    def _connect(self, connecting: Connecting) -> None:
        peer = self._peer_by_host[connecting.host]
        if connecting.is_over:
            self.connecting.remove(connecting)
        elif peer.is_reached(self.now):
            self.connecting.remove(connecting)
            connection = Connection(
                connecting.host, peer.life, connecting.reactor, self
            )
            self.connections.append(connection)
            connecting.reactor.callLater(0, connecting.establish, connection)

    def _deliver(self, connection: Connection) -> None:
        peer = self._peer_by_host[connection.host]
        while connection.unsent and connection.unsent[0][0] <= self.now:
            if not peer.is_reached(self.now):
                return
            if peer.life is not connection.life:
                connection.reset()
                return
            _, data = connection.unsent.pop(0)
            self._on_request(connection.host, data, connection)
