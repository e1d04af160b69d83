"""Typed protocols for the parts of a Twisted reactor that clients and stand-ins use."""

import time
from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Timer(Protocol):
    """Monotonic clock that can schedule calls."""

    def seconds(self) -> float:
        """Return the current time of the clock, in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Schedule ``callable`` to run after ``delay`` seconds."""


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
        """Open a TCP connection to ``host`` and ``port``."""


def make_monotonic(reactor: Any) -> None:
    """Make a reactor use the monotonic clock; call this before the reactor runs.

    Twisted's reactors read the wall clock, which may step. They read it only
    through their ``seconds`` method, which is replaced here.
    """
    reactor.seconds = time.monotonic
