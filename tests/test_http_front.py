"""Requests to queues over HTTP: what comes in, what is refused, what goes out."""

import json
from collections.abc import Mapping

import pytest

from tamarackmount.adapters.http_exchange import Answer, HttpExchanger
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.daemon.http_answers import FinalAnswer, refusal_answer
from tamarackmount.daemon.http_front import Admission, Front, HttpSink
from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.daemon.request_calls import RequestContent
from tamarackmount.ids import Instant, KeyHash, QueueName, TeamId, UpstreamId
from tamarackmount.internal.bounded_request import MAX_BODY_BYTES, BoundedRequest
from tamarackmount.internal.keys import hash_key
from tamarackmount.kernel.messages import HttpHeader, Outcome, RefusalReason
from tests.utils.memory_network import MemoryNetwork

PORT = 7100
KEY = "a-key"
NO_HEADERS: Mapping[str, str] = {}
ANSWER = FinalAnswer(
    outcome=Outcome.ANSWERED,
    status=201,
    headers=[HttpHeader("X-Stock", "3")],
    body=b"three left",
    served_by=UpstreamId("u1"),
)


class Queues:
    """Admits one key to one queue and gives every request the same answer."""

    def __init__(self, answer: FinalAnswer) -> None:
        """Start without requests."""
        self.answer = answer
        self.contents: list[RequestContent] = []
        self.timeouts_ms: list[int] = []

    def admit(self, queue: QueueName, key: KeyHash | None) -> Admission:
        if queue != "counter":
            return Admission(TeamId(""), RefusalReason.UNKNOWN_QUEUE, 0)
        if key != hash_key(KEY):
            return Admission(TeamId(""), RefusalReason.BAD_KEY, 0)
        return Admission(TeamId("retail"), None, 900)

    def open_request(
        self, content: RequestContent, timeout_ms: int, sink: HttpSink
    ) -> int:
        self.contents.append(content)
        self.timeouts_ms.append(timeout_ms)
        sink.finish(self.answer)
        return 1

    def caller_left(self, call_id: int) -> None:
        raise AssertionError(f"the caller of {call_id} stays")


class Caller:
    """Calls a front in memory."""

    def __init__(self, answer: FinalAnswer = ANSWER) -> None:
        """Serve a front on a network of its own."""
        self.queues = Queues(answer)
        self._network = MemoryNetwork()
        front = Front(self.queues, {})
        site = QuietSite(front, requestFactory=BoundedRequest)  # type: ignore[no-untyped-call]
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

    def refused(
        self, path: str, headers: Mapping[str, str] = NO_HEADERS
    ) -> tuple[int, str]:
        answer = self.send(path, headers=headers)
        assert self.queues.contents == []
        return answer.status, str(json.loads(answer.body)["error"])


def header_of(answer: Answer, name: str) -> str:
    found = [one.value for one in answer.headers if one.name.lower() == name.lower()]
    return found[0] if found else ""


def test_request_reaches_its_queue_without_its_key() -> None:
    caller = Caller()
    answer = caller.send(
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
    assert (answer.status, answer.body) == (201, b"three left")
    assert header_of(answer, "Outcome") == "answered"
    assert header_of(answer, "Served-By") == "u1"
    assert header_of(answer, "X-Stock") == "3"


def test_defaults_are_a_fresh_id_the_queues_timeout_and_the_methods_kind() -> None:
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
def test_malformed_header_is_refused_by_name(headers: dict[str, str]) -> None:
    caller = Caller()
    answer = caller.send("/v1/queues/counter/requests", headers=headers)
    assert answer.status == 400
    (name,) = headers
    assert name in json.loads(answer.body)["message"]
    assert header_of(answer, "Outcome") == "not-run"
    assert caller.queues.contents == []


def test_refusals_have_their_status() -> None:
    path = "/v1/queues/counter/requests"
    assert Caller().refused(path, {"Authorization": "Bearer other"}) == (401, "bad_key")
    assert Caller().refused(path, {"Authorization": "Basic x"}) == (401, "bad_key")
    assert Caller().refused("/v1/queues/nowhere/requests") == (404, "unknown_queue")
    assert Caller().refused("/v1/queues/counter") == (404, "unknown_path")
    assert Caller().refused("/elsewhere") == (404, "unknown_path")


def test_largest_body_comes_in_and_a_larger_one_is_refused() -> None:
    caller = Caller()
    path = "/v1/queues/counter/requests"
    assert caller.send(path, "POST", b"x" * MAX_BODY_BYTES).status == 201
    answer = caller.send(path, "POST", b"x" * (MAX_BODY_BYTES + 1))
    assert (answer.status, json.loads(answer.body)["error"]) == (413, "too_large")
    assert len(caller.queues.contents) == 1


def test_refusal_tells_when_to_come_back() -> None:
    refusal = refusal_answer(RefusalReason.LINE_FULL, Outcome.NOT_RUN, 1_250)
    answer = Caller(refusal).send("/v1/queues/counter/requests")
    assert answer.status == 429
    assert header_of(answer, "Retry-After") == "2"
    assert header_of(answer, "Retry-After-Ms") == "1250"
    assert json.loads(answer.body)["retry_after_ms"] == 1_250
