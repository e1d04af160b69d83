"""``tamarackmount config ...``: read and change configuration documents."""

import difflib
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from returns.result import Failure, Result, Success

from tamarackmount.checks import check_path
from tamarackmount.cli.base import ApiCommand, EnvironmentCommand, UsageError
from tamarackmount.cli.tables import format_table
from tamarackmount.cli.writes import (
    ABSENT_VERSION,
    delete_document,
    read_version,
    write_document,
)
from tamarackmount.client import Client
from tamarackmount.client_views import (
    CallError,
    ConfigView,
    DocumentView,
    HistoryView,
    VersionView,
)
from tamarackmount.fleet_checks import check_new_document
from tamarackmount.ids import ConfigPath, Offset
from tamarackmount.plugins.queue_policies import queue_policies
from tamarackmount.problems import describe
from tamarackmount.status import ExitStatus

_PATH_ARGUMENT = argument("path", "Path, such as teams/retail or queues/counter.")

_VERSION_OPTIONS = [
    option(
        "if-version",
        None,
        "Version that the change is based on; refused if there is a newer one.",
        flag=False,
    ),
    option(
        "overwrite", None, "Apply the change to the current version, whichever that is."
    ),
]


class DocumentCommand(ApiCommand):
    """A command about one document."""

    arguments: ClassVar[list[Argument]] = [_PATH_ARGUMENT]

    def prepare(self) -> None:
        """Check the path."""
        checked = check_path(self.argument("path"))
        if isinstance(checked, Failure):
            raise UsageError(describe(checked.failure()))

    @property
    def path(self) -> ConfigPath:
        """Path of the document."""
        return ConfigPath(self.argument("path"))

    async def expected_version(self, client: Client) -> Result[Offset, CallError]:
        """Return the version that the change may replace.

        Without an option that is :data:`ABSENT_VERSION`: the document must not exist.
        """
        if self.option("overwrite"):
            return await read_version(client, self.path)
        version = self.integer_option("if-version")
        return Success(ABSENT_VERSION if version is None else Offset(version))

    def check_version_options(self) -> None:
        """Raise :class:`UsageError` if the version options are invalid."""
        if self.option("overwrite") and self.option("if-version") is not None:
            raise UsageError("--if-version and --overwrite can't be used together")
        self.integer_option("if-version")


class ConfigGetCommand(DocumentCommand):
    """Print one document."""

    name = "config get"
    description = "Print a document; its version goes to standard error."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the document."""
        return self.report(await client.read_config(self.path), self._show)

    def _show(self, document: DocumentView) -> None:
        self.env.print_error(f"{document.path} is at version {document.version}")
        self.env.stdout.write(document.text)


class ConfigSetCommand(DocumentCommand):
    """Create or replace one document."""

    name = "config set"
    description = "Create a document, or replace the version given by --if-version."
    arguments: ClassVar[list[Argument]] = [
        _PATH_ARGUMENT,
        argument("file", "TOML file with the whole document, or - for stdin."),
    ]
    options: ClassVar[list[Option]] = [*_VERSION_OPTIONS]

    def run_command(self) -> ExitStatus:
        """Check the document locally, then write it."""
        client = self.make_client()
        self.prepare()
        self.check_version_options()
        text = self.read_text(self.argument("file"))
        checked = check_new_document(self.path, text, queue_policies.names())
        if isinstance(checked, Failure):
            self.env.print_error(describe(checked.failure()))
            return ExitStatus.INVALID
        return self.env.runner.run(lambda: self._write(client, text))

    async def _write(self, client: Client, text: str) -> ExitStatus:
        version = await self.expected_version(client)
        if isinstance(version, Failure):
            return self.fail(version.failure())
        result = await write_document(
            self.env, client, self.path, text, version.unwrap()
        )
        return self.report(result, self._show_version)

    def _show_version(self, change: object) -> None:
        version = getattr(change, "version", ABSENT_VERSION)
        self.env.print(f"{self.path} is at version {version}")


class ConfigDeleteCommand(DocumentCommand):
    """Remove one document."""

    name = "config delete"
    description = "Remove a document if its version is the one given by --if-version."
    options: ClassVar[list[Option]] = [*_VERSION_OPTIONS]

    def prepare(self) -> None:
        """Check the path and that a version option is given."""
        super().prepare()
        self.check_version_options()
        if self.option("if-version") is None and not self.option("overwrite"):
            raise UsageError("--if-version or --overwrite is required")

    async def call_api(self, client: Client) -> ExitStatus:
        """Remove the document."""
        version = await self.expected_version(client)
        if isinstance(version, Failure):
            return self.fail(version.failure())
        result = await delete_document(self.env, client, self.path, version.unwrap())
        return self.report(result, lambda _: self.env.print(f"{self.path} is removed"))


class ConfigListCommand(ApiCommand):
    """Print the paths and versions of all documents."""

    name = "config list"
    description = "Print the path and version of every document."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the list."""
        return self.report(await client.list_config(), self._show)

    def _show(self, view: ConfigView) -> None:
        documents = sorted(view.documents, key=lambda document: document.path)
        rows = [[document.path, str(document.version)] for document in documents]
        self.env.print(format_table(["PATH", "VERSION"], rows))


class ConfigHistoryCommand(DocumentCommand):
    """Print the versions of one document."""

    name = "config history"
    description = "Print the versions of a document that the entry VM has seen."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the versions."""
        return self.report(await client.read_history(self.path), self._show)

    def _show(self, view: HistoryView) -> None:
        rows = [[str(entry.version), _describe_text(entry)] for entry in view.versions]
        self.env.print(format_table(["VERSION", "TEXT"], rows))


class ConfigDiffCommand(DocumentCommand):
    """Print the difference between two versions, or a version and a file."""

    name = "config diff"
    description = (
        "Print how a file differs from the live document, or how the live document "
        "differs from the version before it."
    )
    arguments: ClassVar[list[Argument]] = [
        _PATH_ARGUMENT,
        argument("file", "TOML file, or - for stdin.", optional=True),
    ]
    options: ClassVar[list[Option]] = [
        option("from-version", None, "Version to compare with.", flag=False),
    ]

    async def call_api(self, client: Client) -> ExitStatus:
        """Read the history and print the difference."""
        history = await client.read_history(self.path)
        if isinstance(history, Failure):
            return self.fail(history.failure())
        versions = sorted(history.unwrap().versions, key=lambda entry: entry.version)
        old, new = self._select_versions(versions)
        lines = difflib.unified_diff(
            old.text.splitlines(),
            new.text.splitlines(),
            _label(self.path, old),
            _label(self.path, new) if new.version else self.argument("file"),
            lineterm="",
        )
        self._show(list(lines))
        return ExitStatus.OK

    def _select_versions(
        self, versions: list[VersionView]
    ) -> tuple[VersionView, VersionView]:
        """Return the old and the new text; the text of a file has version 0."""
        absent = VersionView(version=ABSENT_VERSION, text="")
        live = versions[-1] if versions else absent
        name = self.argument("file")
        if name is not None:
            new = VersionView(version=ABSENT_VERSION, text=self.read_text(name))
            return self._find_version(versions, live), new
        previous = versions[-2] if len(versions) > 1 else absent
        return self._find_version(versions, previous), live

    def _find_version(
        self, versions: list[VersionView], default: VersionView
    ) -> VersionView:
        """Return the version given by ``--from-version``, or ``default`` without it."""
        wanted = self.integer_option("from-version")
        if wanted is None:
            return default
        for entry in versions:
            if entry.version == wanted:
                return entry
        raise UsageError(f"the entry VM has not seen version {wanted}")

    def _show(self, lines: list[str]) -> None:
        if self.wants_json:
            self.print_json({"path": self.path, "diff": lines})
        else:
            self.env.print("\n".join(lines) or "no difference")


CONFIG_COMMANDS: list[type[EnvironmentCommand]] = [
    ConfigGetCommand,
    ConfigSetCommand,
    ConfigDeleteCommand,
    ConfigListCommand,
    ConfigHistoryCommand,
    ConfigDiffCommand,
]
"""All commands that read or change documents."""


def _describe_text(entry: VersionView) -> str:
    if not entry.text:
        return "removed"
    return f"{len(entry.text.splitlines())} lines"


def _label(path: ConfigPath, entry: VersionView) -> str:
    return f"{path}@{entry.version}"
