"""Requests to queues over HTTP: admission, refusals and responses."""

import json
from collections.abc import Mapping

import pytest

from tamarackmount.adapters.http_exchange import Answer, HttpExchanger
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.daemon.http_api import Admission, ApiResource, HttpSink
from tamarackmount.daemon.http_responses import FinalResponse, refusal_response
from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.daemon.request_calls import RequestContent
from tamarackmount.ids import Instant, KeyHash, QueueName, UpstreamId, WorkspaceId
from tamarackmount.internal.bounded_request import MAX_BODY_BYTES, BoundedRequest
from tamarackmount.internal.keys import hash_key
from tamarackmount.kernel.messages import HttpHeader, Outcome, RefusalReason
from tests.utils.memory_network import MemoryNetwork

PORT = 7100
KEY = "a-key"
NO_HEADERS: Mapping[str, str] = {}
RESPONSE = FinalResponse(
    outcome=Outcome.ANSWERED,
    status=201,
    headers=[HttpHeader("X-Stock", "3")],
    body=b"three left",
    served_by=UpstreamId("u1"),
)


class Queues:
    """Queue access that admits one key to one queue and sends a fixed response."""

    def __init__(self, response: FinalResponse) -> None:
        """Respond with ``response`` to every request."""
        self.response = response
        self.contents: list[RequestContent] = []
        self.timeouts_ms: list[int] = []

    def admit(self, queue: QueueName, key: KeyHash | None) -> Admission:
        if queue != "counter":
            return Admission(WorkspaceId(""), RefusalReason.UNKNOWN_QUEUE, 0)
        if key != hash_key(KEY):
            return Admission(WorkspaceId(""), RefusalReason.BAD_KEY, 0)
        return Admission(WorkspaceId("retail"), None, 900)

    def submit_request(
        self, content: RequestContent, timeout_ms: int, sink: HttpSink
    ) -> int:
        self.contents.append(content)
        self.timeouts_ms.append(timeout_ms)
        sink.finish(self.response)
        return 1

    def caller_disconnected(self, call_id: int) -> None:
        raise AssertionError(f"the caller of {call_id} did not disconnect")


class Caller:
    """Sends requests to an ``ApiResource`` over a network in memory."""

    def __init__(self, response: FinalResponse = RESPONSE) -> None:
        """Serve ``response`` to every admitted request."""
        self.queues = Queues(response)
        self._network = MemoryNetwork()
        resource = ApiResource(self.queues, {})
        site = QuietSite(resource, requestFactory=BoundedRequest)  # type: ignore[no-untyped-call]
        self._network.listenTCP(PORT, site)

    def send(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Answer:
        sent = {"Authorization": f"Bearer {KEY}", **headers}
        exchanger = HttpExchanger(self._network, Limits(0, 1.0, 1_000_000))
        exchange = exchanger.send(
            method,
            f"http://127.0.0.1:{PORT}{path}",
            [HttpHeader(name, value) for name, value in sent.items()],
            body,
            Instant(self._network.seconds() + 60),
        )
        return self._network.wait(exchange).unwrap()

    def refusal(
        self, path: str, headers: Mapping[str, str] = NO_HEADERS
    ) -> tuple[int, str]:
        response = self.send(path, headers=headers)
        assert self.queues.contents == []
        return response.status, str(json.loads(response.body)["error"])


def header_of(response: Answer, name: str) -> str:
    values = [h.value for h in response.headers if h.name.lower() == name.lower()]
    return values[0] if values else ""


def test_request_is_forwarded_without_its_key() -> None:
    caller = Caller()
    response = caller.send(
        "/v1/queues/counter/requests/stock/7?lot=2",
        "POST",
        b"body",
        {"Request-Id": "order-1", "Timeout-Ms": "250", "X-Colour": "red"},
    )
    (content,) = caller.queues.contents
    assert (content.path, content.method) == ("/stock/7?lot=2", "POST")
    assert (content.request_id, content.team_id) == ("order-1", "retail")
    assert content.body == b"body"
    assert not content.idempotent
    assert caller.queues.timeouts_ms == [250]
    names = {header.name.lower() for header in content.headers}
    assert "x-colour" in names
    assert names.isdisjoint({"authorization", "timeout-ms", "request-id", "host"})
    assert (response.status, response.body) == (201, b"three left")
    assert header_of(response, "Outcome") == "answered"
    assert header_of(response, "Served-By") == "u1"
    assert header_of(response, "X-Stock") == "3"


def test_defaults_of_request_id_timeout_and_idempotence() -> None:
    caller = Caller()
    caller.send("/v1/queues/counter/requests")
    caller.send(
        "/v1/queues/counter/requests", "DELETE", headers={"Idempotent": "false"}
    )
    first, second = caller.queues.contents
    assert first.request_id != second.request_id
    assert (first.idempotent, second.idempotent) == (True, False)
    assert (first.path, caller.queues.timeouts_ms[0]) == ("/", 900)


@pytest.mark.parametrize(
    "headers",
    [
        {"Request-Id": "has space"},
        {"Request-Id": "x" * 129},
        {"Idempotent": "perhaps"},
        {"Timeout-Ms": "0"},
        {"Timeout-Ms": "600001"},
        {"Timeout-Ms": "1.5"},
    ],
)
def test_error_names_the_malformed_header(headers: dict[str, str]) -> None:
    caller = Caller()
    response = caller.send("/v1/queues/counter/requests", headers=headers)
    assert response.status == 400
    (name,) = headers
    assert name in json.loads(response.body)["message"]
    assert header_of(response, "Outcome") == "not-run"
    assert caller.queues.contents == []


def test_status_and_error_code_of_refusals() -> None:
    path = "/v1/queues/counter/requests"
    assert Caller().refusal(path, {"Authorization": "Bearer other"}) == (401, "bad_key")
    assert Caller().refusal(path, {"Authorization": "Basic x"}) == (401, "bad_key")
    assert Caller().refusal("/v1/queues/nowhere/requests") == (404, "unknown_queue")
    assert Caller().refusal("/v1/queues/counter") == (404, "unknown_path")
    assert Caller().refusal("/elsewhere") == (404, "unknown_path")


def test_body_over_the_size_limit_is_refused() -> None:
    caller = Caller()
    path = "/v1/queues/counter/requests"
    assert caller.send(path, "POST", b"x" * MAX_BODY_BYTES).status == 201
    response = caller.send(path, "POST", b"x" * (MAX_BODY_BYTES + 1))
    assert (response.status, json.loads(response.body)["error"]) == (413, "too_large")
    assert len(caller.queues.contents) == 1


def test_refusal_has_retry_after_headers() -> None:
    refusal = refusal_response(RefusalReason.LINE_FULL, Outcome.NOT_RUN, 1_250)
    response = Caller(refusal).send("/v1/queues/counter/requests")
    assert response.status == 429
    assert header_of(response, "Retry-After") == "2"
    assert header_of(response, "Retry-After-Ms") == "1250"
    assert json.loads(response.body)["retry_after_ms"] == 1_250
