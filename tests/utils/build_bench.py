"""Builders of measured lines and plans for tests."""

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.measuring import Line, Point, SamplingOptions
from tamarackmount.bench.planner import Planner

SMALL = SamplingOptions(repeats=1, rounds=2, is_small=True)

PERIODS = Periods(
    tick_s=0.025,
    log_poll_s=0.5,
    vms_poll_s=1.0,
    worker_sync_s=0.5,
    ended_job_retention_s=3_600.0,
    appends_per_second=300.0,
)

SIZE = FleetSize(
    workers=1_000,
    data_centres=10,
    entry_vms=8,
    teams=96,
    queues=4,
    upstreams=120,
    jobs=86_400,
    tasks=10_000,
    tasks_per_job=10,
    starts=1_000,
    config_changes=8_640,
    replaced_vms=120,
)
"""Round numbers: a mean of one job per second, and 100 per second at peak."""


def build_line(base: float = 0.0, per_unit: float = 0.0) -> Line:
    points = tuple(Point(size, base + per_unit * size, 0.1) for size in (1, 2, 3))
    return Line(base, per_unit, points)


def build_planner(**lines_by_cost: Line) -> Planner:
    """Return a planner; costs that are not named are zero."""
    measured_lines = {cost: build_line() for cost in Cost}
    for name, line in lines_by_cost.items():
        measured_lines[Cost[name]] = line
    return Planner(SIZE, PERIODS, measured_lines)
