"""Connections of other members keep a limited number of bytes, for a limited time."""

from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.connection_limit import STALLED_AFTER_S, ConnectionState
from tamarackmount.internal.inbound_links import InboundFactory, LinkCounters
from tamarackmount.internal.member_codec import MEMBER_CODEC
from tamarackmount.internal.peer_limits import FRAME_TIMEOUT_S, PeerLimits
from tamarackmount.kernel.messages import HoldingsRequest
from tests.utils.build_channels import Connection, Observer, make_failure


def frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


MESSAGE = frame(MEMBER_CODEC.encode(Envelope(MemberId("a"), HoldingsRequest(Epoch(7)))))
LARGE = (1_000_000).to_bytes(4, "big")


class PeerPort:
    """A port for other members, without a network."""

    def __init__(self, max_connections: int = 4) -> None:
        """Keep 50 kB of incomplete frames."""
        self.clock = Clock()
        self.budget = BufferBudget(50_000)
        self.observer = Observer()
        self.received: list[Any] = []
        self.limits = PeerLimits(
            self.clock, max_connections, self.budget, self.observer
        )
        self._factory: Any = InboundFactory(
            MEMBER_CODEC, self.received.append, LinkCounters(), self.limits
        )

    def connect(self) -> Connection:
        """Open a connection."""
        connection = Connection(self._factory.buildProtocol(None))
        transport: Any = connection.transport
        transport.setTcpNoDelay = lambda _enabled: None
        connection.channel.makeConnection(transport)
        return connection


def aborted(connections: Iterable[Connection]) -> list[bool]:
    return [connection.transport.is_aborted for connection in connections]


def test_a_member_that_says_nothing_for_long_lost_its_connection() -> None:
    port = PeerPort()
    silent, connection = port.connect(), port.connect()
    connection.send(MESSAGE)
    port.clock.advance(10_000.0)
    connection.send(MESSAGE)
    assert aborted((silent, connection)) == [False, False]
    assert len(port.received) == 2


@pytest.mark.parametrize("start", [b"\0", LARGE, MESSAGE + MESSAGE[:-1]])
def test_a_frame_that_stops_short_stayed_for_ever(start: bytes) -> None:
    port = PeerPort()
    connection = port.connect()
    connection.send(start)
    for _ in range(int(FRAME_TIMEOUT_S) - 1):
        port.clock.advance(1.0)
        connection.send(b"")
    assert not connection.transport.is_aborted
    port.clock.advance(1.0)
    assert connection.transport.is_aborted
    assert (port.budget.used, len(port.limits.connections)) == (0, 0)


def test_a_member_whose_reads_end_within_frames_was_too_slow() -> None:
    port = PeerPort()
    connection = port.connect()
    connection.send(MESSAGE[:5])
    for _ in range(5):
        port.clock.advance(FRAME_TIMEOUT_S - 1)
        connection.send(MESSAGE[5:] + MESSAGE[:5])
    assert not connection.transport.is_aborted
    assert len(port.received) == 5


def test_incomplete_frames_were_kept_without_limit() -> None:
    port = PeerPort()
    first, second = port.connect(), port.connect()
    first.send(LARGE + b"x" * 40_000)
    second.send(LARGE + b"x" * 40_000)
    assert aborted((first, second)) == [False, True]
    port.clock.advance(STALLED_AFTER_S)
    third = port.connect()
    third.send(LARGE + b"x" * 40_000)
    assert aborted((first, third)) == [True, False]
    assert port.budget.used <= port.budget.limit


def test_strangers_took_the_place_of_members() -> None:
    port = PeerPort()
    members = [port.connect() for _ in range(2)]
    for member in members:
        member.send(MESSAGE)
    strangers = [port.connect() for _ in range(10)]
    strangers[-1].send(b"\0")
    strangers.append(port.connect())
    assert aborted(members) == [False, False]
    assert aborted(strangers).count(False) == 2
    late = port.connect()
    late.send(MESSAGE)
    assert len(port.received) == 3
    assert aborted([*members, late]) == [False] * 3


def test_a_member_that_returns_found_no_place() -> None:
    port = PeerPort(max_connections=2)
    members = [port.connect() for _ in range(2)]
    for member in members:
        member.send(MESSAGE)
    late = port.connect()
    late.send(MESSAGE)
    assert (len(port.received), aborted([*members, late])) == (3, [True, False, False])
    assert port.observer.evictions == [ConnectionState.ESTABLISHED]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(
                [
                    MESSAGE,
                    MESSAGE[:7],
                    MESSAGE[7:],
                    LARGE + b"x" * 30_000,
                    frame(b"x" * 20_000),
                    frame(b"")[:-1],
                    b"\xff" * 4,
                ]
            ),
            st.sampled_from([0.0, 1.0, 10.0]),
        ),
        max_size=30,
    )
)
def test_bytes_stayed_reserved_after_their_connection_was_closed(
    actions: list[tuple[int, bytes, float]],
) -> None:
    port = PeerPort(max_connections=3)
    connections = [port.connect() for _ in range(5)]
    for index, data, wait_s in actions:
        connections[index].send(data)
        port.clock.advance(wait_s)
        for number, connection in enumerate(connections):
            if connection.transport.is_aborted:
                connection.lose()
                connections[number] = port.connect()
        assert 0 <= port.budget.used <= port.budget.limit
        assert aborted(connections).count(False) == len(port.limits.connections) <= 3
    for connection in connections:
        connection.channel.connectionLost(make_failure(ConnectionDone()))
    assert (port.budget.used, len(port.limits.connections)) == (0, 0)
    assert port.clock.getDelayedCalls() == []
