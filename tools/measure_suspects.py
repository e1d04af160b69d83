"""Measure what decisions cost with many suspects, in microseconds of processor time.

    python -m tools.measure_suspects [--sizes 10,100,1000,10000] [--repeats 5]

Prints a line for each measure and number of suspects, and the slopes. Suspects are the
tasks of two jobs of equal size under which a worker crashed.
"""

import argparse
import gc
import logging
import sys
import time
from collections.abc import Callable, Sequence

from tamarackmount.bench.measuring import Point, fit_line, summarise
from tamarackmount.scheduling.evidence.crash_evidence import clear_task
from tamarackmount.scheduling.execution.run_ends import give_up_culprits
from tests.utils.build_scheduling import SchedulerHarness
from tests.utils.build_suspects import (
    CRASHED,
    only_step,
    pool_of_large_workers,
    record_crash_under,
    small_tasks,
)

OPERATIONS = 200
"""Number of tasks that a sample places or lets end by default."""

WORKERS = 10


def time_us(call: Callable[[], object]) -> float:
    """Return the processor time of a call, in microseconds."""
    gc.collect()
    gc.disable()
    try:
        begin = time.process_time()
        call()
        return (time.process_time() - begin) * 1e6
    finally:
        gc.enable()


def pool_with_suspects(count: int) -> SchedulerHarness:
    """Return a pool in which ``count`` suspects of two jobs have just started."""
    harness = pool_of_large_workers(WORKERS)
    jobs = [small_tasks(number, count // 2) for number in (1, 2)]
    for accepted in jobs:
        harness.submit_job(accepted)
    for accepted in jobs:
        record_crash_under(harness, accepted)
    give_up_culprits(harness.scheduler._state, [CRASHED], harness.now)
    return harness


def round_us(count: int, placed: int) -> float:
    """Return the time of a round that places tasks beside suspects."""
    harness = pool_with_suspects(count)
    accepted = small_tasks(3, placed)
    return time_us(lambda: harness.submit_job(accepted))


def placement_us(count: int, operations: int) -> float:
    """Return the time in which a round places one more task beside suspects."""
    return (round_us(count, 1 + operations) - round_us(count, 1)) / operations


def end_us(count: int, operations: int) -> float:
    """Return the time in which the evidence against a task is withdrawn."""
    harness = pool_with_suspects(count)
    state = harness.scheduler._state
    ended = only_step(harness, small_tasks(1, count // 2))
    operations = min(operations, count // 4)

    def end() -> None:
        for index in range(operations):
            give_up_culprits(state, clear_task(state, ended, index), harness.now)

    return time_us(end) / operations


def crash_us(count: int, _operations: int) -> float:
    """Return the time in which a crash is recorded under a task, of many."""
    harness = pool_of_large_workers(WORKERS)
    accepted = small_tasks(1, count)
    harness.submit_job(accepted)
    return time_us(lambda: record_crash_under(harness, accepted)) / count


MEASURES: dict[str, Callable[[int, int], float]] = {
    "place": placement_us,
    "end": end_us,
    "crash": crash_us,
}


def measure(name: str, sizes: Sequence[int], repeats: int, operations: int) -> None:
    """Print the points of one measure, and the slope of their line."""
    points: list[Point] = []
    for size in sizes:
        samples = [MEASURES[name](size, operations) for _ in range(repeats)]
        points.append(summarise(size, samples))
        spread = points[-1].spread
        print(f"{name}: {size} suspects, {points[-1].value:.1f} us +- {spread:.0%}")
    line = fit_line(points)
    print(f"{name}: base {line.base:.1f} us, slope {line.per_unit:.5f} us a suspect")


def main(arguments: Sequence[str]) -> int:
    """Measure all decisions, or those that are named; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="10,100,1000,10000")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--operations", type=int, default=OPERATIONS)
    parser.add_argument("--measures", default=",".join(MEASURES))
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    sizes = [int(size) for size in options.sizes.split(",")]
    for name in options.measures.split(","):
        measure(name, sizes, options.repeats, options.operations)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
