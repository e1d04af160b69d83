"""Builds error answers to calls about jobs."""

import json

from tamarackmount.kernel.messages import JobAnswer, Outcome

_OUTCOME_TEXTS = {Outcome.NOT_RUN: "not-run", Outcome.UNKNOWN: "unknown"}


def job_error(
    call_id: int,
    status: int,
    error: str,
    message: str,
    outcome: Outcome,
    retry_after_ms: int = 0,
) -> JobAnswer:
    """Return an error answer with the error object of docs/API.md."""
    content = {
        "error": error,
        "message": message,
        "outcome": _OUTCOME_TEXTS[outcome],
        "retry_after_ms": retry_after_ms,
    }
    return JobAnswer(call_id, status, json.dumps(content), retry_after_ms)
