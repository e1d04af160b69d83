"""Index of the teams, keys and queues in the configuration documents."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure

from tamarackmount.checks import check_document
from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.ids import ConfigPath, KeyHash, Offset, QueueName, WorkspaceId
from tamarackmount.kernel.fleet_config import Document


@dataclass(slots=True)
class _ParsedDocument:
    version: Offset
    content: TeamDocument | QueueDocument | None


class Directory:
    """Teams, keys and queues by name; parses only documents whose version changed."""

    def __init__(self) -> None:
        """Start empty."""
        self._parsed_by_path: dict[ConfigPath, _ParsedDocument] = {}
        self.teams_by_id: dict[WorkspaceId, TeamDocument] = {}
        self.queues_by_name: dict[QueueName, QueueDocument] = {}
        self._team_by_key: dict[KeyHash, WorkspaceId] = {}

    def update(self, documents: Mapping[ConfigPath, Document]) -> list[str]:
        """Index the documents that exist now; return the problems in new versions.

        A document that can't be parsed counts as absent.
        """
        problems = []
        for path in [path for path in self._parsed_by_path if path not in documents]:
            del self._parsed_by_path[path]
        for path, document in documents.items():
            parsed = self._parsed_by_path.get(path)
            if parsed is None or parsed.version != document.version:
                problems += self._parse(document)
        self._index()
        return problems

    def team_of_key(self, key: KeyHash) -> WorkspaceId | None:
        """Return the team that a key belongs to, unless the key was revoked."""
        return self._team_by_key.get(key)

    def _parse(self, document: Document) -> list[str]:
        checked = check_document(document.path, document.text)
        content = None if isinstance(checked, Failure) else checked.unwrap()
        self._parsed_by_path[document.path] = _ParsedDocument(document.version, content)
        if isinstance(checked, Failure):
            return [str(problem) for problem in checked.failure()]
        return []

    def _index(self) -> None:
        self.teams_by_id = {}
        self.queues_by_name = {}
        for path, parsed in self._parsed_by_path.items():
            name = path.partition("/")[2]
            if isinstance(parsed.content, TeamDocument):
                self.teams_by_id[WorkspaceId(name)] = parsed.content
            if isinstance(parsed.content, QueueDocument):
                self.queues_by_name[QueueName(name)] = parsed.content
        self._team_by_key = {
            key.sha256: team_id
            for team_id, team in self.teams_by_id.items()
            for key in team.keys.values()
            if not key.revoked
        }
