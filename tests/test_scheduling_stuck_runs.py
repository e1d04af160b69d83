"""Runs whose reported progress stands still, on workers that answer every poll."""

from collections.abc import Sequence

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import StepSpec
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.estimates.forecast import MIN_SAMPLES
from tamarackmount.scheduling.placement.stragglers import (
    MIN_STALL_S,
    STALLED_PERCENTS,
    STRAGGLER_CHECK_INTERVAL_S,
)
from tests.utils.build_scheduling import (
    LOW_PRIORITY,
    SchedulerHarness,
    ended_run,
    job,
    progress_report,
    step,
    worker_entry,
    worker_report,
)

REPORT_INTERVAL_S = 0.1
TASK_S = 1.0
DETECTION_S = MIN_STALL_S + STRAGGLER_CHECK_INTERVAL_S + 2 * REPORT_INTERVAL_S


def harness_with_forecast(task_s: float = TASK_S) -> SchedulerHarness:
    """Return a scheduler with two workers that forecasts the duration of tasks."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    for _ in range(MIN_SAMPLES):
        harness.scheduler.add_duration_sample(LOW_PRIORITY, 1_000, task_s)
    return harness


def report_for(
    harness: SchedulerHarness,
    start: StartRun,
    seconds: float,
    percents_per_s: float = 0.0,
    first_percent: int = 0,
    others: Sequence[StartRun] = (),
) -> None:
    """Report the progress of runs on one worker every 0.1 s."""
    runs = [(row.order.task, row.order.run_number) for row in (start, *others)]
    for number in range(round(seconds / REPORT_INTERVAL_S)):
        percent = first_percent + int(percents_per_s * number * REPORT_INTERVAL_S)
        report = progress_report(dict.fromkeys(runs, percent))
        harness.answer_poll(report, start.order.incarnation)
        harness.tick(REPORT_INTERVAL_S)


@pytest.mark.parametrize("percent", [0, 40], ids=["from its start", "midway"])
def test_a_run_that_is_stuck_is_started_on_another_worker(percent: int) -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1))
    (stuck,) = harness.answer_starts()
    if percent:
        report_for(harness, stuck, 0.4, percents_per_s=100.0)
    report_for(harness, stuck, DETECTION_S, first_percent=percent)
    assert [stop.task for stop in harness.stops] == [stuck.order.task]
    row = ended_run(1, stuck.order.task, stuck.order.run_number, RunEnd.STOPPED)
    harness.answer_poll(worker_report(ended=(row,)), stuck.order.incarnation)
    (restart,) = harness.starts
    assert restart.order.incarnation != stuck.order.incarnation


def test_a_worker_with_a_stuck_run_gets_no_new_runs_for_a_while() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1))
    (stuck,) = harness.answer_starts()
    report_for(harness, stuck, DETECTION_S)
    harness.submit_job(job(2, step(4)))
    incarnations = {start.order.incarnation for start in harness.starts}
    assert incarnations
    assert stuck.order.incarnation not in incarnations


def test_the_time_in_which_an_order_waits_for_the_store_does_not_count() -> None:
    harness = harness_with_forecast()
    harness.is_store_healthy = False
    harness.submit_job(job(1))
    harness.tick(MIN_STALL_S)
    harness.is_store_healthy = True
    harness.tick()
    (start,) = harness.answer_starts()
    report_for(harness, start, MIN_STALL_S - REPORT_INTERVAL_S)
    assert not harness.stops


def test_a_slow_run_that_progresses_is_not_stuck() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1))
    (slow,) = harness.answer_starts()
    report_for(harness, slow, 6.0, percents_per_s=12.0)
    assert not harness.stops


def test_a_long_task_shows_no_progress_for_as_long_as_a_percent_takes() -> None:
    harness = harness_with_forecast(task_s=30.0)
    harness.submit_job(job(1))
    (long,) = harness.answer_starts()
    report_for(harness, long, STALLED_PERCENTS * 0.3 - REPORT_INTERVAL_S)
    assert not harness.stops
    report_for(harness, long, DETECTION_S)
    assert harness.stops


@pytest.mark.parametrize(
    "spec",
    [step(perpetual=True), step(fills=True), step(2, gang=True)],
    ids=["perpetual", "fills free capacity", "gang that waits for members"],
)
def test_runs_that_may_stand_still_are_left_alone(spec: StepSpec) -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1, spec))
    start, *others = harness.answer_starts()
    report_for(harness, start, 3.0, others=others)
    assert not harness.stops


def test_a_silent_worker_does_not_make_its_runs_stuck() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1))
    (start,) = harness.answer_starts()
    report_for(harness, start, 0.2)
    harness.tick(3.0)
    assert not harness.stops


def test_a_stuck_task_that_allows_copies_gets_one_at_once() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1, step(speculative=True)))
    (stuck,) = harness.answer_starts()
    report_for(harness, stuck, DETECTION_S)
    (copy,) = harness.starts
    assert copy.order.incarnation != stuck.order.incarnation
    assert not harness.stops
