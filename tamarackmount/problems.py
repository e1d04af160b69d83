"""Problems found in settings and documents, with their locations."""

from collections.abc import Iterable
from dataclasses import dataclass

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from tamarackmount.toml_lines import FieldPath


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a text.

    ``source`` is the file or the path of the document. ``line`` is counted from 1 and
    is 0 if the problem has no line. ``field`` is a dotted path and may be empty.
    """

    source: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line, in the format of compiler messages."""
        location = f"{self.source}:{self.line}" if self.line else self.source
        if not self.field:
            return f"{location}: {self.message}"
        return f"{location}: {self.field}: {self.message}"


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """A problem with a field, whose line in a text is not yet known."""

    path: FieldPath
    message: str


def describe(problems: Iterable[Problem]) -> str:
    """Return the problems as text, one line each."""
    return "\n".join(str(problem) for problem in problems)


def dotted(path: FieldPath) -> str:
    """Return a path in the form ``peers[1].host``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def problems_of_model(error: ValidationError, prefix: FieldPath) -> list[FieldProblem]:
    """Return all errors of a model's validation, with paths under ``prefix``."""
    return [
        FieldProblem((*prefix, *_path_of(details)), _message_of(details))
        for details in error.errors(include_url=False)
    ]


def _path_of(details: ErrorDetails) -> FieldPath:
    """Return the path of an error; for an invalid table key, that of its entry."""
    return tuple(part for part in details["loc"] if part != "[key]")


_MESSAGES_BY_TYPE = {
    "missing": "is required and missing",
    "extra_forbidden": "is not a known field; check its spelling and its table",
}


def _message_of(details: ErrorDetails) -> str:
    known = _MESSAGES_BY_TYPE.get(details["type"])
    if known:
        return known
    message = details["msg"]
    return message[0].lower() + message[1:]
