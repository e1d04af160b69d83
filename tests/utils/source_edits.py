"""Edits of a copy of the source, for mutations and for switching mechanisms off."""

import shutil
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]


class StaleEditError(Exception):
    """The text that an edit replaces does not occur exactly once."""


@dataclass(frozen=True, slots=True)
class SourceEdit:
    """Replace ``old`` in the file at ``path``, below the package, with ``new``."""

    path: str
    old: str
    new: str

    def check(self, root: Path) -> None:
        """Raise :exc:`StaleEditError` unless the edit applies to the tree ``root``."""
        self._read(root)

    def apply(self, root: Path) -> None:
        """Edit the tree ``root``, or raise :exc:`StaleEditError`."""
        text = self._read(root)
        self._file(root).write_text(text.replace(self.old, self.new), encoding="utf-8")

    def _file(self, root: Path) -> Path:
        return root / "tamarackmount" / self.path

    def _read(self, root: Path) -> str:
        text = self._file(root).read_text(encoding="utf-8")
        count = text.count(self.old)
        if count != 1:
            raise StaleEditError(f"{self.path}: {count} places, not 1: {self.old!r}")
        return text


def copy_source(target: Path) -> None:
    """Copy the package and its tests to ``target``."""
    for name in ("tamarackmount", "tests", "tools", "pyproject.toml"):
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target / name)
