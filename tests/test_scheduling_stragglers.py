"""Workers that turn slow, or let what they run stand still."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.forecast import MIN_SAMPLES
from tamarackmount.scheduling.stragglers import (
    FORECAST_STRAGGLER_FACTOR,
    STRAGGLER_FACTOR,
)
from tamarackmount.scheduling.worker_reports import PollFailure, RunEnd
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

TOOK_S = 1.0


def learned() -> SchedulerHarness:
    """Return a cell in which tasks of the patient queue are known to take a second."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=64), worker_entry("w2", cores=64))
    for _ in range(MIN_SAMPLES):
        harness.scheduler.add_duration_sample(LOW_PRIORITY, 1_000, TOOK_S)
    return harness


def end(
    harness: SchedulerHarness, starts: list[StartRun], number: int, how: RunEnd
) -> None:
    """Let runs end together."""
    rows = tuple(
        ended_run(number + place, start.order.task, start.order.run, how)
        for place, start in enumerate(starts)
    )
    harness.answer_poll(worker_report(ended=rows), starts[0].order.incarnation)


def two_jobs_left_with_one_task_each(harness: SchedulerHarness) -> list[StartRun]:
    """Return the starts of the tasks that are left, on the same worker."""
    harness.submit_job(job(1, step(3)))
    harness.submit_job(job(2, step(3)))
    starts = harness.answer_starts()
    left = [starts[2], starts[5]]
    harness.tick(TOOK_S)
    rows = tuple(
        ended_run(place + 1, start.order.task, start.order.run, RunEnd.DONE)
        for place, start in enumerate(starts)
        if start not in left
    )
    running = tuple((start.order.task, start.order.run) for start in left)
    harness.answer_poll(
        worker_report(ended=rows, running=running), left[0].order.incarnation
    )
    return left


def test_a_worker_on_which_two_jobs_stand_still_loses_them() -> None:
    harness = learned()
    left = two_jobs_left_with_one_task_each(harness)
    other = (
        incarnation("w2")
        if left[0].order.incarnation == incarnation("w1")
        else incarnation("w1")
    )
    harness.tick((STRAGGLER_FACTOR - 1) * TOOK_S - 0.2)
    assert not harness.stops
    harness.tick(0.5)
    assert {stop.task for stop in harness.stops} == {row.order.task for row in left}
    end(harness, left, 10, RunEnd.STOPPED)
    assert {again.order.incarnation for again in harness.starts} == {other}


def test_one_job_that_takes_long_is_left_alone() -> None:
    harness = learned()
    harness.submit_job(job(1, step(3)))
    *done, last = harness.answer_starts()
    harness.tick(TOOK_S)
    end(harness, done, 1, RunEnd.DONE)
    harness.tick(STRAGGLER_FACTOR * TOOK_S + 5.0)
    assert not harness.stops
    assert last.order.run


def test_runs_without_their_like_are_left_alone_for_much_longer() -> None:
    harness = learned()
    harness.submit_job(job(1))
    harness.submit_job(job(2))
    harness.answer_starts()
    harness.tick(FORECAST_STRAGGLER_FACTOR * TOOK_S - 0.2)
    assert not harness.stops
    harness.tick(0.5)
    assert len(harness.stops) == 2


def test_a_task_is_stopped_as_a_straggler_once_only() -> None:
    harness = learned()
    left = two_jobs_left_with_one_task_each(harness)
    harness.tick(STRAGGLER_FACTOR * TOOK_S)
    end(harness, left, 10, RunEnd.STOPPED)
    harness.answer_starts()
    harness.stops.clear()
    harness.tick(60.0)
    assert not harness.stops


def test_nothing_is_stopped_before_a_queue_is_known() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    harness.answer_starts()
    harness.tick(60.0)
    assert not harness.stops


def test_a_lasting_task_is_no_straggler() -> None:
    harness = learned()
    harness.submit_job(job(1, step(perpetual=True)))
    harness.answer_starts()
    harness.tick(60.0)
    assert not harness.stops


def test_a_job_of_long_tasks_does_not_make_its_worker_slow() -> None:
    harness = learned()
    harness.submit_job(job(1, step(6)))
    starts = harness.answer_starts()
    harness.tick(2.4 * TOOK_S)
    end(harness, starts, 1, RunEnd.DONE)
    harness.store_pending()
    harness.submit_job(job(2, step(1)))
    assert [start.order.incarnation for start in harness.starts] == [
        starts[0].order.incarnation
    ]


def test_a_worker_that_is_silent_is_not_blamed_for_its_runs() -> None:
    harness = learned()
    left = two_jobs_left_with_one_task_each(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, left[0].order.incarnation)
    harness.tick(STRAGGLER_FACTOR * TOOK_S)
    assert not harness.stops
