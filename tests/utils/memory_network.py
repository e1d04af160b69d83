"""A reactor in virtual time whose TCP connections stay in memory."""

from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionRefusedError, TimeoutError
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
    """Connects clients to servers of the same reactor; time moves by ``wait``.

    Connections to ``dead_ports`` are never established.
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
        # Twisted's HTTP servers time idle connections by the global reactor, where
        # the timers would outlive the test.
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
        """Number of connections that stand at the server's end."""
        self.settle()
        return sum(not pump.serverIO.disconnected for pump in self._pumps)

    @property
    def call_times(self) -> list[float]:
        """When the delayed calls are due."""
        calls: Any = self.getDelayedCalls()
        return [call.getTime() for call in calls]

    def settle(self) -> None:
        """Move bytes until nothing moves any more; time stands still."""
        moved = True
        while moved:
            self.advance(0)
            moves = [pump.pump() for pump in self._pumps]
            moved = any(moves)

    def wait(self, deferred: "Deferred[T]") -> T:
        """Let time pass until the deferred fires, and return its result."""
        results: list[T] = []
        deferred.addCallback(results.append)
        for _ in range(MAX_STEPS):
            self.settle()
            if results:
                return results[0]
            self.advance(self._next_call_s())
        raise AssertionError("the deferred never fires")

    def close_servers_silently(self) -> None:
        """Close every connection at the server; clients only notice by writing."""
        for pump in self._pumps:
            pump.serverIO.loseConnection()

    def _next_call_s(self) -> float:
        times = self.call_times
        assert times, "nothing is left to happen"
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
        self._pumps.append(
            connect_in_memory(
                server,
                make_transport(server, True),
                client,
                make_transport(client, False),
            )
        )
