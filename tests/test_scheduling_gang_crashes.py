"""Tests of gangs, some members of which crash their workers or share a crash."""

import random

import pytest

from tamarackmount.scheduling.domain.model import (
    JobPhase,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.evidence.crash_evidence import (
    MAX_ISOLATION_WAIT_S,
    record_crash,
)
from tamarackmount.scheduling.evidence.gang_crashes import MAX_GANG_CRASHES
from tamarackmount.scheduling.execution.run_starts import waits_for_its_record
from tamarackmount.scheduling.store.journal import CrashRecord
from tests.utils.build_gangs import crash_under, has_excuse, is_given_up, wide_gang
from tests.utils.build_scheduling import incarnation, job, step
from tests.utils.crashing_pool import CrashingPool, tasks_of

LONG_S = 90.0

MEMBERS = 8


@pytest.mark.parametrize("saves_progress", [False, True], ids=["anew", "resumes"])
@pytest.mark.parametrize("gap_s", [0.0, 0.3, 4.0])
def test_a_gang_was_given_up_for_crashes_under_different_members(
    gap_s: float, saves_progress: bool
) -> None:
    """Each member is on the worker that crashes once, and elsewhere at the others."""
    pool = CrashingPool(MEMBERS, downtime_s=1.5)
    gang = wide_gang(MEMBERS, saves_progress=saves_progress)
    pool.submit(gang)
    for task in tasks_of(gang):
        pool.run(gap_s)
        crash_under(pool, task)
        pool.run(0.1)
        assert not has_excuse(pool, gang)
        assert not is_given_up(pool, gang)
    pool.run(LONG_S)
    assert pool.phase(gang) is JobPhase.COMPLETED


@pytest.mark.parametrize("gang_count", [4, 8], ids=["half", "as wide as the service"])
@pytest.mark.parametrize("kills_holder", [False, True], ids=["one holder", "takeover"])
@pytest.mark.parametrize("saves_progress", [False, True], ids=["anew", "resumes"])
@pytest.mark.parametrize("crash_after_s", [0.0, 0.6, 4.0, 11.0])
def test_a_gang_with_a_member_that_crashes_its_workers_started_without_end(
    crash_after_s: float, saves_progress: bool, kills_holder: bool, gang_count: int
) -> None:
    pool = CrashingPool(8, crash_after_s=crash_after_s, downtime_s=1.5)
    gang = wide_gang(gang_count, estimated_ms=120_000, saves_progress=saves_progress)
    deadly = tasks_of(gang)[gang_count // 2]
    pool.deadly.add(deadly)
    pool.submit(gang)
    if kills_holder:
        pool.run(LONG_S, until=lambda: pool.crash_count == 2)
        pool.run(0.5)
        pool.kill_holder()
    pool.run(LONG_S)
    assert is_given_up(pool, gang)
    assert pool.started_over_budget[deadly] == 0


@pytest.mark.parametrize("crash_after_s", [0.0, 0.6, 4.0])
def test_members_that_crash_their_workers_in_turn_started_without_end(
    crash_after_s: float,
) -> None:
    """Each run of the gang ends with a crash under another member."""
    pool = CrashingPool(MEMBERS, downtime_s=1.5)
    gang = wide_gang(MEMBERS, estimated_ms=120_000)
    tasks = tasks_of(gang)
    pool.submit(gang)
    for turn in range(3 * MEMBERS):
        task = tasks[turn % MEMBERS]
        pool.run(LONG_S, until=lambda: pool.worker_of(task) is not None)  # noqa: B023
        pool.run(crash_after_s)
        crash_under(pool, task)
        pool.run(4.0)
        if is_given_up(pool, gang):
            break
    assert is_given_up(pool, gang)
    assert has_excuse(pool, gang)
    assert max(pool.started_over_budget[task] for task in tasks) == 0


@pytest.mark.parametrize("crash_after_s", [0.6, 4.0])
def test_members_that_crash_their_workers_at_random_started_over_their_budget(
    crash_after_s: float,
) -> None:
    """The first of them breaks the gang, so that few starts crash a given one."""
    rng = random.Random(1)
    pool = CrashingPool(MEMBERS, downtime_s=1.5)
    gang = wide_gang(MEMBERS, estimated_ms=120_000)
    tasks = tasks_of(gang)
    pool.deadly.update(tasks)
    for task in tasks:
        pool.crash_ages[task] = lambda: rng.uniform(crash_after_s, 2 * crash_after_s)
    pool.submit(gang)
    pool.run(2 * LONG_S)
    assert is_given_up(pool, gang)
    assert has_excuse(pool, gang)
    assert max(pool.started_over_budget[task] for task in tasks) == 0


def test_a_crash_counted_against_members_that_were_elsewhere() -> None:
    """Three members share each worker."""
    pool = CrashingPool(2, downtime_s=1.5)
    gang = job(1, step(6, estimated_ms=5_000, gang=True, max_per_worker=3))
    pool.submit(gang)
    pool.run(1.0)
    where = crash_under(pool, tasks_of(gang)[0])
    pool.run(5.0, until=lambda: bool(pool.suspected_tasks))
    state = pool.harness.scheduler._state
    (found,) = state.jobs_by_id[gang.job_id].steps_by_key.values()
    assert set(found.crashes_by_index) == {
        task.index for task in tasks_of(gang) if pool.crashed_under[task]
    }
    assert len(found.crashes_by_index) == 3
    for index, crashes in found.crashes_by_index.items():
        (crash,) = crashes
        assert crash.worker == where
        assert crash.members == (index,)
    pool.run(LONG_S)
    assert pool.phase(gang) is JobPhase.COMPLETED


def test_a_gang_as_wide_as_its_service_waited_to_be_apart_from_itself() -> None:
    """The suspect among its members has a worker at another address at once."""
    pool = CrashingPool(MEMBERS, downtime_s=1.5)
    gang = wide_gang(MEMBERS)
    task = tasks_of(gang)[0]
    pool.submit(gang)
    pool.run(3.0)
    where = crash_under(pool, task)
    address = where.worker_id + ":1"
    back_at = pool.now + 1.5
    pool.run(10.0, until=lambda: pool.worker_of(task) is not None)
    again = pool.worker_of(task)
    assert again is not None
    assert pool.workers[again].entry.address != address
    assert pool.now < back_at + MAX_ISOLATION_WAIT_S


def test_a_run_of_a_gang_cleared_a_member_whose_crash_came_late() -> None:
    """A member is cleared by a run that is several times as long as its own."""
    pool = CrashingPool(MEMBERS, downtime_s=1.5)
    gang = wide_gang(MEMBERS, estimated_ms=120_000)
    early, late = tasks_of(gang)[:2]
    pool.submit(gang)
    crash_under(pool, early)
    pool.run(10.0, until=lambda: pool.started[late] == 2)
    pool.run(6.0)
    crash_under(pool, late)
    pool.run(10.0, until=lambda: pool.started[late] == 3)
    pool.run(14.0)
    assert early not in pool.suspected_tasks
    assert late in pool.suspected_tasks
    pool.run(15.0)
    assert late not in pool.suspected_tasks


def test_members_of_a_gang_started_before_the_others_while_the_store_was_slow() -> None:
    """A member that waits alone for its record would let the others wait in vain."""
    pool = CrashingPool(MEMBERS)
    gang = wide_gang(MEMBERS)
    pool.submit(gang)
    pool.run(1.0)
    state = pool.harness.scheduler._state
    (found,) = state.jobs_by_id[gang.job_id].steps_by_key.values()
    runs = list(found.runs_by_index.values())
    assert not any(waits_for_its_record(state, run) for run in runs)
    crash = CrashRecord(incarnation("before"), "before:1", 20, is_early=True)
    record_crash(state, found, 0, crash, pool.now)
    assert len(runs) == MEMBERS
    assert all(waits_for_its_record(state, run) for run in runs)


def test_a_gang_wider_than_its_limit_went_on_as_its_members_crashed_in_turn() -> None:
    """Its members crash a worker each, and then one of them does again."""
    count = MAX_GANG_CRASHES + 4
    pool = CrashingPool(count, downtime_s=0.5)
    gang = wide_gang(count, estimated_ms=600_000)
    pool.submit(gang)
    for task in tasks_of(gang):
        pool.run(1.0)
        crash_under(pool, task)
        pool.run(2.0)
        assert not is_given_up(pool, gang)
    crash_under(pool, tasks_of(gang)[0])
    pool.run(2.0)
    assert is_given_up(pool, gang)


def test_a_member_started_over_its_budget_as_its_starts_ended_without_a_crash() -> None:
    """After the third crash under it, orders of another member come to nothing."""
    pool = CrashingPool(MEMBERS, downtime_s=0.5)
    gang = wide_gang(MEMBERS, estimated_ms=120_000)
    task, other = tasks_of(gang)[:2]
    beside = job(2, step(4, estimated_ms=300_000))
    pool.submit(gang, beside)
    for _ in range(3):
        pool.run(2.0)
        crash_under(pool, task)
        pool.run(4.0)
    for _ in range(4):
        pool.run(10.0, until=lambda: pool.worker_of(other) is not None)
        where = pool.worker_of(other)
        if where is None:
            break
        pool.run(0.5)
        _end_run(pool, where, other)
        pool.run(1.0)
    assert is_given_up(pool, gang)
    assert pool.phase(beside) is JobPhase.RUNNING
    assert pool.started_over_budget[task] == 0


def _end_run(pool: CrashingPool, where: WorkerIncarnation, task: TaskKey) -> None:
    """End a run as one that was stopped."""
    for (found, _), run in pool.workers[where].runs.items():
        if found == task:
            run.ends_at, run.outcome = pool.now, RunEnd.STOPPED
