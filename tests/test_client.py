"""The client on real HTTP bytes, without a network."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.client import Client, QueueRequest
from tamarackmount.client_views import CallError, CallOutcome, JobState
from tamarackmount.http_calls import CONNECT_TIMEOUT_S, Header, make_opener
from tamarackmount.ids import ConfigPath, DataCentreId, Offset, QueueName

ENDPOINT_DELAY_S = 0.5
"""Time in which twisted's endpoint tries further addresses of a host."""

JOB = (
    b'{"id": "dc1:retail:n", "team": "retail", "kind": "batch", "state": "running",'
    b' "durability": "log", "reason": "", "tasks": {"running": 1}, "later": 1}'
)


def failure(error: Exception) -> TwistedFailure:
    return TwistedFailure(error)  # type: ignore[no-untyped-call]


@dataclass
class Wire:
    """A client and the other end of its connections."""

    reactor: Any = field(default_factory=MemoryReactorClock)
    persistent: bool = False

    def client(self, *, key: str = "", home: str = "") -> Client:
        return Client(
            "http://192.0.2.1:8080/",
            make_opener(self.reactor, persistent=self.persistent),
            lambda: "token",
            key=key,
            home=DataCentreId(home) if home else None,
        )

    def connect(self) -> "Connection":
        factory = self.reactor.tcpClients[-1][2]
        transport: Any = StringTransport()  # type: ignore[no-untyped-call]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(transport)
        return Connection(protocol, transport)

    def refuse(self) -> None:
        factory = self.reactor.tcpClients[-1][2]
        refused = RefusedError()  # type: ignore[no-untyped-call]
        factory.clientConnectionFailed(None, failure(refused))
        self.reactor.advance(ENDPOINT_DELAY_S)


@dataclass
class Connection:
    """The other end of one connection."""

    protocol: Any
    transport: Any

    def sent(self) -> bytes:
        return bytes(self.transport.value())

    def answer(self, status: int, body: bytes, *headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
        self.receive("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self, data: bytes) -> None:
        self.protocol.dataReceived(data)

    def lose(self, *, cleanly: bool = False) -> None:
        reason = ConnectionDone() if cleanly else ConnectionLost()
        self.protocol.connectionLost(failure(reason))


def result_of(deferred: Deferred[Any]) -> Any:
    outcomes: list[Any] = []
    deferred.addBoth(outcomes.append)
    assert outcomes, "no result yet"
    if isinstance(outcomes[0], TwistedFailure):
        outcomes[0].raiseException()
    return outcomes[0]


def error_of(deferred: Deferred[Any]) -> CallError:
    result: Result[Any, CallError] = result_of(deferred)
    assert isinstance(result, Failure), result
    error: CallError = result.failure()
    return error


def counter_request(**fields: Any) -> QueueRequest:
    return QueueRequest(queue=QueueName("counter"), **fields)


def test_a_request_is_sent_as_the_interface_wants_it() -> None:
    wire = Wire()
    wire.client(key="secret", home="dc1").send_request(
        counter_request(
            method="POST",
            path="/stock/paper 80g?lot=7",
            headers=(Header("Accept", "text/plain"),),
            body=b"two",
            idempotent=False,
            timeout_ms=500,
        )
    )
    sent = wire.connect().sent()
    head, _, body = sent.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert (
        lines[0] == b"POST /v1/queues/counter/requests/stock/paper%2080g?lot=7 HTTP/1.1"
    )
    assert {
        b"Authorization: Bearer secret",
        b"Request-Id: dc1:token",
        b"Idempotent: false",
        b"Timeout-Ms: 500",
        b"Accept: text/plain",
        b"Content-Length: 3",
    } <= set(lines)
    assert body == b"two"


def test_what_is_left_to_the_queue_is_not_sent() -> None:
    wire = Wire()
    wire.client().send_request(counter_request())
    head = wire.connect().sent()
    for name in (b"Authorization", b"Idempotent", b"Timeout-Ms"):
        assert name not in head


def test_an_answer_comes_back_whole() -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request(request_id="r-1"))
    connection = wire.connect()
    connection.answer(418, b"\x00\xff", "Outcome: answered", "Served-By: counter-3")
    answer = result_of(answered).unwrap()
    assert (answer.status, answer.body) == (418, b"\x00\xff")
    assert (answer.request_id, answer.served_by) == ("r-1", "counter-3")


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        pytest.param(["Outcome: not-run"], CallOutcome.NOT_RUN, id="not run"),
        pytest.param(["Outcome: unknown"], CallOutcome.UNKNOWN, id="unknown"),
        pytest.param([], CallOutcome.UNKNOWN, id="somebody else's answer"),
    ],
)
def test_a_refusal_tells_its_outcome(
    headers: Sequence[str], outcome: CallOutcome
) -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request())
    wire.connect().answer(
        503, b'{"error": "no_owner", "message": "m", "retry_after_ms": 250}', *headers
    )
    error = error_of(answered)
    assert (error.status, error.error, error.outcome) == (503, "no_owner", outcome)
    assert (error.retry_after_ms, error.request_id) == (250, "token")


def test_a_success_without_the_outcome_header_is_not_taken_for_an_answer() -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request())
    wire.connect().answer(200, b"a page of some other server")
    assert error_of(answered).outcome is CallOutcome.UNKNOWN


def test_a_refused_connection_is_not_run() -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request())
    wire.refuse()
    error = error_of(answered)
    assert (error.error, error.outcome) == ("unreachable", CallOutcome.NOT_RUN)


def test_a_connection_that_takes_too_long_is_not_run() -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request(timeout_ms=100))
    wire.reactor.advance(CONNECT_TIMEOUT_S)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("unreachable", CallOutcome.NOT_RUN)


@pytest.mark.parametrize(
    "received",
    [
        pytest.param(b"", id="no answer"),
        pytest.param(b"HTTP/1.1 200 OK\r\nOutcome: answ", id="half a head"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nOutcome: answered\r\nContent-Length: 9\r\n\r\nhalf",
            id="half a body",
        ),
    ],
)
@pytest.mark.parametrize("cleanly", [True, False])
@pytest.mark.parametrize("persistent", [True, False])
def test_a_connection_lost_after_sending_is_unknown(
    received: bytes, cleanly: bool, persistent: bool
) -> None:
    wire = Wire(persistent=persistent)
    answered = wire.client().send_request(counter_request())
    connection = wire.connect()
    connection.receive(received)
    connection.lose(cleanly=cleanly)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("connection_lost", CallOutcome.UNKNOWN)
    assert len(wire.reactor.tcpClients) == 1


@pytest.mark.parametrize(
    "received",
    [
        pytest.param(b"", id="no answer"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nOutcome: answered\r\nContent-Length: 9\r\n\r\nhalf",
            id="half a body",
        ),
    ],
)
def test_an_answer_that_takes_too_long_is_unknown(received: bytes) -> None:
    wire = Wire()
    answered = wire.client().send_request(counter_request(timeout_ms=1_000))
    connection = wire.connect()
    connection.receive(received)
    wire.reactor.advance(2.9)
    assert not answered.called or answered.paused
    wire.reactor.advance(0.2)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("connection_lost", CallOutcome.UNKNOWN)
    assert error.message == "no answer in time"
    assert connection.transport.disconnecting


def test_a_kept_connection_that_is_lost_is_not_replaced_by_another() -> None:
    wire = Wire(persistent=True)
    client = wire.client()
    first = client.view_job("dc1:retail:n")
    connection = wire.connect()
    connection.answer(200, JOB)
    assert isinstance(result_of(first), Success)
    second = client.send_request(counter_request())
    connection.lose(cleanly=True)
    assert error_of(second).outcome is CallOutcome.UNKNOWN
    assert len(wire.reactor.tcpClients) == 1


def test_a_read_that_fails_has_changed_nothing() -> None:
    wire = Wire()
    read = wire.client().view_job("dc1:retail:n")
    wire.connect().answer(502, b"<html>")
    error = error_of(read)
    assert (error.error, error.outcome) == ("bad_answer", CallOutcome.NOT_RUN)


def test_a_job_is_read_with_fields_that_are_not_known_yet() -> None:
    wire = Wire()
    read = wire.client().view_job("dc1:retail:n")
    connection = wire.connect()
    assert connection.sent().startswith(b"GET /v1/jobs/dc1:retail:n HTTP/1.1\r\n")
    connection.answer(200, JOB)
    job = result_of(read).unwrap()
    assert job.state is JobState.RUNNING
    assert job.model_dump(mode="json")["later"] == 1


def test_a_job_is_submitted_as_json() -> None:
    wire = Wire()
    submitted = wire.client().submit_job({"id": "n", "tasks": 2})
    connection = wire.connect()
    assert connection.sent().endswith(b'\r\n\r\n{"id": "n", "tasks": 2}')
    connection.answer(201, JOB)
    assert isinstance(result_of(submitted), Success)


def test_an_answer_that_is_not_understood_has_an_unknown_outcome() -> None:
    wire = Wire()
    submitted = wire.client().submit_job({"id": "n"})
    wire.connect().answer(201, b"{}")
    error = error_of(submitted)
    assert (error.error, error.outcome) == ("bad_answer", CallOutcome.UNKNOWN)


def test_a_change_of_configuration_carries_the_version_that_was_read() -> None:
    wire = Wire()
    path = ConfigPath("teams/retail")
    changed = wire.client(key="op").write_config(path, "share = 1\n", Offset(7))
    connection = wire.connect()
    head, _, body = connection.sent().partition(b"\r\n\r\n")
    assert head.startswith(b"PUT /v1/config/teams/retail HTTP/1.1\r\n")
    assert b"If-Match: 7" in head.split(b"\r\n")
    assert body == b"share = 1\n"
    connection.answer(409, b'{"error": "conflict", "message": "m", "version": 9}')
    error = error_of(changed)
    assert (error.version, error.outcome) == (9, CallOutcome.NOT_RUN)


@pytest.mark.parametrize(
    ("body", "outcome"),
    [
        (b'{"error": "log_down", "outcome": "not-run"}', CallOutcome.NOT_RUN),
        (b'{"error": "log_down", "version": 7}', CallOutcome.NOT_RUN),
        (b'{"error": "unknown", "outcome": "unknown"}', CallOutcome.UNKNOWN),
        (b"<html>", CallOutcome.UNKNOWN),
    ],
)
def test_a_change_that_failed_tells_whether_it_may_have_happened(
    body: bytes, outcome: CallOutcome
) -> None:
    wire = Wire()
    changed = wire.client().delete_config(ConfigPath("teams/retail"), Offset(7))
    wire.connect().answer(503, body)
    assert error_of(changed).outcome is outcome
