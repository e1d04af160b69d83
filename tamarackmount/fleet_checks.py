"""Validate all documents of a fleet together.

A fleet file is a TOML text with a table ``[teams.NAME]`` or ``[queues.NAME]`` for
each document.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from tamarackmount.checks import (
    check_document,
    check_document_values,
    check_path,
    parse_toml,
    place_problems,
)
from tamarackmount.documents import Ceiling, Document, QueueDocument, TeamDocument
from tamarackmount.ids import ConfigPath
from tamarackmount.problems import FieldProblem, Problem
from tamarackmount.toml_lines import FieldPath

MIN_SHARE_FRACTION = 0.0001
"""Minimum share of a team, as a fraction of the sum of all shares."""

FLEET_TABLES = ("teams", "queues")
"""Names of the top-level tables of a fleet file."""


def check_fleet_text(
    text: str, source: str, policies: Collection[str] | None = None
) -> Result[dict[ConfigPath, Document], list[Problem]]:
    """Check a fleet file; return its documents by path.

    ``policies`` lists the names of existing queue policies; ``None`` accepts any.
    """
    parsed = parse_toml(text, source)
    if isinstance(parsed, Failure):
        return parsed
    documents, problems = _read_documents(parsed.unwrap())
    if not problems:
        problems = check_fleet(documents, policies=policies)
    if problems:
        return Failure(place_problems(problems, text, source))
    return Success(documents)


def check_fleet(
    documents: Mapping[ConfigPath, Document],
    *,
    policies: Collection[str] | None = None,
    services: Collection[str] | None = None,
) -> list[FieldProblem]:
    """Return the problems across documents that are each valid on their own.

    ``policies`` and ``services`` list the names that queues may refer to; ``None``
    accepts any.
    """
    teams = {p: d for p, d in documents.items() if isinstance(d, TeamDocument)}
    queues = {p: d for p, d in documents.items() if isinstance(d, QueueDocument)}
    return [
        *_share_problems(teams),
        *_ceiling_problems(teams),
        *_shared_key_problems(teams),
        *_reference_problems(queues, policies, services),
    ]


def check_new_document(
    path: ConfigPath, text: str, policies: Collection[str]
) -> Result[Document, list[Problem]]:
    """Check a document that is about to be accepted, including names it refers to.

    Documents that are already accepted are checked with ``checks.check_document``
    only, since members of another version may know other policies.
    """
    checked = check_document(path, text)
    if isinstance(checked, Failure):
        return checked
    document = checked.unwrap()
    problems = [
        FieldProblem(problem.path[len(_field_path(path)) :], problem.message)
        for problem in check_fleet({path: document}, policies=policies)
    ]
    return Failure(place_problems(problems, text, path)) if problems else checked


def _read_documents(
    values: dict[str, Any],
) -> tuple[dict[ConfigPath, Document], list[FieldProblem]]:
    """Check each document on its own; return the valid ones and all problems."""
    documents: dict[ConfigPath, Document] = {}
    problems: list[FieldProblem] = []
    for kind, table in values.items():
        if kind not in FLEET_TABLES or not isinstance(table, dict):
            message = "is not a table of a fleet file, which are teams and queues"
            problems.append(FieldProblem((kind,), message))
            continue
        for name, entry in table.items():
            match _read_document(kind, name, entry):
                case Success(document):
                    documents[ConfigPath(f"{kind}/{name}")] = document
                case Failure(found):
                    problems.extend(found)
    return documents, problems


def _read_document(
    kind: str, name: str, entry: Any
) -> Result[Document, list[FieldProblem]]:
    if not isinstance(entry, dict):
        return Failure([FieldProblem((kind, name), "is not a table")])
    path = check_path(f"{kind}/{name}")
    if isinstance(path, Failure):
        message = path.failure()[0].message
        return Failure([FieldProblem((kind, name), message)])
    return check_document_values(path.unwrap(), entry, (kind, name))


def _field_path(path: ConfigPath, *names: str) -> FieldPath:
    """Return the path of a document's field in a fleet file."""
    return (*path.split("/"), *names)


def _share_problems(
    teams: Mapping[ConfigPath, TeamDocument],
) -> Iterator[FieldProblem]:
    total = sum(team.share for team in teams.values())
    for path, team in teams.items():
        if team.share < total * MIN_SHARE_FRACTION:
            message = (
                f"{team.share} is below {MIN_SHARE_FRACTION} of all shares, {total}"
            )
            yield FieldProblem(_field_path(path, "share"), message)


def _ceiling_problems(
    teams: Mapping[ConfigPath, TeamDocument],
) -> Iterator[FieldProblem]:
    for path, team in teams.items():
        for name, message in _ceiling_conflicts(team.ceiling):
            yield FieldProblem(_field_path(path, "ceiling", name), message)


def _ceiling_conflicts(ceiling: Ceiling) -> Iterator[tuple[str, str]]:
    """Find pairs of limits of which one allows tasks and the other allows none."""
    if ceiling.running_tasks is None:
        return
    amounts = {"cores": ceiling.cores, "memory_gib": ceiling.memory_gib}
    for name, amount in amounts.items():
        if amount == 0 and ceiling.running_tasks > 0:
            yield name, "0 lets no task run, but running_tasks is above 0"
        if amount and ceiling.running_tasks == 0:
            yield name, f"{amount} lets tasks run, but running_tasks is 0"


def _shared_key_problems(
    teams: Mapping[ConfigPath, TeamDocument],
) -> Iterator[FieldProblem]:
    owners_by_hash: dict[str, ConfigPath] = {}
    for path, team in teams.items():
        for name, key in team.keys.items():
            owner = owners_by_hash.setdefault(key.sha256, path)
            if owner != path:
                field_path = _field_path(path, "keys", name, "sha256")
                yield FieldProblem(field_path, f"is also a key of {owner}")


def _reference_problems(
    queues: Mapping[ConfigPath, QueueDocument],
    policies: Collection[str] | None,
    services: Collection[str] | None,
) -> Iterator[FieldProblem]:
    for path, queue in queues.items():
        references = (
            ("policy", queue.policy, policies),
            ("service", queue.service, services),
        )
        for name, value, known in references:
            if known is not None and value not in known:
                message = f"{value!r} is unknown; known: {', '.join(sorted(known))}"
                yield FieldProblem(_field_path(path, name), message)
