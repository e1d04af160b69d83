"""Plays in which holders overlap, and no start may overfill a worker."""

from random import Random

import pytest

from tamarackmount.ids import JobId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepSpec
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    job,
    step,
    worker_entry,
)
from tests.utils.overlapping_holders import NO_CEILING, OverlappingHolders

NETWORKS: tuple[dict[str, float], ...] = (
    {},
    {"slow_s": 0.15},
    {"loss": 0.1, "slow_s": 0.1},
    {"loss": 0.1, "late": 0.1, "slow_s": 0.1},
)
"""Faults of the network, one set for each seed in turn."""


def draw_job(random: Random, number: int) -> AcceptedJob:
    """Return a job of one of five shapes."""
    first: tuple[StepSpec, ...] = (step(random.randint(1, 9), 3, estimated_ms=560),)
    shapes = (
        (HIGH_PRIORITY, first),
        (
            HIGH_PRIORITY,
            (
                step(random.randint(1, 9), 2, estimated_ms=560, speculative=True),
                step(3, 3, after=(0,), estimated_ms=500),
            ),
        ),
        (LOW_PRIORITY, (step(4, 3, estimated_ms=2_600, saves_progress=True),)),
        (LOW_PRIORITY, (step(2, 4, estimated_ms=1_500, gang=True),)),
        (LOW_PRIORITY, (step(1, 1, estimated_ms=500, perpetual=True),)),
    )
    queue, steps = random.choice(shapes)
    return job(number, *steps, in_queue=queue)


def play(
    seed: int, rounds: int = 3, ceiling: Resources = NO_CEILING
) -> OverlappingHolders:
    """Play some changes of the holder under load."""
    random = Random(seed)
    entries = [worker_entry(f"w{number}") for number in range(6)]
    network = NETWORKS[seed % len(NETWORKS)]
    holders = OverlappingHolders(entries, seed, ceiling=ceiling, **network)
    holders.store_latency_s = random.choice((0.01, 0.15, 0.3))
    for worker in holders.workers.values():
        worker.clock_rate = random.choice((1.0, 0.98))
    number = 0
    for _ in range(rounds):
        for _ in range(random.randint(10, 25)):
            number += 1
            holders.submit(draw_job(random, number))
            holders.run(random.choice((0.01, 0.02, 0.1, 0.3)))
            if random.random() < 0.25:
                holders.cancel(JobId(f"{random.randint(1, number):016x}"))
            if random.random() < 0.06:
                worker = random.choice(list(holders.workers.values()))
                worker.cut_until = holders.now + random.choice((0.5, 2.0, 7.0))
        if random.random() < 0.7:
            holders.holder.cut_at = holders.now
            holders.run(random.choice((0.3, 0.6, 0.9, 1.5)))
        holders.take_over()
        holders.run(random.choice((0.05, 0.3, 1.0)))
    return holders


@pytest.mark.parametrize("seed", range(8))
def test_a_start_never_overfills_a_worker_while_holders_overlap(seed: int) -> None:
    holders = play(seed)
    assert holders.start_count > 0
    assert not holders.overloaded


@pytest.mark.parametrize("seed", [*range(8), 12])
def test_a_workspace_never_exceeds_its_ceiling_while_holders_overlap(seed: int) -> None:
    holders = play(seed, ceiling=Resources(10_000, 0, 0))
    assert holders.start_count > 0
    assert not holders.over_ceiling
