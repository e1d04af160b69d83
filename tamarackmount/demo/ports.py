"""Free TCP ports of the loopback address, kept for the processes of one run."""

import socket

LOOPBACK = "127.0.0.1"
"""Address that every process of the harness listens on."""


class PortReservation:
    """Ports that the kernel gives to nobody else until they are released.

    Each port is held by a socket that is bound but doesn't listen. A server that
    sets ``SO_REUSEADDR``, as twisted's do, may listen on such a port; an outgoing
    connection is never given it.
    """

    def __init__(self) -> None:
        """Hold no port yet."""
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Return a port that nobody uses."""
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((LOOPBACK, 0))
        self._sockets.append(holder)
        return int(holder.getsockname()[1])

    def release(self) -> None:
        """Give every port back."""
        for holder in self._sockets:
            holder.close()
        self._sockets.clear()
