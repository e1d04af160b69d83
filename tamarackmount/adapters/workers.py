"""Client of the platform's workers.

Assumptions:

- A worker remembers the highest epoch that it has seen, for as long as it runs
  tasks, and refuses lower ones without effect.
- A command whose reply is lost may take effect later, up to the moment at which
  the worker sees a higher epoch or the caller's connection is known to be gone.
- A worker stops an attempt when the lease ends by its own clock, which counts
  from the arrival of the command and runs at the same rate as the caller's, up
  to the clock margin; also while nobody can reach the worker.
- A lease is replaced, not only extended, by each renewal.
- An attempt that ended stays known until it is told to be forgotten; a worker
  that restarted knows no attempts and runs none.
- A checkpoint's token may be used on every worker.
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

CONFLICT = 409
"""Status by which a worker refuses a stale epoch."""


class WorkerFault(Enum):
    """How a command failed.

    ``UNREACHABLE`` and ``REFUSED`` had no effect; with ``OUTCOME_UNKNOWN`` the
    command may have taken effect or still may.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class WorkerError:
    """A command failed."""

    fault: WorkerFault
    detail: str


@dataclass(frozen=True, slots=True)
class StaleEpochError:
    """The worker has seen a higher epoch; the command had no effect."""

    highest: Epoch


WorkerCallError = WorkerError | StaleEpochError
"""Everything that a command may fail with."""

T = TypeVar("T", bound=BaseModel)


class WorkerClient:
    """Sends commands to workers."""

    def __init__(self, reactor: ClientReactor, call_timeout_s: float = 2.0) -> None:
        """Wait at most ``call_timeout_s`` for each reply."""
        self._http = JsonHttpClient(reactor, call_timeout_s)

    def sync(
        self, host: str, port: int, command: SyncCommand
    ) -> "Deferred[Result[WorkerReport, WorkerCallError]]":
        """Claim the worker, renew leases and get its report."""
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
        """Limit an attempt's processors."""
        return self._call(host, port, "throttle", command, CommandReply)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._http.close()

    def _call(
        self, host: str, port: int, path: str, command: BaseModel, reply_type: type[T]
    ) -> "Deferred[Result[T, WorkerCallError]]":
        url = f"http://{url_host(host)}:{port}/{path}"
        called = self._http.post(url, command, reply_type)
        return called.addCallback(lambda result: result.alt(_error))


def url_host(host: str) -> str:
    """Return an IP number as it stands in a URL."""
    return f"[{host}]" if ":" in host else host


_FAULT_BY_HTTP_FAULT = {
    HttpFault.UNREACHABLE: WorkerFault.UNREACHABLE,
    HttpFault.REFUSED: WorkerFault.REFUSED,
    HttpFault.NO_REPLY: WorkerFault.OUTCOME_UNKNOWN,
    HttpFault.MALFORMED: WorkerFault.OUTCOME_UNKNOWN,
}


def _error(error: HttpError) -> WorkerCallError:
    if error.fault is HttpFault.REFUSED and error.status == CONFLICT:
        return _stale_epoch(error)
    return WorkerError(_FAULT_BY_HTTP_FAULT[error.fault], error.detail)


def _stale_epoch(error: HttpError) -> WorkerCallError:
    try:
        stale = StaleEpoch.model_validate_json(error.body)
    except ValidationError:
        return WorkerError(WorkerFault.REFUSED, error.detail)
    return StaleEpochError(stale.highest)
