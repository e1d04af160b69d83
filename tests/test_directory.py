"""Tests of the index of teams, keys and queues."""

from tamarackmount.ids import ConfigPath, KeyHash, Offset, QueueName, WorkspaceId
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.fleet_config import Document

KEY = KeyHash("a" * 64)
TEAM_PATH = ConfigPath("teams/retail")


def document(text: str, version: int = 1, path: ConfigPath = TEAM_PATH) -> Document:
    return Document(path, Offset(version), text)


def keyed(revoked: bool = False) -> str:
    revoked_line = "revoked = true\n" if revoked else ""
    return f'share = 1.0\n[keys.main]\nsha256 = "{KEY}"\n{revoked_line}'


def test_a_key_identifies_its_team_until_it_is_revoked() -> None:
    directory = Directory()
    assert not directory.update({TEAM_PATH: document(keyed())})
    assert directory.team_of_key(KEY) == WorkspaceId("retail")
    directory.update({TEAM_PATH: document(keyed(revoked=True), version=2)})
    assert directory.team_of_key(KEY) is None


def test_removing_a_document_removes_its_team_and_keys() -> None:
    directory = Directory()
    directory.update({TEAM_PATH: document(keyed())})
    directory.update({})
    assert directory.team_of_key(KEY) is None
    assert not directory.teams_by_id


def test_an_invalid_document_is_reported_once_and_counts_as_absent() -> None:
    directory = Directory()
    documents = {TEAM_PATH: document("share = -1\n")}
    assert directory.update(documents)
    assert not directory.update(documents)
    assert not directory.teams_by_id


def test_an_invalid_document_does_not_affect_the_others() -> None:
    directory = Directory()
    queue = ConfigPath("queues/counter")
    directory.update(
        {
            TEAM_PATH: document("nonsense"),
            queue: document('service = "counter"\n', path=queue),
        }
    )
    assert list(directory.queues_by_name) == [QueueName("counter")]
