"""Registry of the benches."""

from dataclasses import dataclass
from typing import Protocol

from tamarackmount.plugins.manager import Registry


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """What the command line asks for.

    ``is_small`` runs every measurement at a tiny size, to see that it works; the
    figures mean nothing.
    """

    as_json: bool = False
    is_small: bool = False


class Bench(Protocol):
    """Measures something on this machine."""

    def __call__(self, options: BenchOptions) -> str:
        """Run the bench and return its report."""


BENCHES: Registry[Bench] = Registry("bench")
"""Every bench by name."""
