"""A loopback proxy that can delay, reset, drop and silence its connections."""

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

HOST = "127.0.0.1"


class _Endpoint(Protocol):
    """One end of a proxied connection."""

    def __init__(self, connection: "_ProxiedConnection", is_caller: bool) -> None:
        """Be the caller's or the server's end of ``connection``."""
        self.connection = connection
        self.is_caller = is_caller

    def connectionMade(self) -> None:  # noqa: N802  (twisted's name)
        """Report the connection, so that data received earlier is sent."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.connection.endpoint_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward or drop the bytes."""
        self.connection.data_received(self.is_caller, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Close the other end too, unless the connection is silenced."""
        self.connection.endpoint_lost()


class _ProxiedConnection:
    """Both ends of one connection.

    ``is_silenced`` is kept by direction (True: from the caller); a silenced direction
    stays silenced.
    """

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy
        self.caller: _Endpoint | None = None
        self.server: _Endpoint | None = None
        self.is_silenced = {True: False, False: False}
        self._early_data: list[bytes] = []

    def endpoint_connected(self, endpoint: _Endpoint) -> None:
        if endpoint.is_caller:
            self.caller = endpoint
            self.proxy.connect(self)
            return
        self.server = endpoint
        for data in self._early_data:
            self._write(endpoint, data)

    def data_received(self, from_caller: bool, data: bytes) -> None:
        if self.proxy.is_dropping[from_caller]:
            # With bytes missing, the rest of the stream would be corrupt.
            self.is_silenced[from_caller] = True
        if self.is_silenced[from_caller]:
            return
        other = self.server if from_caller else self.caller
        if other is None:
            self._early_data.append(data)
        elif self.proxy.delay_s:
            self.proxy.reactor.callLater(self.proxy.delay_s, self._write, other, data)
        else:
            self._write(other, data)

    def endpoint_lost(self) -> None:
        self.proxy.connections.discard(self)
        if any(self.is_silenced.values()):
            return
        for endpoint in (self.caller, self.server):
            transport: Any = endpoint.transport if endpoint is not None else None
            if transport is not None:
                transport.loseConnection()

    def abort(self) -> None:
        for endpoint in (self.caller, self.server):
            transport: Any = endpoint.transport if endpoint is not None else None
            if transport is not None:
                transport.abortConnection()

    @staticmethod
    def _write(endpoint: _Endpoint, data: bytes) -> None:
        transport: Any = endpoint.transport
        if transport is not None and transport.connected:
            transport.write(data)


class Proxy:
    """Forwards connections to ``target_port``; faults can be set at any time.

    ``is_dropping`` holds by direction (True: from the caller) if bytes are dropped.
    A direction that has lost bytes stays silenced.
    """

    def __init__(self, reactor: Any, target_port: int, host: str = HOST) -> None:
        """Listen on a free port."""
        self.reactor = reactor
        self.delay_s = 0.0
        self.is_dropping = {True: False, False: False}
        self.connections: set[_ProxiedConnection] = set()
        self._target = (host, target_port)
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: self._accept()  # type: ignore[assignment,method-assign]
        self._port = reactor.listenTCP(0, factory, interface=HOST)

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        return int(self._port.getHost().port)

    def connect(self, connection: _ProxiedConnection) -> None:
        """Open the server's end of a connection."""
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: _Endpoint(connection, False)  # type: ignore[assignment,method-assign]
        factory.clientConnectionFailed = lambda *_: connection.abort()  # type: ignore[method-assign]
        self.reactor.connectTCP(*self._target, factory)

    def restore(self) -> None:
        """End delays and drops; silenced connections stay silenced."""
        self.delay_s = 0.0
        self.is_dropping = {True: False, False: False}

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.abort()

    def silence(self) -> None:
        """Silence the open connections permanently; new ones work."""
        for connection in self.connections:
            connection.is_silenced = {True: True, False: True}

    def _accept(self) -> _Endpoint:
        connection = _ProxiedConnection(self)
        self.connections.add(connection)
        return _Endpoint(connection, True)
