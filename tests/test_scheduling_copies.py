"""Tests of speculative copies of runs that may be lost, and of suspected workers."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
)
from tamarackmount.scheduling.placement.stragglers import (
    SPECULATIVE_COPY_FACTOR,
    STRAGGLER_CHECK_INTERVAL_S,
)
from tamarackmount.scheduling.scheduler_state import STOP_RETRY_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

TASK_S = 1.0


def harness_with_two_workers() -> SchedulerHarness:
    """Return a scheduler with two workers that fit all tasks of a test."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    return harness


def submit_and_start(
    harness: SchedulerHarness, *, count: int = 1, speculative: bool = True
) -> list[StartRun]:
    """Submit an urgent job that fits on one worker, and return its starts."""
    harness.submit_job(
        job(1, step(count, speculative=speculative), in_queue=HIGH_PRIORITY)
    )
    return harness.answer_starts()


def other_worker(start: StartRun) -> str:
    """Return the name of the worker that did not get a start."""
    return "w2" if start.order.incarnation == incarnation("w1") else "w1"


def test_speculative_tasks_of_a_lost_worker_start_elsewhere_at_once() -> None:
    harness = harness_with_two_workers()
    (first,) = submit_and_start(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, first.order.incarnation)
    (copy,) = harness.answer_starts()
    assert copy.order.task == first.order.task
    assert copy.order.run_number > first.order.run_number
    assert copy.order.incarnation == incarnation(other_worker(first))


def test_one_lost_answer_of_a_responsive_worker_only_causes_a_poll() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job(1, step(2), in_queue=HIGH_PRIORITY))
    harness.take_polls()
    sent = harness.now
    harness.tick(0.1)
    (start, *_) = harness.answer_starts()
    harness.scheduler.poll_answered(
        start.order.incarnation, PollFailure.NO_ANSWER, sent, harness.now
    )
    harness.tick()
    (poll,) = harness.take_polls()
    assert poll.wait_ms == 0
    harness.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    assert start.order.incarnation in {row.order.incarnation for row in harness.starts}


def test_an_unanswered_stop_is_sent_again_until_its_worker_is_lost() -> None:
    harness = harness_with_two_workers()
    harness.submit_job(job(1, step(), in_queue=HIGH_PRIORITY))
    (first,) = harness.answer_starts(OrderResult.UNKNOWN)
    order = first.order
    for _ in range(2):
        harness.tick(STOP_RETRY_S)
        harness.scheduler.stop_answered(
            order.incarnation,
            order.task,
            order.run_number,
            OrderResult.UNKNOWN,
            harness.now,
        )
        harness.tick()
    assert len(harness.stops) == 3
    harness.answer_poll(PollFailure.NO_ANSWER, order.incarnation)
    harness.answer_poll(PollFailure.NO_ANSWER, order.incarnation)
    harness.tick(STOP_RETRY_S)
    harness.scheduler.stop_answered(
        order.incarnation,
        order.task,
        order.run_number,
        OrderResult.UNKNOWN,
        harness.now,
    )
    harness.tick()
    assert len(harness.stops) == 3


def test_other_tasks_of_a_lost_worker_wait_for_its_lease_to_expire() -> None:
    harness = harness_with_two_workers()
    (first,) = submit_and_start(harness, speculative=False)
    harness.answer_poll(PollFailure.NO_ANSWER, first.order.incarnation)
    harness.tick(1.0)
    assert not harness.starts


@pytest.mark.parametrize("is_copy_first", [True, False])
def test_the_first_end_counts_and_the_other_run_is_stopped(
    is_copy_first: bool,
) -> None:
    harness = harness_with_two_workers()
    (first,) = submit_and_start(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, first.order.incarnation)
    (copy,) = harness.answer_starts()
    finished, superseded = (copy, first) if is_copy_first else (first, copy)
    order = finished.order
    harness.answer_poll(
        worker_report(ended=(ended_run(1, order.task, order.run_number, RunEnd.DONE),)),
        order.incarnation,
    )
    harness.store_pending()
    assert harness.scheduler.phase(order.task.job_id) is JobPhase.COMPLETED
    assert (superseded.order.incarnation, superseded.order.run_number) in {
        (stop.incarnation, stop.run_number) for stop in harness.stops
    }


def test_a_task_has_one_copy_at_a_time() -> None:
    harness = harness_with_two_workers()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"), worker_entry("w3"))
    (first,) = submit_and_start(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, first.order.incarnation)
    (copy,) = harness.answer_starts()
    harness.answer_poll(PollFailure.NO_ANSWER, copy.order.incarnation)
    harness.tick(1.0)
    assert not harness.starts


def test_a_copy_counts_towards_the_ceiling_while_it_may_run() -> None:
    harness = SchedulerHarness(ceiling=Resources(2_000, 0, 0))
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    (first,) = submit_and_start(harness)
    harness.answer_poll(PollFailure.NO_ANSWER, first.order.incarnation)
    harness.answer_starts()
    harness.submit_job(job(2, step(), in_queue=HIGH_PRIORITY))
    assert not harness.starts


def test_an_unanswered_order_is_repeated_elsewhere_and_stopped() -> None:
    harness = harness_with_two_workers()
    harness.submit_job(job(1, step(speculative=True), in_queue=HIGH_PRIORITY))
    (first,) = harness.answer_starts(OrderResult.UNKNOWN)
    (copy,) = harness.answer_starts()
    assert copy.order.incarnation == incarnation(other_worker(first))
    assert [stop.run_number for stop in harness.stops] == [first.order.run_number]


def test_a_worker_with_an_unanswered_order_gets_no_more_until_it_answers() -> None:
    harness = harness_with_two_workers()
    harness.submit_job(job(1, step(), in_queue=HIGH_PRIORITY))
    harness.tick(0.3)
    (first,) = harness.answer_starts(OrderResult.UNKNOWN)
    for number in range(2, 5):
        harness.submit_job(job(number, step(), in_queue=HIGH_PRIORITY))
    starts = harness.answer_starts()
    assert {start.order.incarnation for start in starts} == {
        incarnation(other_worker(first))
    }
    harness.answer_poll(worker_report(), first.order.incarnation)
    harness.submit_job(job(5, step(8), in_queue=HIGH_PRIORITY))
    incarnations = {start.order.incarnation for start in harness.answer_starts()}
    assert first.order.incarnation in incarnations


def test_a_worker_that_answered_another_order_since_is_not_suspected() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(2), in_queue=HIGH_PRIORITY))
    lost, answered = harness.starts
    harness.starts = []
    harness.tick(0.01)
    for start, result in (
        (answered, OrderResult.DONE),
        (lost, OrderResult.UNKNOWN),
    ):
        order = start.order
        harness.scheduler.start_answered(
            order.incarnation, order.task, order.run_number, result, harness.now
        )
    harness.submit_job(job(2, step(), in_queue=HIGH_PRIORITY))
    assert len(harness.starts) == 1


def test_a_speculative_task_slower_than_its_step_gets_a_copy() -> None:
    harness = harness_with_two_workers()
    *finished, slow = submit_and_start(harness, count=4)
    harness.tick(TASK_S)
    ends = tuple(
        ended_run(number, start.order.task, start.order.run_number, RunEnd.DONE)
        for number, start in enumerate(finished, start=1)
    )
    running = ((slow.order.task, slow.order.run_number),)
    harness.answer_poll(
        worker_report(ended=ends, running=running), slow.order.incarnation
    )
    harness.tick((SPECULATIVE_COPY_FACTOR - 1) * TASK_S - 0.1)
    assert not harness.starts
    harness.tick(0.1 + STRAGGLER_CHECK_INTERVAL_S)
    (copy,) = harness.answer_starts()
    assert copy.order.task == slow.order.task
    assert copy.order.incarnation == incarnation(other_worker(slow))
    assert not harness.stops
