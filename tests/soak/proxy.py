"""A loopback proxy whose connections can be delayed, reset, cut and silenced."""

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

HOST = "127.0.0.1"


class _Side(Protocol):
    """One end of a proxied connection."""

    def __init__(self, pair: "_Pair", is_caller: bool) -> None:
        """Belong to ``pair``, at the caller's or the server's end."""
        self.pair = pair
        self.is_caller = is_caller

    def connectionMade(self) -> None:  # noqa: N802  (twisted's name)
        """Send what has come before."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.pair.made(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, or drop them."""
        self.pair.received(self.is_caller, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the other side too, unless the connection is silenced."""
        self.pair.lost()


class _Pair:
    """Two sides of one connection; a silenced direction stays so."""

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy
        self.caller: _Side | None = None
        self.server: _Side | None = None
        self.silent = {True: False, False: False}
        self._early: list[bytes] = []

    def made(self, side: _Side) -> None:
        if side.is_caller:
            self.caller = side
            self.proxy.connect(self)
            return
        self.server = side
        for data in self._early:
            self._write(side, data)

    def received(self, from_caller: bool, data: bytes) -> None:
        if self.proxy.cut[from_caller]:
            # Bytes are gone, so nothing after them can be made sense of.
            self.silent[from_caller] = True
        if self.silent[from_caller]:
            return
        other = self.server if from_caller else self.caller
        if other is None:
            self._early.append(data)
        elif self.proxy.delay_s:
            self.proxy.reactor.callLater(self.proxy.delay_s, self._write, other, data)
        else:
            self._write(other, data)

    def lost(self) -> None:
        self.proxy.pairs.discard(self)
        if any(self.silent.values()):
            return
        for side in (self.caller, self.server):
            transport: Any = side.transport if side is not None else None
            if transport is not None:
                transport.loseConnection()

    def abort(self) -> None:
        for side in (self.caller, self.server):
            transport: Any = side.transport if side is not None else None
            if transport is not None:
                transport.abortConnection()

    @staticmethod
    def _write(side: _Side, data: bytes) -> None:
        transport: Any = side.transport
        if transport is not None and transport.connected:
            transport.write(data)


class Proxy:
    """Passes connections to ``target_port``; faults are set while it runs.

    ``cut`` holds by direction (from the caller or not) whether bytes are dropped.
    """

    def __init__(self, reactor: Any, target_port: int, host: str = HOST) -> None:
        """Listen on a port of its own."""
        self.reactor = reactor
        self.delay_s = 0.0
        self.cut = {True: False, False: False}
        self.pairs: set[_Pair] = set()
        self._target = (host, target_port)
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: self._accept()  # type: ignore[assignment,method-assign]
        self._port = reactor.listenTCP(0, factory, interface=HOST)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self._port.getHost().port)

    def connect(self, pair: _Pair) -> None:
        """Open the server's side of a connection."""
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: _Side(pair, False)  # type: ignore[assignment,method-assign]
        factory.clientConnectionFailed = lambda *_: pair.abort()  # type: ignore[method-assign]
        self.reactor.connectTCP(*self._target, factory)

    def heal(self) -> None:
        """Let new connections pass again."""
        self.delay_s = 0.0
        self.cut = {True: False, False: False}

    def reset(self) -> None:
        """Reset every connection."""
        for pair in list(self.pairs):
            pair.abort()

    def silence(self) -> None:
        """Let open connections go silent for good; new ones work."""
        for pair in self.pairs:
            pair.silent = {True: True, False: True}

    def _accept(self) -> _Side:
        pair = _Pair(self)
        self.pairs.add(pair)
        return _Side(pair, True)
