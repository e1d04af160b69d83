"""Answers to HTTP calls: error objects, and the status of each refusal."""

import json
import math
from dataclasses import dataclass, field
from typing import Any

from twisted.web.http import Request

from tamarackmount.ids import RequestId, UpstreamId
from tamarackmount.internal.metrics_text import TEXT_FORMAT
from tamarackmount.kernel.messages import HttpHeader, Outcome, RefusalReason

_OUTCOME_TEXTS = {
    Outcome.ANSWERED: "answered",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}

OUTCOMES_BY_TEXT = {text: outcome for outcome, text in _OUTCOME_TEXTS.items()}
"""Outcomes by the text that callers see."""


def outcome_text(outcome: Outcome) -> str:
    """Return an outcome as callers see it."""
    return _OUTCOME_TEXTS[outcome]


@dataclass(frozen=True, slots=True)
class Refusal:
    """How a refusal looks to a caller."""

    status: int
    error: str
    message: str


REFUSALS: dict[RefusalReason, Refusal] = {
    RefusalReason.NO_UPSTREAM: Refusal(
        503, "no_upstream", "no upstream of the queue can take the request now"
    ),
    RefusalReason.LINE_FULL: Refusal(429, "line_full", "the queue's line is full"),
    RefusalReason.DEADLINE: Refusal(
        504, "deadline", "the request can't be answered before its deadline"
    ),
    RefusalReason.CEILING: Refusal(
        429, "ceiling", "the team has reached its upper limit"
    ),
    RefusalReason.NO_OWNER: Refusal(
        503, "no_owner", "the data centre has no owner yet"
    ),
    RefusalReason.ALREADY_ATTEMPTED: Refusal(
        409, "already_attempted", "a request with this id was let through before"
    ),
    RefusalReason.NOT_DURABLE: Refusal(
        503, "not_durable", "no second entry VM can remember the request"
    ),
    RefusalReason.DRAINING: Refusal(503, "draining", "this entry VM is stopping"),
    RefusalReason.HOME_UNREACHABLE: Refusal(
        503, "home_unreachable", "the request's home data centre can't be reached"
    ),
    RefusalReason.BAD_KEY: Refusal(
        401, "bad_key", "the key is missing, unknown or revoked"
    ),
    RefusalReason.UNKNOWN_QUEUE: Refusal(404, "unknown_queue", "no such queue"),
    RefusalReason.RETRIES_SPENT: Refusal(
        503, "retries_spent", "the attempts failed and no more are allowed now"
    ),
    RefusalReason.UPSTREAM_FAILED: Refusal(
        502, "upstream_failed", "the upstream gave no whole answer"
    ),
    RefusalReason.CUT_OFF: Refusal(
        503, "cut_off", "the team's key can't be checked while this part is cut off"
    ),
}
"""What callers see of each reason."""


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a request: an upstream's own, or a refusal's."""

    outcome: Outcome
    status: int
    headers: list[HttpHeader] = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    retry_after_ms: int = 0
    served_by: UpstreamId = UpstreamId("")


def refusal_answer(
    reason: RefusalReason, outcome: Outcome, retry_after_ms: int
) -> FinalAnswer:
    """Return the answer that tells a caller of a refusal."""
    refusal = REFUSALS[reason]
    return error_answer(refusal, outcome, retry_after_ms)


def error_answer(
    refusal: Refusal, outcome: Outcome, retry_after_ms: int = 0
) -> FinalAnswer:
    """Return an answer with an error object."""
    content = {
        "error": refusal.error,
        "message": refusal.message,
        "outcome": _OUTCOME_TEXTS[outcome],
        "retry_after_ms": retry_after_ms,
    }
    return FinalAnswer(
        outcome=outcome,
        status=refusal.status,
        headers=[HttpHeader("Content-Type", "application/json")],
        body=json.dumps(content).encode(),
        reason=refusal.error,
        retry_after_ms=retry_after_ms,
    )


def write_answer(request: Request, request_id: RequestId, answer: FinalAnswer) -> None:
    """Write the final answer of a queue's request and end it."""
    request.setResponseCode(answer.status)
    for header in answer.headers:
        request.responseHeaders.addRawHeader(header.name, header.value)
    request.setHeader("Outcome", _OUTCOME_TEXTS[answer.outcome])
    request.setHeader("Request-Id", request_id)
    if answer.served_by:
        request.setHeader("Served-By", answer.served_by)
    set_retry_after(request, answer.retry_after_ms)
    request.setHeader("Content-Length", str(len(answer.body)))
    if request.method != b"HEAD":
        request.write(answer.body)
    request.finish()


def set_retry_after(request: Request, retry_after_ms: int) -> None:
    """Tell the caller when to come back, if there is a time."""
    if retry_after_ms > 0:
        request.setHeader("Retry-After", str(math.ceil(retry_after_ms / 1_000)))
        request.setHeader("Retry-After-Ms", str(retry_after_ms))


def write_json(request: Request, status: int, content: Any) -> None:
    """Write a JSON answer and end the request."""
    write_json_text(request, status, json.dumps(content))


def write_json_text(request: Request, status: int, text: str) -> None:
    """Write an answer that is JSON already and end the request."""
    _write(request, status, "application/json", text.encode())


def write_metrics(request: Request, body: bytes) -> None:
    """Write metrics and end the request."""
    _write(request, 200, TEXT_FORMAT, body)


def _write(request: Request, status: int, content_type: str, body: bytes) -> None:
    request.setResponseCode(status)
    request.setHeader("Content-Type", content_type)
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()


def write_error(
    request: Request, status: int, error: str, message: str, retry_after_ms: int = 0
) -> None:
    """Write an error object of an operator's or job call and end the request."""
    set_retry_after(request, retry_after_ms)
    content = {
        "error": error,
        "message": message,
        "outcome": _OUTCOME_TEXTS[Outcome.NOT_RUN],
        "retry_after_ms": retry_after_ms,
    }
    write_json(request, status, content)
