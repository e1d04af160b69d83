"""Exit statuses, messages and advice for failed calls."""

from tamarackmount.client_views import CallError, CallOutcome
from tamarackmount.ids import Offset
from tamarackmount.status import ExitStatus

_EXIT_STATUSES_BY_ERROR = {
    "unreachable": ExitStatus.UNREACHABLE,
    "bad_key": ExitStatus.NOT_ALLOWED,
    "bad_request": ExitStatus.INVALID,
    "bad_document": ExitStatus.INVALID,
    "too_large": ExitStatus.INVALID,
    "conflict": ExitStatus.CONFLICT,
    "unknown_queue": ExitStatus.NOT_FOUND,
    "unknown_job": ExitStatus.NOT_FOUND,
}

_EXIT_STATUSES_BY_HTTP_STATUS = {
    400: ExitStatus.INVALID,
    401: ExitStatus.NOT_ALLOWED,
    404: ExitStatus.NOT_FOUND,
    409: ExitStatus.CONFLICT,
}

_ADVICE_BY_ERROR = {
    "unreachable": "Check --url or TAMARACKMOUNT_URL, or use another entry VM.",
    "bad_key": "Set TAMARACKMOUNT_KEY or --key-file to a valid key.",
    "bad_request": "Correct what the message names and send it again.",
    "bad_document": "Correct the document; `tamarackmount config check` helps.",
    "too_large": "Send at most 1 MiB.",
    "unknown_queue": "See the queues with `tamarackmount config list`.",
    "unknown_job": "See your team's jobs with `tamarackmount job list`.",
    "ceiling": "The team is at its ceiling; wait for its running work to end.",
    "log_down": "Nothing was changed. Try again when the log service is back.",
}

_UNKNOWN_OUTCOME_ADVICE = "Find out whether it took effect before you repeat it."


def exit_status_of(error: CallError) -> ExitStatus:
    """Return the exit status for the error of a call."""
    if error.outcome is CallOutcome.UNKNOWN:
        return ExitStatus.UNKNOWN_OUTCOME
    exit_status = _EXIT_STATUSES_BY_ERROR.get(error.error)
    if exit_status is not None:
        return exit_status
    return _EXIT_STATUSES_BY_HTTP_STATUS.get(error.status, ExitStatus.NOT_RUN)


def advice_for(error: CallError) -> str:
    """Return what the user can do next, or an empty string if there is no advice."""
    if error.outcome is CallOutcome.UNKNOWN:
        return _UNKNOWN_OUTCOME_ADVICE
    if error.error == "conflict" and error.version is not None:
        return _conflict_advice(error.version)
    advice = _ADVICE_BY_ERROR.get(error.error, "")
    if error.retry_after_ms:
        return f"{advice} Try again in {error.retry_after_ms} ms.".strip()
    return advice


def _conflict_advice(version: Offset) -> str:
    if not version:
        return "The document doesn't exist now."
    return (
        f"The document is at version {version} now. Read it again, then repeat with "
        f"--if-version {version}."
    )


def describe_error(error: CallError, advice: str) -> str:
    """Return an error as text of one or more lines."""
    outcome = "outcome unknown" if error.outcome is CallOutcome.UNKNOWN else "not run"
    lines = [f"{outcome}: {error.error}: {error.message}"]
    lines += [str(problem) for problem in error.problems]
    if error.request_id:
        lines.append(f"Request id: {error.request_id}")
    if advice:
        lines.append(advice)
    return "\n".join(lines)


def error_object(error: CallError, advice: str) -> dict[str, object]:
    """Return an error as a JSON object."""
    return {
        "error": error.error,
        "message": error.message,
        "outcome": error.outcome.value,
        "status": error.status,
        "request_id": error.request_id,
        "retry_after_ms": error.retry_after_ms,
        "version": error.version,
        "problems": [str(problem) for problem in error.problems],
        "advice": advice,
    }
