"""Connections that wait for too long, or are too many, are closed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.internal.connection_limit import (
    STALLED_AFTER_S,
    TIMEOUT_S_BY_STATE,
    UNREAD_TIMEOUT_S,
    ConnectionState,
)
from tests.utils.build_channels import CHUNKED, Port, chunks, post

REQUEST_TIMEOUT_S = TIMEOUT_S_BY_STATE[ConnectionState.RECEIVING]
IDLE_TIMEOUT_S = TIMEOUT_S_BY_STATE[ConnectionState.IDLE]
CLOSING_TIMEOUT_S = TIMEOUT_S_BY_STATE[ConnectionState.CLOSING]

INCOMPLETE = [
    b"P",
    b"GET / HTTP/1.1\r\nA: ",
    post(length=100),
    post(length=50_000),
    CHUNKED,
    CHUNKED + b"5\r\nabc",
]


@pytest.mark.parametrize("start", INCOMPLETE)
def test_a_request_that_came_byte_by_byte_stayed_for_ever(start: bytes) -> None:
    port = Port()
    connection = port.connect()
    connection.send(start)
    for _ in range(int(REQUEST_TIMEOUT_S) - 1):
        port.clock.advance(1.0)
        connection.send(b"x" if start == b"P" else b"")
    assert connection.statuses == []
    port.clock.advance(1.0)
    assert connection.statuses == [408]
    assert connection.transport.is_half_closed
    assert port.budget.used == 0


def test_a_request_that_is_served_was_timed_out() -> None:
    port = Port()
    port.resource.answers_at_once = False
    connection = port.connect()
    connection.send(post(b"x" * 10_000))
    port.clock.advance(1_000.0)
    port.resource.answer()
    assert connection.statuses == [200]


def test_each_request_of_a_connection_has_its_own_deadline() -> None:
    port = Port()
    connection = port.connect()
    for count in range(5):
        connection.send(post(length=1))
        port.clock.advance(REQUEST_TIMEOUT_S - 1)
        connection.send(b"x")
        assert connection.statuses == [200] * (count + 1)


def test_an_idle_connection_stayed_open_for_ever() -> None:
    port = Port()
    connection = port.connect()
    connection.send(post(b"x"))
    port.clock.advance(IDLE_TIMEOUT_S - 1)
    connection.send(post(b"x"))
    port.clock.advance(IDLE_TIMEOUT_S - 1)
    assert not connection.transport.disconnecting
    port.clock.advance(1.0)
    assert connection.transport.disconnecting


def test_a_connection_whose_last_response_is_not_read_stayed_open() -> None:
    port = Port()
    connection = port.connect()
    connection.send(post(b"x").replace(b"Host", b"Connection: close\r\nHost"))
    assert (connection.statuses, connection.transport.is_aborted) == ([200], False)
    port.clock.advance(CLOSING_TIMEOUT_S)
    assert connection.transport.is_aborted


def test_a_connection_whose_responses_are_not_read_stayed_open() -> None:
    port = Port()
    connection = port.connect()
    connection.channel.pauseProducing()
    port.clock.advance(UNREAD_TIMEOUT_S - 1)
    connection.channel.resumeProducing()
    connection.channel.pauseProducing()
    port.clock.advance(UNREAD_TIMEOUT_S - 1)
    assert not connection.transport.is_aborted
    port.clock.advance(1.0)
    assert connection.transport.is_aborted


def test_stalled_bodies_kept_others_from_the_buffers() -> None:
    port = Port(100_000)
    stalled, chunked = port.connect(), port.connect()
    stalled.send(post(length=60_000))
    chunked.send(CHUNKED + b"fff0\r\n" + b"x" * 30_000)
    port.clock.advance(STALLED_AFTER_S)
    connection = port.connect()
    connection.send(post(b"x" * 60_000))
    assert (connection.statuses, stalled.statuses) == ([200], [503])
    assert chunked.statuses == []


def test_a_new_body_pushed_out_one_that_has_just_begun() -> None:
    port = Port(80_000)
    first, second = port.connect(), port.connect()
    first.send(post(length=60_000))
    port.clock.advance(STALLED_AFTER_S - 1)
    second.send(post(length=60_000))
    assert (first.statuses, second.statuses) == ([], [503])


def test_incomplete_requests_kept_new_connections_out() -> None:
    port = Port(max_connections=3)
    idle, oldest, newest = (port.connect() for _ in range(3))
    oldest.send(b"GET")
    newest.send(b"GET")
    port.clock.advance(STALLED_AFTER_S)
    connection = port.connect()
    connection.send(post(b"x"))
    assert connection.statuses == [200]
    others = (idle, oldest, newest)
    assert [c.transport.is_aborted for c in others] == [False, True, False]
    assert port.observer.evictions == [ConnectionState.RECEIVING]


def test_idle_connections_kept_new_ones_out() -> None:
    port = Port(max_connections=3)
    first, second, served = (port.connect() for _ in range(3))
    first.send(post(b"x"))
    port.resource.answers_at_once = False
    served.send(post(b"x"))
    connection = port.connect()
    assert not connection.transport.is_aborted
    others = (first, second, served)
    assert [c.transport.is_aborted for c in others] == [False, True, False]


def test_a_request_that_is_served_lost_its_connection_to_a_new_one() -> None:
    port = Port(max_connections=2)
    port.resource.answers_at_once = False
    served = [port.connect() for _ in range(2)]
    for connection in served:
        connection.send(post(b"x"))
    assert port.connect().transport.is_aborted
    for connection in served:
        port.resource.answer()
        assert connection.statuses == [200]
    assert len(port.connections) == 2


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(
                [b"GET", post(b"x"), post(b"x" * 9_000), *INCOMPLETE]
                + [CHUNKED + chunks(b"x" * 9_000, 100), post(length=100_000)]
            ),
            st.sampled_from([0.0, 0.0, 1.0, 15.0, 61.0]),
        ),
        max_size=40,
    ),
    st.booleans(),
)
def test_more_connections_were_open_than_the_limit(
    actions: list[tuple[int, bytes, float]], answers_at_once: bool
) -> None:
    port = Port(max_connections=3)
    port.resource.answers_at_once = answers_at_once
    connections = [port.connect() for _ in range(5)]
    for index, data, wait_s in actions:
        connections[index].send(data)
        port.clock.advance(wait_s)
        for number, connection in enumerate(connections):
            if connection.transport.is_aborted:
                connection.lose()
                connections[number] = port.connect()
        assert len(port.connections) <= 3
        is_open = [not c.transport.is_aborted for c in connections]
        assert sum(is_open) == len(port.connections)
