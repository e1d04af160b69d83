"""Tests of large workers that are kept whole for tasks that need much of one."""

import random
from dataclasses import replace

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepSpec
from tamarackmount.scheduling.workers.large_tasks import LargeTasks
from tests.utils.build_scheduling import (
    SERVICE,
    START,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.pool_simulation import PoolSimulation

CAPACITY = Resources(128_000, 512_000, 8)
WORKERS = [worker_entry(f"w{number}", capacity=CAPACITY) for number in range(16)]
GANG_S = 3.6
SMALL_S = 3.0
SMALL_LIMIT_S = 4.0 * SMALL_S + 3.0
SLACK_S = 3.0 * GANG_S + 3.0
"""Slack of a gang in its queue, which gives it 4 times its duration and 3 s."""


def gang_step(count: int = 3) -> StepSpec:
    spec = step(count, estimated_ms=int(GANG_S * 1_000), gang=True)
    return replace(spec, amount=Resources(62_000, 1_000, 8))


def small_step(count: int) -> StepSpec:
    spec = step(count, estimated_ms=int(SMALL_S * 1_000))
    return replace(spec, amount=Resources(11_000, 1_000, 1))


def gangs(until_s: int) -> list[tuple[float, AcceptedJob]]:
    return [
        (float(at_s), job(1 + at_s, gang_step())) for at_s in range(2, until_s - 10, 6)
    ]


def small_jobs(until_s: int, per_second: int) -> list[tuple[float, AcceptedJob]]:
    """Return jobs of 16 tasks on one accelerator each, at random moments."""
    rng = random.Random(2)
    return [
        (rng.uniform(0.0, until_s - 15.0), job(1_000 + number, small_step(16)))
        for number in range(until_s * per_second)
    ]


def test_gangs_of_whole_workers_start_soon_beside_tasks_on_one_accelerator() -> None:
    simulation = PoolSimulation(SchedulerHarness(ceiling=Resources()), WORKERS)
    arrivals, small = gangs(50), small_jobs(50, 2)
    simulation.run_until([*arrivals, *small], 50.0)
    # Nothing is known before the first gang.
    for arrives, accepted in arrivals[1:]:
        assert simulation.first_start_s[accepted.job_id] - arrives <= 0.5
    for arrives, accepted in small:
        assert simulation.done_s[accepted.job_id] - arrives <= SMALL_LIMIT_S


def test_a_task_on_one_accelerator_leaves_whole_workers_free() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    simulation = PoolSimulation(harness, WORKERS[:5])
    simulation.run_until([(0.0, job(1, gang_step(1)))], 5.0)
    harness.submit_job(job(2, small_step(64)))
    used = {start.order.incarnation for start in harness.starts}
    assert len(harness.starts) == 32
    assert len(used) == 4


def test_gangs_start_in_time_after_half_of_the_large_workers_are_gone() -> None:
    simulation = PoolSimulation(SchedulerHarness(ceiling=Resources()), WORKERS)
    simulation.run_until([(2.0, job(1, gang_step()))], 8.0)
    simulation.remove_workers({f"w{number}" for number in range(8)})
    later = [(8.0 + 8.0 * n, job(10 + n, gang_step())) for n in range(3)]
    small = [(8.0 + at, row) for at, row in small_jobs(40, 1)]
    simulation.run_until([*later, *small], 60.0)
    for arrives, accepted in later:
        assert simulation.first_start_s[accepted.job_id] - arrives <= SLACK_S


def test_no_task_is_large_before_a_worker_has_answered() -> None:
    # Guards against headroom for adopted runs that need little of their workers.
    large = LargeTasks()
    assert not large.is_large(SERVICE, Resources(1_000, 1_000, 0), (), START)
