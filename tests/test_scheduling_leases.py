"""Tests for worker leases, lost answers, and when a task may start elsewhere."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.contact.worker_leases import MIN_POLL_INTERVAL_S
from tamarackmount.scheduling.contact.worker_polls import RENEWAL_SILENCE_TIMEOUT_S
from tamarackmount.scheduling.domain.model import JobPhase, TaskKey
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
)
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.workers.workers import LEASE_MS, MIN_CLOCK_RATE
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
"""Duration of a lease of 6 s on a clock that runs 2 % slow, in seconds; it does not use
the tested constants, so a change of them fails a test."""

LEASE_S = LEASE_MS / 1_000 / MIN_CLOCK_RATE
"""Longest duration of a lease, on the slowest permitted clock, in seconds."""


def first_task() -> TaskKey:
    """Return the only task of the job that is submitted first."""
    return TaskKey(job().job_id, 0, 0, 0)


def start_one_run(harness: SchedulerHarness) -> None:
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    harness.answer_starts()


def leave_polls_unanswered(harness: SchedulerHarness, seconds: float) -> None:
    """Leave every poll of the worker unanswered for some time."""
    ends = harness.now + seconds
    while harness.now < ends:
        for poll in harness.take_polls():
            if poll.incarnation == incarnation():
                harness.answer_poll(PollFailure.NO_ANSWER)
        harness.tick(0.1)


def test_a_lost_workers_task_starts_elsewhere_once_its_lease_expires() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    leave_polls_unanswered(harness, LEASE_S - 0.5)
    assert not harness.starts
    leave_polls_unanswered(harness, 1.0 + RENEWAL_SILENCE_TIMEOUT_S)
    assert [start.order.incarnation for start in harness.starts] == [incarnation("w2")]


def test_polls_of_a_silent_worker_do_not_renew_its_lease() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    leave_polls_unanswered(harness, RENEWAL_SILENCE_TIMEOUT_S + 1.0)
    harness.tick(0.5)
    assert harness.polls[-1].lease_end_clock_ms is None


def test_a_worker_that_answers_again_in_time_keeps_its_task() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    leave_polls_unanswered(harness, 2.0)
    running = ((first_task(), 1),)
    harness.answer_poll(worker_report(running=running, clock_ms=CLOCK_MS + 2_000))
    harness.tick(LEASE_S)
    assert not harness.starts


def test_runs_of_an_older_worker_incarnation_are_over() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.register_workers(worker_entry("w1", incarnation=incarnation("w1", born=2)))
    assert [start.order.incarnation.born_unix_ms for start in harness.starts] == [2]


def test_an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    (start,) = harness.answer_starts(OrderResult.UNKNOWN)
    assert [stop.task for stop in harness.stops] == [start.order.task]
    assert not harness.starts
    order = start.order
    harness.scheduler.stop_answered(
        order.incarnation, order.task, order.run_number, OrderResult.DONE, harness.now
    )
    harness.tick(0.1)
    assert not harness.starts
    harness.answer_poll(worker_report(), order.incarnation)
    assert len(harness.starts) == 1
    assert harness.starts[0].order.run_number > order.run_number


def test_an_unanswered_start_reserves_capacity_until_its_outcome_is_known() -> None:
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
def test_a_refused_start_is_retried(result: OrderResult) -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    (start,) = harness.answer_starts(result)
    harness.tick(2.0)
    assert len(harness.starts) == 1
    assert harness.starts[0].order.run_number > start.order.run_number


def test_a_run_end_is_acknowledged_only_once_it_is_stored() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.polls.clear()
    row = ended_run(1, first_task(), 1, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(row,)))
    harness.tick(1.0)
    assert [poll.ack_cursor for poll in harness.polls] == [0]
    assert harness.scheduler.phase(job().job_id) is JobPhase.RUNNING
    harness.answer_poll(worker_report(ended=(row,)))
    harness.polls.clear()
    harness.store_pending()
    harness.tick(MIN_POLL_INTERVAL_S)
    assert [poll.ack_cursor for poll in harness.polls] == [1]
    assert harness.scheduler.phase(job().job_id) is JobPhase.COMPLETED


def test_a_run_end_that_is_reported_twice_counts_once() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    row = ended_run(1, first_task(), 1, RunEnd.FAILED)
    harness.answer_poll(worker_report(ended=(row,)))
    harness.answer_starts()
    harness.tick(0.5)
    harness.answer_poll(worker_report(ended=(row,), running=((row.task, 2),)))
    harness.store_pending()
    assert harness.scheduler.phase(job().job_id) is JobPhase.RUNNING


def test_a_job_fails_once_a_task_has_used_all_attempts() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    for number in (1, 2):
        row = ended_run(number, first_task(), number, RunEnd.FAILED)
        harness.answer_poll(worker_report(ended=(row,)))
        harness.tick(0.5)
        assert len(harness.answer_starts()) == 2 - number
    harness.store_pending()
    assert harness.scheduler.phase(job().job_id) is JobPhase.FAILED


def test_a_lease_on_a_slow_clock_is_waited_for() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    renewed_at = harness.now
    while harness.now < renewed_at + SLOW_LEASE_S:
        for poll in harness.take_polls():
            if (
                poll.incarnation == incarnation()
                and poll.lease_end_clock_ms is not None
            ):
                renewed_at = harness.now
            if poll.incarnation == incarnation():
                harness.answer_poll(PollFailure.NO_ANSWER)
        assert not harness.starts
        harness.tick(0.02)


def test_nothing_starts_on_a_draining_or_unregistered_worker() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.scheduler.set_registered_workers(
        [worker_entry("w1", is_draining=True)], harness.now
    )
    harness.submit_job(job(1))
    harness.scheduler.set_registered_workers([], harness.now)
    harness.tick(0.1)
    assert not harness.starts


def test_a_run_that_saves_progress_is_stopped_on_a_draining_worker() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(saves_progress=True, estimated_ms=60_000), step()))
    harness.answer_starts()
    harness.register_workers(worker_entry("w1", is_draining=True, drain_left_ms=2_000))
    assert [stop.task.step for stop in harness.stops] == [0]


def test_capacity_is_never_reserved_twice() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=4))
    for number in range(1, 9):
        harness.submit_job(job(number))
    assert len(harness.starts) == 4


def test_an_unanswered_start_goes_on_if_the_worker_has_reported_it() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job())
    (start,) = harness.starts
    harness.answer_poll(
        worker_report(running=((start.order.task, start.order.run_number),)),
        start.order.incarnation,
    )
    harness.answer_starts(OrderResult.UNKNOWN)
    harness.tick(0.5)
    assert not harness.stops
    assert not harness.starts


def test_a_holder_that_only_renews_leases_starts_nothing() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.scheduler.set_authority(HolderAuthority.RENEW_ONLY)
    harness.take_polls()
    # With a store that is away, a run that was placed would wait for it.
    harness.is_store_healthy = False
    harness.submit_job(job(2))
    assert not harness.scheduler.waits_for_store
    harness.answer_poll(worker_report(running=((first_task(), 1),)))
    harness.tick(0.1)
    assert not harness.starts
    assert [poll.lease_end_clock_ms is not None for poll in harness.take_polls()]


def test_no_lease_is_longer_than_the_platform_allows() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    ends = [start.order.lease_end_clock_ms for start in harness.answer_starts()]
    harness.answer_poll(worker_report(running=((first_task(), 1),)))
    ends += [poll.lease_end_clock_ms or 0 for poll in harness.take_polls()]
    # The shortest ``maxHoldMs`` of the platform's deployments.
    assert max(ends) <= CLOCK_MS + 6_000


def test_a_holder_without_authority_sends_no_orders_and_no_renewals() -> None:
    harness = SchedulerHarness()
    start_one_run(harness)
    harness.answer_poll(worker_report(running=((first_task(), 1),)))
    harness.scheduler.set_authority(HolderAuthority.NONE)
    harness.take_polls()
    harness.submit_job(job(2))
    harness.tick(3.0)
    assert not harness.starts
    assert not harness.take_polls()
    harness.scheduler.set_authority(HolderAuthority.FULL)
    harness.tick(0.1)
    assert harness.starts


@pytest.mark.parametrize("is_told_by", ["registration", "poll"])
@pytest.mark.parametrize("result", [OrderResult.DONE, OrderResult.UNKNOWN])
@pytest.mark.parametrize("is_started", [True, False])
def test_an_order_to_a_worker_that_restarted_under_its_id_ran_beside_the_next(
    is_started: bool, result: OrderResult, is_told_by: str
) -> None:
    """The new incarnation accepts it, as the order names the worker's id only."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2", cores=1))
    harness.submit_job(job(1, step(cores=2)))
    (start,) = harness.answer_starts(result)
    harness.stops.clear()
    newer = incarnation("w1", born=2)
    entries = [worker_entry("w1", incarnation=newer), worker_entry("w2")]
    if is_told_by == "poll":
        harness.answer_poll(worker_report(born=2))
    harness.scheduler.set_registered_workers(entries, harness.now)
    harness.tick(0.5)
    # The order may have reached the new incarnation, which has not reported yet.
    assert not harness.starts
    order = start.order
    run = (order.task, order.run_number)
    running = (run,) if is_started else ()
    harness.answer_poll(worker_report(running=running, born=2), newer)
    harness.tick(0.5)
    for stop in harness.stops:
        assert (stop.incarnation, stop.task, stop.run_number) == (newer, *run)
        assert not harness.starts
        harness.scheduler.stop_answered(newer, *run, OrderResult.DONE, harness.now)
        harness.tick(0.1)
    assert bool(harness.stops) is (is_started or result is OrderResult.UNKNOWN)
    harness.answer_poll(worker_report(born=2), newer)
    harness.tick(0.1)
    assert len(harness.starts) == 1
