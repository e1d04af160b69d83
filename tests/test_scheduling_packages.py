"""Packages of ``scheduling`` import from each other in one direction only."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import tamarackmount.scheduling

ROOT = Path(tamarackmount.scheduling.__file__).parent
PREFIX = f"{tamarackmount.scheduling.__name__}."

ORDER = (
    "domain",
    "store",
    "membership",
    "estimates",
    "jobs",
    "workers",
    "shares",
    "scheduler_state",
    "evidence",
    "execution",
    "limits",
    "contact",
    "placement",
    "admission",
    "advice",
    "scheduler",
)
"""Packages and modules directly in ``scheduling``, in the order of imports."""


def imported_parts(path: Path) -> Iterator[str]:
    """Yield the parts of ``scheduling`` that a file imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        else:
            continue
        for name in names:
            if name.startswith(PREFIX):
                yield name.removeprefix(PREFIX).split(".")[0]


def test_every_package_has_its_place_in_the_order() -> None:
    parts = {path.stem for path in ROOT.iterdir() if not path.stem.startswith("__")}
    assert parts == set(ORDER)


@pytest.mark.parametrize("part", ORDER)
def test_a_package_imports_only_from_itself_and_those_before_it(part: str) -> None:
    folder = ROOT / part
    paths = list(folder.glob("*.py")) if folder.is_dir() else [ROOT / f"{part}.py"]
    allowed = set(ORDER[: ORDER.index(part) + 1])
    for path in paths:
        assert set(imported_parts(path)) <= allowed, path.name
