"""Many clients at once that send what they were given and stay connected.

They send as far as the server takes their bytes, and connect again if they are
disconnected. One thread serves them all; it never waits for the server.
"""

import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

READ_BYTES = 65_536
"""Largest part of an answer that is read at once, in bytes."""

MAX_CONNECTS = 3
"""Number of times that one client connects."""

MAX_CONNECTING = 32
"""Number of clients that connect at the same time: fewer than wait for ``accept`` in a
usual queue, as further ones would be repeated by the kernel seconds later."""

SELECT_TIMEOUT_S = 0.05
"""Longest wait for the sockets, in seconds; the order to stop is seen after it."""

QUIET_S = 2.0
"""Time without progress after which the server takes no more bytes, in seconds."""

MAX_SENDING_S = 20.0
"""Longest time for which the clients send before the check, in seconds; they go on
after it."""

OBSERVE_INTERVAL_S = 0.1
"""Interval between two observations of the server, in seconds."""


@dataclass(frozen=True, slots=True)
class Script:
    """What one client sends.

    ``parts`` are sent in this order, at most ``piece_bytes`` of them in a turn; the
    clients take turns. A client that does not ``reads`` leaves answers unread.
    """

    parts: tuple[bytes, ...]
    piece_bytes: int = 65_536
    reads: bool = True


@dataclass(slots=True)
class _Client:
    script: Script
    connects: int = 0
    sock: socket.socket | None = None
    part: int = 0
    position: int = 0
    is_connecting: bool = False

    @property
    def has_more(self) -> bool:
        return self.part < len(self.script.parts)

    def read(self) -> bool:
        """Drop a part of an answer; return whether the client is still connected."""
        assert self.sock is not None
        return bool(self.sock.recv(READ_BYTES))

    def send(self) -> None:
        """Send one piece."""
        assert self.sock is not None
        part = self.script.parts[self.part]
        end = self.position + self.script.piece_bytes
        self.position += self.sock.send(memoryview(part)[self.position : end])
        if self.position == len(part):
            self.part, self.position = self.part + 1, 0


class Crowd:
    """Clients that are all connected to one address."""

    def __init__(self, address: tuple[str, int], scripts: Sequence[Script]) -> None:
        """Prepare one client for each script."""
        self._address = address
        self._clients = [_Client(script) for script in scripts]
        self._selector = selectors.DefaultSelector()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._progress_at = time.monotonic()
        self._disconnected = deque(self._clients)
        self._connecting = 0
        self._error: Exception | None = None

    def start(self) -> None:
        """Connect all clients."""
        self._thread.start()

    def stop(self) -> None:
        """Disconnect all clients; an error of their thread is raised."""
        self._stop.set()
        self._thread.join()
        if self._error is not None:
            raise self._error

    def wait_until_quiet(self, observe: Callable[[], None]) -> None:
        """Wait until the server takes no more bytes, and observe it meanwhile."""
        ends_at = time.monotonic() + MAX_SENDING_S
        while time.monotonic() < min(ends_at, self._progress_at + QUIET_S):
            observe()
            self._stop.wait(OBSERVE_INTERVAL_S)

    def _run(self) -> None:
        try:
            self._send_until_stopped()
        except Exception as error:  # noqa: BLE001  (raised where the crowd is stopped)
            self._error = error
        for client in self._clients:
            self._close(client)
        self._selector.close()

    def _send_until_stopped(self) -> None:
        while not self._stop.is_set():
            while self._disconnected and self._connecting < MAX_CONNECTING:
                self._connect(self._disconnected.popleft())
            for key, events in self._selector.select(SELECT_TIMEOUT_S):
                self._serve(key.data, events)

    def _serve(self, client: _Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not client.read():
                self._close(client)
            elif events & selectors.EVENT_WRITE:
                self._write(client)
        except BlockingIOError:
            return
        except OSError:
            self._close(client)

    def _write(self, client: _Client) -> None:
        if client.is_connecting:
            self._end_connecting(client)
        if client.has_more:
            client.send()
        self._progress_at = time.monotonic()
        self._watch(client)

    def _connect(self, client: _Client) -> None:
        client.connects += 1
        client.part = client.position = 0
        client.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.sock.setblocking(False)
        client.sock.connect_ex(self._address)
        client.is_connecting = True
        self._connecting += 1
        self._selector.register(client.sock, selectors.EVENT_WRITE, client)

    def _end_connecting(self, client: _Client) -> None:
        client.is_connecting = False
        self._connecting -= 1

    def _watch(self, client: _Client) -> None:
        """Wait for what the client does next."""
        assert client.sock is not None
        events = selectors.EVENT_READ if client.script.reads else 0
        if client.has_more:
            events |= selectors.EVENT_WRITE
        if events:
            self._selector.modify(client.sock, events, client)
        else:
            self._selector.unregister(client.sock)

    def _close(self, client: _Client) -> None:
        """Close a client's connection, which may be opened again."""
        if client.sock is None:
            return
        if client.is_connecting:
            self._end_connecting(client)
        if client.sock in self._selector.get_map():
            self._selector.unregister(client.sock)
        client.sock.close()
        client.sock = None
        if client.connects < MAX_CONNECTS:
            self._disconnected.append(client)


@contextmanager
def connected(address: tuple[str, int], scripts: Sequence[Script]) -> Iterator[Crowd]:
    """Run a crowd; it is disconnected at the end."""
    crowd = Crowd(address, scripts)
    crowd.start()
    try:
        yield crowd
    finally:
        crowd.stop()
