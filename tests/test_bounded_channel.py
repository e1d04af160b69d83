"""Connections buffer no more than the budget, and refuse the rest with a response."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.internal.bounded_channel import (
    MAX_DISCARDED_BYTES,
    SMALL_BODY_BYTES,
)
from tamarackmount.internal.connection_limit import (
    TIMEOUT_S_BY_STATE,
    ConnectionState,
)
from tests.utils.build_channels import (
    CHUNKED,
    MAX_BODY_BYTES,
    Connection,
    Port,
    chunks,
    post,
)

LINGER_S = TIMEOUT_S_BY_STATE[ConnectionState.DISCARDING]
EXPECT = b"Expect: 100-continue\r\n"


def expecting(request: bytes) -> bytes:
    return request.replace(b"Host: h\r\n", b"Host: h\r\n" + EXPECT)


@pytest.mark.parametrize("size", [0, 10, SMALL_BODY_BYTES, MAX_BODY_BYTES])
def test_a_body_within_the_limit_was_refused(size: int) -> None:
    port = Port()
    connection = port.connect()
    body = b"x" * size
    for _ in range(2):
        connection.send(post(body))
        connection.send(CHUNKED + chunks(body, 1_000))
        port.clock.advance(1.0)
    assert connection.statuses == [200] * 4
    assert port.resource.bodies == [body] * 4
    assert (port.budget.used, connection.transport.is_half_closed) == (0, False)


@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_a_body_that_came_in_pieces_was_not_served(size: int) -> None:
    port = Port()
    connection = port.connect()
    body = bytes(range(256)) * 256
    data = CHUNKED + chunks(body, 1) if size == 7 else post(body)
    for start in range(0, len(data), size):
        connection.send(data[start : start + size])
    port.clock.advance(1.0)
    assert (connection.statuses, port.resource.bodies) == ([200], [body])
    assert port.budget.used == 0


def test_a_body_over_the_limit_was_read_before_its_refusal() -> None:
    port = Port()
    connection = port.connect()
    connection.send(post(length=MAX_BODY_BYTES + 1))
    assert connection.statuses == [413]
    assert connection.transport.is_half_closed
    assert port.budget.used == 0


def test_a_chunked_body_over_the_limit_was_kept() -> None:
    port = Port()
    connection = port.connect()
    connection.send(CHUNKED + b"fffffff\r\n")
    for _ in range(MAX_BODY_BYTES // 4_096 + 1):
        connection.send(b"x" * 4_096)
    assert connection.statuses == [413]
    assert port.budget.used == 0


def test_bodies_over_the_budget_were_kept() -> None:
    port = Port(80_000)
    first, second, third = port.connect(), port.connect(), port.connect()
    first.send(post(length=60_000))
    second.send(post(length=60_000))
    assert (first.statuses, second.statuses) == ([], [503])
    assert b"Retry-After: 1\r\n" in second.sent
    third.send(post(b"small"))
    assert third.statuses == [200]
    first.send(b"x" * 60_000)
    assert (first.statuses, port.budget.used) == ([200], 0)


@pytest.mark.parametrize("answers_at_once", [True, False])
def test_ordinary_requests_were_refused_while_others_had_the_buffers(
    answers_at_once: bool,
) -> None:
    port = Port(80_000)
    assert port.budget.try_reserve(80_000)
    port.resource.answers_at_once = answers_at_once
    connection = port.connect()
    fields = b"".join(b"Field-%d: value\r\n" % number for number in range(20))
    data = post(b"x" * 8_000).replace(b"Host: h\r\n", b"Host: h\r\n" + fields)
    for start in range(0, len(data), 1_000):
        connection.send(data[start : start + 1_000])
    if not answers_at_once:
        port.resource.answer()
    assert connection.statuses == [200]


def test_chunked_bodies_over_the_budget_were_kept() -> None:
    port = Port(100_000)
    connections = [port.connect() for _ in range(10)]
    for connection in connections:
        connection.send(CHUNKED + b"e000\r\n")
        for _ in range(3):
            connection.send(b"x" * 16_384)
    refused = [c for c in connections if c.statuses == [503]]
    assert len(refused) == 8
    assert port.budget.used <= 100_000


@pytest.mark.parametrize(
    "request_bytes",
    [
        post(path="/unknown", length=MAX_BODY_BYTES),
        expecting(post(path="/unknown", length=1)),
        expecting(CHUNKED.replace(b"/served", b"/unknown?served")),
        CHUNKED.replace(b"/served", b"/unknown") + b"fff0\r\n" + b"x" * 16_384,
    ],
)
def test_a_request_that_is_not_served_was_read_whole(request_bytes: bytes) -> None:
    port = Port()
    connection = port.connect()
    connection.send(request_bytes)
    assert connection.statuses == [404]


def test_a_request_that_is_served_got_no_continue() -> None:
    connection = Port().connect()
    connection.send(expecting(post(length=5)))
    assert connection.statuses == [100]
    connection.send(b"hello")
    assert connection.statuses == [100, 200]


def test_bytes_after_a_refusal_were_kept_or_read_without_end() -> None:
    port = Port()
    connection = port.connect()
    connection.send(post(length=10_000_000))
    for _ in range(MAX_DISCARDED_BYTES // 16_384):
        connection.send(post(b"x" * 16_000))
        assert port.budget.used == 0
    assert not connection.transport.is_aborted
    connection.send(b"x" * 32_768)
    assert connection.transport.is_aborted
    assert (connection.statuses, port.resource.bodies) == ([413], [])


def test_a_refused_connection_stayed_open() -> None:
    port = Port()
    connection = port.connect()
    connection.send(post(length=10_000_000))
    port.clock.advance(LINGER_S)
    assert connection.transport.is_aborted
    connection.lose()
    assert port.clock.getDelayedCalls() == []


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 40_000,
        b"GET / HTTP/1.1\r\n" + b"A: " + b"x" * 20_000,
        b"GET / HTTP/1.1\r\n" + b"A: x\r\n" * 101 + b"\r\n",
        b"GET / HTTP/1.1\r\nnot a header\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: " + b"9" * 5_000 + b"\r\n\r\n",
        CHUNKED + b"not a size\r\n",
    ],
)
def test_a_malformed_request_got_no_response(data: bytes) -> None:
    port = Port()
    connection = port.connect()
    connection.send(data)
    connection.send(post(b"another"))
    assert (connection.statuses, port.budget.used) == ([400], 0)


def test_pipelined_requests_were_kept_without_limit_while_one_is_served() -> None:
    port = Port(10_000)
    port.resource.answers_at_once = False
    connection = port.connect()
    connection.send(post(b"first"))
    connection.send(post(b"second"))
    connection.send(post(b"x" * 5_000))
    assert connection.transport.is_paused
    for _ in range(3):
        port.resource.answer()
    assert connection.statuses == [200] * 3
    assert port.budget.used == 0


def test_pipelined_requests_over_the_budget_stopped_the_request_being_served() -> None:
    port = Port(10_000)
    port.resource.answers_at_once = False
    connection = port.connect()
    connection.send(post(b"first"))
    connection.send(post(b"x" * 30_000))
    assert port.budget.used <= 10_000
    port.resource.answer()
    assert (connection.statuses, port.budget.used) == ([200], 0)
    assert connection.transport.disconnecting


ACTIONS = st.one_of(
    st.tuples(
        st.just("send"),
        st.integers(0, 3),
        st.sampled_from(
            [
                post(b"small"),
                post(b"x" * 9_000),
                post(b"x" * 40_000),
                post(length=30_000),
                post(length=100_000),
                post(path="/unknown", length=9_000),
                expecting(post(length=12_000)),
                b"GET /served HTTP/1.0\r\n\r\n",
                b"POST /served HTTP/1.1\r\nA: " + b"y" * 12_000,
                CHUNKED,
                CHUNKED + b"9000\r\n" + b"x" * 16_000,
                CHUNKED + chunks(b"x" * 20_000, 100),
                chunks(b"x" * 20_000, 1_000),
                b"\r\n",
                b"x" * 16_000,
            ]
        ),
    ),
    st.tuples(st.just("answer"), st.integers(0, 3), st.just(b"")),
    st.tuples(st.just("lose"), st.integers(0, 3), st.just(b"")),
    st.tuples(st.just("wait"), st.integers(0, 3), st.just(b"")),
)


def apply(port: Port, connection: Connection, name: str, data: bytes) -> None:
    if name == "send":
        connection.send(data)
    elif name == "answer" and port.resource.waiting:
        port.resource.answer()
    elif name == "lose":
        connection.transport.abortConnection()
    elif name == "wait":
        port.clock.advance(10.0)


@given(st.lists(ACTIONS, max_size=25), st.booleans())
def test_bytes_stayed_reserved_after_their_connection_was_lost(
    actions: list[tuple[str, int, bytes]], answers_at_once: bool
) -> None:
    port = Port(60_000, max_connections=4)
    port.resource.answers_at_once = answers_at_once
    connections = [port.connect() for _ in range(4)]
    for name, index, data in actions:
        apply(port, connections[index], name, data)
        for number, connection in enumerate(connections):
            if connection.transport.is_aborted:
                connection.lose()
                connections[number] = port.connect()
        assert 0 <= port.budget.used <= port.budget.limit
    for connection in connections:
        connection.lose()
    assert (port.budget.used, len(port.connections), len(port.queue)) == (0, 0, 0)
    port.clock.advance(1.0)
    assert port.clock.getDelayedCalls() == []
