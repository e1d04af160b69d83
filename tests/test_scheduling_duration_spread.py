"""Tests of copies and stragglers where durations differ more or less by themselves."""

import random
from collections import Counter

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.estimates.duration_spread import (
    MIN_SPREAD_SAMPLES,
    DurationSpread,
)
from tests.utils.build_scheduling import (
    LOW_PRIORITY,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.pool_simulation import PoolSimulation

WORKERS = [worker_entry(f"w{number}", cores=16) for number in range(8)]


def count_copies(spread: float) -> tuple[int, int]:
    """Return the numbers of tasks and of needless copies, after a time of learning."""
    simulation = PoolSimulation(
        SchedulerHarness(ceiling=Resources()), WORKERS, spread=spread
    )
    spec = step(20, estimated_ms=1_000, speculative=True)
    arrivals = [(1.0 * number, job(1 + number, spec)) for number in range(30)]
    simulation.run_until(arrivals, 40.0)
    judged = {accepted.job_id for _, accepted in arrivals[10:]}
    starts = [t for t, _ in simulation.worker_by_start if t.job_id in judged]
    return 20 * len(judged), len(starts) - 20 * len(judged)


def test_durations_that_differ_by_two_times_give_few_needless_copies() -> None:
    tasks, copies = count_copies(spread=2.0)
    assert copies <= 0.03 * tasks


def test_learned_slow_workers_give_few_copies() -> None:
    """Guards against copies of each task that runs on a slow worker on purpose."""
    simulation = PoolSimulation(
        SchedulerHarness(ceiling=Resources()),
        WORKERS,
        {"w0": 2.0, "w4": 2.0},
        spread=1.2,
    )
    spec = step(40, estimated_ms=1_000, speculative=True)
    arrivals = [(1.0 * number, job(1 + number, spec)) for number in range(30)]
    simulation.run_until(arrivals, 45.0)
    tasks = Counter(task for task, _ in simulation.worker_by_start)
    late_jobs = [arrivals[number][1].job_id for number in range(10, 30)]
    copied = [
        task for task, runs in tasks.items() if runs > 1 and task.job_id in late_jobs
    ]
    assert len(copied) <= 0.03 * 40 * len(late_jobs)


def test_too_few_runs_tell_no_spread() -> None:
    spread = DurationSpread()
    for _ in range(MIN_SPREAD_SAMPLES - 1):
        spread.add_step_ratio(LOW_PRIORITY, 1.5)
    assert spread.within_step(LOW_PRIORITY) is None
    assert spread.of_forecast(LOW_PRIORITY) is None


def test_the_spread_is_the_standard_deviation_of_logarithms() -> None:
    spread = DurationSpread()
    rng = random.Random(4)
    for _ in range(2_000):
        spread.add_step_ratio(LOW_PRIORITY, rng.lognormvariate(0.0, 0.3))
        spread.add_forecast_ratio(LOW_PRIORITY, rng.lognormvariate(0.0, 0.6))
    assert spread.within_step(LOW_PRIORITY) == pytest.approx(0.3, rel=0.2)
    assert spread.of_forecast(LOW_PRIORITY) == pytest.approx(0.6, rel=0.2)


def test_single_disturbed_runs_change_the_spread_little() -> None:
    spread = DurationSpread()
    for number in range(200):
        spread.add_step_ratio(LOW_PRIORITY, 50.0 if number % 40 == 0 else 1.1)
    within_step = spread.within_step(LOW_PRIORITY)
    assert within_step is not None
    assert within_step < 0.2
