"""``tamarackmount contention``: who uses and who waits for the capacity of pools."""

from collections.abc import Sequence
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from returns.result import Failure

from tamarackmount.cli.base import EnvironmentCommand, UsageError
from tamarackmount.cli.tables import format_table
from tamarackmount.contention import ContentionView, NodeContention, read_contention
from tamarackmount.http_calls import HttpRequest
from tamarackmount.status import ExitStatus

TIMEOUT_S = 5.0
"""Timeout of reading one entry VM's metrics, in seconds."""

_HTTP_OK = 200

_TITLE_BY_FRACTION = {
    "entitled": "ENTITLED",
    "used": "USED",
    "lent": "LENT",
    "borrowed": "BORROWED",
    "waiting": "WAITING",
}


class ContentionCommand(EnvironmentCommand):
    """Print the shares of workspaces in pools, as the holder sees them."""

    name = "contention"
    description = "Print who uses, lends, borrows and waits for the capacity of pools."
    arguments: ClassVar[list[Argument]] = [
        argument(
            "urls",
            "Metrics addresses of entry VMs, such as http://192.0.2.11:9100; "
            "the first one that is the holder is used.",
            multiple=True,
        ),
    ]

    def run_command(self) -> ExitStatus:
        """Read the metrics of the VMs until one is the holder; print its rows."""
        urls = self.argument("urls")
        for url in urls:
            if not url.startswith(("http://", "https://")) or not url.isascii():
                raise UsageError(f"{url!r} is not a URL such as http://192.0.2.1:9100")
        return self.env.runner.run(lambda: self._ask(urls))

    async def _ask(self, urls: Sequence[str]) -> ExitStatus:
        is_any_reached = False
        for url in urls:
            found = await self._read(url)
            if found is None:
                continue
            is_any_reached = True
            if found.is_holder:
                self._show(found.rows)
                return ExitStatus.OK
            self.env.print_error(f"contention: {url} is not the holder")
        return ExitStatus.NOT_FOUND if is_any_reached else ExitStatus.UNREACHABLE

    async def _read(self, url: str) -> NodeContention | None:
        """Return what one VM's metrics say, or None if it did not answer."""
        address = url.rstrip("/").removesuffix("/metrics") + "/metrics"
        request = HttpRequest("GET", address, (), b"", TIMEOUT_S)
        result = await self.env.opener.send(request)
        if isinstance(result, Failure):
            self.env.print_error(f"contention: {url}: {result.failure().message}")
            return None
        response = result.unwrap()
        if response.status != _HTTP_OK:
            self.env.print_error(f"contention: {url}: status {response.status}")
            return None
        return read_contention(response.body.decode("utf-8", "replace"))

    def _show(self, rows: Sequence[ContentionView]) -> None:
        if self.wants_json:
            objects = [
                {"workspace": row.workspace, "service": row.service}
                | row.value_by_measure
                for row in rows
            ]
            self.print_json({"rows": objects})
        elif rows:
            titles = ["POOL", "WORKSPACE", *_TITLE_BY_FRACTION.values()]
            titles += ["REFUSED", "DRAIN"]
            self.env.print(format_table(titles, [_cells(row) for row in rows]))
        else:
            self.env.print("no pool has shares in force")


def _cells(row: ContentionView) -> list[str]:
    values = row.value_by_measure
    fractions = [
        f"{values[name]:.1%}" if name in values else "-" for name in _TITLE_BY_FRACTION
    ]
    refused = f"{values['refused_jobs']:.0f}" if "refused_jobs" in values else "-"
    drain = f"{values['drain_seconds']:.1f} s" if "drain_seconds" in values else "-"
    return [row.service, row.workspace, *fractions, refused, drain]
