"""The system keeps a limited number of bytes of a connection that is not read."""

import socket
from typing import Any

from tamarackmount.internal.receive_buffer import (
    RECEIVE_BUFFER_BYTES,
    limit_receive_buffers,
)


class Port:
    """A port with a listening socket."""

    def __init__(self, listener: socket.socket) -> None:
        """Accept connections of ``listener``."""
        self.socket = listener


def test_megabytes_were_received_for_a_connection_that_is_not_read() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        limit_receive_buffers(Port(listener))
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
            with accepted:
                size = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    assert size <= 2 * RECEIVE_BUFFER_BYTES


def test_a_port_without_a_socket_was_not_opened() -> None:
    port: Any = object()
    limit_receive_buffers(port)
