"""TCP options that end a connection whose peer has become unreachable.

Connections can go silent without a reset: a data centre is cut off, a machine loses
power, or the network drops one connection for good. Without these options, messages
would be lost on such a connection for as long as the process lives.
"""

import socket
from typing import Any

IDLE_S = 1
"""Time without traffic before the first keepalive probe, in seconds."""

PROBE_INTERVAL_S = 1
"""Time between two keepalive probes, in seconds."""

MAX_LOST_PROBES = 2
"""Number of unanswered probes after which the connection is closed."""

UNACKNOWLEDGED_TIMEOUT_MS = 2_000
"""Time for which sent bytes may stay unacknowledged before the connection is closed,
in milliseconds."""


def close_if_unreachable(transport: Any) -> None:
    """Let the kernel close a TCP connection once its peer does not respond."""
    handle = getattr(transport, "getHandle", lambda: None)()
    if not isinstance(handle, socket.socket):
        # In-memory transports have no socket.
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_LOST_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
