"""Bodies that are costly to decode leave most of the processor to others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from tamarackmount.internal.bounded_channel import MAX_LINES_PER_READ
from tamarackmount.internal.connection_limit import (
    TIMEOUT_S_BY_STATE,
    ConnectionState,
)
from tamarackmount.internal.decode_queue import PAUSE_FACTOR, DecodeQueue
from tests.utils.build_channels import CHUNKED, MAX_BODY_BYTES, Port, chunks, post

PART = b"1\r\nx\r\n" * MAX_LINES_PER_READ
REQUEST_TIMEOUT_S = TIMEOUT_S_BY_STATE[ConnectionState.RECEIVING]


class Worker:
    """Decodes for some time, for a number of times."""

    def __init__(self, clock: Clock, queue: DecodeQueue, times_s: list[float]) -> None:
        """Take one of ``times_s`` for each piece of work."""
        self._clock = clock
        self._queue = queue
        self.times_s = times_s
        self.decoded_s = 0.0

    def decode_received(self) -> None:
        took_s = self.times_s.pop()
        self.decoded_s += took_s
        self._clock.rightNow += took_s
        if self.times_s:
            self._queue.add(self)


@given(
    st.lists(
        st.lists(st.sampled_from([0.0, 0.001, 0.01]), min_size=1, max_size=8),
        min_size=1,
        max_size=6,
    )
)
def test_decoding_took_more_than_its_share_of_the_processor(
    times_s_by_worker: list[list[float]],
) -> None:
    clock = Clock()
    queue = DecodeQueue(clock, clock.seconds)
    all_times_s = [time_s for times_s in times_s_by_worker for time_s in times_s]
    workers = [Worker(clock, queue, times_s) for times_s in times_s_by_worker]
    for worker in workers:
        queue.add(worker)
    while queue:
        clock.advance(0.0005)
        decoded_s = sum(worker.decoded_s for worker in workers)
        in_work_s = max(all_times_s)
        share = 1 / (1 + PAUSE_FACTOR)
        assert decoded_s <= share * clock.seconds() + in_work_s + 1e-9
    assert sum(worker.decoded_s for worker in workers) == pytest.approx(
        sum(all_times_s)
    )


def test_a_body_of_tiny_chunks_held_the_event_loop() -> None:
    port = Port()
    connections = [port.connect() for _ in range(10)]
    for connection in connections:
        connection.send(CHUNKED + PART)
    paused = [connection.transport.is_paused for connection in connections]
    assert paused == [False] + [True] * 9
    other = port.connect()
    other.send(post(b"x"))
    other.send(CHUNKED + chunks(b"x" * 50_000, 8_192))
    assert other.statuses == [200, 200]
    for _ in range(9):
        port.clock.advance(port.work_time.took_s * PAUSE_FACTOR + 1e-6)
    assert not any(connection.transport.is_paused for connection in connections)
    for connection in connections:
        connection.send(b"0\r\n\r\n")
    assert [connection.statuses for connection in connections] == [[200]] * 10
    assert set(port.resource.bodies[2:]) == {b"x" * MAX_LINES_PER_READ}


@pytest.mark.parametrize(
    "request_bytes", [post(b"x"), b"GET /served HTTP/1.1\r\nHost: h\r\n\r\n"]
)
def test_many_requests_in_one_read_held_the_event_loop(request_bytes: bytes) -> None:
    port = Port()
    connections = [port.connect() for _ in range(3)]
    for connection in connections:
        connection.send(request_bytes * 20)
    assert [len(connection.statuses) for connection in connections] == [2, 1, 1]
    assert all(connection.transport.is_paused for connection in connections)
    connections[2].lose()
    for _ in range(100):
        port.clock.advance(port.work_time.took_s * PAUSE_FACTOR + 1e-6)
    assert [connection.statuses for connection in connections[:2]] == [[200] * 20] * 2
    assert not connections[0].transport.is_paused
    connections[0].send(request_bytes)
    assert connections[0].statuses == [200] * 21
    assert (port.budget.used, len(port.queue)) == (0, 0)


def test_a_largest_body_in_chunks_of_one_byte_took_as_long_as_clients_wait() -> None:
    port = Port()
    connection = port.connect()
    data = CHUNKED + chunks(b"x" * MAX_BODY_BYTES, 1)
    reads = [data[start : start + 16_384] for start in range(0, len(data), 16_384)]
    for read in reads:
        connection.send(read)
        while connection.transport.is_paused:
            port.clock.advance(0.001)
    assert connection.statuses == [200]
    work_s = len(reads) * port.work_time.took_s
    assert port.clock.seconds() <= work_s * PAUSE_FACTOR + 0.001 * len(reads)


def test_a_body_that_waits_to_be_decoded_outlived_its_connection() -> None:
    port = Port()
    first, lost, late = (port.connect() for _ in range(3))
    for connection in (first, lost, late):
        connection.send(CHUNKED + PART)
    port.work_time.took_s = 1_000.0
    lost.lose()
    assert len(port.queue) == 1
    port.clock.advance(0.001 * PAUSE_FACTOR)
    first.send(PART)
    port.clock.advance(REQUEST_TIMEOUT_S)
    assert (first.statuses, late.statuses) == ([408], [408])
    assert (len(port.queue), port.budget.used) == (0, 0)
    assert not first.transport.is_paused


def test_a_body_that_waits_was_read_on_when_the_client_read_a_response() -> None:
    port = Port()
    for _ in range(2):
        connection = port.connect()
        connection.send(CHUNKED + PART)
    connection.channel.pauseProducing()
    connection.channel.resumeProducing()
    assert connection.transport.is_paused
    connection.channel.pauseProducing()
    port.clock.advance(1.0)
    assert connection.transport.is_paused
    connection.channel.resumeProducing()
    assert not connection.transport.is_paused
