"""What stand-ins and adapters need of a reactor, as typed protocols."""

import time
from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A call that is to happen later."""

    def cancel(self) -> None:
        """Take the call back."""

    def active(self) -> bool:
        """Tell whether the call is still to happen."""


class Timer(Protocol):
    """Monotonic clock that can call later."""

    def seconds(self) -> float:
        """Return the clock's reading, in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Call after ``delay`` seconds."""


class ClientReactor(Timer, Protocol):
    """Reactor that can also open TCP connections."""

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = ...,
        bindAddress: Any = ...,  # noqa: N803
    ) -> Any:
        """Open a connection."""


def make_monotonic(reactor: Any) -> None:
    """Make a reactor keep time by the monotonic clock; call it before it runs.

    Twisted's reactors read the wall clock, which may step; ``seconds`` is the one
    method through which they read it.
    """
    reactor.seconds = time.monotonic
