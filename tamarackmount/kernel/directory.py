"""Teams, keys and queues, read from the configuration documents."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure

from tamarackmount.checks import check_document
from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.ids import ConfigPath, KeyHash, Offset, QueueName, TeamId
from tamarackmount.kernel.fleet_config import Document


@dataclass(slots=True)
class _Parsed:
    version: Offset
    content: TeamDocument | QueueDocument | None


class Directory:
    """What the documents say, kept up to date document by document."""

    def __init__(self) -> None:
        """Start empty."""
        self._parsed_by_path: dict[ConfigPath, _Parsed] = {}
        self.teams_by_id: dict[TeamId, TeamDocument] = {}
        self.queues_by_name: dict[QueueName, QueueDocument] = {}
        self._team_by_key: dict[KeyHash, TeamId] = {}

    def update(self, documents: Mapping[ConfigPath, Document]) -> list[str]:
        """Take in the documents that exist now; return problems found in them.

        A document that can't be read counts as absent.
        """
        problems = []
        for path in [path for path in self._parsed_by_path if path not in documents]:
            del self._parsed_by_path[path]
        for path, document in documents.items():
            known = self._parsed_by_path.get(path)
            if known is None or known.version != document.version:
                problems += self._parse(document)
        self._index()
        return problems

    def team_of_key(self, key: KeyHash) -> TeamId | None:
        """Return the team whose key this is, unless the key was revoked."""
        return self._team_by_key.get(key)

    def _parse(self, document: Document) -> list[str]:
        checked = check_document(document.path, document.text)
        content = None if isinstance(checked, Failure) else checked.unwrap()
        self._parsed_by_path[document.path] = _Parsed(document.version, content)
        if isinstance(checked, Failure):
            return [str(problem) for problem in checked.failure()]
        return []

    def _index(self) -> None:
        self.teams_by_id = {}
        self.queues_by_name = {}
        for path, parsed in self._parsed_by_path.items():
            name = path.partition("/")[2]
            if isinstance(parsed.content, TeamDocument):
                self.teams_by_id[TeamId(name)] = parsed.content
            if isinstance(parsed.content, QueueDocument):
                self.queues_by_name[QueueName(name)] = parsed.content
        self._team_by_key = {
            key.sha256: team_id
            for team_id, team in self.teams_by_id.items()
            for key in team.keys.values()
            if not key.revoked
        }
