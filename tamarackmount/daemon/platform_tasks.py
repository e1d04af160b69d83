"""Components that call the platform: the log, the VM list and the workers."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from returns.result import Failure, Result
from twisted.internet.task import LoopingCall

from tamarackmount.adapters.log import LogClient, LogError, LogFault
from tamarackmount.adapters.log_schema import (
    MAX_RECORDS_PER_PAGE,
    NewRecord,
    RecordPage,
)
from tamarackmount.adapters.vm_schema import VmList
from tamarackmount.adapters.vms import VmListClient, VmListError
from tamarackmount.adapters.worker_schema import CommandReply, WorkerReport
from tamarackmount.adapters.workers import StaleEpochError, WorkerClient, WorkerError
from tamarackmount.ids import Instant, Offset
from tamarackmount.kernel.effects import AppendToLog, CallWorker, WorkerAction
from tamarackmount.kernel.log_writer import AppendResult

_log = logging.getLogger(__name__)

_RESULT_BY_FAULT = {
    LogFault.UNAVAILABLE: AppendResult.NOT_DONE,
    LogFault.REJECTED: AppendResult.NOT_DONE,
    LogFault.OUTCOME_UNKNOWN: AppendResult.UNKNOWN,
}


class PeriodicTask:
    """Runs a function periodically."""

    def __init__(self, work: Callable[[], None]) -> None:
        """Create a stopped task that runs ``work``."""
        self._loop = LoopingCall(work)

    def start(self, reactor: Any, period_s: float) -> None:
        """Run at once and then every ``period_s`` seconds."""
        self._loop.clock = reactor
        self._loop.start(period_s)

    def stop(self) -> None:
        """Stop the runs; calls in flight continue."""
        if self._loop.running:
            self._loop.stop()


class LogCallbacks(Protocol):
    """Callbacks of the daemon that :class:`LogTask` calls."""

    def log_page_read(self, page: RecordPage, asked_at: Instant) -> None:
        """Handle a page of records; ``asked_at`` is when the read was sent."""

    def log_appended(self, result: AppendResult) -> None:
        """Handle the result of an append call."""

    def log_position(self) -> Offset:
        """Return the offset to read from next."""


class LogTask(PeriodicTask):
    """Appends to the log, and reads it periodically and on demand.

    At most one read is in flight.
    """

    def __init__(
        self, client: LogClient, clock: Callable[[], Instant], daemon: LogCallbacks
    ) -> None:
        """Call the log through ``client``."""
        self._client = client
        self._clock = clock
        self._daemon = daemon
        self._is_reading = False
        self._read_again = False
        self._was_down = False
        super().__init__(self.read)

    def read(self) -> None:
        """Start a read, or another one after the read in flight."""
        if self._is_reading:
            self._read_again = True
            return
        self._is_reading = True
        asked_at = self._clock()
        position = self._daemon.log_position()
        read = self._client.read(position, MAX_RECORDS_PER_PAGE)
        read.addCallback(self._read_done, asked_at)

    def append(self, effect: AppendToLog) -> None:
        """Append records in one call."""
        records = [NewRecord(id=rec.id, body=rec.text) for rec in effect.records]
        self._client.append(records).addCallback(self._append_done)

    def _read_done(
        self, result: Result[RecordPage, LogError], asked_at: Instant
    ) -> None:
        self._is_reading = False
        self._log_state_change(result)
        if not isinstance(result, Failure):
            self._daemon.log_page_read(result.unwrap(), asked_at)
        if self._read_again:
            self._read_again = False
            self.read()

    def _log_state_change(self, result: Result[RecordPage, LogError]) -> None:
        is_down = isinstance(result, Failure)
        if is_down != self._was_down:
            state = "down" if is_down else "up"
            _log.warning("log service state changed", extra={"state": state})
        self._was_down = is_down

    def _append_done(self, result: Result[Offset, LogError]) -> None:
        if not isinstance(result, Failure):
            self._daemon.log_appended(AppendResult.DONE)
            return
        fault = result.failure().fault
        _log.warning("append failed", extra={"fault": fault.value})
        self._daemon.log_appended(_RESULT_BY_FAULT[fault])


class VmCallbacks(Protocol):
    """Callbacks of the daemon that :class:`VmTask` calls."""

    def vms_listed(self, vms: VmList) -> None:
        """Handle a new VM list."""


class VmTask(PeriodicTask):
    """Fetches the VM list periodically, one call at a time."""

    def __init__(self, client: VmListClient, daemon: VmCallbacks) -> None:
        """Fetch the list through ``client``."""
        self._client = client
        self._daemon = daemon
        self._is_fetching = False
        super().__init__(self._fetch)

    def _fetch(self) -> None:
        if self._is_fetching:
            return
        self._is_fetching = True
        self._client.fetch().addCallback(self._fetched)

    def _fetched(self, result: Result[VmList, VmListError]) -> None:
        self._is_fetching = False
        if isinstance(result, Failure):
            _log.debug(
                "fetching the VM list failed", extra={"detail": str(result.failure())}
            )
            return
        self._daemon.vms_listed(result.unwrap())


class WorkerCallbacks(Protocol):
    """Callbacks of the daemon that :class:`WorkerTask` calls."""

    def worker_synced(self, call: CallWorker, report: WorkerReport) -> None:
        """Handle the report that a sync returned."""

    def worker_answered(self, call: CallWorker, response: CommandReply) -> None:
        """Handle the response to another command."""

    def worker_stale(self, call: CallWorker, error: StaleEpochError) -> None:
        """Handle a refusal by a worker that knows a higher epoch."""

    def worker_failed(self, call: CallWorker) -> None:
        """Handle a call that had no effect or whose effect is unknown."""


class WorkerTask:
    """Sends commands to workers."""

    def __init__(self, client: WorkerClient, daemon: WorkerCallbacks) -> None:
        """Call workers through ``client``."""
        self._client = client
        self._daemon = daemon
        self._calls_by_action: dict[WorkerAction, Callable[..., Any]] = {
            WorkerAction.SYNC: client.sync,
            WorkerAction.START: client.start,
            WorkerAction.STOP: client.stop,
            WorkerAction.CHECKPOINT: client.checkpoint,
        }

    def send(self, call: CallWorker) -> None:
        """Send one command; the daemon gets the result."""
        send = self._calls_by_action[call.action]
        sent = send(call.address.host, call.address.port, call.command)
        sent.addCallback(self._done, call)

    def _done(
        self,
        result: Result[WorkerReport | CommandReply, WorkerError | StaleEpochError],
        call: CallWorker,
    ) -> None:
        if isinstance(result, Failure):
            self._failed(result.failure(), call)
            return
        response = result.unwrap()
        if isinstance(response, WorkerReport):
            self._daemon.worker_synced(call, response)
        else:
            self._daemon.worker_answered(call, response)

    def _failed(self, error: WorkerError | StaleEpochError, call: CallWorker) -> None:
        if isinstance(error, StaleEpochError):
            self._daemon.worker_stale(call, error)
            return
        _log.info(
            "worker call failed",
            extra={"worker": call.worker_id, "action": call.action.value},
        )
        self._daemon.worker_failed(call)
