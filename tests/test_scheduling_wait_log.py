"""The log of why steps wait."""

import logging

import pytest

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.jobs.runs import StepState, WaitReason, make_job
from tamarackmount.scheduling.jobs.wait_log import STABLE_REASON_S, update_wait_reason
from tests.utils.build_scheduling import (
    START,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)

NO_CAPACITY = WaitReason.NO_CAPACITY
CEILING = WaitReason.CEILING
TICK_S = 0.004


def make_step() -> StepState:
    """Return a step of two tasks that have no run."""
    state = make_job(job(1, step(2)), None, START)
    return next(iter(state.steps_by_key.values()))


def wait_lines(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    """Return the fields of the lines about waits."""
    return [vars(row) for row in caplog.records if row.message == "step waits"]


@pytest.fixture(autouse=True)
def _log_all(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


def test_a_step_that_alternates_is_logged_once_when_it_starts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a line per tick: 14,126 were dropped in one second."""
    waiting = make_step()
    for tick in range(1_000):
        reason = CEILING if tick % 4 == 0 else NO_CAPACITY
        update_wait_reason(waiting, reason, Instant(START + tick * TICK_S))
        assert waiting.wait_reason is reason
    waiting.pending.clear()
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 1_000 * TICK_S))
    (line,) = wait_lines(caplog)
    assert line["seconds_by_reason"] == {
        CEILING.value: pytest.approx(1.0),
        NO_CAPACITY.value: pytest.approx(3.0),
    }
    assert (line["reason"], line["started"]) == (NO_CAPACITY.value, True)
    assert line["queue"] == "books"


def test_a_reason_is_logged_once_it_is_stable(
    caplog: pytest.LogCaptureFixture,
) -> None:
    waiting = make_step()
    update_wait_reason(waiting, CEILING, START)
    update_wait_reason(waiting, NO_CAPACITY, Instant(START + 0.1))
    ticks = [0.1 + STABLE_REASON_S + extra for extra in (-0.01, 0.0, 0.01, 5.0)]
    for seconds in ticks:
        update_wait_reason(waiting, NO_CAPACITY, Instant(START + seconds))
    waiting.pending.clear()
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 7.0))
    stable, started = wait_lines(caplog)
    assert stable["seconds_by_reason"] == {
        CEILING.value: pytest.approx(0.1),
        NO_CAPACITY.value: pytest.approx(STABLE_REASON_S),
    }
    assert not stable["started"]
    assert started["seconds_by_reason"] == {
        NO_CAPACITY.value: pytest.approx(6.9 - STABLE_REASON_S)
    }


def test_a_step_that_starts_at_once_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=8))
    harness.submit_job(job(1))
    assert len(harness.starts) == 1
    assert wait_lines(caplog) == []


def test_time_in_which_a_step_runs_is_no_wait(
    caplog: pytest.LogCaptureFixture,
) -> None:
    waiting = make_step()
    waiting.pending.clear()
    update_wait_reason(waiting, CEILING, START)
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 1.0))
    update_wait_reason(waiting, CEILING, Instant(START + 9.0))
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 9.5))
    assert [line["seconds_by_reason"] for line in wait_lines(caplog)] == [
        {CEILING.value: 1.0},
        {CEILING.value: 0.5},
    ]


def test_a_job_that_ends_while_it_waits_logs_its_waits(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a cancelled job of which the logs don't say why it waited."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1, step(2)))
    harness.tick(0.2)
    harness.scheduler.cancel_job(job(1).job_id, harness.now, harness.unix_ms)
    (line,) = wait_lines(caplog)
    assert line["seconds_by_reason"] == {NO_CAPACITY.value: pytest.approx(0.2)}
    assert caplog.records[-1].message == "job ended"


def test_tasks_whose_earlier_runs_are_being_stopped_do_not_log_at_each_tick(
    caplog: pytest.LogCaptureFixture,
) -> None:
    waiting = make_step()
    for tick in range(500):
        reason = CEILING if tick % 2 else WaitReason.NONE
        update_wait_reason(waiting, reason, Instant(START + tick * TICK_S))
    assert wait_lines(caplog) == []
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 2.0))
    waiting.pending.clear()
    update_wait_reason(waiting, WaitReason.NONE, Instant(START + 2.1))
    (line,) = wait_lines(caplog)
    assert line["seconds_by_reason"] == {CEILING.value: pytest.approx(1.0)}
