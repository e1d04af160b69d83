"""The operators' calls of the HTTP interface: configuration, status and drain."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from tamarackmount.checks import check_path
from tamarackmount.daemon.http_request import key_hash
from tamarackmount.daemon.http_responses import (
    outcome_text,
    write_error,
    write_json,
    write_json_text,
)
from tamarackmount.daemon.status_view import StatusView
from tamarackmount.fleet_checks import check_new_document
from tamarackmount.ids import ConfigPath, KeyHash, Offset
from tamarackmount.internal.bounded_request import BoundedRequest, body_of, header
from tamarackmount.kernel.effects import ChangeOutcome, FinishChange
from tamarackmount.kernel.fleet_config import FleetConfig
from tamarackmount.kernel.messages import Outcome
from tamarackmount.plugins.queue_policies import queue_policies
from tamarackmount.problems import Problem

LOG_RETRY_MS = 2_000
"""Retry time after a change that the log refused or didn't confirm, in milliseconds."""


class OperatorAccess(Protocol):
    """Operations of the daemon that operators' calls need."""

    def config(self) -> FleetConfig:
        """Return the configuration."""

    def change(self, path: ConfigPath, expected: Offset, text: str) -> int:
        """Start a change; return the call id that its outcome will carry."""

    def status(self) -> StatusView:
        """Return the state of the fleet as known to this member."""

    def drain(self) -> None:
        """Start a planned stop."""


@dataclass(frozen=True, slots=True)
class _ChangeError:
    status: int
    error: str
    message: str
    outcome: Outcome


_CHANGE_ERRORS = {
    ChangeOutcome.CONFLICT: _ChangeError(
        409,
        "conflict",
        "the document has a different version: read it and try again",
        Outcome.NOT_RUN,
    ),
    ChangeOutcome.NOT_CHANGED: _ChangeError(
        503,
        "log_down",
        "the log did not accept the change; nothing was changed",
        Outcome.NOT_RUN,
    ),
    ChangeOutcome.UNKNOWN: _ChangeError(
        503,
        "unknown",
        "the change may have taken effect: read the document to check",
        Outcome.UNKNOWN,
    ),
}


class OperatorCalls:
    """Serves the operators' part of the HTTP interface."""

    def __init__(self, keys: list[KeyHash], access: OperatorAccess) -> None:
        """Allow calls with one of ``keys``, which are hashed."""
        self._keys = frozenset(keys)
        self._access = access
        self._changes_by_call: dict[int, BoundedRequest] = {}
        self._config_methods: dict[
            bytes, Callable[[BoundedRequest, ConfigPath], None]
        ] = {
            b"GET": self._read_document,
            b"PUT": self._put_document,
            b"DELETE": self._delete_document,
        }

    def serve_config(self, request: BoundedRequest, parts: list[str]) -> None:
        """Serve ``/v1/config`` and ``/v1/config/{path}``."""
        if not self._is_allowed(request):
            return
        serve = self._config_methods.get(request.method)
        if serve is None:
            _refuse_method(request)
            return
        if parts:
            serve(request, ConfigPath("/".join(parts)))
        elif request.method == b"GET":
            self._list_documents(request)
        else:
            write_error(
                request, 400, "bad_request", "the path of the document is missing"
            )

    def serve_history(self, request: BoundedRequest, parts: list[str]) -> None:
        """Serve ``/v1/history/{path}``."""
        if not self._is_allowed(request):
            return
        history = self._access.config().history(ConfigPath("/".join(parts)))
        versions = [{"version": doc.version, "text": doc.text} for doc in history]
        write_json(request, 200, {"versions": versions})

    def serve_status(self, request: BoundedRequest, _parts: list[str]) -> None:
        """Serve ``/v1/status``."""
        if self._is_allowed(request):
            write_json_text(request, 200, self._access.status().model_dump_json())

    def serve_drain(self, request: BoundedRequest, _parts: list[str]) -> None:
        """Serve ``/v1/drain``."""
        if not self._is_allowed(request):
            return
        if request.method != b"POST":
            _refuse_method(request)
            return
        self._access.drain()
        write_json(request, 202, {"state": "draining"})

    def finish(self, effect: FinishChange) -> None:
        """Write the response to a change, unless the operator has disconnected."""
        request = self._changes_by_call.pop(effect.call_id, None)
        if request is None or request.finished or request.channel is None:
            return
        if effect.outcome is ChangeOutcome.ACCEPTED:
            write_json(request, 200, {"version": effect.version})
            return
        change_error = _CHANGE_ERRORS[effect.outcome]
        content = {
            "error": change_error.error,
            "message": change_error.message,
            "outcome": outcome_text(change_error.outcome),
            "version": effect.version,
            "retry_after_ms": LOG_RETRY_MS if change_error.status == 503 else 0,
        }
        write_json(request, change_error.status, content)

    def _is_allowed(self, request: BoundedRequest) -> bool:
        key = key_hash(request)
        if key is not None and key in self._keys:
            return True
        write_error(
            request, 401, "bad_key", "the key is missing or is not an operator's key"
        )
        return False

    def _list_documents(self, request: BoundedRequest) -> None:
        config = self._access.config()
        documents = [asdict(document) for document in config.documents().values()]
        write_json(request, 200, {"offset": config.applied, "documents": documents})

    def _read_document(self, request: BoundedRequest, path: ConfigPath) -> None:
        document = self._access.config().document(path)
        if document is None:
            write_error(request, 404, "unknown_document", f"no document at {path}")
            return
        write_json(request, 200, asdict(document))

    def _put_document(self, request: BoundedRequest, path: ConfigPath) -> None:
        text = _decode(body_of(request))
        if isinstance(text, Failure):
            write_error(request, 400, "bad_request", text.failure())
            return
        checked = check_new_document(path, text.unwrap(), queue_policies.names())
        if isinstance(checked, Failure):
            _write_problems(request, checked.failure())
            return
        self._change(request, path, text.unwrap())

    def _delete_document(self, request: BoundedRequest, path: ConfigPath) -> None:
        checked = check_path(path)
        if isinstance(checked, Failure):
            _write_problems(request, checked.failure())
            return
        self._change(request, path, "")

    def _change(self, request: BoundedRequest, path: ConfigPath, text: str) -> None:
        version = header(request, "if-match").strip('"')
        if not (version.isascii() and version.isdigit()):
            message = "If-Match: expected the document's version, or 0 for a new one"
            write_error(request, 400, "bad_request", message)
            return
        call_id = self._access.change(path, Offset(int(version)), text)
        self._changes_by_call[call_id] = request
        request.notifyFinish().addErrback(self._operator_disconnected, call_id)

    def _operator_disconnected(self, _failure: object, call_id: int) -> None:
        self._changes_by_call.pop(call_id, None)


def _decode(body: bytes) -> Result[str, str]:
    try:
        return Success(body.decode("utf-8"))
    except UnicodeDecodeError:
        return Failure("the request body is not UTF-8")


def _write_problems(request: BoundedRequest, problems: list[Problem]) -> None:
    content = {
        "error": "bad_document",
        "message": "the document has errors; nothing was changed",
        "outcome": outcome_text(Outcome.NOT_RUN),
        "retry_after_ms": 0,
        "problems": [asdict(problem) for problem in problems],
    }
    write_json(request, 400, content)


def _refuse_method(request: BoundedRequest) -> None:
    method = request.method.decode("ascii", "replace")
    write_error(request, 405, "bad_method", f"{method} is not allowed on this path")
