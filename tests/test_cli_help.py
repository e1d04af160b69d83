"""Tests of the help texts."""

import pytest

from tamarackmount.status import ExitStatus
from tests.utils.environment import command_line


@pytest.mark.parametrize("args", [[], ["--help"], ["-h"], ["help"], ["list"]])
def test_help_without_a_command_lists_the_commands(args: list[str]) -> None:
    run_command, _ = command_line()
    run = run_command(*args)
    assert run.status is ExitStatus.OK
    assert "Available commands" in run.stdout
    assert "job submit" in run.stdout


def test_help_of_a_command_names_its_options() -> None:
    run_command, _ = command_line()
    run = run_command("request", "--help")
    assert "--non-idempotent" in run.stdout
