"""A reactor whose outgoing connections count the bytes that they carry."""

from collections.abc import Callable
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from tamarackmount.adapters.reactor import ClientReactor, DelayedCall


class _CountingProtocol(ProtocolWrapper):
    """Counts both ways, without the headers of TCP and IP."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.counted += len(data)
        wrapped: Any = super()
        wrapped.dataReceived(data)

    def write(self, data: bytes) -> None:
        self.factory.counted += len(data)
        wrapped: Any = super()
        wrapped.write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        parts = list(data)
        self.factory.counted += sum(map(len, parts))
        wrapped: Any = super()
        wrapped.writeSequence(parts)


class _CountingFactory(WrappingFactory):
    protocol = _CountingProtocol
    noisy = False
    counted = 0


class CountingReactor:
    """Opens connections through another reactor and counts their bytes."""

    def __init__(self, reactor: ClientReactor) -> None:
        """Count from zero."""
        self._reactor = reactor
        self._factories: list[_CountingFactory] = []

    @property
    def counted_bytes(self) -> int:
        """Bytes sent and received so far."""
        return sum(factory.counted for factory in self._factories)

    def seconds(self) -> float:
        """Return the clock's reading, in seconds."""
        return self._reactor.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Call after ``delay`` seconds."""
        return self._reactor.callLater(delay, callable, *args)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a connection that is counted."""
        make_factory: Any = _CountingFactory
        counting = make_factory(factory)
        self._factories.append(counting)
        return self._reactor.connectTCP(host, port, counting, timeout, bindAddress)
