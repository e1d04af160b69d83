"""Starts, signals and kills the processes of a cell, each by its process id.

Only the development harness starts processes; the daemons never do. The output
of a process is written to ``<name>.log`` in the directory of the run.
"""

import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol, cast

from pydantic import BaseModel, ValidationError
from twisted.internet.defer import Deferred, gatherResults, succeed
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

LISTEN_TIMEOUT_S = 60.0
"""Time limit for a process to print its listening line, in seconds."""

LOG_TAIL_LINES = 15
"""Number of final log lines in the description of a process."""


class _Transport(Protocol):
    """The part of Twisted's process transport that controls a process."""

    pid: int | None

    def signalProcess(self, signalID: signal.Signals) -> None:  # noqa: N802, N803
        """Send a signal."""


class _Spawner(Protocol):
    """The part of Twisted's reactor that starts processes."""

    def spawnProcess(  # noqa: N802
        self,
        processProtocol: ProcessProtocol,  # noqa: N803
        executable: str,
        args: list[str],
        env: dict[str, str] | None,
        *,
        childFDs: dict[int, int | str] | None,  # noqa: N803
    ) -> _Transport:
        """Start a process."""


class Listening(BaseModel):
    """The line that a stand-in prints once its ports accept connections."""

    event: str
    port: int
    control_port: int


class ProcessFailedError(Exception):
    """Raised if a process ends too early or is to be started after the run.

    A process that keeps running but never listens causes a time-out error instead.
    """


@dataclass(frozen=True, slots=True)
class Command:
    """A process to start: its name, the module that it runs and its arguments."""

    name: str
    module: str
    arguments: tuple[str, ...] = ()


class ManagedProcess(ProcessProtocol):
    """One process that this harness started."""

    def __init__(self, command: Command, log_path: Path) -> None:
        """Open ``log_path``, to which the output of the process is appended."""
        self.command = command
        self.log_path = log_path
        self.running = False
        self.exit_code: int | None = None
        self._log = log_path.open("ab", buffering=0)
        self._pending = b""
        self._listening: Listening | None = None
        self._listening_waiters: list[Deferred[Listening]] = []
        self._end_waiters: list[Deferred[int | None]] = []

    @property
    def log_descriptor(self) -> int:
        """File descriptor of the log."""
        return self._log.fileno()

    @property
    def pid(self) -> int:
        """Process id, or 0 if the process has ended."""
        return cast(_Transport, self.transport).pid or 0

    def connectionMade(self) -> None:  # noqa: N802
        """Mark the process as running."""
        self.running = True

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Write the output to the log and look for the listening line."""
        self._log.write(data)
        if self._listening is not None:
            return
        *lines, self._pending = (self._pending + data).split(b"\n")
        for line in lines:
            self._read_line(line)

    def _read_line(self, line: bytes) -> None:
        try:
            message = Listening.model_validate_json(line)
        except ValidationError:
            return
        if message.event != "listening":
            return
        self._listening = message
        waiters, self._listening_waiters = self._listening_waiters, []
        for waiter in waiters:
            waiter.callback(message)

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Close the log and fire the Deferreds that wait for the process."""
        self.running = False
        self.exit_code = getattr(reason.value, "exitCode", None)
        self._log.close()
        for listening_waiter in self._listening_waiters:
            listening_waiter.errback(ProcessFailedError(self.describe()))
        self._listening_waiters = []
        waiters, self._end_waiters = self._end_waiters, []
        for waiter in waiters:
            waiter.callback(self.exit_code)

    def listening(self) -> Deferred[Listening]:
        """Return the listening line once it is printed."""
        if self._listening is not None:
            return succeed(self._listening)
        waiter: Deferred[Listening] = Deferred()
        self._listening_waiters.append(waiter)
        return waiter

    def ended(self) -> Deferred[int | None]:
        """Return the exit code once the process has ended; ``None`` after a signal."""
        if not self.running:
            return succeed(self.exit_code)
        waiter: Deferred[int | None] = Deferred()
        self._end_waiters.append(waiter)
        return waiter

    def send(self, signal_number: signal.Signals) -> bool:
        """Send a signal; return whether the process was still running."""
        if not self.running:
            return False
        try:
            cast(_Transport, self.transport).signalProcess(signal_number)
        except ProcessExitedAlready:
            return False
        return True

    def describe(self) -> str:
        """Return the name, the exit code and the end of the log."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        tail = "\n".join(text.splitlines()[-LOG_TAIL_LINES:])
        head = f"{self.command.name} ended with {self.exit_code}"
        return f"{head}, log {self.log_path}:\n{tail}"


class ProcessGroup:
    """All processes of one run, by name; a name may be started again."""

    def __init__(self, reactor: IReactorTime, directory: Path) -> None:
        """Start without processes; logs are written to ``directory``."""
        self._reactor = reactor
        self._directory = directory
        self._closed = False
        self._processes: list[ManagedProcess] = []
        self.process_by_name: dict[str, ManagedProcess] = {}

    def start(self, command: Command) -> ManagedProcess:
        """Start a process; raise after :meth:`kill_all`."""
        if self._closed:
            raise ProcessFailedError(f"{command.name}: the run is over")
        log_path = self._directory / f"{command.name}.log"
        process = ManagedProcess(command, log_path)
        arguments = [sys.executable, "-m", command.module, *command.arguments]
        cast(_Spawner, self._reactor).spawnProcess(
            process,
            sys.executable,
            arguments,
            dict(os.environ),
            childFDs={0: "w", 1: "r", 2: process.log_descriptor},
        )
        self._processes.append(process)
        self.process_by_name[command.name] = process
        return process

    async def start_listening(self, commands: list[Command]) -> None:
        """Start processes and wait until each has printed its listening line."""
        processes = [self.start(command) for command in commands]
        waits = [
            process.listening().addTimeout(LISTEN_TIMEOUT_S, self._reactor)
            for process in processes
        ]
        await gatherResults(waits, consumeErrors=True)

    async def kill_all(self) -> None:
        """Kill all running and paused processes and wait until they have ended."""
        self._closed = True
        running = [process for process in self._processes if process.running]
        for process in running:
            process.send(signal.SIGKILL)
        await gatherResults([process.ended() for process in running])
