"""A process with the platform's store, for tests that start node processes.

It prints its port, then obeys one word a line on its standard input (``Mode``), and
ends when that is closed.
"""

from enum import Enum
from typing import Any

import orjson
from twisted.internet import reactor as twisted_reactor
from twisted.internet.protocol import connectionDone
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from tamarackmount.platform.config import CONFIG_KEY
from tests.soak.store_server import StoreServer
from tests.utils.build_platform_documents import config_document, route

SLOW_APPEND_S = 0.3
"""Duration of one append in mode ``SLOW``, in seconds."""


class Mode(Enum):
    """How the store answers appends; reads are always answered."""

    NORMAL = "normal"
    SLOW = "slow"
    SILENT = "silent"


class _Commands(LineOnlyReceiver):
    """Sets the mode of a store, and ends the process with its standard input."""

    delimiter = b"\n"

    def __init__(self, reactor: Any, server: StoreServer, port: int) -> None:
        self._reactor = reactor
        self._store = server.store
        self._usual_append_s = server.store.append_latency_s
        self._port = port

    def connectionMade(self) -> None:  # noqa: N802  (name set by Twisted)
        """Print the port."""
        self._print(str(self._port).encode())

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Set the mode and repeat its word, so that the caller can wait for it."""
        mode = Mode(line.decode())
        self._store.is_silent = mode is Mode.SILENT
        self._store.append_latency_s = (
            SLOW_APPEND_S if mode is Mode.SLOW else self._usual_append_s
        )
        self._print(line)

    def _print(self, line: bytes) -> None:
        self.sendLine(line)  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the process."""
        if self._reactor.running:
            self._reactor.stop()


def main() -> None:
    """Serve a store that has one configuration."""
    reactor: Any = twisted_reactor
    server = StoreServer(reactor)
    document = config_document(routes=[route(advice=None)])
    server.put("keyed.op", CONFIG_KEY, orjson.dumps(document))
    port = reactor.listenTCP(0, server.site, interface="127.0.0.1").getHost().port
    StandardIO(_Commands(reactor, server, port))  # type: ignore[no-untyped-call]
    reactor.run()


if __name__ == "__main__":
    main()
