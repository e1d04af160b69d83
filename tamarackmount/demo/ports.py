"""Reserves free TCP ports of the loopback address for the processes of one run."""

import socket

LOOPBACK = "127.0.0.1"
"""IP address that every process of the harness listens on."""


class PortReservation:
    """Ports that the kernel assigns to no other process until they are released.

    Each port is held by a socket that is bound but doesn't listen. A server that
    sets ``SO_REUSEADDR``, as Twisted's do, may listen on such a port; an outgoing
    connection is never given it.
    """

    def __init__(self) -> None:
        """Start without reserved ports."""
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a free port and return its number."""
        reserving_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserving_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserving_socket.bind((LOOPBACK, 0))
        self._sockets.append(reserving_socket)
        return int(reserving_socket.getsockname()[1])

    def release(self) -> None:
        """Release all reserved ports."""
        for reserving_socket in self._sockets:
            reserving_socket.close()
        self._sockets.clear()
