"""The help that a newcomer asks for first."""

import pytest

from tamarackmount.status import ExitStatus
from tests.utils.environment import command_line


@pytest.mark.parametrize("asked", [[], ["--help"], ["-h"], ["help"], ["list"]])
def test_help_without_a_command_lists_the_commands(asked: list[str]) -> None:
    run_command, _ = command_line()
    run = run_command(*asked)
    assert run.status is ExitStatus.OK
    assert "Available commands" in run.stdout
    assert "job submit" in run.stdout


def test_help_of_a_command_names_its_options() -> None:
    run_command, _ = command_line()
    run = run_command("request", "--help")
    assert "--non-idempotent" in run.stdout
