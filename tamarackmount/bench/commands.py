"""Command line of the benchmarks."""

import argparse
from collections.abc import Sequence

from tamarackmount.bench import capacity
from tamarackmount.bench.registry import BENCHES, BenchOptions

BUILT_IN = (capacity,)
"""Modules that register their benchmarks when they are imported."""


def run_bench(arguments: Sequence[str]) -> int:
    """Run the benchmark that the arguments name and return the exit code."""
    parser = argparse.ArgumentParser("python -m tamarackmount.bench")
    parser.add_argument("bench", choices=BENCHES.names())
    parser.add_argument("--json", action="store_true", help="print one line of JSON")
    parser.add_argument(
        "--small",
        action="store_true",
        help="measure at tiny sizes, to check that the measurements run",
    )
    chosen = parser.parse_args(arguments)
    bench = BENCHES.get(chosen.bench).unwrap()
    print(bench(BenchOptions(chosen.json, chosen.small)))
    return 0
