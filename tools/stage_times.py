"""Print how long each stage of a job's path takes, by queue, from saved logs.

    python -m tools.stage_times LOG...

The logs are those of all entry VMs. Jobs without an end in them are left out.
"""

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

from tamarackmount.explain import LogLine, read_lines
from tamarackmount.job_traces import JobTrace, read_traces

HIGH_PERCENTILE = 95


class Stage(Enum):
    """A part of a job's path, in the order of time."""

    ACCEPT = "accepted by the store"
    FIRST_START = "first start"
    RUNS = "last run ended"
    END = "end decided"


def stage_seconds(trace: JobTrace) -> dict[Stage, float]:
    """Return the length of each stage of a job that has ended, in seconds.

    Empty if the logs lack one of them.
    """
    ends = [run.ended_at for run in trace.runs if run.ended_at is not None]
    if trace.handed_in_at is None or trace.stored_at is None or not ends:
        return {}
    if trace.ended_at is None:
        return {}
    first_start = min(run.started_at for run in trace.runs)
    times = [trace.handed_in_at, trace.stored_at, first_start, max(ends)]
    pairs = zip(times, [*times[1:], trace.ended_at], strict=True)
    return {
        stage: max(0.0, after - before)
        for stage, (before, after) in zip(Stage, pairs, strict=True)
    }


def seconds_by_stage(
    lines: Iterable[LogLine],
) -> dict[tuple[str, Stage], list[float]]:
    """Return the lengths of each stage in seconds, sorted, by queue and in time."""
    seconds: dict[tuple[str, Stage], list[float]] = defaultdict(list)
    for trace in read_traces(lines).values():
        for stage, length_s in stage_seconds(trace).items():
            seconds[trace.queue, stage].append(length_s)
    stages = list(Stage)
    keys = sorted(seconds, key=lambda key: (key[0], stages.index(key[1])))
    return {key: sorted(seconds[key]) for key in keys}


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile of sorted values, by the nearest rank."""
    rank = -(-len(values) * percent // 100)
    return values[max(0, rank - 1)]


def main(arguments: Sequence[str]) -> int:
    """Print the table; return 1 if no job in the logs has ended."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    options = parser.parse_args(arguments)
    rows = seconds_by_stage(read_lines(path.read_text() for path in options.logs))
    print(f"{'queue':12} {'stage':22} {'jobs':>5} {'half':>8} {HIGH_PERCENTILE:>7}%")
    for (queue, stage), values in rows.items():
        half, high = percentile(values, 50), percentile(values, HIGH_PERCENTILE)
        print(f"{queue:12} {stage.value:22} {len(values):5} {half:7.3f}s {high:7.3f}s")
    return 0 if rows else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
