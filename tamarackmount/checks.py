"""Validate daemon settings and configuration documents.

A check reports all problems at once, each with its line. This module checks single
texts; ``fleet_checks`` checks the rules between documents.
"""

import re
import tomllib
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from tamarackmount import settings_checks
from tamarackmount.documents import (
    NAME_PATTERN,
    Document,
    QueueDocument,
    TeamDocument,
)
from tamarackmount.ids import ConfigPath
from tamarackmount.problems import FieldProblem, Problem, dotted, problems_of_model
from tamarackmount.settings import Settings
from tamarackmount.toml_lines import (
    FieldPath,
    error_line,
    error_message,
    line_of,
    locate_fields,
)

MAX_TEXT_CHARACTERS = 65_536
"""Maximum length of a settings file or of one document, in characters."""

Model = TypeVar("Model", bound=BaseModel)

_MODELS_BY_KIND: dict[str, type[Document]] = {
    "teams": TeamDocument,
    "queues": QueueDocument,
}


def check_settings(text: str, source: str) -> Result[Settings, list[Problem]]:
    """Check the TOML text of a daemon's settings; ``source`` names its file."""
    return parse_toml(text, source).bind(
        lambda values: _check_values(
            Settings, values, (), settings_checks.find_problems
        ).alt(lambda found: place_problems(found, text, source))
    )


def check_document(path: ConfigPath, text: str) -> Result[Document, list[Problem]]:
    """Check the TOML text of the document under ``path``."""
    checked_path = check_path(path)
    if isinstance(checked_path, Failure):
        return checked_path
    return parse_toml(text, path).bind(
        lambda values: check_document_values(path, values, ()).alt(
            lambda found: place_problems(found, text, path)
        )
    )


def check_path(path: str) -> Result[ConfigPath, list[Problem]]:
    """Check that ``path`` is ``teams/<name>`` or ``queues/<name>``."""
    kind, _, name = path.partition("/")
    if kind not in _MODELS_BY_KIND:
        message = "a path is teams/<name> or queues/<name>"
        return Failure([Problem(path, 0, "", message)])
    if not is_name(name):
        message = (
            f"{name!r} is not a valid name: a-z, 0-9 and '-', "
            "not starting with '-', at most 63 characters"
        )
        return Failure([Problem(path, 0, "", message)])
    return Success(ConfigPath(path))


def check_document_values(
    path: ConfigPath, values: dict[str, Any], prefix: FieldPath
) -> Result[Document, list[FieldProblem]]:
    """Check the parsed values of a document whose path is already known to be valid.

    ``prefix`` is the location of the values in the text that they come from.
    """
    kind = path.partition("/")[0]
    checked = _check_values(_MODELS_BY_KIND[kind], values, prefix, _no_extra_problems)
    keys = values.get("keys") if kind == "teams" else None
    if not isinstance(keys, dict):
        return checked
    problems = [
        FieldProblem((*prefix, *problem.path), problem.message)
        for problem in _key_problems(keys)
    ]
    if not problems:
        return checked
    return Failure([*_problems_in(checked), *problems])


def parse_toml(text: str, source: str) -> Result[dict[str, Any], list[Problem]]:
    """Parse TOML; a text that is too long or malformed gives a single problem."""
    if len(text) > MAX_TEXT_CHARACTERS:
        message = f"is longer than {MAX_TEXT_CHARACTERS} characters"
        return Failure([Problem(source, 0, "", message)])
    try:
        return Success(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        problem = Problem(source, error_line(text, error), "", error_message(error))
        return Failure([problem])


def place_problems(
    found: Iterable[FieldProblem], text: str, source: str
) -> list[Problem]:
    """Add the line in ``text`` to each problem, and sort the problems by line."""
    lines_by_path = locate_fields(text)
    problems = [
        Problem(
            source,
            line_of(lines_by_path, problem.path),
            dotted(problem.path),
            problem.message,
        )
        for problem in found
    ]
    return sorted(problems, key=lambda problem: problem.line)


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of a team, a queue or a key."""
    return re.fullmatch(NAME_PATTERN, text) is not None


def _check_values(
    model: type[Model],
    values: dict[str, Any],
    prefix: FieldPath,
    extra_check: Callable[[Model], list[FieldProblem]],
) -> Result[Model, list[FieldProblem]]:
    """Validate with the model, then with a check that the model can't express."""
    try:
        parsed = model.model_validate(values)
    except ValidationError as error:
        return Failure(problems_of_model(error, prefix))
    problems = extra_check(parsed)
    return Failure(problems) if problems else Success(parsed)


def _no_extra_problems(_model: BaseModel) -> list[FieldProblem]:
    return []


def _problems_in(result: Result[Any, list[FieldProblem]]) -> list[FieldProblem]:
    return result.failure() if isinstance(result, Failure) else []


def _key_problems(keys: dict[str, Any]) -> list[FieldProblem]:
    """Find keys with an invalid name and keys that share a hash."""
    problems: list[FieldProblem] = []
    names_by_hash: dict[str, str] = {}
    for name, key in keys.items():
        if not is_name(name):
            message = (
                f"{name!r} is not a valid name: a-z, 0-9 and '-', "
                "not starting with '-', at most 63 characters"
            )
            problems.append(FieldProblem(("keys", name), message))
        sha256 = key.get("sha256") if isinstance(key, dict) else None
        if not isinstance(sha256, str):
            continue
        other = names_by_hash.setdefault(sha256, name)
        if other != name:
            message = f"is the same key as {other!r}"
            problems.append(FieldProblem(("keys", name, "sha256"), message))
    return problems
