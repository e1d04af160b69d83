"""Client of the upstreams: errors, headers, time-outs and no retries."""

import hashlib
import json
from typing import Any

import pytest

from tamarackmount.adapters.upstreams import UpstreamClient, end_to_end_headers
from tamarackmount.ids import Instant
from tamarackmount.kernel.messages import AttemptResult, HttpHeader
from tests.utils.build_platform_messages import an_upstream_request
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import Served, serve_upstream

BEFORE = AttemptResult.FAILED_BEFORE_SEND
AFTER = AttemptResult.FAILED_AFTER_SEND


class Rig:
    """An upstream, its client and the network between them."""

    def __init__(self, idle_per_upstream: int = 1) -> None:
        """Serve an upstream and make a client."""
        self.network = MemoryNetwork()
        self.upstream: Served = serve_upstream(self.network)
        self.client = UpstreamClient(self.network, idle_per_upstream)

    def send(self, **fields: Any) -> Any:
        request = an_upstream_request(self.upstream.port, **fields)
        return self.network.wait(self.client.send(request))

    def set_mode(self, mode: str) -> None:
        self.upstream.logic.set_faults_json(json.dumps({"mode": mode}).encode())

    def state(self) -> dict[str, Any]:
        state: dict[str, Any] = self.upstream.logic.state()
        return state


def test_a_response_is_complete_and_has_its_end_to_end_headers() -> None:
    rig = Rig()
    response = rig.send(path="/cards?answer_bytes=300000").unwrap()
    shown = json.loads(response.body)
    assert (response.status, len(response.body)) == (200, 300_000)
    assert shown["method"] == "POST"
    assert shown["path"] == "/cards?answer_bytes=300000"
    assert shown["body_sha256"] == hashlib.sha256(b"two books").hexdigest()
    names = {header.name.lower() for header in response.headers}
    assert {"upstream", "request-id", "content-type"} <= names
    assert names.isdisjoint({"transfer-encoding", "connection"})


def test_a_chunked_response_is_complete() -> None:
    rig = Rig()
    response = rig.send(path="/?answer_coding=chunked&answer_bytes=70000").unwrap()
    assert len(response.body) == 70_000


def test_the_upstream_gets_replaced_headers_and_no_api_key() -> None:
    rig = Rig()
    headers = [
        HttpHeader("Authorization", "Bearer secret"),
        HttpHeader("Connection", "close, X-Hop"),
        HttpHeader("X-Hop", "1"),
        HttpHeader("Request-Id", "forged"),
        HttpHeader("Deadline-Ms", "99999999"),
        HttpHeader("Accept-Language", "ja"),
    ]
    response = rig.send(headers=headers, deadline=Instant(2.5), traceparent="00-a-b-01")
    seen = json.loads(response.unwrap().body)["headers"]
    assert seen["request-id"] == "q1"
    assert seen["idempotent"] == "false"
    assert seen["deadline-ms"] == "2500"
    assert seen["traceparent"] == "00-a-b-01"
    assert seen["accept-language"] == "ja"
    assert {"authorization", "x-hop", "connection"}.isdisjoint(seen)
    assert rig.upstream.logic.breach_log.breaches == []


@pytest.mark.parametrize(
    ("path", "seen"),
    [("", "/"), ("?a=1", "/?a=1"), ("@127.0.0.1:1/", "/@127.0.0.1:1/"), ("//a", "//a")],
)
def test_the_path_never_changes_the_address(path: str, seen: str) -> None:
    response = Rig().send(path=path).unwrap()
    assert json.loads(response.body)["path"] == seen


def test_a_response_to_head_is_complete_without_a_body() -> None:
    rig = Rig()
    for _ in range(2):
        response = rig.send(method="HEAD", body=b"").unwrap()
        assert (response.status, response.body) == (200, b"")
    assert rig.network.connects == 1


def test_an_error_status_of_an_upstream_is_a_response() -> None:
    rig = Rig()
    rig.set_mode("fail_500")
    assert rig.send().unwrap().status == 500


@pytest.mark.parametrize(
    ("mode", "result", "executions"),
    [
        ("refuse_connections", BEFORE, 0),
        ("cut_after_request", AFTER, 1),
        ("cut_in_answer", AFTER, 1),
        ("garbage", AFTER, 1),
        ("hang", AFTER, 1),
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_failure_tells_whether_a_byte_may_have_been_sent(
    mode: str, result: AttemptResult, executions: int, method: str
) -> None:
    rig = Rig()
    rig.set_mode(mode)
    assert rig.send(method=method).failure().result is result
    assert rig.state()["executions"] == executions


def test_a_request_on_a_reused_connection_is_not_retried() -> None:
    rig = Rig()
    rig.send(method="GET").unwrap()
    rig.set_mode("cut_after_request")
    assert rig.send(method="GET").failure().result is AFTER
    assert rig.state()["executions"] == 2


def test_a_response_to_another_request_is_a_failure() -> None:
    rig = Rig()
    rig.send(request_id="q1").unwrap()
    rig.set_mode("cross_answers")
    assert rig.send(request_id="q2").failure().result is AFTER


def test_the_deadline_closes_the_connection_and_frees_the_slot() -> None:
    rig = Rig()
    error = rig.send(path="/?work_ms=9000", deadline=Instant(0.5)).failure()
    assert error.result is AFTER
    assert rig.network.seconds() == 0.5
    rig.network.settle()
    assert (rig.state()["connections"], rig.state()["running"]) == (0, 0)


def test_a_request_past_its_deadline_is_not_sent() -> None:
    rig = Rig()
    assert rig.send(deadline=Instant(0.0)).failure().result is BEFORE
    assert rig.network.connects == 0


def test_cancelling_closes_the_connection() -> None:
    rig = Rig()
    sent = rig.client.send(an_upstream_request(rig.upstream.port, path="/?work_ms=900"))
    rig.network.settle()
    sent.cancel()
    assert rig.network.wait(sent).failure().result is AFTER
    rig.network.settle()
    assert rig.state()["connections"] == 0


def test_responses_over_the_limit_fail_after_sending() -> None:
    rig = Rig()
    rig.client = UpstreamClient(rig.network, 1, max_response_bytes=1_000)
    assert rig.send(path="/?answer_bytes=1001").failure().result is AFTER
    assert rig.send(path="/?answer_bytes=1000").unwrap().status == 200


def test_slots_and_idle_connections_stay_within_the_upstreams_limits() -> None:
    rig = Rig(idle_per_upstream=2)
    for _ in range(3):
        requests = [
            rig.client.send(an_upstream_request(rig.upstream.port)) for _ in range(8)
        ]
        for pending in requests:
            rig.network.wait(pending).unwrap()
    rig.network.settle()
    state = rig.state()
    assert (state["peak_running"], state["connections"]) == (8, 2)
    assert state["peak_connections"] <= 8 + 2
    assert rig.upstream.logic.breach_log.breaches == []


def test_headers_named_by_the_connection_header_are_dropped() -> None:
    headers = [
        HttpHeader("connection", "Keep-Alive, X-One"),
        HttpHeader("CONNECTION", "x-two"),
        HttpHeader("X-One", "1"),
        HttpHeader("x-TWO", "2"),
        HttpHeader("TE", "trailers"),
        HttpHeader("X-Three", "3"),
    ]
    assert end_to_end_headers(headers) == [HttpHeader("X-Three", "3")]
