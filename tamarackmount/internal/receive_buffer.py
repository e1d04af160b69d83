"""A limit on what the system keeps of bytes that a connection has not read."""

import socket
from typing import Any

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Received bytes of a connection that the system is asked to keep until they are read;
they count as memory of the process."""


def limit_receive_buffers(port: Any) -> None:
    """Limit the receive buffers of the connections that a port will accept."""
    listener = getattr(port, "socket", None)
    if not isinstance(listener, socket.socket):
        # In-memory ports have no socket.
        return
    # Accepted connections inherit the option. Linux doubles the value, to leave room
    # for its own records.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
