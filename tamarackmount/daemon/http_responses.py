"""HTTP responses: error objects, and the status of each refusal reason."""

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
"""Outcomes by the text that is sent to callers."""


def outcome_text(outcome: Outcome) -> str:
    """Return the text of an outcome that is sent to callers."""
    return _OUTCOME_TEXTS[outcome]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status, error code and message of a refused request."""

    status: int
    error: str
    message: str


REFUSALS: dict[RefusalReason, Refusal] = {
    RefusalReason.NO_UPSTREAM: Refusal(
        503, "no_upstream", "no upstream of the queue can take the request now"
    ),
    RefusalReason.LINE_FULL: Refusal(429, "line_full", "the queue is full"),
    RefusalReason.DEADLINE: Refusal(
        504, "deadline", "the request can't be answered before its deadline"
    ),
    RefusalReason.CEILING: Refusal(429, "ceiling", "the team has reached its ceiling"),
    RefusalReason.NO_OWNER: Refusal(
        503, "no_owner", "no owner of the data centre is known at present"
    ),
    RefusalReason.ALREADY_ATTEMPTED: Refusal(
        409, "already_attempted", "a request with this Request-Id was already attempted"
    ),
    RefusalReason.NOT_DURABLE: Refusal(
        503, "not_durable", "the request can't be recorded on a second entry VM"
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
        503, "retries_spent", "all attempts failed and no further retry is allowed now"
    ),
    RefusalReason.UPSTREAM_FAILED: Refusal(
        502, "upstream_failed", "the upstream sent no complete response"
    ),
    RefusalReason.CUT_OFF: Refusal(
        503,
        "cut_off",
        "the key can't be checked: this entry VM reaches neither the log nor a peer "
        "with a newer configuration",
    ),
}
"""Refusals by reason."""


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The response to a caller: an upstream's response or an error."""

    outcome: Outcome
    status: int
    headers: list[HttpHeader] = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    retry_after_ms: int = 0
    served_by: UpstreamId = UpstreamId("")


def refusal_response(
    reason: RefusalReason, outcome: Outcome, retry_after_ms: int
) -> FinalResponse:
    """Return the error response for a refusal reason."""
    refusal = REFUSALS[reason]
    return error_response(refusal, outcome, retry_after_ms)


def error_response(
    refusal: Refusal, outcome: Outcome, retry_after_ms: int = 0
) -> FinalResponse:
    """Return a response with an error object as its body."""
    content = {
        "error": refusal.error,
        "message": refusal.message,
        "outcome": _OUTCOME_TEXTS[outcome],
        "retry_after_ms": retry_after_ms,
    }
    return FinalResponse(
        outcome=outcome,
        status=refusal.status,
        headers=[HttpHeader("Content-Type", "application/json")],
        body=json.dumps(content).encode(),
        reason=refusal.error,
        retry_after_ms=retry_after_ms,
    )


def write_response(
    request: Request, request_id: RequestId, response: FinalResponse
) -> None:
    """Write the response to a queue's request and finish the request."""
    request.setResponseCode(response.status)
    for header in response.headers:
        request.responseHeaders.addRawHeader(header.name, header.value)
    request.setHeader("Outcome", _OUTCOME_TEXTS[response.outcome])
    request.setHeader("Request-Id", request_id)
    if response.served_by:
        request.setHeader("Served-By", response.served_by)
    set_retry_after(request, response.retry_after_ms)
    request.setHeader("Content-Length", str(len(response.body)))
    if request.method != b"HEAD":
        request.write(response.body)
    request.finish()


def set_retry_after(request: Request, retry_after_ms: int) -> None:
    """Set the ``Retry-After`` headers unless the delay is 0."""
    if retry_after_ms > 0:
        request.setHeader("Retry-After", str(math.ceil(retry_after_ms / 1_000)))
        request.setHeader("Retry-After-Ms", str(retry_after_ms))


def write_json(request: Request, status: int, content: Any) -> None:
    """Write a JSON response and finish the request."""
    write_json_text(request, status, json.dumps(content))


def write_json_text(request: Request, status: int, text: str) -> None:
    """Write a response whose body is JSON text and finish the request."""
    _write(request, status, "application/json", text.encode())


def write_metrics(request: Request, body: bytes) -> None:
    """Write metrics and finish the request."""
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
    """Write an error object for an operator's or job call and finish the request."""
    set_retry_after(request, retry_after_ms)
    content = {
        "error": error,
        "message": message,
        "outcome": _OUTCOME_TEXTS[Outcome.NOT_RUN],
        "retry_after_ms": retry_after_ms,
    }
    write_json(request, status, content)
