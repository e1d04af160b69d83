"""Options that all commands share."""

from cleo.helpers import option
from cleo.io.inputs.option import Option

URL_VARIABLE = "TAMARACKMOUNT_URL"
"""Environment variable with the URL of an entry VM or of the balancer."""

KEY_VARIABLE = "TAMARACKMOUNT_KEY"
"""Environment variable with the key of a team or operator."""


def common_options() -> list[Option]:
    """Return the options that may stand before or after a command's name."""
    return [
        Option("--help", "-h", description="Explain the command."),
        Option("--version", "-V", description="Print the version."),
        Option("--json", description="Print results as JSON."),
        option(
            "url",
            description=(
                "URL of an entry VM or of the balancer, such as http://192.0.2.1:8080 "
                f"(default: environment variable {URL_VARIABLE})."
            ),
            flag=False,
        ),
        option(
            "key-file",
            description=(
                "File with the key of a team or operator, or - for stdin (default: "
                f"environment variable {KEY_VARIABLE}). The key can't be given as an "
                "argument: other users of the machine can see arguments."
            ),
            flag=False,
        ),
    ]
