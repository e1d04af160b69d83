"""Find the line numbers of the fields of a TOML text.

``tomllib`` reports no positions of values, so this module splits a text that is known
to be valid into statements and parses each of them with ``tomllib``.
"""

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

FieldPath = tuple[str | int, ...]
"""Path of a value: keys of tables and indexes of arrays, outermost first."""

MAX_STATEMENT_LINES = 500
"""Maximum length of a statement, in lines; the scan stops at a longer one."""

_LINE_IN_MESSAGE = re.compile(r"\(at line (\d+), column \d+\)")


def error_line(text: str, error: tomllib.TOMLDecodeError) -> int:
    """Return the line of a syntax error, counted from 1; by default the last line."""
    match = _LINE_IN_MESSAGE.search(str(error))
    if match:
        return int(match.group(1))
    return max(1, len(text.splitlines()))


def error_message(error: tomllib.TOMLDecodeError) -> str:
    """Return the message of a syntax error without its position."""
    return re.sub(r"\s*\(at [^)]*\)$", "", str(error))


@dataclass
class _Scan:
    """The state of a scan over the statements of a text."""

    lines_by_path: dict[FieldPath, int] = field(default_factory=dict)
    counts_by_array: dict[FieldPath, int] = field(default_factory=dict)
    table: FieldPath = ()

    def record(self, path: FieldPath, line: int) -> None:
        """Record the line of a path and of its parents, unless already known."""
        for length in range(1, len(path) + 1):
            self.lines_by_path.setdefault(path[:length], line)

    def resolve(self, names: list[str]) -> FieldPath:
        """Return the path of a header, inside the latest entry of each array."""
        path: FieldPath = ()
        for name in names:
            path = (*path, name)
            count = self.counts_by_array.get(path, 0)
            if count:
                path = (*path, count - 1)
        return path

    def add_array_entry(self, names: list[str]) -> FieldPath:
        """Add an entry to an array of tables and return its path."""
        array = (*self.resolve(names[:-1]), names[-1])
        index = self.counts_by_array.get(array, 0)
        self.counts_by_array[array] = index + 1
        return (*array, index)


def locate_fields(text: str) -> dict[FieldPath, int]:
    """Return the line, counted from 1, of every field of a valid text.

    Entries of an array written in one statement all have the statement's line.
    """
    scan = _Scan()
    for line, statement in _statements(text):
        if statement.lstrip().startswith("["):
            _enter_table(scan, line, statement)
        else:
            _record_values(scan, line, tomllib.loads(statement), scan.table)
    return scan.lines_by_path


def line_of(lines_by_path: Mapping[FieldPath, int], path: FieldPath) -> int:
    """Return the line of a path or of its nearest known parent; 0 if there is none."""
    for length in range(len(path), 0, -1):
        line = lines_by_path.get(path[:length])
        if line is not None:
            return line
    return 0


def _statements(text: str) -> Iterator[tuple[int, str]]:
    """Yield each statement with its first line; stop if the end of one isn't found."""
    lines = text.split("\n")
    index = 0
    while index < len(lines):
        length = _statement_length(lines, index)
        if length == 0:
            return
        statement = "\n".join(lines[index : index + length])
        if tomllib.loads(statement):
            yield index + 1, statement
        index += length


def _statement_length(lines: list[str], start: int) -> int:
    """Return the statement's number of lines, or 0 if its end isn't found."""
    last = min(len(lines), start + MAX_STATEMENT_LINES)
    for end in range(start + 1, last + 1):
        if _parses("\n".join(lines[start:end])):
            return end - start
    return 0


def _parses(text: str) -> bool:
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False
    return True


def _enter_table(scan: _Scan, line: int, statement: str) -> None:
    """Make the table of a header the current one."""
    names, is_array_entry = _header_names(tomllib.loads(statement))
    if is_array_entry:
        scan.table = scan.add_array_entry(names)
    else:
        scan.table = scan.resolve(names)
    scan.record(scan.table, line)


def _header_names(parsed: Mapping[str, object]) -> tuple[list[str], bool]:
    """Return the names in a parsed header and whether it starts an array entry."""
    names: list[str] = []
    inner: object = parsed
    while isinstance(inner, dict) and inner:
        name, inner = next(iter(inner.items()))
        names.append(name)
    return names, isinstance(inner, list)


def _record_values(
    scan: _Scan, line: int, values: Mapping[str, object], table: FieldPath
) -> None:
    """Record the line of every key that one statement sets."""
    for name, value in values.items():
        path = (*table, name)
        scan.record(path, line)
        if isinstance(value, dict):
            _record_values(scan, line, value, path)
