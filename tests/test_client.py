"""The client with real HTTP bytes on in-memory connections."""

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
"""Time that twisted's endpoint takes to try further addresses, in seconds."""

JOB = (
    b'{"id": "dc1:retail:n", "team": "retail", "kind": "batch", "state": "running",'
    b' "durability": "log", "reason": "", "tasks": {"running": 1}, "later": 1}'
)


def failure(error: Exception) -> TwistedFailure:
    return TwistedFailure(error)  # type: ignore[no-untyped-call]


@dataclass
class FakeNetwork:
    """Creates clients, and plays the server at the other end of their connections."""

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


def test_request_is_sent_with_its_headers_and_body() -> None:
    network = FakeNetwork()
    network.client(key="secret", home="dc1").send_request(
        counter_request(
            method="POST",
            path="/stock/paper 80g?lot=7",
            headers=(Header("Accept", "text/plain"),),
            body=b"two",
            idempotent=False,
            timeout_ms=500,
        )
    )
    sent = network.connect().sent()
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


def test_unset_options_are_not_sent() -> None:
    network = FakeNetwork()
    network.client().send_request(counter_request())
    head = network.connect().sent()
    for name in (b"Authorization", b"Idempotent", b"Timeout-Ms"):
        assert name not in head


def test_complete_response_is_returned() -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request(request_id="r-1"))
    connection = network.connect()
    connection.answer(418, b"\x00\xff", "Outcome: answered", "Served-By: counter-3")
    response = result_of(answered).unwrap()
    assert (response.status, response.body) == (418, b"\x00\xff")
    assert (response.request_id, response.served_by) == ("r-1", "counter-3")


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        pytest.param(["Outcome: not-run"], CallOutcome.NOT_RUN, id="not run"),
        pytest.param(["Outcome: unknown"], CallOutcome.UNKNOWN, id="unknown"),
        pytest.param([], CallOutcome.UNKNOWN, id="no outcome header"),
    ],
)
def test_refusal_has_the_outcome_of_its_header(
    headers: Sequence[str], outcome: CallOutcome
) -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request())
    network.connect().answer(
        503, b'{"error": "no_owner", "message": "m", "retry_after_ms": 250}', *headers
    )
    error = error_of(answered)
    assert (error.status, error.error, error.outcome) == (503, "no_owner", outcome)
    assert (error.retry_after_ms, error.request_id) == (250, "token")


def test_success_without_the_outcome_header_is_a_failure() -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request())
    network.connect().answer(200, b"a page of some other server")
    assert error_of(answered).outcome is CallOutcome.UNKNOWN


def test_refused_connection_is_not_run() -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request())
    network.refuse()
    error = error_of(answered)
    assert (error.error, error.outcome) == ("unreachable", CallOutcome.NOT_RUN)


def test_connect_timeout_is_not_run() -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request(timeout_ms=100))
    network.reactor.advance(CONNECT_TIMEOUT_S)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("unreachable", CallOutcome.NOT_RUN)


@pytest.mark.parametrize(
    "received",
    [
        pytest.param(b"", id="no response"),
        pytest.param(b"HTTP/1.1 200 OK\r\nOutcome: answ", id="partial headers"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nOutcome: answered\r\nContent-Length: 9\r\n\r\nhalf",
            id="partial body",
        ),
    ],
)
@pytest.mark.parametrize("cleanly", [True, False])
@pytest.mark.parametrize("persistent", [True, False])
def test_connection_lost_after_sending_is_unknown(
    received: bytes, cleanly: bool, persistent: bool
) -> None:
    network = FakeNetwork(persistent=persistent)
    answered = network.client().send_request(counter_request())
    connection = network.connect()
    connection.receive(received)
    connection.lose(cleanly=cleanly)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("connection_lost", CallOutcome.UNKNOWN)
    assert len(network.reactor.tcpClients) == 1


@pytest.mark.parametrize(
    "received",
    [
        pytest.param(b"", id="no response"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nOutcome: answered\r\nContent-Length: 9\r\n\r\nhalf",
            id="partial body",
        ),
    ],
)
def test_response_timeout_is_unknown(received: bytes) -> None:
    network = FakeNetwork()
    answered = network.client().send_request(counter_request(timeout_ms=1_000))
    connection = network.connect()
    connection.receive(received)
    network.reactor.advance(2.9)
    assert not answered.called or answered.paused
    network.reactor.advance(0.2)
    error = error_of(answered)
    assert (error.error, error.outcome) == ("connection_lost", CallOutcome.UNKNOWN)
    assert error.message == "no response in time"
    assert connection.transport.disconnecting


def test_request_on_a_lost_persistent_connection_is_not_retried() -> None:
    network = FakeNetwork(persistent=True)
    client = network.client()
    first = client.view_job("dc1:retail:n")
    connection = network.connect()
    connection.answer(200, JOB)
    assert isinstance(result_of(first), Success)
    second = client.send_request(counter_request())
    connection.lose(cleanly=True)
    assert error_of(second).outcome is CallOutcome.UNKNOWN
    assert len(network.reactor.tcpClients) == 1


def test_failed_read_is_not_run() -> None:
    network = FakeNetwork()
    read = network.client().view_job("dc1:retail:n")
    network.connect().answer(502, b"<html>")
    error = error_of(read)
    assert (error.error, error.outcome) == ("bad_answer", CallOutcome.NOT_RUN)


def test_unknown_fields_of_a_job_are_kept() -> None:
    network = FakeNetwork()
    read = network.client().view_job("dc1:retail:n")
    connection = network.connect()
    assert connection.sent().startswith(b"GET /v1/jobs/dc1:retail:n HTTP/1.1\r\n")
    connection.answer(200, JOB)
    job = result_of(read).unwrap()
    assert job.state is JobState.RUNNING
    assert job.model_dump(mode="json")["later"] == 1


def test_job_is_submitted_as_json() -> None:
    network = FakeNetwork()
    submitted = network.client().submit_job({"id": "n", "tasks": 2})
    connection = network.connect()
    assert connection.sent().endswith(b'\r\n\r\n{"id": "n", "tasks": 2}')
    connection.answer(201, JOB)
    assert isinstance(result_of(submitted), Success)


def test_invalid_response_to_a_submission_is_unknown() -> None:
    network = FakeNetwork()
    submitted = network.client().submit_job({"id": "n"})
    network.connect().answer(201, b"{}")
    error = error_of(submitted)
    assert (error.error, error.outcome) == ("bad_answer", CallOutcome.UNKNOWN)


def test_configuration_change_carries_the_expected_version() -> None:
    network = FakeNetwork()
    path = ConfigPath("teams/retail")
    changed = network.client(key="op").write_config(path, "share = 1\n", Offset(7))
    connection = network.connect()
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
def test_failed_change_has_the_outcome_of_its_error(
    body: bytes, outcome: CallOutcome
) -> None:
    network = FakeNetwork()
    changed = network.client().delete_config(ConfigPath("teams/retail"), Offset(7))
    network.connect().answer(503, body)
    assert error_of(changed).outcome is outcome
