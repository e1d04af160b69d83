"""``tamarackmount config apply``: create the documents of a fleet file."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from returns.result import Failure

from tamarackmount.checks import check_document
from tamarackmount.cli.base import ApiCommand
from tamarackmount.cli.writes import ABSENT_VERSION, write_document
from tamarackmount.client import Client
from tamarackmount.document_texts import render_document
from tamarackmount.documents import Document
from tamarackmount.fleet_checks import check_fleet_text
from tamarackmount.ids import ConfigPath
from tamarackmount.plugins.queue_policies import queue_policies
from tamarackmount.problems import describe
from tamarackmount.status import ExitStatus


class ConfigApplyCommand(ApiCommand):
    """Create the documents of a fleet file that don't exist yet."""

    name = "config apply"
    description = (
        "Create the documents of a fleet file that don't exist yet; those that exist "
        "are left as they are, and named if they differ."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("file", "TOML fleet file, or - for stdin."),
    ]

    def run_command(self) -> ExitStatus:
        """Check the file, then create the documents that don't exist."""
        client = self.make_client()
        name = self.argument("file")
        checked = check_fleet_text(self.read_text(name), name, queue_policies.names())
        if isinstance(checked, Failure):
            self.env.print_error(describe(checked.failure()))
            return ExitStatus.INVALID
        documents = checked.unwrap()
        return self.env.runner.run(lambda: self._apply(client, documents))

    async def _apply(
        self, client: Client, documents: dict[ConfigPath, Document]
    ) -> ExitStatus:
        live = await client.list_config()
        if isinstance(live, Failure):
            return self.fail(live.failure())
        texts_by_path = {view.path: view.text for view in live.unwrap().documents}
        results_by_path: dict[str, str] = {}
        for path, document in documents.items():
            text = texts_by_path.get(path)
            if text is not None:
                results_by_path[path] = _compare(path, text, document)
                continue
            result = await write_document(
                self.env, client, path, render_document(document), ABSENT_VERSION
            )
            if isinstance(result, Failure):
                if not self.wants_json:
                    self._show(results_by_path)
                return self.fail(result.failure(), advice=f"Stopped at {path}.")
            results_by_path[path] = "created"
        self._show(results_by_path)
        differs = "differs" in results_by_path.values()
        return ExitStatus.CONFLICT if differs else ExitStatus.OK

    def _show(self, results_by_path: dict[str, str]) -> None:
        if self.wants_json:
            self.print_json(results_by_path)
            return
        for path, result in results_by_path.items():
            self.env.print(f"{path}: {result}")


def _compare(path: ConfigPath, text: str, document: Document) -> str:
    """Compare a live text with a document by content: ``same`` or ``differs``."""
    same = check_document(path, text).value_or(None) == document
    return "same" if same else "differs"
