"""Gangs on a busy pool: reserved workers, backfill, and urgent jobs beside them."""

import math

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import ForecastRecord, JobProgress
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    START,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
)
from tests.utils.load_simulation import LoadSimulation
from tests.utils.pool_simulation import PoolSimulation

GANG = job(1, step(3, cores=9, estimated_ms=5_000, gang=True))
GANG_ARRIVES_S = 6.0
GANG_LATEST_START_S = GANG_ARRIVES_S + 4.0 * 5.0 + 3.0 - 5.0
"""When the gang has to start to be on time: its queue's stretch times its duration and
the queue's target, less its duration."""

SMALL_S = 3.0

URGENT_SLACK_S = 1.5 * 0.6 + 0.25 - 0.6
"""Time for which an urgent job of 0.6 s may wait for its start to be on time."""


RESTART_LIMIT_S = 3.0
"""Time in which a perpetual task has to run again, in seconds."""


def busy_pool() -> tuple[LoadSimulation, list[tuple[float, AcceptedJob]]]:
    """Return a worker and small jobs that keep three quarters of it busy."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=32))
    small = [
        (
            float(number),
            job(100 + number, step(4, cores=2, estimated_ms=int(SMALL_S * 1_000))),
        )
        for number in range(28)
    ]
    return LoadSimulation(harness), small


def test_a_gang_starts_in_time_on_a_pool_that_small_jobs_keep_busy() -> None:
    simulation, small = busy_pool()
    simulation.run_for([(GANG_ARRIVES_S, GANG), *small], 30.0)
    assert simulation.first_start_s[GANG.job_id] <= GANG_LATEST_START_S


def test_small_jobs_that_end_before_the_gang_can_start_go_on() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=32))
    long = job(2, step(1, cores=16, estimated_ms=8_000))
    # The gang needs what the long task has for 8 s.
    short = [
        (1.0 + number, job(100 + number, step(1, cores=2, estimated_ms=1_000)))
        for number in range(5)
    ]
    simulation = LoadSimulation(harness)
    simulation.run_for([(0.0, long), (0.5, GANG), *short], 7.0)
    for arrives, accepted in short:
        assert simulation.first_start_s[accepted.job_id] <= arrives + 0.2
    assert GANG.job_id not in simulation.first_start_s


def test_urgent_jobs_use_reserved_workers_if_they_fit_nowhere_else() -> None:
    simulation, small = busy_pool()
    urgent = [
        (
            8.0 + 0.5 * number,
            job(200 + number, step(2, estimated_ms=600), in_queue=HIGH_PRIORITY),
        )
        for number in range(20)
    ]
    simulation.run_for([(GANG_ARRIVES_S, GANG), *small, *urgent], 30.0)
    for arrives, accepted in urgent:
        assert simulation.first_start_s[accepted.job_id] <= arrives + URGENT_SLACK_S
    assert simulation.first_start_s[GANG.job_id] <= GANG_LATEST_START_S


def test_backfill_counts_how_long_a_task_takes_on_the_reserved_worker() -> None:
    """Guards against small tasks on a slow worker that hold up a gang."""
    harness = SchedulerHarness(ceiling=Resources())
    learned = ForecastRecord({}, {"w0": (math.log(2.0), 30.0), "w1": (0.0, 30.0)})
    harness.scheduler.restore([], [], learned, START, True, START, harness.unix_ms)
    harness.register_workers(worker_entry("w0", cores=8), worker_entry("w1", cores=8))
    harness.submit_job(job(1, step(2, cores=5, estimated_ms=3_000)))
    assert len(harness.answer_starts()) == 2
    # The gang can start after 6 s, when the slow worker has ended its task.
    harness.submit_job(job(2, step(2, cores=8, estimated_ms=3_000, gang=True)))
    harness.submit_job(job(3, step(2, cores=3, estimated_ms=4_000)))
    assert [row.order.incarnation for row in harness.starts] == [incarnation("w1")]


def test_a_gang_does_not_count_on_workers_that_another_will_use() -> None:
    """Guards against capacity that is kept idle for a gang that waits for another."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(
        *(worker_entry(f"w{number:02}", cores=8) for number in range(23))
    )
    harness.submit_job(job(1, step(20, cores=8, estimated_ms=60_000)))
    harness.submit_job(job(2, step(3, cores=5, estimated_ms=10_000)))
    assert len(harness.answer_starts()) == 23
    # In 10 s there are three workers: the first gang takes two, the other needs three.
    first = job(3, step(2, cores=8, estimated_ms=5_000, gang=True))
    other = job(4, step(3, cores=8, estimated_ms=6_000, gang=True))
    harness.submit_job(first)
    harness.submit_job(other)
    harness.submit_job(job(5, step(3, cores=3, estimated_ms=14_000)))
    assert len(harness.starts) == 1


def test_two_gangs_that_fit_only_one_after_the_other_both_start() -> None:
    """Guards against two gangs that each keep a part free that the other one needs."""
    harness = SchedulerHarness(ceiling=Resources())
    workers = [worker_entry(f"w{number}", cores=8) for number in range(4)]
    simulation = PoolSimulation(harness, workers)
    gangs = [
        (1.0 + 0.1 * number, job(1 + number, step(3, cores=8, gang=True)))
        for number in range(4)
    ]
    small = [
        (0.3 * number, job(100 + number, step(2, cores=2, estimated_ms=1_500)))
        for number in range(40)
    ]
    simulation.run_until([*gangs, *small], 25.0)
    for arrives, accepted in gangs:
        assert simulation.done_s[accepted.job_id] - arrives <= 4.0 * 1.0 + 3.0


def test_a_perpetual_task_restarts_soon_on_a_worker_that_urgent_tasks_fill() -> None:
    # Guards against a service that stays down while urgent tasks, each smaller than its
    # task, take what is freed on the only worker that may run it.
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    service = job(1, step(1, cores=4, perpetual=True, estimated_ms=0))
    simulation = LoadSimulation(harness)
    down_s = 0.0
    for number in range(140):
        urgent = job(
            10 + number, step(2, cores=3, estimated_ms=700), in_queue=HIGH_PRIORITY
        )
        simulation.run_for([(0.0, urgent)], 0.1)
        if number == 20:
            ran_before = JobRecords(service, JobProgress(JobPhase.RUNNING))
            harness.scheduler.add_job(ran_before, harness.now, harness.unix_ms)
        if number >= 20 and not simulation.start_count_by_job[service.job_id]:
            down_s += 0.1
    assert down_s <= RESTART_LIMIT_S
