"""Client of the platform's workers.

Assumptions:

- A worker remembers the highest epoch that it has seen, for as long as it runs
  tasks, and refuses lower ones without effect.
- A command whose response is lost may still take effect, until the worker sees a
  higher epoch or the caller's connection is known to be closed.
- A worker stops an attempt when its lease ends by the worker's own clock, also while
  no other machine can reach the worker. The lease counts from the arrival of the
  command, and the clock runs at the same rate as the caller's, up to the clock margin.
- Each renewal replaces the lease; it may also shorten it.
- An ended attempt stays in the reports until the worker is told to forget it. A
  worker that has restarted knows no attempts and runs none.
- The token of a checkpoint is valid on every worker.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Result
from twisted.internet.defer import Deferred

from tamarackmount.adapters.http import HttpError, HttpFault, JsonHttpClient
from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.adapters.worker_schema import (
    CommandReply,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    ThrottleCommand,
    WorkerReport,
)
from tamarackmount.ids import Epoch

STATUS_CONFLICT = 409
"""HTTP status with which a worker refuses a stale epoch."""


class WorkerFault(Enum):
    """How a command failed.

    With ``UNREACHABLE`` and ``REFUSED`` the command had no effect; with
    ``OUTCOME_UNKNOWN`` it may have taken effect or may do so later.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class WorkerError:
    """A failed command; stale epochs have :class:`StaleEpochError`."""

    fault: WorkerFault
    detail: str


@dataclass(frozen=True, slots=True)
class StaleEpochError:
    """The worker has seen a higher epoch; the command had no effect."""

    highest: Epoch


WorkerCallError = WorkerError | StaleEpochError
"""Any error of a command."""

T = TypeVar("T", bound=BaseModel)


class WorkerClient:
    """Sends commands to workers."""

    def __init__(self, reactor: ClientReactor, call_timeout_s: float = 2.0) -> None:
        """Wait at most ``call_timeout_s`` for each response."""
        self._http = JsonHttpClient(reactor, call_timeout_s)

    def sync(
        self, host: str, port: int, command: SyncCommand
    ) -> "Deferred[Result[WorkerReport, WorkerCallError]]":
        """Claim the worker, renew leases and return its report."""
        return self._call(host, port, "sync", command, WorkerReport)

    def start(
        self, host: str, port: int, command: StartCommand
    ) -> "Deferred[Result[CommandReply, WorkerCallError]]":
        """Start an attempt."""
        return self._call(host, port, "start", command, CommandReply)

    def stop(
        self, host: str, port: int, command: TaskCommand
    ) -> "Deferred[Result[CommandReply, WorkerCallError]]":
        """Stop an attempt."""
        return self._call(host, port, "stop", command, CommandReply)

    def checkpoint(
        self, host: str, port: int, command: TaskCommand
    ) -> "Deferred[Result[CommandReply, WorkerCallError]]":
        """Take a checkpoint of an attempt."""
        return self._call(host, port, "checkpoint", command, CommandReply)

    def throttle(
        self, host: str, port: int, command: ThrottleCommand
    ) -> "Deferred[Result[CommandReply, WorkerCallError]]":
        """Limit the CPU of an attempt."""
        return self._call(host, port, "throttle", command, CommandReply)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._http.close()

    def _call(
        self,
        host: str,
        port: int,
        path: str,
        command: BaseModel,
        response_type: type[T],
    ) -> "Deferred[Result[T, WorkerCallError]]":
        url = f"http://{url_host(host)}:{port}/{path}"
        called = self._http.post(url, command, response_type)
        return called.addCallback(lambda result: result.alt(_to_call_error))


def url_host(host: str) -> str:
    """Return an IP address as written in a URL, IPv6 in brackets."""
    return f"[{host}]" if ":" in host else host


_FAULT_BY_HTTP_FAULT = {
    HttpFault.UNREACHABLE: WorkerFault.UNREACHABLE,
    HttpFault.REFUSED: WorkerFault.REFUSED,
    HttpFault.NO_RESPONSE: WorkerFault.OUTCOME_UNKNOWN,
    HttpFault.MALFORMED: WorkerFault.OUTCOME_UNKNOWN,
}


def _to_call_error(error: HttpError) -> WorkerCallError:
    if error.fault is HttpFault.REFUSED and error.status == STATUS_CONFLICT:
        return _to_stale_epoch_error(error)
    return WorkerError(_FAULT_BY_HTTP_FAULT[error.fault], error.detail)


def _to_stale_epoch_error(error: HttpError) -> WorkerCallError:
    try:
        stale = StaleEpoch.model_validate_json(error.body)
    except ValidationError:
        return WorkerError(WorkerFault.REFUSED, error.detail)
    return StaleEpochError(stale.highest)
