"""Connections that wait for too long are closed."""

import pytest

from tamarackmount.internal.connection_limit import (
    STALLED_AFTER_S,
    TIMEOUT_S_BY_STATE,
    UNREAD_TIMEOUT_S,
    ConnectionState,
)
from tests.utils.build_channels import CHUNKED, Port, post

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
    port = Port(100_000)
    first, second = port.connect(), port.connect()
    first.send(post(length=60_000))
    port.clock.advance(STALLED_AFTER_S - 1)
    second.send(post(length=60_000))
    assert (first.statuses, second.statuses) == ([], [503])
