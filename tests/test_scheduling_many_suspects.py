"""Tests of crashes under many tasks: what a decision costs with many suspects."""

from collections.abc import Callable

import pytest

from tamarackmount.scheduling.evidence.crash_evidence import clear_task
from tamarackmount.scheduling.execution.run_ends import give_up_culprits
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tests.utils.build_suspects import (
    CRASHED,
    only_step,
    pool_of_large_workers,
    record_crash_under,
    small_tasks,
)
from tests.utils.count_instructions import count_instructions

FEW, MANY = 20, 150
"""Numbers of suspects; one round places all of them."""


def cost_of_tasks(suspect_count: int, placed: int) -> int:
    """Return the instructions of a round that places tasks beside new suspects."""
    harness = pool_of_large_workers(4)
    suspects, accepted = small_tasks(1, suspect_count), small_tasks(2, placed)
    harness.submit_job(suspects)
    record_crash_under(harness, suspects)
    assert len(harness.scheduler._state.suspected_tasks) == suspect_count
    cost = count_instructions(lambda: harness.submit_job(accepted))
    assert len(only_step(harness, accepted).runs_by_index) == placed
    return cost


def cost_per_task(suspect_count: int) -> int:
    """Return the instructions of one more placed task."""
    return cost_of_tasks(suspect_count, 2) - cost_of_tasks(suspect_count, 1)


def cost_of_suspects(suspect_count: int) -> int:
    """Return the instructions of a round that places all suspects of a job."""
    harness = pool_of_large_workers(4)
    beside, suspects = small_tasks(1, 1), small_tasks(2, suspect_count)
    harness.submit_job(beside)
    harness.scheduler.set_authority(HolderAuthority.RENEW_ONLY)
    harness.submit_job(suspects)
    record_crash_under(harness, suspects)
    harness.scheduler.set_authority(HolderAuthority.FULL)
    cost = count_instructions(harness.tick)
    assert len(only_step(harness, suspects).runs_by_index) == suspect_count
    return cost


def cost_per_suspect(suspect_count: int) -> int:
    """Return the instructions of one more placed suspect."""
    return cost_of_suspects(suspect_count + 1) - cost_of_suspects(suspect_count)


@pytest.mark.parametrize("cost", [cost_per_task, cost_per_suspect])
def test_each_placement_looked_at_all_suspects_after_a_crash(
    cost: Callable[[int], int],
) -> None:
    assert cost(MANY) == cost(FEW)


def cost_of_end(suspect_count: int) -> int:
    """Return the instructions of the end of one suspect among many of two jobs."""
    harness = pool_of_large_workers(1)
    jobs = [small_tasks(number, suspect_count) for number in (1, 2)]
    for accepted in jobs:
        harness.submit_job(accepted)
    for accepted in jobs:
        record_crash_under(harness, accepted)
    state = harness.scheduler._state
    ended = only_step(harness, jobs[0])
    give_up_culprits(state, [CRASHED], harness.now)

    def end() -> None:
        give_up_culprits(state, clear_task(state, ended, 0), harness.now)

    cost = count_instructions(end)
    assert len(state.suspected_tasks) == 2 * suspect_count - 1
    return cost


def cost_of_crash(suspect_count: int) -> int:
    """Return the instructions of recording a crash under all tasks of a job."""
    harness = pool_of_large_workers(1)
    suspects = small_tasks(1, suspect_count)
    harness.submit_job(suspects)
    cost = count_instructions(lambda: record_crash_under(harness, suspects))
    assert len(harness.scheduler._state.suspected_tasks) == suspect_count
    return cost


def cost_per_crashed_task(suspect_count: int) -> int:
    """Return the instructions of one more task under a crash."""
    return cost_of_crash(suspect_count + 1) - cost_of_crash(suspect_count)


@pytest.mark.parametrize("cost", [cost_of_end, cost_per_crashed_task])
def test_each_end_and_each_crash_looked_at_all_evidence(
    cost: Callable[[int], int],
) -> None:
    assert cost(MANY) == cost(FEW)
