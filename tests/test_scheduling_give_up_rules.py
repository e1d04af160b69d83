"""Properties of the rules about when a job is given up for crashes of its workers."""

from collections import Counter
from dataclasses import dataclass

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tamarackmount.scheduling.evidence.crash_evidence import (
    find_culprits,
    record_crash,
)
from tamarackmount.scheduling.evidence.gang_crashes import MAX_GANG_CRASHES
from tamarackmount.scheduling.store.journal import CrashRecord
from tests.utils.build_gangs import has_excuse, is_given_up
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    step,
)
from tests.utils.crash_scenarios import CrashScenario, JobPlan, crash_scenarios, play

MEMBERS = 5

MIN_CRASHES = 2
"""Number of workers that have to crash under a task before it may be given up."""

LIMITING_CRASHES = 3
STARTS_AFTER_LIMIT = 2
"""The users allow two more starts after three workers have crashed under a task."""


@dataclass(frozen=True)
class Crash:
    """A crash of a worker: the tasks there, and how they had run."""

    indexes: set[int]
    is_early: bool
    is_confirmed: bool
    ran_ms: int
    address: int


CRASHES = st.lists(
    st.builds(
        Crash,
        indexes=st.sets(st.integers(0, MEMBERS - 1), min_size=1),
        is_early=st.booleans(),
        is_confirmed=st.booleans(),
        ran_ms=st.sampled_from([20, 3_000]),
        address=st.integers(0, 5),
    ),
    max_size=3 * MAX_GANG_CRASHES,
)


def _crashes_until_given_up(
    crashes: list[Crash], *, is_gang: bool, is_widespread: bool = False
) -> tuple[list[Crash], bool]:
    """Return the crashes up to that with which a job was given up, and if it was."""
    harness = SchedulerHarness()
    accepted = job(1, step(MEMBERS, gang=is_gang))
    harness.submit_job(accepted)
    state = harness.scheduler._state
    (found,) = state.jobs_by_id[accepted.job_id].steps_by_key.values()
    for number, crash in enumerate(crashes, 1):
        record = CrashRecord(
            incarnation(f"w{number}"),
            f"address{crash.address}",
            crash.ran_ms,
            is_early=crash.is_early,
            is_confirmed=crash.is_confirmed,
            run_number=number,
            is_widespread=is_widespread,
        )
        for index in crash.indexes:
            record_crash(state, found, index, record, harness.now)
        if list(find_culprits(state, [record.worker])):
            return crashes[:number], True
    return crashes, False


def _crashes_by_task(crashes: list[Crash]) -> Counter[int]:
    return Counter(index for crash in crashes for index in crash.indexes)


@given(CRASHES, st.booleans(), st.booleans())
def test_a_job_was_given_up_without_two_crashes_under_a_task(
    crashes: list[Crash], is_gang: bool, is_widespread: bool
) -> None:
    seen, is_over = _crashes_until_given_up(
        crashes, is_gang=is_gang, is_widespread=is_widespread
    )
    if is_over:
        assert max(_crashes_by_task(seen).values()) >= MIN_CRASHES


def _assert_single_tasks_keep_their_budget(
    crashes: list[Crash], *, is_widespread: bool
) -> None:
    seen, _ = _crashes_until_given_up(
        crashes, is_gang=False, is_widespread=is_widespread
    )
    starts = _crashes_by_task(seen)
    assert max(starts.values(), default=0) <= LIMITING_CRASHES + STARTS_AFTER_LIMIT


@given(CRASHES)
def test_a_task_crashed_more_workers_than_its_budget(crashes: list[Crash]) -> None:
    _assert_single_tasks_keep_their_budget(crashes, is_widespread=False)


@given(CRASHES)
def test_tasks_that_crash_together_after_equal_times_exceeded_their_budget(
    crashes: list[Crash],
) -> None:
    alike = [crash for crash in crashes if crash.ran_ms == 20]
    _assert_single_tasks_keep_their_budget(alike, is_widespread=True)


@given(CRASHES)
def test_a_member_started_over_its_budget_as_others_crashed_their_workers(
    crashes: list[Crash],
) -> None:
    """Each crash ends a run of all members of the gang."""
    seen, is_over = _crashes_until_given_up(crashes, is_gang=True)
    starts = len(seen) if is_over else len(seen) + 1
    for index in range(MEMBERS):
        under = [number for number, one in enumerate(seen, 1) if index in one.indexes]
        if len(under) >= LIMITING_CRASHES:
            assert starts - under[LIMITING_CRASHES - 1] <= STARTS_AFTER_LIMIT


@given(CRASHES)
def test_a_gang_crashed_more_workers_than_its_limit(crashes: list[Crash]) -> None:
    seen, _ = _crashes_until_given_up(crashes, is_gang=True)
    by_task = _crashes_by_task(seen)
    assert len(seen) <= MAX_GANG_CRASHES or max(by_task.values()) <= MIN_CRASHES


@pytest.mark.parametrize(
    ("last_run", "is_given_up"), [(6, False), (7, True), (70, False)]
)
def test_starts_that_ended_without_a_crash_did_not_count_for_a_member(
    last_run: int, is_given_up: bool
) -> None:
    """A run was broken between its last crashes, or a takeover left out numbers."""
    harness = SchedulerHarness()
    accepted = job(1, step(MEMBERS, gang=True))
    harness.submit_job(accepted)
    state = harness.scheduler._state
    (found,) = state.jobs_by_id[accepted.job_id].steps_by_key.values()
    for number in (1, 3, 5, last_run):
        record = CrashRecord(
            incarnation(f"w{number}"),
            "same address",
            2_000,
            is_explained=number == 5,
            is_confirmed=True,
            run_number=number,
        )
        record_crash(state, found, 0, record, harness.now)
        culprits = list(find_culprits(state, [record.worker]))
    assert bool(culprits) is is_given_up


# Deadly tasks of another job crash at the same moments as a member of the gang.
@example(
    CrashScenario(
        worker_count=6,
        downtime_s=0.3,
        keeps_id=False,
        plans=[
            JobPlan(
                step(6, estimated_ms=12_000, gang=True, max_per_worker=1),
                deadly_count=2,
                min_age_s=0.0,
                max_age_s=4.0,
            ),
            JobPlan(
                step(4, estimated_ms=12_000),
                deadly_count=3,
                min_age_s=0.0,
                max_age_s=0.0,
            ),
        ],
        chance_crashes=[0],
        takeovers={0},
        seed=0,
    )
)
@settings(max_examples=60, deadline=None)
@given(crash_scenarios())
def test_crashes_gave_up_a_job_without_an_excuse_or_exceeded_a_budget(
    scenario: CrashScenario,
) -> None:
    pool, jobs = play(scenario)
    for accepted in jobs:
        assert has_excuse(pool, accepted) or not is_given_up(pool, accepted)
    for task in pool.deadly:
        assert pool.started_over_budget[task] == 0


def test_a_task_that_crashes_workers_beside_waves_started_over_its_budget() -> None:
    """Two of its crashes come with others, after runs of unequal length."""
    gang = step(6, estimated_ms=2_000, gang=True, max_per_worker=1, saves_progress=True)
    scenario = CrashScenario(
        worker_count=6,
        downtime_s=3.2,
        keeps_id=True,
        plans=[
            JobPlan(gang, deadly_count=0, min_age_s=0.0, max_age_s=0.0),
            JobPlan(gang, deadly_count=3, min_age_s=0.6, max_age_s=0.6),
            JobPlan(
                step(2, estimated_ms=12_000, speculative=True),
                deadly_count=1,
                min_age_s=1.5,
                max_age_s=5.5,
            ),
            JobPlan(gang, deadly_count=3, min_age_s=0.6, max_age_s=0.6),
        ],
        chance_crashes=[0],
        takeovers=set(),
        seed=0,
    )
    pool, _ = play(scenario)
    assert max(pool.started_over_budget[task] for task in pool.deadly) == 0
