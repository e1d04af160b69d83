"""Test the platform clients: the requests they send and how they decode replies."""

import base64
import struct
from dataclasses import replace
from typing import Any

import orjson
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from tamarackmount.ids import Epoch, Instant, JobId, Offset, WorkerId
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    HttpClient,
    Reply,
)
from tamarackmount.platform.store import (
    Appended,
    Fenced,
    KeyedRecord,
    LatestRecordsPage,
    OffsetMismatch,
    OutOfSequence,
    Producer,
    RecordsPage,
    Store,
    StoreError,
    StoreErrorKind,
    Topic,
    Trimmed,
)
from tamarackmount.platform.workers import PollRequest, WorkerCalls
from tamarackmount.scheduling.domain.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    OrderReply,
    OrderResult,
    PollFailure,
    RunEnd,
    StartOrder,
    WorkerReport,
)
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import serve_bytes

JOBS = Topic("keyed.jobs")
TASK = TaskKey(JobId("5c0e7a21d94b36f8"), 0, 1, 17)
INCARNATION = WorkerIncarnation(WorkerId("i-1"), 1_700_000_000_000)
REASON_PHRASES = {
    200: "OK",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    503: "Service Unavailable",
}


def encode_reply(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'X')}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Peer:
    """Server that sends fixed replies in turn and keeps the requests."""

    def __init__(self, *replies: bytes, closes: bool = False) -> None:
        """Send ``replies`` in turn, then repeat the last one."""
        self.network = MemoryNetwork()
        self.requests: list[bytes] = []
        self.connections = 0
        peer = self

        class CannedReplies(Protocol):
            def connectionMade(self) -> None:  # noqa: N802
                peer.connections += 1

            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                peer.requests.append(data)
                reply = replies[min(len(peer.requests), len(replies)) - 1]
                transport: Any = self.transport
                transport.write(reply)
                if closes:
                    transport.loseConnection()

        port = serve_bytes(self.network, Factory.forProtocol(CannedReplies))
        self.address = Address(f"127.0.0.1:{port}")
        self.http = HttpClient(self.network)

    @property
    def deadline(self) -> Instant:
        """The time two seconds from now."""
        return Instant(self.network.seconds() + 2.0)

    def wait(self, call: Any) -> Any:
        """Return the result of a call."""
        return self.network.wait(ensureDeferred(call))

    def get(self) -> Any:
        """Send one GET request and return its result."""
        call = self.http.call(self.address, "GET", "/", self.deadline)
        return self.wait(call)

    @property
    def store(self) -> Store:
        """A store client that calls this peer."""
        return Store(self.http, self.address)

    def request_json(self, number: int = 0) -> Any:
        """Return the JSON body of a request."""
        return orjson.loads(self.requests[number].split(b"\r\n\r\n", 1)[1])


def test_idle_connection_is_reused() -> None:
    peer = Peer(encode_reply(200, b"a"), encode_reply(200, b"b"))
    assert [peer.get(), peer.get()] == [Reply(200, b"a"), Reply(200, b"b")]
    assert peer.connections == 1


def test_refused_connection_means_nothing_was_sent() -> None:
    peer = Peer(b"")
    unused = Address("127.0.0.1:1")
    call = peer.http.call(unused, "GET", "/", peer.deadline)
    result = peer.wait(call)
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NOT_SENT


def test_a_request_whose_permission_ends_while_connecting_is_not_sent() -> None:
    peer = Peer(encode_reply(200, b"a"))
    may_send = True
    call = ensureDeferred(
        peer.http.call(
            peer.address, "GET", "/", peer.deadline, may_send=lambda: may_send
        )
    )
    # The connection is being opened.
    may_send = False
    result = peer.network.wait(call)
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NOT_SENT
    assert not peer.requests
    # The connection serves the next request.
    assert peer.get() == Reply(200, b"a")
    assert peer.connections == 1


def test_a_request_whose_deadline_passes_while_connecting_is_not_sent() -> None:
    peer = Peer(encode_reply(200, b"a"))
    call = ensureDeferred(peer.http.call(peer.address, "GET", "/", peer.deadline))
    # The process is suspended; then the established connection is handled first.
    peer.network.rightNow += 3.0
    result = peer.network.wait(call)
    assert result == CallError(CallErrorKind.NOT_SENT, "deadline passed")
    assert not peer.requests


def test_a_request_is_not_sent_after_its_deadline_over_an_idle_connection() -> None:
    peer = Peer(encode_reply(200, b"a"))
    peer.get()
    past = Instant(peer.network.seconds() - 0.1)
    result = peer.wait(peer.http.call(peer.address, "GET", "/", past))
    assert result == CallError(CallErrorKind.NOT_SENT, "deadline passed")
    assert len(peer.requests) == 1
    peer.get()
    assert peer.connections == 1


@pytest.mark.parametrize(
    "reply",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b"this is not HTTP\r\n\r\n"],
)
def test_malformed_reply_is_no_reply(reply: bytes) -> None:
    result = Peer(reply, closes=True).get()
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NO_REPLY


def test_call_without_reply_ends_at_the_deadline() -> None:
    peer = Peer(b"")
    result = peer.get()
    assert result == CallError(CallErrorKind.NO_REPLY, "deadline passed")


def test_append_sends_its_conditions_and_records() -> None:
    peer = Peer(encode_reply(200, b'{"offset":840,"end":842}'))
    rows = [KeyedRecord("a", b"xy"), KeyedRecord("bc", b"")]
    call = peer.store.append(
        JOBS, rows, peer.deadline, Offset(840), Producer("holder", 7, 12)
    )
    assert peer.wait(call) == Appended(Offset(840), Offset(842))
    head, body = peer.requests[0].split(b"\r\n\r\n", 1)
    assert head.startswith(
        b"POST /api/log-append?topic=keyed.jobs&part=0&at=840"
        b"&producer=holder&epoch=7&sequence=12 HTTP/1.1"
    )
    assert body == b"\x00\x00\x00\x04\x01axy\x00\x00\x00\x03\x02bc"


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (encode_reply(412, b'{"end":9}'), OffsetMismatch(Offset(9))),
        (encode_reply(409, b'{"reason":"fenced"}'), Fenced()),
        (encode_reply(409, b'{"reason":"seq","sequence":5}'), OutOfSequence(5)),
        (encode_reply(503, b""), StoreError(StoreErrorKind.NOT_APPLIED, "status 503")),
        (b"", StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "deadline passed")),
    ],
)
def test_append_results(reply: bytes, expected: object) -> None:
    peer = Peer(reply)
    call = peer.store.append(JOBS, [KeyedRecord("a", b"x")], peer.deadline)
    assert peer.wait(call) == expected


def test_read_decodes_records_with_their_offsets() -> None:
    body = struct.pack(">QQ", 12, 3) + b"\x00\x00\x00\x04\x01axy\x00\x00\x00\x02\x01b"
    peer = Peer(encode_reply(200, body))
    result = peer.wait(peer.store.read(JOBS, Offset(10), 500, peer.deadline))
    rows = [KeyedRecord("a", b"xy", Offset(10)), KeyedRecord("b", b"", Offset(11))]
    assert result == RecordsPage(rows, Offset(12), Offset(12))
    assert b"from=10&waitMs=500" in peer.requests[0]


EMPTY_PAYLOAD = b"\x00\x00\x00\x00"
CUT_KEY = b"\x00\x00\x00\x03\x05ab"
WHOLE = b"\x00\x00\x00\x03\x01bx"


@pytest.mark.parametrize("malformed", [EMPTY_PAYLOAD, CUT_KEY])
def test_a_record_without_a_whole_key_is_passed_over(
    malformed: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a tail that reads the same record for ever."""
    body = struct.pack(">QQ", 12, 3) + malformed + WHOLE
    peer = Peer(encode_reply(200, body))
    result = peer.wait(peer.store.read(JOBS, Offset(10), 0, peer.deadline))
    rows = [KeyedRecord("", b"", Offset(10)), KeyedRecord("b", b"x", Offset(11))]
    assert result == RecordsPage(rows, Offset(12), Offset(12))
    assert "stored record not decodable; passed over" in caplog.messages


@pytest.mark.parametrize("cut", [WHOLE[:-1], WHOLE[:4], WHOLE[:2]])
def test_a_cut_record_is_read_again_and_passed_over_if_still_cut(cut: bytes) -> None:
    head = struct.pack(">QQ", 12, 3)
    peer = Peer(encode_reply(200, head + WHOLE + cut), encode_reply(200, head + cut))
    first = peer.wait(peer.store.read(JOBS, Offset(10), 0, peer.deadline))
    row = KeyedRecord("b", b"x", Offset(10))
    assert first == RecordsPage([row], Offset(12), Offset(11))
    second = peer.wait(peer.store.read(JOBS, Offset(11), 0, peer.deadline))
    passed_over = KeyedRecord("", b"", Offset(11))
    assert second == RecordsPage([passed_over], Offset(12), Offset(12))


@pytest.mark.parametrize(
    "change",
    [
        {"value": None},
        {"value": 7},
        {"value": "x"},
        {"offset": -1},
        {"offset": 2**63},
        {"offset": 1.5},
        {"offset": True},
        {"offset": None},
    ],
)
def test_a_snapshot_item_that_cannot_be_decoded_is_passed_over(
    change: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    good = {"key": "a", "value": "eHk=", "offset": 4}
    page = {"items": [good, {**good, "key": "b", **change}], "more": True, "end": 6}
    peer = Peer(encode_reply(200, orjson.dumps(page)))
    result = peer.wait(peer.store.read_latest(JOBS, "", peer.deadline))
    rows = [KeyedRecord("a", b"xy", Offset(4)), KeyedRecord("", b"")]
    # The next page follows the item, although its key is not passed on.
    assert result == LatestRecordsPage(rows, True, Offset(6), "b")
    assert "stored record not decodable; passed over" in caplog.messages


def test_read_of_deleted_records_returns_the_first_offset() -> None:
    peer = Peer(encode_reply(410, b'{"first":7}'))
    result = peer.wait(peer.store.read(JOBS, Offset(1), 0, peer.deadline))
    assert result == Trimmed(Offset(7))


def test_read_latest_decodes_a_page() -> None:
    value = base64.b64encode(b"xy").decode()
    page = {"items": [{"key": "a", "value": value, "offset": 4}], "more": True}
    peer = Peer(encode_reply(200, orjson.dumps({**page, "end": 6})))
    result = peer.wait(peer.store.read_latest(JOBS, "0", peer.deadline))
    assert result == LatestRecordsPage(
        [KeyedRecord("a", b"xy", Offset(4))], True, Offset(6), "a"
    )
    assert b"after=0" in peer.requests[0]


ODD_BODIES = [b"[]", b"null", b"7", b'"text"', b'{"good":7}', b'{"items":[7]}']


@pytest.mark.parametrize("body", ODD_BODIES)
def test_bodies_of_another_shape_are_errors_of_the_call(body: bytes) -> None:
    peer = Peer(encode_reply(200, body))
    calls = WorkerCalls(peer.http)
    append = peer.wait(peer.store.append(JOBS, [], peer.deadline))
    assert isinstance(append, StoreError)
    assert isinstance(
        peer.wait(peer.store.read_latest(JOBS, "", peer.deadline)), StoreError
    )
    poll = calls.poll(
        peer.address, INCARNATION, PollRequest(Epoch(7), 0, None, 0), peer.deadline
    )
    assert peer.wait(poll) is PollFailure.UNHEALTHY
    advice = AdviceClient(peer.http, peer.address)
    asked = advice.ask(StepKey(TASK.job_id, 0, 1), [WorkerId("i-1")], peer.deadline)
    assert peer.wait(asked) is None


@pytest.mark.parametrize("body", ODD_BODIES)
def test_conflicts_of_another_shape_have_an_unknown_outcome(body: bytes) -> None:
    peer = Peer(encode_reply(409, body))
    append = peer.wait(peer.store.append(JOBS, [], peer.deadline))
    assert isinstance(append, StoreError)
    start = WorkerCalls(peer.http).start(
        peer.address, start_order(), Epoch(7), peer.deadline
    )
    assert peer.wait(start).result is OrderResult.UNKNOWN


def test_a_reply_that_is_too_long_is_no_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tamarackmount.platform.http.MAX_REPLY_BYTES", 100)
    result = Peer(encode_reply(200, b"x" * 101)).get()
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NO_REPLY
    assert Peer(encode_reply(200, b"x" * 100)).get() == Reply(200, b"x" * 100)


def test_a_call_that_is_aborted_ends_without_a_reply() -> None:
    peer = Peer(b"")
    call = ensureDeferred(peer.http.call(peer.address, "GET", "/", peer.deadline))
    while not peer.requests:
        peer.network.advance(0.001)
    peer.http.abort_calls(Address("127.0.0.1:1"))
    assert not call.called
    peer.http.abort_calls(peer.address)
    result = peer.network.wait(call)
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NO_REPLY
    assert not peer.http._busy_by_address


def test_idle_connections_to_an_aborted_address_were_used_again() -> None:
    peer = Peer(encode_reply(200, b"{}"))
    peer.get()
    peer.get()
    assert peer.connections == 1
    peer.http.abort_calls(peer.address)
    peer.get()
    assert peer.connections == 2


def test_a_poll_whose_permission_ends_while_connecting_is_not_sent() -> None:
    peer = Peer(encode_reply(200, b"{}"))
    request = PollRequest(Epoch(7), 57, 486_000, 0)
    call = WorkerCalls(peer.http).poll(
        peer.address, INCARNATION, request, peer.deadline, lambda: False
    )
    assert peer.wait(call) is PollFailure.NO_ANSWER
    assert not peer.requests


IDENTIFIED = encode_reply(
    200, orjson.dumps({"clockMs": 1, "born": INCARNATION.born_unix_ms})
)
"""Answer of the incarnation that calls are meant for to the first poll."""

NEXT_IDENTIFIED = encode_reply(
    200, orjson.dumps({"clockMs": 1, "born": INCARNATION.born_unix_ms + 1})
)
"""The same of the next incarnation."""


def start_order() -> StartOrder:
    return StartOrder(INCARNATION, TASK, 2, "text", 486_000, "0000", "t1")


def test_start_request() -> None:
    peer = Peer(IDENTIFIED, encode_reply(200, b'{"clockMs":1}'))
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call) == OrderReply(OrderResult.DONE, 1)
    assert peer.request_json(0) == {"fencingToken": 7, "ackCursor": 0}
    assert peer.request_json(1) == {
        "task": "5c0e7a21d94b36f8.0.1.17",
        "run": 2,
        "spec": "text",
        "untilMs": 486_000,
        "fencingToken": 7,
        "checkpoint": "0000",
        "ticket": "t1",
    }
    assert all(b"Expect-Instance: i-1\r\n" in request for request in peer.requests)
    assert len(peer.requests) == 2


def test_a_start_whose_permission_ends_while_connecting_is_not_sent() -> None:
    peer = Peer(encode_reply(200, b"{}"))
    calls = WorkerCalls(peer.http)
    call = calls.start(
        peer.address, start_order(), Epoch(7), peer.deadline, lambda: False
    )
    assert peer.wait(call) == OrderReply(OrderResult.NOT_SENT)
    assert not peer.requests


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (encode_reply(409, b'{"reason":"fence"}'), OrderResult.FENCED),
        (encode_reply(409, b'{"reason":"old"}'), OrderResult.STALE_RUN),
        (encode_reply(409, b'{"reason":"late"}'), OrderResult.LATE),
        (encode_reply(409, b'{"reason":"room"}'), OrderResult.NO_CAPACITY),
        (encode_reply(409, b'{"reason":"ticket"}'), OrderResult.BAD_TICKET),
        (encode_reply(409, b"{}"), OrderResult.UNKNOWN),
        (encode_reply(400, b""), OrderResult.MALFORMED),
        (encode_reply(421, b""), OrderResult.OTHER_INCARNATION),
        (encode_reply(503, b""), OrderResult.UNHEALTHY),
        (b"", OrderResult.UNKNOWN),
    ],
)
def test_start_results(reply: bytes, expected: OrderResult) -> None:
    peer = Peer(IDENTIFIED, reply)
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call).result is expected
    assert len(peer.requests) == 2


RENEWAL = PollRequest(Epoch(7), 57, 486_000, 0)
QUESTION = PollRequest(Epoch(7), 0, None, 0)


def test_an_order_opened_a_connection_to_the_next_incarnation() -> None:
    peer = Peer(NEXT_IDENTIFIED)
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call) == OrderReply(OrderResult.UNIDENTIFIED)
    assert [peer.request_json()] == [{"fencingToken": 7, "ackCursor": 0}]
    assert len(peer.requests) == 1


@pytest.mark.parametrize(
    "request_", [RENEWAL, replace(QUESTION, ack_cursor=57)], ids=["lease", "ends"]
)
def test_a_poll_opened_a_connection_to_the_next_incarnation(
    request_: PollRequest,
) -> None:
    peer = Peer(NEXT_IDENTIFIED)
    calls = WorkerCalls(peer.http)
    call = calls.poll(peer.address, INCARNATION, request_, peer.deadline)
    assert peer.wait(call) is PollFailure.NO_ANSWER
    assert [peer.request_json()] == [{"fencingToken": 7, "ackCursor": 0}]
    assert len(peer.requests) == 1


def test_a_poll_that_asks_for_the_incarnation_was_sent_twice() -> None:
    peer = Peer(IDENTIFIED)
    calls = WorkerCalls(peer.http)
    for request in (QUESTION, RENEWAL):
        poll = calls.poll(peer.address, INCARNATION, request, peer.deadline)
        assert isinstance(peer.wait(poll), WorkerReport)
    start = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(start).result is OrderResult.DONE
    # One connection, on which the incarnation has answered once.
    assert len(peer.requests) == 3
    assert peer.connections == 1


def test_a_connection_to_the_former_incarnation_carried_an_order_to_the_next() -> None:
    peer = Peer(IDENTIFIED, NEXT_IDENTIFIED)
    calls = WorkerCalls(peer.http)
    peer.wait(calls.poll(peer.address, INCARNATION, QUESTION, peer.deadline))
    born = INCARNATION.born_unix_ms + 1
    order = replace(
        start_order(), incarnation=WorkerIncarnation(INCARNATION.worker_id, born)
    )
    call = calls.start(peer.address, order, Epoch(7), peer.deadline)
    assert peer.wait(call).result is OrderResult.DONE
    assert peer.connections == 2


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (encode_reply(409, b'{"reason":"fence"}'), OrderResult.FENCED),
        (encode_reply(421, b""), OrderResult.OTHER_INCARNATION),
        (encode_reply(503, b""), OrderResult.UNHEALTHY),
        (encode_reply(200, b"[]"), OrderResult.UNIDENTIFIED),
        (encode_reply(200, b'{"born":"soon"}'), OrderResult.UNIDENTIFIED),
        (b"", OrderResult.UNIDENTIFIED),
    ],
)
def test_an_order_was_written_after_a_question_without_an_answer(
    reply: bytes, expected: OrderResult
) -> None:
    peer = Peer(reply)
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call).result is expected
    assert len(peer.requests) == 1


def test_an_order_was_written_after_its_permission_had_ended() -> None:
    peer = Peer(IDENTIFIED)
    calls = WorkerCalls(peer.http)
    call = calls.start(
        peer.address,
        start_order(),
        Epoch(7),
        peer.deadline,
        lambda: not peer.requests,
    )
    assert peer.wait(call) == OrderReply(OrderResult.NOT_SENT)
    assert len(peer.requests) == 1


def test_poll_decodes_running_and_ended_runs() -> None:
    body = (
        b'{"clockMs":5,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,30]],'
        b'"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
    )
    peer = Peer(IDENTIFIED, encode_reply(200, body))
    request = PollRequest(Epoch(7), 57, 486_000, 1_000)
    call = WorkerCalls(peer.http).poll(
        peer.address, INCARNATION, request, peer.deadline
    )
    result = peer.wait(call)
    assert isinstance(result, WorkerReport)
    assert (result.born_unix_ms, result.clock_ms) == (INCARNATION.born_unix_ms, 5)
    assert result.running[0].task == TASK
    running = result.running[0]
    assert (running.checkpoint, running.progress_percent) == ("cp", 41)
    assert (result.ended[0].end_number, result.ended[0].outcome) == (58, RunEnd.DONE)
    assert peer.request_json(1) == {
        "fencingToken": 7,
        "ackCursor": 57,
        "untilMs": 486_000,
        "waitMs": 1_000,
    }


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (encode_reply(409, b'{"reason":"fence"}'), PollFailure.FENCED),
        (encode_reply(421, b""), PollFailure.OTHER_INCARNATION),
        (encode_reply(503, b""), PollFailure.UNHEALTHY),
        (encode_reply(200, b'{"clockMs":"soon"}'), PollFailure.UNHEALTHY),
        (encode_reply(200, b"not JSON"), PollFailure.UNHEALTHY),
        (
            encode_reply(200, b'{"clockMs":1,"running":[["x",1]]}'),
            PollFailure.UNHEALTHY,
        ),
        (b"", PollFailure.NO_ANSWER),
    ],
)
def test_poll_failures(reply: bytes, expected: PollFailure) -> None:
    peer = Peer(reply)
    request = PollRequest(Epoch(7), 0, None, 0)
    call = WorkerCalls(peer.http).poll(
        peer.address, INCARNATION, request, peer.deadline
    )
    assert peer.wait(call) is expected


@pytest.mark.parametrize(
    ("reply", "tickets"),
    [
        (encode_reply(200, b'{"good":[["i-1","t"]],"validityMs":2000}'), ["t"]),
        (encode_reply(200, b'{"good":[],"validityMs":2000}'), []),
        (encode_reply(429, b""), None),
        (encode_reply(200, b"{}"), None),
    ],
)
def test_advice_results(reply: bytes, tickets: list[str] | None) -> None:
    peer = Peer(reply)
    step = StepKey(TASK.job_id, 0, 1)
    client = AdviceClient(peer.http, peer.address)
    result = peer.wait(client.ask(step, [INCARNATION.worker_id], peer.deadline))
    found_tickets = (
        [row.ticket for row in result.tickets] if result is not None else None
    )
    assert found_tickets == tickets
    assert peer.request_json() == {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1"]}


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"not JSON"])
def test_malformed_store_replies_leave_the_outcome_unknown(body: bytes) -> None:
    peer = Peer(encode_reply(200, body))
    rows = [KeyedRecord("a", b"x")]
    results = [
        peer.wait(peer.store.append(JOBS, rows, peer.deadline)),
        peer.wait(peer.store.read(JOBS, Offset(0), 0, peer.deadline)),
        peer.wait(peer.store.read_latest(JOBS, "", peer.deadline)),
    ]
    assert [type(error) for error in results] == [StoreError] * 3
    assert {error.kind for error in results} == {StoreErrorKind.OUTCOME_UNKNOWN}
