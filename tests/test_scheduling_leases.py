"""Leases of workers, lost answers, and when a task may start elsewhere."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.holder_authority import HolderAuthority
from tamarackmount.scheduling.model import JobPhase, TaskKey
from tamarackmount.scheduling.worker_leases import (
    MIN_POLL_INTERVAL_S,
    RENEWAL_SILENCE_TIMEOUT_S,
)
from tamarackmount.scheduling.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
)
from tamarackmount.scheduling.workers import LEASE_MS, MIN_CLOCK_RATE
from tests.utils.build_scheduling import (
    CLOCK_MS,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

SLOW_LEASE_S = 6.0 / 0.98
"""A lease of 6 s on a clock that runs 2 % slow, in seconds."""

LEASE_S = LEASE_MS / 1_000 / MIN_CLOCK_RATE


def task_of() -> TaskKey:
    """Return the only task of the job that is handed in first."""
    return TaskKey(job().job_id, 0, 0, 0)


def one_run(harness: SchedulerHarness) -> None:
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    harness.answer_starts()


def silent_for(harness: SchedulerHarness, seconds: float) -> None:
    """Leave every look at the worker without an answer for a while."""
    ends = harness.now + seconds
    while harness.now < ends:
        for hold in harness.take_polls():
            if hold.incarnation == incarnation():
                harness.answer_poll(PollFailure.NO_ANSWER)
        harness.tick(0.1)


def test_a_lost_workers_task_starts_elsewhere_once_its_lease_is_over() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    silent_for(harness, LEASE_S - 0.5)
    assert not harness.starts
    silent_for(harness, 1.0 + RENEWAL_SILENCE_TIMEOUT_S)
    assert [start.order.incarnation for start in harness.starts] == [incarnation("w2")]


def test_looks_at_a_silent_worker_renew_nothing() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    silent_for(harness, RENEWAL_SILENCE_TIMEOUT_S + 1.0)
    harness.tick(0.5)
    assert harness.polls[-1].lease_end_clock_ms is None


def test_a_worker_that_answers_again_in_time_keeps_its_task() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    silent_for(harness, 2.0)
    running = ((task_of(), 1),)
    harness.answer_poll(worker_report(running=running, clock_ms=CLOCK_MS + 2_000))
    harness.tick(LEASE_S)
    assert not harness.starts


def test_a_worker_born_again_ended_what_ran_before() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.register_workers(worker_entry("w1", incarnation=incarnation("w1", born=2)))
    assert [start.order.incarnation.born_unix_ms for start in harness.starts] == [2]


def test_a_start_without_an_answer_is_stopped_before_it_is_made_elsewhere() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    (start,) = harness.answer_starts(OrderResult.UNKNOWN)
    assert [stop.task for stop in harness.stops] == [start.order.task]
    assert not harness.starts
    order = start.order
    harness.scheduler.stop_answered(
        order.incarnation, order.task, order.run, OrderResult.DONE, harness.now
    )
    harness.tick(0.1)
    assert not harness.starts
    harness.answer_poll(worker_report(), order.incarnation)
    assert len(harness.starts) == 1
    assert harness.starts[0].order.run > order.run


def test_a_start_without_an_answer_takes_room_until_it_is_settled() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1))
    harness.answer_starts(OrderResult.UNKNOWN)
    harness.submit_job(job(2))
    harness.tick(0.2)
    assert not harness.starts


@pytest.mark.parametrize(
    "result",
    [
        OrderResult.NO_CAPACITY,
        OrderResult.LATE,
        OrderResult.NOT_SENT,
        OrderResult.STALE_RUN,
    ],
)
def test_a_start_that_was_refused_is_made_again(result: OrderResult) -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    (start,) = harness.answer_starts(result)
    harness.tick(2.0)
    assert len(harness.starts) == 1
    assert harness.starts[0].order.run > start.order.run


def test_an_end_is_acknowledged_only_once_the_store_has_it() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.polls.clear()
    row = ended_run(1, task_of(), 1, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(row,)))
    harness.tick(1.0)
    assert [hold.ack_cursor for hold in harness.polls] == [0]
    assert harness.scheduler.phase(job().job_id) is JobPhase.RUNNING
    harness.answer_poll(worker_report(ended=(row,)))
    harness.polls.clear()
    harness.store_pending()
    harness.tick(MIN_POLL_INTERVAL_S)
    assert [hold.ack_cursor for hold in harness.polls] == [1]
    assert harness.scheduler.phase(job().job_id) is JobPhase.COMPLETED


def test_an_end_that_is_listed_twice_counts_once() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    row = ended_run(1, task_of(), 1, RunEnd.FAILED)
    harness.answer_poll(worker_report(ended=(row,)))
    harness.answer_starts()
    harness.tick(0.5)
    harness.answer_poll(worker_report(ended=(row,), running=((row.task, 2),)))
    harness.store_pending()
    assert harness.scheduler.phase(job().job_id) is JobPhase.RUNNING


def test_a_task_that_failed_as_often_as_it_may_fails_its_job() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    for number in (1, 2):
        row = ended_run(number, task_of(), number, RunEnd.FAILED)
        harness.answer_poll(worker_report(ended=(row,)))
        harness.tick(0.5)
        assert len(harness.answer_starts()) == 2 - number
    harness.store_pending()
    assert harness.scheduler.phase(job().job_id) is JobPhase.FAILED


def test_a_lease_on_a_clock_that_is_slow_is_waited_for() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    renewed_at = harness.now
    while harness.now < renewed_at + SLOW_LEASE_S:
        for hold in harness.take_polls():
            if (
                hold.incarnation == incarnation()
                and hold.lease_end_clock_ms is not None
            ):
                renewed_at = harness.now
            if hold.incarnation == incarnation():
                harness.answer_poll(PollFailure.NO_ANSWER)
        assert not harness.starts
        harness.tick(0.02)


def test_nothing_starts_on_a_worker_that_drains_or_is_not_listed() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.scheduler.set_registered_workers(
        [worker_entry("w1", is_draining=True)], harness.now
    )
    harness.submit_job(job(1))
    harness.scheduler.set_registered_workers([], harness.now)
    harness.tick(0.1)
    assert not harness.starts


def test_what_keeps_its_progress_leaves_a_draining_worker() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(saves_progress=True, estimated_ms=60_000), step()))
    harness.answer_starts()
    harness.register_workers(worker_entry("w1", is_draining=True, drain_left_ms=2_000))
    assert [stop.task.step for stop in harness.stops] == [0]


def test_room_is_never_given_twice() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=4))
    for number in range(1, 9):
        harness.submit_job(job(number))
    assert len(harness.starts) == 4


def test_a_start_whose_answer_is_lost_runs_on_once_it_is_listed() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    (start,) = harness.starts
    harness.answer_poll(
        worker_report(running=((start.order.task, start.order.run),)),
        start.order.incarnation,
    )
    harness.answer_starts(OrderResult.UNKNOWN)
    harness.tick(0.5)
    assert not harness.stops
    assert not harness.starts


def test_a_holder_without_a_licence_orders_and_renews_nothing() -> None:
    harness = SchedulerHarness()
    one_run(harness)
    harness.answer_poll(worker_report(running=((task_of(), 1),)))
    harness.scheduler.set_authority(HolderAuthority.NONE)
    harness.take_polls()
    harness.submit_job(job(2))
    harness.tick(3.0)
    assert not harness.starts
    assert not harness.take_polls()
    harness.scheduler.set_authority(HolderAuthority.FULL)
    harness.tick(0.1)
    assert harness.starts
