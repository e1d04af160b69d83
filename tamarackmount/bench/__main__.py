"""Command line entry point of the benchmarks; see docs/CAPACITY.md."""

import sys

from tamarackmount.bench.commands import run_bench

if __name__ == "__main__":
    sys.exit(run_bench(sys.argv[1:]))
