"""Runs the command in tests with scripted HTTP responses and virtual time."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from io import StringIO
from typing import TypeVar

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock
from twisted.python.failure import Failure as TwistedFailure

from tamarackmount.context import Environment, Operation
from tamarackmount.core import main
from tamarackmount.http_calls import (
    Header,
    HttpFailure,
    HttpOpener,
    HttpRequest,
    HttpResponse,
)
from tamarackmount.status import ExitStatus

T = TypeVar("T")

CallResult = Result[HttpResponse, HttpFailure]

URL = "http://192.0.2.1:8080"
"""URL of the entry VM that the command calls."""

MAX_STEPS = 1_000
"""Number of clock steps within which an operation must end."""

STEP_S = 0.1
"""Length of a clock step, in seconds."""


def json_response(status: int, value: object, **headers: str) -> CallResult:
    """Return a response with a JSON body.

    Underscores in header names become hyphens: ``Retry_After`` is Retry-After.
    """
    pairs = tuple(Header(name.replace("_", "-"), v) for name, v in headers.items())
    return Success(HttpResponse(status, pairs, json.dumps(value).encode()))


def unreachable() -> CallResult:
    """Return the failure of a call that was not sent."""
    return Failure(HttpFailure(sent=False, message="connection refused"))


def connection_lost() -> CallResult:
    """Return the failure of a call that was sent and got no response."""
    return Failure(HttpFailure(sent=True, message="connection lost"))


@dataclass
class ScriptedOpener:
    """Records calls and answers them with the results of a list, in order."""

    results: list[CallResult]
    requests: list[HttpRequest] = field(default_factory=list)

    def send(self, request: HttpRequest) -> Deferred[CallResult]:
        """Record the request and answer it with the next result."""
        self.requests.append(request)
        assert self.results, f"unexpected call: {request}"
        return succeed(self.results.pop(0))


class ClockRunner:
    """Runs operations by advancing a clock."""

    def __init__(self, clock: Clock) -> None:
        """Create a runner that advances ``clock``."""
        self._clock = clock

    def run(self, operation: Operation[T]) -> T:
        """Run an operation to its end."""
        running = ensureDeferred(operation())
        outcomes: list[T] = []
        running.addCallback(outcomes.append)
        for _ in range(MAX_STEPS):
            if running.called and not running.paused:
                break
            self._clock.advance(STEP_S)
        failures: list[TwistedFailure] = []
        running.addErrback(failures.append)
        for failure in failures:
            failure.raiseException()
        assert outcomes, "the operation did not end within MAX_STEPS clock steps"
        return outcomes[0]


@dataclass
class Run:
    """Result of one run of the command."""

    status: ExitStatus
    stdout: str
    stderr: str


@dataclass
class CommandLine:
    """Runs the command with an HTTP opener, in virtual time."""

    opener: HttpOpener
    variables: dict[str, str] = field(default_factory=dict)
    clock: Clock = field(default_factory=Clock)
    tokens: Iterable[str] = ("token-1", "token-2", "token-3")

    def __call__(self, *args: str, stdin: str = "") -> Run:
        """Run the command with these arguments."""
        stdout = StringIO()
        stderr = StringIO()
        env = Environment(
            stdin=StringIO(stdin),
            stdout=stdout,
            stderr=stderr,
            variables={"TAMARACKMOUNT_URL": URL, **self.variables},
            stdout_is_terminal=False,
            opener=self.opener,
            clock=IReactorTime(self.clock),
            runner=ClockRunner(self.clock),
            make_token=_token_maker(self.tokens),
        )
        status = main(args, env)
        return Run(status, stdout.getvalue(), stderr.getvalue())


def command_line(*results: CallResult) -> tuple[CommandLine, ScriptedOpener]:
    """Return a command line whose calls get these results in order."""
    opener = ScriptedOpener(list(results))
    return CommandLine(opener), opener


def _token_maker(tokens: Iterable[str]) -> Callable[[], str]:
    remaining = iter(tokens)
    return lambda: next(remaining)


def request_lines(requests: Sequence[HttpRequest]) -> list[str]:
    """Return the method and path of each request."""
    return [f"{r.method} {r.url.removeprefix(URL)}" for r in requests]


def header_of(request: HttpRequest, name: str) -> str | None:
    """Return the value of a request's header."""
    for header in request.headers:
        if header.name == name:
            return header.value
    return None
