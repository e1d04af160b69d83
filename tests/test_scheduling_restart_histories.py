"""Drawn histories of workers that restart under their ids and are cut off."""

import random

import pytest

from tamarackmount.scheduling.domain.model import JobPhase
from tests.utils.build_scheduling import (
    job,
    step,
)
from tests.utils.restarting_pool import RestartingPool


@pytest.mark.parametrize(
    "has_takeovers", [False, True], ids=["one holder", "takeovers"]
)
@pytest.mark.parametrize("seed", [1, 2, 3, 8, 21, 30, 38, 50, 52])
def test_two_runs_of_a_task_at_the_same_time_as_workers_restarted(
    seed: int, has_takeovers: bool
) -> None:
    """Workers restart under their ids, and are cut off at any time after that."""
    rng = random.Random(seed)
    pool = RestartingPool(4, lambda: rng.choice((0.5, rng.uniform(6.0, 12.0))))
    jobs = [job(number, step(rng.randint(1, 6), cores=2)) for number in range(1, 25)]
    for accepted in jobs:
        pool.submit(accepted)
        pool.run(rng.uniform(0.1, 1.5))
        name = rng.choice(list(pool.machines))
        event = rng.random()
        if event < 0.6:
            pool.restart(name, rng.uniform(0.05, 1.0), rng.choice((0.0, 1.5, 3.0)))
            pool.run(rng.uniform(0.0, 3.0))
        if event < 0.7:
            pool.cut(name, rng.uniform(0.5, 12.0))
        if has_takeovers and rng.random() < 0.15:
            pool.run(rng.uniform(0.0, 0.5))
            pool.kill_holder()
    pool.run(90.0)
    assert not pool.violations
    # A job may be given up after crashes of workers under one of its tasks.
    phases = {pool.phase(accepted) for accepted in jobs}
    assert phases <= {JobPhase.COMPLETED, JobPhase.FAILED}
    assert pool.reserved() == []
    assert pool.restarts
    assert pool.cuts
