"""Tests of the stored evidence of gangs, also of earlier versions and for them."""

from collections.abc import Mapping
from dataclasses import replace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.evidence.crash_evidence import (
    MAX_UNEXPLAINED_CRASHES,
    record_crash,
)
from tamarackmount.scheduling.evidence.gang_crashes import GangCrashes, gang_crashes
from tamarackmount.scheduling.jobs.runs import make_job
from tamarackmount.scheduling.store.gang_evidence import merge_members, split_by_member
from tamarackmount.scheduling.store.journal import (
    CrashRecord,
    JobProgress,
    RecordKind,
    decode_record,
    encode_record,
    record_key,
)
from tests.utils.build_gangs import crash_under, is_given_up, wide_gang
from tests.utils.build_scheduling import START, incarnation
from tests.utils.crashing_pool import CrashingPool, tasks_of

MEMBERS = 6

CRASHES = st.builds(
    CrashRecord,
    worker=st.integers(0, 3).map(lambda number: incarnation(f"w{number}")),
    address=st.just("w:1"),
    ran_ms=st.sampled_from((20, 5_000)),
    is_early=st.booleans(),
    is_explained=st.booleans(),
    run_number=st.integers(1, 4),
)


def _at(crash: CrashRecord) -> tuple[int, str]:
    return crash.run_number, repr(crash)


def _sorted(
    crashes_by_index: Mapping[int, list[CrashRecord]],
) -> dict[int, list[CrashRecord]]:
    return {
        index: sorted(crashes, key=_at) for index, crashes in crashes_by_index.items()
    }


@given(
    st.dictionaries(
        st.integers(0, MEMBERS - 1), st.sets(CRASHES, min_size=1, max_size=4)
    ),
    st.sets(CRASHES, max_size=2),
)
def test_stored_evidence_of_a_gang_was_read_with_other_members(
    crashes_by_member: dict[int, set[CrashRecord]], unattributed: set[CrashRecord]
) -> None:
    crashes_by_index = {
        index: [replace(crash, members=(index,)) for crash in crashes]
        for index, crashes in crashes_by_member.items()
    }
    if unattributed:
        crashes_by_index.setdefault(0, []).extend(unattributed)
    stored = merge_members(crashes_by_index)
    assert len(set(stored)) == len(stored)
    assert _sorted(split_by_member(stored, MEMBERS)) == _sorted(crashes_by_index)


def test_evidence_under_members_that_a_gang_does_not_have_was_kept() -> None:
    crash = CrashRecord(incarnation("w1"), run_number=1, members=(1, MEMBERS, -1))
    assert set(split_by_member([crash], MEMBERS)) == {1}


def test_an_earlier_version_read_less_evidence_of_a_gang() -> None:
    """It looks for the evidence under the first task, and counts runs."""
    pool = CrashingPool(MEMBERS, downtime_s=0.5)
    gang = wide_gang(MEMBERS)
    pool.submit(gang)
    for task in tasks_of(gang)[:3]:
        pool.run(1.0)
        crash_under(pool, task)
        pool.run(3.0)
    record = pool.harness.records[record_key(RecordKind.PROGRESS, gang.job_id)]
    crashes_by_task = orjson.loads(record)["crashes_by_task"]
    assert list(crashes_by_task) == ["0.0.0"]
    assert len({row["run_number"] for row in crashes_by_task["0.0.0"]}) == 3


def pool_with_earlier_evidence(count: int) -> CrashingPool:
    """Return a pool whose holder read a gang that an earlier version had started."""
    pool = CrashingPool(MEMBERS, downtime_s=0.5)
    gang = wide_gang(MEMBERS, estimated_ms=120_000)
    pool.submit(gang)
    pool.run(1.0)
    crashes = [
        CrashRecord(
            incarnation(f"before{number}"),
            f"before{number}:1",
            2_000,
            is_confirmed=True,
            run_number=number + 1,
        )
        for number in range(count)
    ]
    progress = JobProgress(JobPhase.RUNNING, crashes_by_task={"0.0.0": crashes})
    row = orjson.loads(encode_record(progress))
    for crash in row["crashes_by_task"]["0.0.0"]:
        del crash["members"]
    key = record_key(RecordKind.PROGRESS, gang.job_id)
    pool.harness.records[key] = orjson.dumps(row)
    pool.kill_holder()
    pool.run(1.0)
    return pool


@pytest.mark.parametrize("known", [1, 2, 3])
def test_a_gang_was_given_up_for_crashes_that_an_earlier_version_had_recorded(
    known: int,
) -> None:
    """It is not known which members were on the workers that crashed then."""
    pool = pool_with_earlier_evidence(known)
    (gang,) = pool.jobs_by_id.values()
    for task in tasks_of(gang):
        crash_under(pool, task)
        pool.run(4.0)
        assert not is_given_up(pool, gang)


@pytest.mark.parametrize("member", [0, 3])
@pytest.mark.parametrize("known", [1, 2, 3])
def test_a_member_started_over_its_budget_after_an_upgrade(
    known: int, member: int
) -> None:
    """All crashes that the earlier version recorded were under the same member."""
    pool = pool_with_earlier_evidence(known)
    (gang,) = pool.jobs_by_id.values()
    task = tasks_of(gang)[member]
    pool.crashed_under[task] = known
    for _ in range(MAX_UNEXPLAINED_CRASHES):
        if not is_given_up(pool, gang):
            crash_under(pool, task)
            pool.run(4.0)
    assert is_given_up(pool, gang)
    assert pool.started_over_budget[task] == 0


def test_evidence_of_an_earlier_version_was_forgotten_by_the_next_record() -> None:
    pool = pool_with_earlier_evidence(2)
    (gang,) = pool.jobs_by_id.values()
    crash_under(pool, tasks_of(gang)[2])
    pool.run(3.0)
    record = pool.harness.records[record_key(RecordKind.PROGRESS, gang.job_id)]
    progress = decode_record(record, JobProgress).unwrap()
    members = [crash.members for crash in progress.crashes_by_task["0.0.0"]]
    assert sorted(members) == [(), (), (2,)]
    (step,) = make_job(gang, progress, START).steps_by_key.values()
    assert {index: len(rows) for index, rows in step.crashes_by_index.items()} == {
        0: 2,
        2: 1,
    }


def test_a_crash_that_an_earlier_version_had_recorded_was_counted_again() -> None:
    """Its holder stored the crash with the job, and was lost before it went on."""
    pool = pool_with_earlier_evidence(1)
    (gang,) = pool.jobs_by_id.values()
    state = pool.harness.scheduler._state
    (step,) = state.jobs_by_id[gang.job_id].steps_by_key.values()
    (before,) = step.crashes_by_index[0]
    again = replace(before, ran_ms=1)
    record_crash(state, step, 2, again, pool.now)
    assert gang_crashes(step, with_explained=True) == GangCrashes([1], 0)
    assert tasks_of(gang)[0] not in pool.suspected_tasks
    record_crash(state, step, 0, again, pool.now)
    record_crash(state, step, 0, again, pool.now)
    assert len(step.crashes_by_index[0]) == 1
    assert gang_crashes(step, with_explained=True) == GangCrashes([1], 0)
