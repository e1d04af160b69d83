"""A reactor wrapper that counts the bytes of its outgoing connections."""

from collections.abc import Callable
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from tamarackmount.adapters.reactor import ClientReactor, DelayedCall


class _CountingProtocol(ProtocolWrapper):
    """Counts the bytes sent and received, without TCP and IP headers."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.byte_count += len(data)
        wrapped: Any = super()
        wrapped.dataReceived(data)

    def write(self, data: bytes) -> None:
        self.factory.byte_count += len(data)
        wrapped: Any = super()
        wrapped.write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        parts = list(data)
        self.factory.byte_count += sum(map(len, parts))
        wrapped: Any = super()
        wrapped.writeSequence(parts)


class _CountingFactory(WrappingFactory):
    protocol = _CountingProtocol
    noisy = False
    byte_count = 0


class CountingReactor:
    """Opens connections through another reactor and counts their bytes."""

    def __init__(self, reactor: ClientReactor) -> None:
        """Wrap a reactor, with the count at zero."""
        self._reactor = reactor
        self._factories: list[_CountingFactory] = []

    @property
    def byte_count(self) -> int:
        """Bytes sent and received so far, on all connections."""
        return sum(factory.byte_count for factory in self._factories)

    def seconds(self) -> float:
        """Return the clock's reading, in seconds."""
        return self._reactor.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Schedule a call after ``delay`` seconds."""
        return self._reactor.callLater(delay, callable, *args)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a connection whose bytes are counted."""
        make_factory: Any = _CountingFactory
        counting = make_factory(factory)
        self._factories.append(counting)
        return self._reactor.connectTCP(host, port, counting, timeout, bindAddress)
