"""Base classes of the commands."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from cleo.commands.command import Command
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from tamarackmount.cli.errors import (
    advice_for,
    describe_error,
    error_object,
    exit_status_of,
)
from tamarackmount.cli.options import KEY_VARIABLE, URL_VARIABLE
from tamarackmount.client import Client
from tamarackmount.client_views import CallError
from tamarackmount.context import Environment
from tamarackmount.ids import DataCentreId
from tamarackmount.status import ExitStatus

View = TypeVar("View", bound=BaseModel)

STDIN_NAME = "-"
"""File argument that means standard input."""


class UsageError(Exception):
    """Raised if an option or argument is invalid; the message says why."""


class EnvironmentCommand(Command):
    """A command that does all its input and output through the environment."""

    def __init__(self, env: Environment) -> None:
        """Create the command without reading or writing anything."""
        self.env = env
        super().__init__()

    def handle(self) -> int:
        """Run the command and return its exit status.

        Usage errors, file errors and Ctrl-C are reported on standard error.
        """
        try:
            return int(self.run_command())
        except UsageError as error:
            self.env.print_error(f"{self.name}: {error}")
            self.env.print_error(f"See `tamarackmount {self.name} --help`.")
            return int(ExitStatus.USAGE)
        except OSError as error:
            self.env.print_error(f"{self.name}: {error}")
            return int(ExitStatus.ERROR)
        except KeyboardInterrupt:
            self.env.print_error("Interrupted; what was under way may have happened.")
            return int(ExitStatus.INTERRUPTED)

    def run_command(self) -> ExitStatus:
        """Do the work of the command and return its exit status."""
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Whether results are printed as JSON."""
        return bool(self.option("json"))

    def print_json(self, value: object) -> None:
        """Print a result as JSON."""
        self.env.print(json.dumps(value, indent=2))

    def read_text(self, name: str) -> str:
        """Read a file, or standard input if its name is ``-``."""
        try:
            if name == STDIN_NAME:
                return self.env.read_bytes().decode()
            return Path(name).read_text(encoding="utf-8")
        except UnicodeDecodeError as error:
            raise UsageError(f"{name} is not UTF-8: {error.reason}") from error

    def read_log(self, name: str) -> str:
        """Read a log file, or standard input if its name is ``-``.

        Bytes that are not UTF-8 are replaced: a log may be cut within a character.
        """
        data = self.env.read_bytes() if name == STDIN_NAME else Path(name).read_bytes()
        return data.decode("utf-8", "replace")

    def integer_option(self, name: str) -> int | None:
        """Return the value of a whole-number option, or ``None`` if it is absent."""
        text = self.option(name)
        if text is None:
            return None
        if not text.isascii() or not text.isdigit():
            raise UsageError(f"--{name} takes a whole number, not {text!r}")
        return int(text)


class ApiCommand(EnvironmentCommand):
    """A command that calls the HTTP API of an entry VM."""

    def run_command(self) -> ExitStatus:
        """Check the arguments, then make the calls."""
        client = self.make_client()
        self.prepare()
        return self.env.runner.run(lambda: self.call_api(client))

    def prepare(self) -> None:
        """Read files and check arguments before the first call."""

    async def call_api(self, client: Client) -> ExitStatus:
        """Make the calls of the command."""
        raise NotImplementedError

    def make_client(self, home: str = "") -> Client:
        """Return a client for the URL and key from the options or the environment.

        ``home`` is the home data centre of non-idempotent requests, or empty.
        """
        url = self.option("url") or self.env.variables.get(URL_VARIABLE, "")
        if not url:
            raise UsageError(
                f"no URL of an entry VM is given; use --url or {URL_VARIABLE}"
            )
        if not url.startswith(("http://", "https://")) or not url.isascii():
            raise UsageError(f"{url!r} is not a URL such as http://192.0.2.1:8080")
        return Client(
            url,
            self.env.opener,
            self.env.make_token,
            key=self._read_key(),
            home=DataCentreId(home) if home else None,
        )

    def fail(self, error: CallError, *, advice: str = "") -> ExitStatus:
        """Print the error of a failed call and return its exit status.

        ``advice`` replaces the standard advice for the error.
        """
        advice = advice or advice_for(error)
        if self.wants_json:
            self.print_json(error_object(error, advice))
        else:
            self.env.print_error(describe_error(error, advice))
        return exit_status_of(error)

    def report(
        self, result: Result[View, CallError], show: Callable[[View], Any]
    ) -> ExitStatus:
        """Print a call's result as JSON or with ``show``; return the exit status."""
        match result:
            case Success(view):
                if self.wants_json:
                    self.print_json(view.model_dump(mode="json"))
                else:
                    show(view)
                return ExitStatus.OK
            case Failure(error):
                return self.fail(error)
        raise AssertionError(result)

    def _read_key(self) -> str:
        name = self.option("key-file")
        key = self.read_text(name) if name else self.env.variables.get(KEY_VARIABLE, "")
        key = key.strip()
        if not key.isascii() or not key.isprintable():
            raise UsageError("the key must consist of printable ASCII characters")
        return key
