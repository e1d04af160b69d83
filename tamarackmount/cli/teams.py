"""``tamarackmount team ...`` and ``key ...``: manage teams and their keys."""

import hashlib
from dataclasses import dataclass
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from tamarackmount.checks import check_document, check_path, is_name
from tamarackmount.cli.base import ApiCommand, EnvironmentCommand, UsageError
from tamarackmount.cli.tables import format_table
from tamarackmount.cli.writes import ABSENT_VERSION, write_document
from tamarackmount.client import Client
from tamarackmount.client_views import CallError, CallOutcome
from tamarackmount.document_texts import add_key, render_team, revoke_key
from tamarackmount.documents import Ceiling, TeamDocument, WhenCutOff
from tamarackmount.ids import ConfigPath, KeyHash, Offset
from tamarackmount.problems import FieldProblem, describe, dotted, problems_of_model
from tamarackmount.status import ExitStatus

_TEAM_ARGUMENT = argument("team", "Name of the team.")

_KEY_ARGUMENT = argument("name", "Name of the key, unique within its team.")

_LIMIT_OPTIONS = {
    "running-requests": "Ceiling on running requests.",
    "running-tasks": "Ceiling on running tasks.",
    "cores": "Ceiling on cores in use.",
    "memory-gib": "Ceiling on memory in use, in GiB.",
    "accelerators": "Ceiling on accelerators in use.",
}

_CONFLICT_ADVICE = "Another operator changed the team. Look at it and run this again."


@dataclass(frozen=True, slots=True)
class VersionedTeam:
    """One version of a team's document, as text and parsed."""

    version: Offset
    text: str
    team: TeamDocument


class TeamCommand(ApiCommand):
    """A command about one team."""

    arguments: ClassVar[list[Argument]] = [_TEAM_ARGUMENT]

    def prepare(self) -> None:
        """Check the team's name."""
        checked = check_path(self.path)
        if isinstance(checked, Failure):
            raise UsageError(describe(checked.failure()))

    @property
    def path(self) -> ConfigPath:
        """Path of the team's document."""
        return ConfigPath(f"teams/{self.argument('team')}")

    async def read_team(self, client: Client) -> Result[VersionedTeam, CallError]:
        """Read and parse the team's document."""
        result = await client.read_config(self.path)
        if isinstance(result, Failure):
            return Failure(result.failure())
        view = result.unwrap()
        match check_document(self.path, view.text):
            case Success(TeamDocument() as team):
                return Success(VersionedTeam(view.version, view.text, team))
            case Failure(problems):
                return Failure(
                    CallError(
                        0,
                        "bad_document",
                        "the live document is invalid",
                        CallOutcome.NOT_RUN,
                        problems=tuple(problems),
                    )
                )
        raise AssertionError(view)


class TeamAddCommand(TeamCommand):
    """Create a team."""

    name = "team add"
    description = "Create a team; give it keys with `key add`."
    options: ClassVar[list[Option]] = [
        option("share", None, "Weight relative to the other teams.", flag=False),
        *(
            option(name, None, text, flag=False)
            for name, text in _LIMIT_OPTIONS.items()
        ),
        option(
            "when-cut-off",
            None,
            "serve (default) or refuse, while neither log nor peers can be reached.",
            flag=False,
        ),
    ]

    def run_command(self) -> ExitStatus:
        """Check the options, then create the team."""
        client = self.make_client()
        self.prepare()
        text = render_team(self._make_team())
        return self.env.runner.run(lambda: self._write(client, text))

    async def _write(self, client: Client, text: str) -> ExitStatus:
        result = await write_document(self.env, client, self.path, text, ABSENT_VERSION)
        return self.report(
            result,
            lambda change: self.env.print(
                f"{self.path} is at version {change.version}"
            ),
        )

    def _make_team(self) -> TeamDocument:
        if self.option("share") is None:
            raise UsageError("--share is required, such as --share 1")
        try:
            limits = {
                name.replace("-", "_"): self.integer_option(name)
                for name in _LIMIT_OPTIONS
            }
            return TeamDocument(
                share=float(self.option("share")),
                ceiling=Ceiling(**limits),
                when_cut_off=WhenCutOff(self.option("when-cut-off") or "serve"),
            )
        except ValidationError as error:
            lines = [_format_problem(p) for p in problems_of_model(error, ())]
            raise UsageError("; ".join(lines)) from error
        except ValueError as error:
            raise UsageError(str(error)) from error


class TeamShowCommand(TeamCommand):
    """Print one team."""

    name = "team show"
    description = "Print a team's share, ceiling and keys."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the team."""
        result = await self.read_team(client)
        if isinstance(result, Failure):
            return self.fail(result.failure())
        current = result.unwrap()
        if self.wants_json:
            content = current.team.model_dump(mode="json")
            self.print_json({"version": current.version, **content})
        else:
            self._show(current)
        return ExitStatus.OK

    def _show(self, current: VersionedTeam) -> None:
        team = current.team
        self.env.print(f"{self.path} at version {current.version}")
        self.env.print(f"share: {team.share}")
        self.env.print(f"when cut off: {team.when_cut_off.value}")
        for name, limit in team.ceiling.model_dump().items():
            self.env.print(f"ceiling {name}: {'none' if limit is None else limit}")
        rows = [
            [name, "revoked" if key.revoked else "in force", key.sha256]
            for name, key in team.keys.items()
        ]
        self.env.print(format_table(["KEY", "STATE", "SHA-256"], rows))


class KeyCommand(TeamCommand):
    """A command about one key of a team."""

    arguments: ClassVar[list[Argument]] = [_TEAM_ARGUMENT, _KEY_ARGUMENT]

    def prepare(self) -> None:
        """Check the names of the team and the key."""
        super().prepare()
        if not is_name(self.key_name):
            raise UsageError(
                f"{self.key_name!r} is not a valid name: a-z, 0-9 and '-', "
                "not starting with '-', at most 63 characters"
            )

    @property
    def key_name(self) -> str:
        """Name of the key."""
        return str(self.argument("name"))

    async def replace(
        self, client: Client, current: VersionedTeam, text: str
    ) -> ExitStatus:
        """Replace the version that was read; print the error if that fails."""
        result = await write_document(
            self.env, client, self.path, text, current.version
        )
        if isinstance(result, Success):
            return ExitStatus.OK
        error = result.failure()
        is_conflict = error.error == "conflict"
        return self.fail(error, advice=_CONFLICT_ADVICE if is_conflict else "")


class KeyAddCommand(KeyCommand):
    """Create a key and store its hash."""

    name = "key add"
    description = (
        "Create a random key for a team and print it; it can't be printed again."
    )

    async def call_api(self, client: Client) -> ExitStatus:
        """Add the key to the team's document."""
        result = await self.read_team(client)
        if isinstance(result, Failure):
            return self.fail(result.failure())
        current = result.unwrap()
        if self.key_name in current.team.keys:
            self.env.print_error(f"{self.path} already has a key {self.key_name!r}.")
            self.env.print_error("Choose another name; keys are never replaced.")
            return ExitStatus.CONFLICT
        key = self.env.make_token()
        sha256 = KeyHash(hashlib.sha256(key.encode()).hexdigest())
        text = add_key(current.text, self.key_name, sha256)
        status = await self.replace(client, current, text)
        if status is ExitStatus.OK:
            self._show(key, sha256)
        elif status is ExitStatus.UNKNOWN_OUTCOME:
            self.env.print_error(
                "The key is not shown. If `team show` lists it, revoke it."
            )
        return status

    def _show(self, key: str, sha256: str) -> None:
        if self.wants_json:
            self.print_json({"key": key, "sha256": sha256})
            return
        self.env.print(key)
        self.env.print_error("Save the key now: only its hash is stored.")


class KeyRevokeCommand(KeyCommand):
    """Revoke a key."""

    name = "key revoke"
    description = "Revoke a key of a team; it stops working within seconds."

    async def call_api(self, client: Client) -> ExitStatus:
        """Mark the key as revoked in the team's document."""
        result = await self.read_team(client)
        if isinstance(result, Failure):
            return self.fail(result.failure())
        current = result.unwrap()
        if self.key_name not in current.team.keys:
            self.env.print_error(f"{self.path} has no key {self.key_name!r}.")
            return ExitStatus.NOT_FOUND
        if not current.team.keys[self.key_name].revoked:
            text = revoke_key(current.text, self.key_name)
            status = await self.replace(client, current, text)
            if status is not ExitStatus.OK:
                return status
        self._show()
        return ExitStatus.OK

    def _show(self) -> None:
        if self.wants_json:
            self.print_json({"key": self.key_name, "revoked": True})
        else:
            self.env.print(f"key {self.key_name!r} of {self.path} is revoked")


TEAM_COMMANDS: list[type[EnvironmentCommand]] = [
    TeamAddCommand,
    TeamShowCommand,
    KeyAddCommand,
    KeyRevokeCommand,
]
"""All commands about teams and keys."""


def _format_problem(problem: FieldProblem) -> str:
    return f"{dotted(problem.path)}: {problem.message}"
