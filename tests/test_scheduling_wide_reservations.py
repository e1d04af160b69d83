"""Reservations for wide steps, and the jobs that need what these keep free."""

from collections.abc import Sequence

import pytest

from tamarackmount.ids import QueueName
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepSpec
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.pool_simulation import PoolSimulation

NO_CEILING = Resources()
WORKERS = 8
CORES = 32

MAX_WAIT_S = 3.0
"""Time for which a job may have nothing running while under half of its pool is in use,
in seconds."""


def idle_pool(ceiling: Resources = NO_CEILING) -> PoolSimulation:
    """Return a pool of idle workers."""
    workers = [worker_entry(f"w{number}", cores=CORES) for number in range(WORKERS)]
    return PoolSimulation(SchedulerHarness(ceiling=ceiling), workers)


def standing(count: int, cores: int = 1, max_per_worker: int = 0) -> StepSpec:
    """Return a step of tasks that run until their job is cancelled."""
    return step(
        count,
        cores=cores,
        perpetual=True,
        estimated_ms=400,
        max_per_worker=max_per_worker,
    )


WIDE_STEPS = {
    "one-a-worker": standing(16, max_per_worker=1),
    "two-a-worker": standing(32, max_per_worker=2),
    "no-room-for-the-rest": standing(16, cores=20),
    "no-room-for-any": standing(2, cores=CORES + 1),
}


@pytest.mark.parametrize("wide", WIDE_STEPS.values(), ids=WIDE_STEPS)
@pytest.mark.parametrize("queue", [HIGH_PRIORITY, LOW_PRIORITY])
@pytest.mark.parametrize("is_restored", [False, True], ids=["new", "taken-over"])
def test_a_standing_step_wider_than_its_pool_keeps_all_jobs_from_starting(
    wide: StepSpec, queue: QueueName, *, is_restored: bool
) -> None:
    # Guards against workers that are kept free for tasks that can't start there.
    simulation = idle_pool()
    if is_restored:
        simulation.add_restored_job(job(1, wide))
        simulation.run_until([], 2.0)
    else:
        simulation.run_until([(0.0, job(1, wide))], 2.0)
    short = [
        (2.0 + number, job(10 + number, step(estimated_ms=300), in_queue=queue))
        for number in range(5)
    ]
    simulation.run_until(short, 10.0)
    assert waits_s(simulation, short) < 0.2


def test_a_standing_step_at_its_limit_stops_runs_in_vain() -> None:
    # Guards against preemption for tasks that may not start on the freed worker.
    simulation = idle_pool(ceiling=Resources(10**6, 10**6, 0))
    preemptible = job(
        1, step(WORKERS, cores=CORES - 1, estimated_ms=20_000, saves_progress=True)
    )
    wide = job(2, standing(16, max_per_worker=1), in_queue=HIGH_PRIORITY)
    simulation.run_until([(0.0, preemptible), (1.5, wide)], 10.0)
    started = [task.job_id for task, _ in simulation.worker_by_start]
    assert started.count(preemptible.job_id) == WORKERS


def test_a_wide_gang_keeps_long_jobs_from_starting_on_an_idle_pool() -> None:
    # Guards against a pool that idles for a gang that waits for its last worker.
    simulation = idle_pool()
    gang = job(2, step(WORKERS, cores=CORES, estimated_ms=5_000, gang=True))
    last = job(1, step(1, cores=CORES, estimated_ms=30_000))
    long = [
        (2.0 + number, job(10 + number, step(estimated_ms=60_000)))
        for number in range(5)
    ]
    simulation.run_until([(0.0, last), (1.0, gang), *long], 15.0)
    assert waits_s(simulation, long) <= MAX_WAIT_S


def test_a_busy_pool_keeps_workers_free_for_a_gang() -> None:
    # Guards against a gang that starves as others use what is kept free for it.
    simulation = idle_pool()
    gang = job(2, step(4, cores=CORES, estimated_ms=5_000, gang=True))
    first = job(1, step(WORKERS - 2, cores=CORES - 8, estimated_ms=12_000))
    long = [
        (1.5 + 0.5 * number, job(10 + number, step(8, cores=8, estimated_ms=20_000)))
        for number in range(20)
    ]
    simulation.run_until([(0.0, first), (1.0, gang), *long], 20.0)
    assert simulation.first_start_s[gang.job_id] <= 13.0


def waits_s(
    simulation: PoolSimulation, arrivals: Sequence[tuple[float, AcceptedJob]]
) -> float:
    """Return the longest time from an arrival to the first start, in seconds."""
    ends_s = simulation.now_s
    return max(
        simulation.first_start_s.get(accepted.job_id, ends_s) - arrives
        for arrives, accepted in arrivals
    )
