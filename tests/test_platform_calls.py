"""Calls of the platform, on the wire: what is sent, and what each answer means."""

import base64
import struct
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
from tamarackmount.scheduling.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.worker_reports import (
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
LIFE = WorkerIncarnation(WorkerId("i-1"), 1_700_000_000_000)
REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Failed", 503: "Away"}


def http(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Peer:
    """Answers calls in turn with fixed bytes; keeps what was sent."""

    def __init__(self, *replies: bytes, closes: bool = False) -> None:
        """Answer with ``replies``, the last one again and again."""
        self.network = MemoryNetwork()
        self.requests: list[bytes] = []
        self.connections = 0
        peer = self

        class Canned(Protocol):
            def connectionMade(self) -> None:  # noqa: N802
                peer.connections += 1

            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                peer.requests.append(data)
                reply = replies[min(len(peer.requests), len(replies)) - 1]
                transport: Any = self.transport
                transport.write(reply)
                if closes:
                    transport.loseConnection()

        port = serve_bytes(self.network, Factory.forProtocol(Canned))
        self.address = Address(f"127.0.0.1:{port}")
        self.http = HttpClient(self.network)

    @property
    def deadline(self) -> Instant:
        """Two seconds from now."""
        return Instant(self.network.seconds() + 2.0)

    def wait(self, call: Any) -> Any:
        """Return what a call gives."""
        return self.network.wait(ensureDeferred(call))

    def get(self) -> Any:
        """Call once."""
        call = self.http.call(self.address, "GET", "/", self.deadline)
        return self.wait(call)

    @property
    def store(self) -> Store:
        """A store at this peer."""
        return Store(self.http, self.address)

    def json_of(self, number: int = 0) -> Any:
        """Return the body of a request."""
        return orjson.loads(self.requests[number].split(b"\r\n\r\n", 1)[1])


def test_connections_are_kept_for_the_next_call() -> None:
    peer = Peer(http(200, b"a"), http(200, b"b"))
    assert [peer.get(), peer.get()] == [Reply(200, b"a"), Reply(200, b"b")]
    assert peer.connections == 1


def test_a_connection_that_nobody_takes_means_that_nothing_was_sent() -> None:
    peer = Peer(b"")
    unused = Address("127.0.0.1:1")
    call = peer.http.call(unused, "GET", "/", peer.deadline)
    found = peer.wait(call)
    assert isinstance(found, CallError)
    assert found.kind is CallErrorKind.NOT_SENT


@pytest.mark.parametrize(
    "reply",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b"this is not HTTP\r\n\r\n"],
)
def test_a_broken_answer_is_no_answer(reply: bytes) -> None:
    found = Peer(reply, closes=True).get()
    assert isinstance(found, CallError)
    assert found.kind is CallErrorKind.NO_REPLY


def test_a_silent_peer_is_given_up_at_the_deadline() -> None:
    peer = Peer(b"")
    found = peer.get()
    assert found == CallError(CallErrorKind.NO_REPLY, "deadline passed")


def test_an_append_names_its_conditions_and_packs_its_records() -> None:
    peer = Peer(http(200, b'{"offset":840,"end":842}'))
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
        (http(412, b'{"end":9}'), OffsetMismatch(Offset(9))),
        (http(409, b'{"reason":"fenced"}'), Fenced()),
        (http(409, b'{"reason":"seq","sequence":5}'), OutOfSequence(5)),
        (http(503, b""), StoreError(StoreErrorKind.NOT_APPLIED, "status 503")),
        (b"", StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "deadline passed")),
    ],
)
def test_answers_to_an_append(reply: bytes, expected: object) -> None:
    peer = Peer(reply)
    call = peer.store.append(JOBS, [KeyedRecord("a", b"x")], peer.deadline)
    assert peer.wait(call) == expected


def test_records_are_read_with_their_offsets() -> None:
    body = struct.pack(">QQ", 12, 3) + b"\x00\x00\x00\x04\x01axy\x00\x00\x00\x02\x01b"
    peer = Peer(http(200, body))
    found = peer.wait(peer.store.read(JOBS, Offset(10), 500, peer.deadline))
    rows = [KeyedRecord("a", b"xy", Offset(10)), KeyedRecord("b", b"", Offset(11))]
    assert found == RecordsPage(rows, Offset(12), Offset(12))
    assert b"from=10&waitMs=500" in peer.requests[0]


def test_records_that_are_gone_are_told() -> None:
    peer = Peer(http(410, b'{"first":7}'))
    found = peer.wait(peer.store.read(JOBS, Offset(1), 0, peer.deadline))
    assert found == Trimmed(Offset(7))


def test_the_newest_records_come_in_pages() -> None:
    value = base64.b64encode(b"xy").decode()
    page = {"items": [{"key": "a", "value": value, "offset": 4}], "more": True}
    peer = Peer(http(200, orjson.dumps({**page, "end": 6})))
    found = peer.wait(peer.store.read_latest(JOBS, "0", peer.deadline))
    assert found == LatestRecordsPage(
        [KeyedRecord("a", b"xy", Offset(4))], True, Offset(6)
    )
    assert b"after=0" in peer.requests[0]


def start_order() -> StartOrder:
    return StartOrder(LIFE, TASK, 2, "text", 486_000, "0000", "t1")


def test_a_start_is_written_as_the_worker_reads_it() -> None:
    peer = Peer(http(200, b'{"clockMs":1}'))
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call) is OrderResult.DONE
    assert peer.json_of() == {
        "task": "5c0e7a21d94b36f8.0.1.17",
        "run": 2,
        "spec": "text",
        "untilMs": 486_000,
        "fencingToken": 7,
        "checkpoint": "0000",
        "ticket": "t1",
    }
    assert b"Expect-Instance: i-1\r\n" in peer.requests[0]


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (http(409, b'{"reason":"fence"}'), OrderResult.FENCED),
        (http(409, b'{"reason":"old"}'), OrderResult.STALE_RUN),
        (http(409, b'{"reason":"late"}'), OrderResult.LATE),
        (http(409, b'{"reason":"room"}'), OrderResult.NO_CAPACITY),
        (http(409, b'{"reason":"ticket"}'), OrderResult.BAD_TICKET),
        (http(409, b"{}"), OrderResult.UNKNOWN),
        (http(400, b""), OrderResult.MALFORMED),
        (http(421, b""), OrderResult.OTHER_INCARNATION),
        (http(503, b""), OrderResult.UNHEALTHY),
        (b"", OrderResult.UNKNOWN),
    ],
)
def test_answers_to_a_start(reply: bytes, expected: OrderResult) -> None:
    peer = Peer(reply)
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call) is expected


def test_a_look_reads_runs_and_ends() -> None:
    body = (
        b'{"clockMs":5,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,30]],'
        b'"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
    )
    peer = Peer(http(200, body))
    order = PollRequest(Epoch(7), 57, 486_000, 1_000)
    call = WorkerCalls(peer.http).poll(peer.address, LIFE, order, peer.deadline)
    found = peer.wait(call)
    assert isinstance(found, WorkerReport)
    assert (found.born_unix_ms, found.clock_ms) == (9, 5)
    assert found.running[0].task == TASK
    assert (found.running[0].checkpoint, found.running[0].percent) == ("cp", 41)
    assert (found.ended[0].number, found.ended[0].outcome) == (58, RunEnd.DONE)
    assert peer.json_of() == {
        "fencingToken": 7,
        "ackCursor": 57,
        "untilMs": 486_000,
        "waitMs": 1_000,
    }


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (http(409, b'{"reason":"fence"}'), PollFailure.FENCED),
        (http(421, b""), PollFailure.OTHER_INCARNATION),
        (http(503, b""), PollFailure.UNHEALTHY),
        (http(200, b'{"clockMs":"soon"}'), PollFailure.UNHEALTHY),
        (http(200, b"not JSON"), PollFailure.UNHEALTHY),
        (http(200, b'{"clockMs":1,"running":[["x",1]]}'), PollFailure.UNHEALTHY),
        (b"", PollFailure.NO_ANSWER),
    ],
)
def test_looks_without_a_report(reply: bytes, expected: PollFailure) -> None:
    peer = Peer(reply)
    order = PollRequest(Epoch(7), 0, None, 0)
    call = WorkerCalls(peer.http).poll(peer.address, LIFE, order, peer.deadline)
    assert peer.wait(call) is expected


@pytest.mark.parametrize(
    ("reply", "tickets"),
    [
        (http(200, b'{"good":[["i-1","t"]],"validityMs":2000}'), ["t"]),
        (http(200, b'{"good":[],"validityMs":2000}'), []),
        (http(429, b""), None),
        (http(200, b"{}"), None),
    ],
)
def test_answers_of_the_policy_service(reply: bytes, tickets: list[str] | None) -> None:
    peer = Peer(reply)
    step = StepKey(TASK.job_id, 0, 1)
    service = AdviceClient(peer.http, peer.address)
    found = peer.wait(service.ask(step, [LIFE.worker_id], peer.deadline))
    told = [row.ticket for row in found.permissions] if found is not None else None
    assert told == tickets
    assert peer.json_of() == {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1"]}


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"not JSON"])
def test_answers_of_the_store_that_make_no_sense_are_errors(body: bytes) -> None:
    peer = Peer(http(200, body))
    rows = [KeyedRecord("a", b"x")]
    found = [
        peer.wait(peer.store.append(JOBS, rows, peer.deadline)),
        peer.wait(peer.store.read(JOBS, Offset(0), 0, peer.deadline)),
        peer.wait(peer.store.read_latest(JOBS, "", peer.deadline)),
    ]
    assert [type(error) for error in found] == [StoreError] * 3
    assert {error.kind for error in found} == {StoreErrorKind.OUTCOME_UNKNOWN}
