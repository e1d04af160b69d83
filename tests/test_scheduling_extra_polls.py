"""Polls that are sent at once, beside one that waits, after an unanswered start order.

Load pattern: the answer to the start order of an urgent task is lost. The task may not
start elsewhere before its worker tells that it does not run it.
"""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
    WorkerReport,
)
from tests.utils.build_scheduling import (
    CLOCK_MS,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    worker_entry,
    worker_report,
)


def with_unanswered_start() -> SchedulerHarness:
    """Return a scheduler with a poll that waits and a start without an answer."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    harness.tick(0.2)
    harness.take_polls()
    (start,) = harness.answer_starts(OrderResult.UNKNOWN)
    assert start.order.incarnation == incarnation("w1")
    return harness


def answer_extra(
    harness: SchedulerHarness, answer: WorkerReport | PollFailure, sent: Instant
) -> None:
    harness.scheduler.poll_answered(
        incarnation("w1"), answer, sent, harness.now, is_extra=True
    )
    harness.tick()


def confirm_stop(harness: SchedulerHarness) -> None:
    stop = harness.stops[-1]
    harness.scheduler.stop_answered(
        stop.incarnation, stop.task, stop.run_number, OrderResult.DONE, harness.now
    )
    harness.tick()


def extra_polls(harness: SchedulerHarness) -> list[PollWorker]:
    polls = [poll for poll in harness.take_polls() if poll.is_extra]
    assert all(poll.wait_ms == 0 for poll in polls)
    assert all(poll.lease_end_clock_ms is None for poll in polls)
    return polls


def test_a_worker_is_polled_at_once_after_a_start_without_an_answer() -> None:
    assert len(extra_polls(with_unanswered_start())) == 1


def test_the_task_starts_again_as_soon_as_the_extra_poll_shows_that_it_stopped() -> (
    None
):
    harness = with_unanswered_start()
    extra_polls(harness)
    answer_extra(harness, worker_report(clock_ms=CLOCK_MS + 210), harness.now)
    harness.tick(0.01)
    confirm_stop(harness)
    (_,) = extra_polls(harness)
    assert not harness.starts
    harness.tick(0.01)
    answer_extra(harness, worker_report(clock_ms=CLOCK_MS + 230), harness.now)
    assert len(harness.starts) == 1


def test_at_most_one_extra_poll_is_in_flight() -> None:
    # Guards against a flood of polls to a worker that answers slowly.
    harness = with_unanswered_start()
    (_,) = extra_polls(harness)
    confirm_stop(harness)
    harness.tick(0.1)
    assert extra_polls(harness) == []


def test_an_extra_poll_without_an_answer_does_not_make_a_worker_silent() -> None:
    # Guards against running work that is given up: only regular polls, which renew the
    # lease, tell that a worker is silent.
    harness = with_unanswered_start()
    for _ in range(3):
        answer_extra(harness, PollFailure.NO_ANSWER, harness.now)
        harness.tick(0.01)
    harness.answer_poll(worker_report(clock_ms=CLOCK_MS + 300))
    worker = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    assert worker.silent_since is None
    assert not worker.last_poll_failed


def test_a_report_that_was_overtaken_by_a_newer_one_starts_nothing_again() -> None:
    # Guards against a run that is adopted although its end was handled: the answer to
    # the poll that waited was made first and arrives second.
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    (start,) = harness.answer_starts()
    task, sent = start.order.task, harness.now
    harness.tick(0.2)
    end = ended_run(1, task, start.order.run_number, RunEnd.STOPPED)
    newer = worker_report(ended=(end,), clock_ms=CLOCK_MS + 150)
    older = worker_report(
        running=((task, start.order.run_number),), clock_ms=CLOCK_MS + 100
    )
    for report, is_extra in ((newer, True), (older, False)):
        harness.scheduler.poll_answered(
            incarnation("w1"), report, sent, harness.now, is_extra=is_extra
        )
    runs = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    numbers = [run.number for run in runs.runs_by_task.values()]
    assert start.order.run_number not in numbers


def test_a_clock_that_was_set_back_does_not_hide_later_reports() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    (start,) = harness.answer_starts()
    harness.tick(0.2)
    end = ended_run(1, start.order.task, start.order.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(end,), clock_ms=CLOCK_MS - 50_000))
    worker = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    assert worker.reported_end_number == 1
