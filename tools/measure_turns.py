"""Measure turns of the holder with large jobs, in milliseconds of processor time.

    python -m tools.measure_turns [--sizes 10,1000,19000] [--repeats 5]

Prints a line for each turn and size. The size is a job's number of repetitions, or of
tasks in its step.
"""

import argparse
import gc
import logging
import sys
import time
from collections.abc import Callable
from statistics import median

from tamarackmount.ids import Epoch
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.scheduler import Scheduler
from tests.utils.build_repetitions import (
    RunningPool,
    full_pool,
    repeated_job,
    stored_index,
)
from tests.utils.build_scheduling import START, UNIX_MS, job, step

JOBS = 100
"""Number of jobs with repetitions in the turn of many jobs."""

Turn = Callable[[], object]


def submit(accepted: AcceptedJob) -> Turn:
    """Return the turn in which a job comes to a full pool."""
    harness = full_pool()
    return lambda: harness.submit_job(accepted)


def wait(*jobs: AcceptedJob) -> Turn:
    """Return a turn in which nothing happens, while jobs wait for a full pool."""
    harness = full_pool()
    for accepted in jobs:
        harness.submit_job(accepted)
    harness.tick(0.05)
    return lambda: harness.tick(0.05)


def end(accepted: AcceptedJob) -> Turn:
    """Return the turns in which the third task of a job ends and is stored."""
    pool = RunningPool(cores=1)
    pool.harness.submit_job(accepted)
    pool.run_rounds(2)
    runs = pool.start()
    return lambda: pool.end(runs)


def restore(accepted: AcceptedJob) -> Turn:
    """Return the turn in which a job is restored that has not begun."""
    index = stored_index({}, accepted)
    scheduler = Scheduler(Epoch(8), lambda _: None)
    return lambda: scheduler.restore(
        index.open_jobs(), [], None, START, True, START, UNIX_MS
    )


def wait_with_many_jobs(repetitions: int) -> Turn:
    """Return a turn in which many jobs wait that have so many repetitions in all."""
    each = max(1, repetitions // JOBS)
    return wait(*(repeated_job(number + 1, each) for number in range(JOBS)))


TURNS: dict[str, Callable[[int], Turn]] = {
    "submit, repetitions due": lambda size: submit(repeated_job(1, size)),
    "wait, repetitions due": lambda size: wait(repeated_job(1, size)),
    "wait, repetitions in a minute": lambda size: wait(
        repeated_job(1, size, first_in_ms=60_000)
    ),
    f"wait, repetitions of {JOBS} jobs due": wait_with_many_jobs,
    "end, repetitions due": lambda size: end(repeated_job(1, size)),
    "restore, repetitions due": lambda size: restore(repeated_job(1, size)),
    "submit, one step": lambda size: submit(job(1, step(size))),
    "wait, one step": lambda size: wait(job(1, step(size))),
    "end, one step": lambda size: end(job(1, step(size))),
    "restore, one step": lambda size: restore(job(1, step(size))),
}


def time_ms(turn: Turn) -> float:
    """Return the processor time of a turn, in milliseconds."""
    gc.collect()
    gc.disable()
    try:
        begin = time.process_time()
        turn()
        return (time.process_time() - begin) * 1e3
    finally:
        gc.enable()


def main(arguments: list[str]) -> int:
    """Measure all turns; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="10,1000,19000")
    parser.add_argument("--repeats", type=int, default=5)
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    sizes = [int(size) for size in options.sizes.split(",")]
    for name, build in TURNS.items():
        for size in sizes:
            samples = [time_ms(build(size)) for _ in range(options.repeats)]
            print(f"{name}: {size}, {median(samples):.2f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
