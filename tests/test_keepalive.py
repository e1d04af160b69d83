"""Connections between entry VMs end if the other side becomes unreachable."""

import socket
from typing import Any

import pytest
from twisted.internet.task import Clock

from tamarackmount.internal.inbound_links import Inbound
from tamarackmount.internal.links import _Outbound
from tamarackmount.internal.peer_limits import PeerLimits


class Transport:
    """A transport over a real socket."""

    def __init__(self, handle: socket.socket) -> None:
        """Wrap a socket."""
        self._handle = handle

    def getHandle(self) -> socket.socket:  # noqa: N802  (name set by Twisted)
        """Return the socket."""
        return self._handle

    def setTcpNoDelay(self, _enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def registerProducer(self, _producer: object, _streaming: bool) -> None:  # noqa: N802
        """Do nothing."""


def inbound() -> Any:
    unused: Any = None
    return Inbound(unused, unused, unused, PeerLimits(Clock()))


@pytest.mark.parametrize("make_protocol", [inbound, _Outbound])
def test_a_connection_without_response_is_closed_within_three_seconds(
    make_protocol: Any,
) -> None:
    protocol = make_protocol()
    with socket.socket() as handle:
        protocol.transport = Transport(handle)
        protocol.connectionMade()
        options = {
            name: handle.getsockopt(socket.IPPROTO_TCP, name)
            for name in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        }
        assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    probing_s = (
        options[socket.TCP_KEEPIDLE]
        + options[socket.TCP_KEEPINTVL] * options[socket.TCP_KEEPCNT]
    )
    assert probing_s <= 3
    assert 0 < options[socket.TCP_USER_TIMEOUT] <= 3_000
