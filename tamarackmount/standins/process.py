"""Command line, listening ports and life cycle of a stand-in's process."""

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Site

from tamarackmount.adapters.reactor import Timer, make_monotonic


class Address(Protocol):
    """Address that a port listens on."""

    host: str
    port: int


class ListeningPort(Protocol):
    """A TCP port that accepts connections."""

    def getHost(self) -> Address:  # noqa: N802
        """Return the address that the port listens on."""

    def stopListening(self) -> Any:  # noqa: N802
        """Stop accepting connections."""


class ServerReactor(Timer, Protocol):
    """Reactor that accepts TCP connections."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = ..., interface: str = ...
    ) -> ListeningPort:
        """Listen on a TCP port."""

    def callWhenRunning(self, callable: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Call a function as soon as the reactor runs."""

    def run(self) -> None:
        """Run until a signal ends the process."""


reactor = cast(ServerReactor, default_reactor)
"""The process's reactor; :func:`run` makes it use the monotonic clock."""


def make_parser(description: str) -> ArgumentParser:
    """Return a parser with the arguments common to all stand-ins."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 picks a free port")
    parser.add_argument("--control-port", type=int, default=0)
    return parser


class ServicePort:
    """A listening port that can be closed and reopened."""

    def __init__(
        self, reactor: ServerReactor, host: str, port: int, factory: Any
    ) -> None:
        """Listen at once; 0 picks a free port, which stays the same when reopened."""
        self._reactor = reactor
        self._host = host
        self._factory = factory
        self._listening: ListeningPort | None = None
        self._closed: Deferred[Any] = succeed(None)
        self.port = self._listen(port)

    def open(self) -> None:
        """Accept connections again."""
        self._closed.addCallback(lambda ignored: self._listen(self.port))

    def close(self) -> None:
        """Refuse new connections; established ones stay open."""
        self._closed.addCallback(lambda ignored: self._stop())

    def _listen(self, port: int) -> int:
        if self._listening is None:
            self._listening = self._reactor.listenTCP(
                port, self._factory, interface=self._host
            )
        return self._listening.getHost().port

    def _stop(self) -> Any:
        listening = self._listening
        if listening is None:
            return None
        self._listening = None
        return listening.stopListening()


def announce(port: int, control_port: int) -> None:
    """Print the JSON line that reports the ports of the stand-in."""
    line = {"event": "listening", "port": port, "control_port": control_port}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


def run(service: ServicePort, control: ServicePort) -> None:
    """Announce both ports and run until a signal ends the process."""
    make_monotonic(reactor)
    reactor.callWhenRunning(announce, service.port, control.port)
    reactor.run()


def serve(arguments: Namespace, site: Site, control: Site) -> None:
    """Listen on both ports and run until a signal ends the process."""
    host = arguments.host
    run(
        ServicePort(reactor, host, arguments.port, site),
        ServicePort(reactor, host, arguments.control_port, control),
    )
