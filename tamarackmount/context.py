"""The command's environment: streams, variables, HTTP, time and event loop."""

import os
import secrets
import sys
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, TextIO, TypeVar

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from tamarackmount.http_calls import HttpOpener, make_opener

TOKEN_BYTES = 24
"""Number of random bytes in a request id or a key."""

T = TypeVar("T")

Operation = Callable[[], Coroutine[Deferred[Any], Any, T]]
"""The asynchronous part of a command, which runs in the event loop."""


class Runner(Protocol):
    """Runs the event loop for one operation."""

    def run(self, operation: Operation[T]) -> T:
        """Run an operation to its end; raise ``KeyboardInterrupt`` if interrupted."""
        ...


class ReactorRunner:
    """Runs one operation in the process's reactor, which can't be restarted."""

    def __init__(self, reactor: Any) -> None:
        """Use ``reactor``."""
        self._reactor = reactor
        self._stopping = False

    def run(self, operation: Operation[T]) -> T:
        """Run an operation to its end."""
        outcomes: list[T | Failure] = []

        def finish(outcome: T | Failure) -> None:
            # Shutdown after a signal closes connections, which may end the operation.
            if not self._stopping:
                outcomes.append(outcome)
                self._reactor.stop()

        self._reactor.addSystemEventTrigger("before", "shutdown", self._mark_stopping)
        self._reactor.callWhenRunning(
            lambda: ensureDeferred(operation()).addBoth(finish),
        )
        self._reactor.run()
        if not outcomes:
            raise KeyboardInterrupt
        outcome = outcomes[0]
        if isinstance(outcome, Failure):
            outcome.raiseException()
            raise AssertionError("unreachable")
        return outcome

    def _mark_stopping(self) -> None:
        self._stopping = True


@dataclass
class Environment:
    """Streams, variables, HTTP, time and event loop of one run of the command."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    variables: Mapping[str, str]
    stdout_is_terminal: bool
    opener: HttpOpener
    clock: IReactorTime
    runner: Runner
    make_token: Callable[[], str]

    def print(self, text: str) -> None:
        """Write one line to standard output."""
        self.stdout.write(text + "\n")

    def print_error(self, text: str) -> None:
        """Write one line to standard error."""
        self.stderr.write(text + "\n")

    def write_bytes(self, data: bytes) -> None:
        """Write bytes, which may not be text, to standard output."""
        binary = getattr(self.stdout, "buffer", None)
        if binary is None:
            self.stdout.write(data.decode("utf-8", "replace"))
            return
        self.stdout.flush()
        binary.write(data)
        binary.flush()

    def read_bytes(self) -> bytes:
        """Read standard input to its end."""
        binary = getattr(self.stdin, "buffer", None)
        if binary is None:
            return self.stdin.read().encode()
        return bytes(binary.read())

    def sleep(self, seconds: float) -> Deferred[None]:
        """Return a ``Deferred`` that fires after ``seconds``."""
        return deferLater(self.clock, seconds, lambda: None)


def process_environment() -> Environment:
    """Return the environment of this process."""
    from twisted.internet import reactor

    return Environment(
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        variables=os.environ,
        stdout_is_terminal=sys.stdout.isatty(),
        opener=make_opener(reactor),
        clock=IReactorTime(reactor),
        runner=ReactorRunner(reactor),
        make_token=lambda: secrets.token_hex(TOKEN_BYTES),
    )
