"""``tamarackmount config check``: check files before they are used."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from returns.result import Failure, Result

from tamarackmount.checks import check_settings, parse_toml
from tamarackmount.cli.base import EnvironmentCommand
from tamarackmount.cli.jobs import check_job_file
from tamarackmount.fleet_checks import FLEET_TABLES, check_fleet_text
from tamarackmount.plugins.queue_policies import queue_policies
from tamarackmount.problems import Problem
from tamarackmount.settings import Settings
from tamarackmount.status import ExitStatus

JOB_FIELDS = frozenset({"id", "kind"})
"""Fields that occur at the top level of job files only."""


class ConfigCheckCommand(EnvironmentCommand):
    """Check settings, fleet files and job files without calling an entry VM."""

    name = "config check"
    description = "Check settings, fleet files and job files; print every problem."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "TOML files, or - for stdin.", multiple=True),
    ]

    def run_command(self) -> ExitStatus:
        """Check every file and print all problems."""
        problems = [
            problem for name in self.argument("files") for problem in self._check(name)
        ]
        if self.wants_json:
            self.print_json({"problems": [_problem_object(p) for p in problems]})
        else:
            self._show(problems)
        return ExitStatus.INVALID if problems else ExitStatus.OK

    def _check(self, name: str) -> list[Problem]:
        result = check_file(self.read_text(name), name)
        return result.failure() if isinstance(result, Failure) else []

    def _show(self, problems: list[Problem]) -> None:
        for problem in problems:
            self.env.print_error(str(problem))
        if not problems:
            self.env.print("no problems")


def check_file(text: str, source: str) -> Result[Any, list[Problem]]:
    """Check a settings, fleet or job file, recognised by its tables and fields."""
    parsed = parse_toml(text, source)
    if isinstance(parsed, Failure):
        return parsed
    names = parsed.unwrap().keys()
    is_fleet = any(name in names for name in FLEET_TABLES)
    is_settings = any(name in names for name in Settings.model_fields)
    if is_fleet and is_settings:
        message = "contains tables of daemon settings and of a fleet file; split it"
        return Failure([Problem(source, 0, "", message)])
    if is_fleet:
        return check_fleet_text(text, source, queue_policies.names())
    if is_settings:
        return check_settings(text, source)
    if JOB_FIELDS & names:
        return check_job_file(text, source)
    message = (
        "has no table of daemon settings ([member]) or of a fleet file ([teams]), "
        "and no field of a job (id, kind)"
    )
    return Failure([Problem(source, 0, "", message)])


def _problem_object(problem: Problem) -> dict[str, object]:
    return {
        "source": problem.source,
        "line": problem.line,
        "field": problem.field,
        "message": problem.message,
    }
