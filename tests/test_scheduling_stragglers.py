"""Tests of workers that become slow, or whose runs make no progress."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.worker_reports import PollFailure, RunEnd
from tamarackmount.scheduling.estimates.forecast import MIN_SAMPLES
from tamarackmount.scheduling.placement.stragglers import (
    FORECAST_STRAGGLER_FACTOR,
    STRAGGLER_FACTOR,
)
from tests.utils.build_scheduling import (
    LOW_PRIORITY,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

TASK_S = 1.0


def harness_with_forecast() -> SchedulerHarness:
    """Return a scheduler that forecasts a second for low-priority tasks."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=64), worker_entry("w2", cores=64))
    for _ in range(MIN_SAMPLES):
        harness.scheduler.add_duration_sample(LOW_PRIORITY, 1_000, TASK_S)
    return harness


def end_runs(
    harness: SchedulerHarness, starts: list[StartRun], number: int, outcome: RunEnd
) -> None:
    """Report the ends of runs on one worker."""
    rows = tuple(
        ended_run(number + offset, start.order.task, start.order.run_number, outcome)
        for offset, start in enumerate(starts)
    )
    harness.answer_poll(worker_report(ended=rows), starts[0].order.incarnation)


def leave_one_task_of_two_jobs(harness: SchedulerHarness) -> list[StartRun]:
    """Submit two jobs to one worker and end all but one task of each.

    Return the starts of the two tasks that still run.
    """
    harness.submit_job(job(1, step(3)))
    harness.submit_job(job(2, step(3)))
    starts = harness.answer_starts()
    slow = [starts[2], starts[5]]
    harness.tick(TASK_S)
    rows = tuple(
        ended_run(offset + 1, start.order.task, start.order.run_number, RunEnd.DONE)
        for offset, start in enumerate(starts)
        if start not in slow
    )
    running = tuple((start.order.task, start.order.run_number) for start in slow)
    harness.answer_poll(
        worker_report(ended=rows, running=running), slow[0].order.incarnation
    )
    return slow


def test_stragglers_of_two_jobs_on_a_worker_are_moved_elsewhere() -> None:
    harness = harness_with_forecast()
    slow = leave_one_task_of_two_jobs(harness)
    other_worker = (
        incarnation("w2")
        if slow[0].order.incarnation == incarnation("w1")
        else incarnation("w1")
    )
    harness.tick((STRAGGLER_FACTOR - 1) * TASK_S - 0.2)
    assert not harness.stops
    harness.tick(0.5)
    assert {stop.task for stop in harness.stops} == {row.order.task for row in slow}
    end_runs(harness, slow, 10, RunEnd.STOPPED)
    assert {restart.order.incarnation for restart in harness.starts} == {other_worker}


def test_one_job_that_takes_long_is_left_alone() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1, step(3)))
    *finished, slow = harness.answer_starts()
    harness.tick(TASK_S)
    end_runs(harness, finished, 1, RunEnd.DONE)
    harness.tick(STRAGGLER_FACTOR * TASK_S + 5.0)
    assert not harness.stops
    assert slow.order.run_number


def test_runs_without_finished_siblings_get_the_longer_forecast_limit() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1))
    harness.submit_job(job(2))
    harness.answer_starts()
    harness.tick(FORECAST_STRAGGLER_FACTOR * TASK_S - 0.2)
    assert not harness.stops
    harness.tick(0.5)
    assert len(harness.stops) == 2


def test_a_task_is_stopped_as_a_straggler_only_once() -> None:
    harness = harness_with_forecast()
    slow = leave_one_task_of_two_jobs(harness)
    harness.tick(STRAGGLER_FACTOR * TASK_S)
    end_runs(harness, slow, 10, RunEnd.STOPPED)
    harness.answer_starts()
    harness.stops.clear()
    harness.tick(60.0)
    assert not harness.stops


def test_nothing_is_stopped_without_enough_samples_of_the_queue() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    harness.answer_starts()
    harness.tick(60.0)
    assert not harness.stops


def test_a_perpetual_task_is_no_straggler() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1, step(perpetual=True)))
    harness.answer_starts()
    harness.tick(60.0)
    assert not harness.stops


def test_a_job_whose_tasks_are_all_long_does_not_make_its_worker_slow() -> None:
    harness = harness_with_forecast()
    harness.submit_job(job(1, step(6)))
    starts = harness.answer_starts()
    harness.tick(2.4 * TASK_S)
    end_runs(harness, starts, 1, RunEnd.DONE)
    harness.store_pending()
    harness.submit_job(job(2, step(1)))
    assert [start.order.incarnation for start in harness.starts] == [
        starts[0].order.incarnation
    ]


def test_runs_of_an_unresponsive_worker_are_no_stragglers() -> None:
    harness = harness_with_forecast()
    slow = leave_one_task_of_two_jobs(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, slow[0].order.incarnation)
    harness.tick(STRAGGLER_FACTOR * TASK_S)
    assert not harness.stops
