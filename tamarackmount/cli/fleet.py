"""``tamarackmount status`` and ``drain``: show the fleet, stop an entry VM."""

from pydantic import BaseModel, JsonValue

from tamarackmount.cli.base import ApiCommand, EnvironmentCommand
from tamarackmount.client import Client
from tamarackmount.status import ExitStatus

INDENT = "  "
"""Indent added for each level of a nested value."""


class StatusCommand(ApiCommand):
    """Print the fleet as one entry VM sees it."""

    name = "status"
    description = "Print the fleet as one entry VM sees it, and what it doesn't know."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the status."""
        result = await client.read_status()
        return self.report(result, self._show)

    def _show(self, view: BaseModel) -> None:
        for line in _format_value(view.model_dump(mode="json"), ""):
            self.env.print(line)


class DrainCommand(ApiCommand):
    """Stop one entry VM gracefully."""

    name = "drain"
    description = (
        "Stop the entry VM at --url gracefully: it takes no new work and finishes "
        "what it has. Name the VM itself, not the balancer."
    )

    async def call_api(self, client: Client) -> ExitStatus:
        """Ask the entry VM to stop."""
        result = await client.drain()
        return self.report(result, lambda _: self.env.print("draining"))


FLEET_COMMANDS: list[type[EnvironmentCommand]] = [StatusCommand, DrainCommand]
"""All commands about the fleet."""


def _format_value(value: JsonValue, indent: str) -> list[str]:
    """Return a JSON value as lines, with nested values indented."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = [("-", item) for item in value]
    else:
        return [f"{indent}{value}"]
    return [line for name, item in items for line in _format_item(name, item, indent)]


def _format_item(name: str, item: JsonValue, indent: str) -> list[str]:
    label = name if name == "-" else f"{name}:"
    if isinstance(item, dict | list):
        if not item:
            return [f"{indent}{label} none"]
        return [f"{indent}{label}", *_format_value(item, indent + INDENT)]
    return [f"{indent}{label} {item}"]
