"""Operators' changes of configuration documents over HTTP."""

import io
import json
from typing import Any

import pytest
from twisted.web.test.requesthelper import DummyChannel

from tamarackmount.daemon.operator_calls import OperatorCalls
from tamarackmount.daemon.status_view import StatusView
from tamarackmount.ids import ConfigPath, KeyHash, Offset
from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.keys import hash_key
from tamarackmount.kernel.effects import ChangeOutcome, FinishChange
from tamarackmount.kernel.fleet_config import FleetConfig

KEY = "an-operator"

QUEUE = 'service = "counter-service"\npolicy = "{policy}"\n'


class Access:
    """Operator access that records the requested changes."""

    def __init__(self) -> None:
        """Start without changes."""
        self.changes: list[tuple[ConfigPath, Offset, str]] = []

    def config(self) -> FleetConfig:
        return FleetConfig()

    def change(self, path: ConfigPath, expected: Offset, text: str) -> int:
        self.changes.append((path, expected, text))
        return len(self.changes)

    def status(self) -> StatusView:
        raise AssertionError("unexpected call")

    def drain(self) -> None:
        raise AssertionError("unexpected call")


def build_calls(access: Access) -> OperatorCalls:
    return OperatorCalls([KeyHash(hash_key(KEY))], access)


def send(
    calls: OperatorCalls, method: bytes, body: str = ""
) -> tuple[BoundedRequest, DummyChannel]:
    channel = DummyChannel()  # type: ignore[no-untyped-call]
    request = BoundedRequest(channel, False)  # type: ignore[no-untyped-call]
    request.method = method
    request.content = io.BytesIO(body.encode())
    request.requestHeaders.addRawHeader("authorization", f"Bearer {KEY}")
    request.requestHeaders.addRawHeader("if-match", "0")
    calls.serve_config(request, ["queues", "counter"])
    return request, channel


def response_of(request: BoundedRequest, channel: DummyChannel) -> tuple[int, Any]:
    written = channel.transport.written.getvalue()
    return request.code, json.loads(written.partition(b"\r\n\r\n")[2])


def test_queue_document_with_known_policy_is_accepted() -> None:
    access = Access()
    text = QUEUE.format(policy="share-fairness")
    send(build_calls(access), b"PUT", text)
    assert access.changes == [(ConfigPath("queues/counter"), Offset(0), text)]


def test_queue_document_with_unknown_policy_is_refused() -> None:
    access = Access()
    text = QUEUE.format(policy="no-such-policy")
    status, content = response_of(*send(build_calls(access), b"PUT", text))
    assert access.changes == []
    assert (status, content["error"]) == (400, "bad_document")
    (problem,) = content["problems"]
    assert set(problem) == {"source", "line", "field", "message"}
    assert (problem["line"], problem["field"]) == (2, "policy")


def test_outcome_of_a_refused_document_is_not_run() -> None:
    _, content = response_of(*send(build_calls(Access()), b"PUT", "nonsense"))
    assert (content["outcome"], content["retry_after_ms"]) == ("not-run", 0)


def test_missing_document_is_not_found() -> None:
    status, content = response_of(*send(build_calls(Access()), b"GET"))
    assert (status, content["error"]) == (404, "unknown_document")


@pytest.mark.parametrize(
    ("change", "status", "error", "outcome"),
    [
        (ChangeOutcome.CONFLICT, 409, "conflict", "not-run"),
        (ChangeOutcome.NOT_CHANGED, 503, "log_down", "not-run"),
        (ChangeOutcome.UNKNOWN, 503, "unknown", "unknown"),
    ],
)
def test_response_to_a_failed_change(
    change: ChangeOutcome, status: int, error: str, outcome: str
) -> None:
    calls = build_calls(Access())
    sent = send(calls, b"DELETE")
    calls.finish(FinishChange(1, change, Offset(7)))
    code, content = response_of(*sent)
    assert (code, content["error"]) == (status, error)
    assert (content["outcome"], content["version"]) == (outcome, 7)
