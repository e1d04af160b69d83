"""Twisted reactor in virtual time with in-memory TCP connections."""

from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.test import iosim

T = TypeVar("T")

FIRST_PORT = 10_000
MAX_STEPS = 10_000

connect_in_memory: Callable[..., Any] = iosim.connect
make_transport: Callable[..., Any] = iosim.FakeTransport
make_failure: Callable[..., Any] = Failure
refused: Callable[..., Exception] = ConnectionRefusedError
timed_out: Callable[..., Exception] = TimeoutError


STEP_S = 0.05
"""Time step between two transfers of pending bytes, in seconds."""


class MemoryPort:
    """A listening port of a memory network."""

    def __init__(self, network: "MemoryNetwork", number: int) -> None:
        """Listen on the port with this number."""
        self._network = network
        self._number = number

    def getHost(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("TCP", "127.0.0.1", self._number)

    def stopListening(self) -> "Deferred[None]":  # noqa: N802
        del self._network.factories_by_port[self._number]
        return succeed(None)


class MemoryNetwork(MemoryReactorClock):
    """Reactor that connects clients to servers of the same reactor.

    Time advances only in :meth:`wait`, :meth:`elapse` and ``advance``. Connections to
    ``dead_ports`` time out.
    """

    def __init__(self) -> None:
        """Start without any listening port."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.factories_by_port: dict[int, Any] = {}
        self.dead_ports: set[int] = set()
        self.connects = 0
        self._pumps: list[Any] = []

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        # Twisted's HTTP servers set idle timers on the global reactor, where they would
        # outlive the test.
        getattr(factory, "wrappedFactory", factory).timeOut = None
        number = port or FIRST_PORT + len(self.factories_by_port)
        self.factories_by_port[number] = factory
        return MemoryPort(self, number)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        connector = super().connectTCP(  # type: ignore[no-untyped-call]
            host, port, factory, timeout, bindAddress
        )
        if port in self.dead_ports:
            self.callLater(timeout, self._refuse, factory, connector, timed_out())
            return connector
        self.callLater(0, self._establish, port, factory, connector)
        return connector

    @property
    def open_connections(self) -> int:
        """Number of connections that the server end has not closed."""
        self.settle()
        return sum(not pump.serverIO.disconnected for pump in self._pumps)

    @property
    def call_times(self) -> list[float]:
        """Times at which the delayed calls are due."""
        calls: Any = self.getDelayedCalls()
        return [call.getTime() for call in calls]

    def settle(self) -> None:
        """Transfer pending bytes until there are none, without advancing time."""
        is_moving = True
        while is_moving:
            self.advance(0)
            results = [pump.pump() for pump in self._pumps]
            is_moving = any(results)

    def wait(self, deferred: "Deferred[T]") -> T:
        """Advance time until the deferred fires; return its result."""
        results: list[T] = []
        deferred.addCallback(results.append)
        for _ in range(MAX_STEPS):
            self.settle()
            if results:
                return results[0]
            self.advance(self._next_call_s())
        raise AssertionError("the deferred did not fire within MAX_STEPS steps")

    def elapse(self, seconds: float) -> None:
        """Advance time in small steps and transfer pending bytes after each."""
        end = self.seconds() + seconds
        while self.seconds() < end:
            self.advance(STEP_S)
            self.settle()

    def connect(self, port: int) -> "RawConnection":
        """Open a connection for raw bytes."""
        protocol = Protocol()
        self._open(self.factories_by_port[port].buildProtocol(None), protocol)
        return RawConnection(protocol, self._pumps[-1])

    def close_servers_silently(self) -> None:
        """Close every connection at the server; clients only notice by writing."""
        for pump in self._pumps:
            pump.serverIO.loseConnection()

    def _next_call_s(self) -> float:
        times = self.call_times
        assert times, "no delayed call is pending"
        return min(times) - self.seconds()

    def _refuse(self, factory: Any, connector: Any, error: Exception) -> None:
        if not connector.stoppedConnecting:
            factory.clientConnectionFailed(connector, make_failure(error))

    def _establish(self, port: int, factory: Any, connector: Any) -> None:
        server_factory = self.factories_by_port.get(port)
        if server_factory is None:
            self._refuse(factory, connector, refused())
            return
        if connector.stoppedConnecting:
            return
        self.connects += 1
        address = IPv4Address("TCP", "127.0.0.1", port)
        server = server_factory.buildProtocol(address)
        client = factory.buildProtocol(address)
        self._open(server, client)

    def _open(self, server: Any, client: Any) -> None:
        ends = make_transport(server, True), make_transport(client, False)
        for end in ends:
            end.setTcpNoDelay = ignore_option
        self._pumps.append(connect_in_memory(server, ends[0], client, ends[1]))


def ignore_option(_enabled: bool) -> None:
    """Ignore a socket option that in-memory connections do not have."""


class RawConnection:
    """Client end of a connection without a protocol."""

    def __init__(self, protocol: Protocol, pump: Any) -> None:
        """Wrap a connected protocol."""
        self._transport: Any = protocol.transport
        self._pump = pump

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    @property
    def is_closed(self) -> bool:
        """Whether the server closed the connection."""
        return bool(self._pump.serverIO.disconnecting)
