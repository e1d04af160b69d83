"""The command-line application and its list of commands."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.definition import Definition

from tamarackmount import __version__
from tamarackmount.cli.base import EnvironmentCommand
from tamarackmount.cli.config import CONFIG_COMMANDS
from tamarackmount.cli.config_apply import ConfigApplyCommand
from tamarackmount.cli.config_check import ConfigCheckCommand
from tamarackmount.cli.contention import ContentionCommand
from tamarackmount.cli.delays import DelaysCommand
from tamarackmount.cli.explain import ExplainCommand
from tamarackmount.cli.fleet import FLEET_COMMANDS
from tamarackmount.cli.jobs import JOB_COMMANDS
from tamarackmount.cli.options import common_options
from tamarackmount.cli.requests import RequestCommand
from tamarackmount.cli.teams import TEAM_COMMANDS
from tamarackmount.context import Environment

COMMANDS: list[type[EnvironmentCommand]] = [
    RequestCommand,
    *JOB_COMMANDS,
    ConfigCheckCommand,
    ConfigApplyCommand,
    *CONFIG_COMMANDS,
    *TEAM_COMMANDS,
    *FLEET_COMMANDS,
    ExplainCommand,
    DelaysCommand,
    ContentionCommand,
]
"""All commands of the application."""


class TamarackmountApplication(Application):
    """The application, with the options that all commands share."""

    @property
    def display_name(self) -> str:
        """Return the name that ``--version`` prints."""
        return self.name

    @property
    def _default_definition(self) -> Definition:
        command = Argument("command", required=True, description="The command to run.")
        return Definition([command, *common_options()])


def build_application(env: Environment) -> Application:
    """Build the application, with every command reading and writing through ``env``."""
    application = TamarackmountApplication("tamarackmount", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command_class in COMMANDS:
        command: Command = command_class(env)
        application.add(command)
    return application
