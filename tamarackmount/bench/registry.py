"""Registry of the benchmarks."""

from dataclasses import dataclass
from typing import Protocol

from tamarackmount.plugins.manager import Registry


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """Options of the command line.

    ``is_small`` runs every measurement at a tiny size, to check that it works; its
    figures are not meaningful.
    """

    as_json: bool = False
    is_small: bool = False


class Bench(Protocol):
    """A function that runs measurements on this machine."""

    def __call__(self, options: BenchOptions) -> str:
        """Run the benchmark and return its report."""


BENCHES: Registry[Bench] = Registry("bench")
"""The benchmarks by name."""
