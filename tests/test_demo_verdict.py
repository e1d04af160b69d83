"""Tests of the verdict: each broken guarantee is counted and sets exit code 1."""

from dataclasses import replace

import pytest

from tamarackmount.demo.checks import RunData, check_run
from tamarackmount.demo.records import (
    Disturbance,
    DisturbanceWindow,
    Ending,
    JobEnd,
    Revocation,
    TaskRun,
)
from tamarackmount.ids import JobId, TaskId
from tests.utils.build_run_data import (
    FIRST_MEMBER,
    SECOND_MEMBER,
    build_attempt,
    build_record,
    build_run_data,
)

STOP = DisturbanceWindow(Disturbance.PLANNED_STOP, FIRST_MEMBER, 10.5, 12.0)
KILL = DisturbanceWindow(Disturbance.KILL, SECOND_MEMBER, 9.0, 11.0)


def test_run_without_faults_breaks_no_guarantee() -> None:
    verdict = check_run(build_run_data())
    assert verdict.broken_promises == []
    assert verdict.exit_code == 0
    assert verdict.answered == 1


def test_run_without_any_answer_fails() -> None:
    verdict = check_run(RunData(records=[], windows=[], execution_count_by_id={}))
    assert verdict.exit_code == 1


def test_non_idempotent_request_executed_twice_is_doubled() -> None:
    record = build_record(build_attempt())
    verdict = check_run(build_run_data(record, executions={"r1": 2}))
    assert verdict.doubled == 1
    assert verdict.exit_code == 1


def test_idempotent_request_may_be_executed_twice() -> None:
    record = build_record(build_attempt(), idempotent=True)
    assert check_run(build_run_data(record, executions={"r1": 2})).exit_code == 0


def test_repeat_with_the_same_id_counts_as_one_request() -> None:
    record = build_record(
        build_attempt(Ending.LOST),
        build_attempt(Ending.UNKNOWN, via=SECOND_MEMBER, error="already_attempted"),
    )
    verdict = check_run(build_run_data(record, executions={"r1": 1}))
    assert (verdict.unknown, verdict.doubled, verdict.exit_code) == (1, 0, 0)


@pytest.mark.parametrize("ending", [Ending.NOT_RUN, Ending.NOT_CONNECTED])
def test_refused_request_must_not_have_been_executed(ending: Ending) -> None:
    record = build_record(build_attempt(ending))
    verdict = check_run(build_run_data(record, executions={"r1": 1}))
    assert verdict.not_run_but_executed == 1
    assert verdict.exit_code == 1


def test_each_request_id_of_a_record_is_checked_separately() -> None:
    record = build_record(
        build_attempt(Ending.NOT_RUN, "r1"), build_attempt(Ending.ANSWERED, "r2")
    )
    verdict = check_run(build_run_data(record, executions={"r1": 1, "r2": 1}))
    assert verdict.not_run_but_executed == 1
    assert verdict.answered == 2


def test_refusal_after_a_lost_attempt_of_the_same_id_may_have_been_executed() -> None:
    record = build_record(build_attempt(Ending.LOST), build_attempt(Ending.NOT_RUN))
    verdict = check_run(build_run_data(record, executions={"r1": 1}))
    assert (verdict.unknown, verdict.exit_code) == (1, 0)


def test_answer_without_execution_is_a_broken_guarantee() -> None:
    verdict = check_run(build_run_data(build_record(build_attempt())))
    assert verdict.answered_but_not_executed == 1
    assert verdict.exit_code == 1


def test_wrong_answer_is_a_broken_guarantee() -> None:
    record = build_record(build_attempt(wrong=True))
    verdict = check_run(build_run_data(record, executions={"r1": 1}))
    assert verdict.wrong_answers == 1
    assert verdict.exit_code == 1


@pytest.mark.parametrize("ending", [Ending.LOST, Ending.UNKNOWN])
@pytest.mark.parametrize("via", [FIRST_MEMBER, SECOND_MEMBER])
def test_planned_stop_must_cut_off_no_request(ending: Ending, via: str) -> None:
    record = build_record(build_attempt(ending, via=type(FIRST_MEMBER)(via)))
    verdict = check_run(build_run_data(record, windows=[STOP]))
    assert verdict.cut_off_by_planned_stop == 1
    assert verdict.exit_code == 1


def test_request_through_the_stopping_member_is_cut_off_despite_other_faults() -> None:
    record = build_record(build_attempt(Ending.LOST, via=FIRST_MEMBER))
    assert check_run(build_run_data(record, windows=[STOP, KILL])).exit_code == 1


@pytest.mark.parametrize(
    "attempt",
    [
        build_attempt(Ending.LOST, via=SECOND_MEMBER),
        build_attempt(Ending.UNKNOWN, error="already_attempted"),
        build_attempt(Ending.LOST, started=13.0, ended=14.0),
        build_attempt(Ending.NOT_RUN),
    ],
    ids=["other fault", "recognised repeat", "after the stop", "not run"],
)
def test_attempt_not_counted_as_cut_off_by_a_planned_stop(attempt: object) -> None:
    record = build_record(attempt)  # type: ignore[arg-type]
    run_data = build_run_data(record, windows=[STOP, KILL])
    assert check_run(run_data).cut_off_by_planned_stop == 0


@pytest.mark.parametrize(
    "run_data",
    [
        replace(build_run_data(), breaches=["slots"]),
        replace(build_run_data(), work_after_leaving=1),
        replace(build_run_data(), revocation=Revocation(None, 0)),
        replace(build_run_data(), revocation=Revocation(13.5, 0)),
        replace(build_run_data(), revocation=Revocation(1.0, 1)),
        replace(build_run_data(), failed_steps=["submit"]),
        replace(build_run_data(), jobs=[JobEnd(JobId("j"), "waiting", "succeeded")]),
    ],
    ids=[
        "breach",
        "leaving",
        "never refused",
        "refused late",
        "accepted again",
        "failed step",
        "job",
    ],
)
def test_every_other_broken_guarantee_is_reported(run_data: RunData) -> None:
    verdict = check_run(run_data)
    assert len(verdict.broken_promises) == 1
    assert verdict.exit_code == 1


def test_kept_guarantees_leave_the_exit_code_at_0() -> None:
    run_data = replace(
        build_run_data(),
        revocation=Revocation(1.5, 0),
        jobs=[JobEnd(JobId("j"), "succeeded", "succeeded")],
    )
    assert check_run(run_data).exit_code == 0


def test_waiting_time_is_the_time_to_the_answer_minus_the_work_time() -> None:
    records = [
        build_record(
            build_attempt(Ending.NOT_RUN, started=0.0, ended=number / 2_000),
            build_attempt(started=number / 2_000, ended=(number + 50) / 1_000),
            idempotent=True,
        )
        for number in range(1, 102)
    ]
    run_data = RunData(records, [], execution_count_by_id={}, work_ms=50)
    verdict = check_run(run_data)
    assert verdict.waiting_p50_ms == 51.0
    assert verdict.waiting_p99_ms == 100.0


def run_of(worker: str, started: float, ended: float | None) -> TaskRun:
    return TaskRun(TaskId("dc1:retail:j/0"), worker, started, ended)


@pytest.mark.parametrize(
    ("runs", "count"),
    [
        ([run_of("w1", 1.0, 2.0), run_of("w2", 2.0, 3.0)], 0),
        ([run_of("w1", 1.0, 2.0), run_of("w2", 1.9, 3.0)], 1),
        ([run_of("w1", 1.0, None), run_of("w2", 5.0, 6.0)], 1),
        ([run_of("w1", 1.0, 9.0), run_of("w2", 2, 3), run_of("w3", 4, 5)], 2),
    ],
)
def test_task_must_not_run_in_two_places(runs: list[TaskRun], count: int) -> None:
    verdict = check_run(replace(build_run_data(), task_runs=runs))
    assert verdict.task_overlaps == count
    assert verdict.task_attempts == len(runs)
    assert verdict.exit_code == int(count > 0)
