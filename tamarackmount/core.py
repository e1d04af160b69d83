"""Run the ``tamarackmount`` command line."""

from collections.abc import Sequence

from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from tamarackmount.cli.application import build_application
from tamarackmount.context import Environment
from tamarackmount.status import ExitStatus

PROGRAM = "tamarackmount"
"""Name of the command."""


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the command with the arguments after its name."""
    application = build_application(env)
    arguments = ArgvInput([PROGRAM, *_with_default_command(args)])
    arguments.set_stream(env.stdin)
    try:
        code = application.run(
            arguments, StreamOutput(env.stdout), StreamOutput(env.stderr)
        )
    except CleoError as error:
        env.print_error(str(error))
        env.print_error(f"See `{PROGRAM} list` and `{PROGRAM} COMMAND --help`.")
        return ExitStatus.USAGE
    return ExitStatus(code)


def _with_default_command(args: Sequence[str]) -> Sequence[str]:
    # Cleo would print the help of its `list` command instead of listing commands.
    return ["list"] if list(args) in _BARE_HELP_ARGUMENTS else args


_BARE_HELP_ARGUMENTS = (["--help"], ["-h"], ["help"])
"""Arguments that ask for help without naming a command."""
