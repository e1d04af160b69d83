"""Start orders that wait for their turn and are not wanted any more when it comes.

Guards against tasks that run again after they are done, or after their job has ended:
the order waited while its worker did not answer, and its reason is gone.
"""

from collections.abc import Callable
from dataclasses import replace

import pytest

from tamarackmount.scheduling.domain.model import JobPhase, TaskKey
from tamarackmount.scheduling.domain.worker_reports import OrderResult, RunEnd
from tamarackmount.scheduling.execution.run_ends import end_job
from tests.utils.build_scheduling import (
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

Event = Callable[[SchedulerHarness], None]


def with_waiting_orders(*, speculative: bool = True) -> SchedulerHarness:
    """Return a scheduler with a job of two tasks whose start orders wait for w1."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(2, speculative=speculative)))
    assert len(harness.starts) == 2
    assert all(may_send(harness))
    return harness


def may_send(harness: SchedulerHarness) -> list[bool]:
    """Tell for each start order on w1 whether it may be sent now."""
    orders = [start.order for start in harness.starts]
    return [
        harness.scheduler.may_send(order)
        for order in orders
        if order.incarnation == incarnation("w1")
    ]


def cancel(harness: SchedulerHarness) -> None:
    harness.scheduler.cancel_job(job().job_id, harness.now, harness.unix_ms)


def give_up(harness: SchedulerHarness) -> None:
    state = harness.scheduler._state
    end_job(state, state.jobs_by_id[job().job_id], JobPhase.FAILED, harness.now)


def copy_elsewhere(harness: SchedulerHarness) -> None:
    """Let copies of all tasks run on w2, as w1 does not answer one of the orders."""
    first = harness.starts[0].order
    harness.scheduler.start_answered(
        first.incarnation,
        first.task,
        first.run_number,
        OrderResult.UNKNOWN,
        harness.now,
    )
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.tick(0.1)


def complete_elsewhere(harness: SchedulerHarness) -> None:
    """Let copies of all tasks end on w2."""
    copy_elsewhere(harness)
    copies = [
        start.order
        for start in harness.starts
        if start.order.incarnation == incarnation("w2")
    ]
    assert len(copies) == 2
    ends = tuple(
        ended_run(number, copy.task, copy.run_number, RunEnd.DONE)
        for number, copy in enumerate(copies, 1)
    )
    harness.answer_poll(worker_report(ended=ends), incarnation("w2"))


def drain(harness: SchedulerHarness) -> None:
    entry = replace(worker_entry("w1"), is_draining=True, drain_left_ms=2_000)
    harness.scheduler.set_registered_workers([entry], harness.now)


@pytest.mark.parametrize("event", [cancel, give_up, complete_elsewhere, drain])
def test_a_waiting_order_was_sent_after(event: Event) -> None:
    harness = with_waiting_orders()
    event(harness)
    assert not any(may_send(harness))


def test_the_order_of_a_task_whose_copy_is_done_was_sent() -> None:
    harness = with_waiting_orders()
    copy_elsewhere(harness)
    copy = next(
        start.order
        for start in harness.starts
        if start.order.incarnation == incarnation("w2")
    )
    end = ended_run(1, copy.task, copy.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(end,)), incarnation("w2"))
    for start in harness.starts:
        if start.order.task == copy.task:
            assert not harness.scheduler.may_send(start.order)


def test_the_orders_of_a_broken_gang_were_sent() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(3, gang=True)))
    first = harness.starts[0].order
    harness.scheduler.start_answered(
        first.incarnation,
        first.task,
        first.run_number,
        OrderResult.NO_CAPACITY,
        harness.now,
    )
    harness.tick(0.1)
    assert not any(may_send(harness))


def test_later_runs_of_a_gang_that_is_done_were_not_stopped() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job(1, step(2, gang=True), step(1, after=(0,))))
    starts = harness.answer_starts()
    # An earlier run of the gang was done after all, as its worker reports.
    worker = next(
        name
        for name in ("w1", "w2")
        if any(start.order.incarnation == incarnation(name) for start in starts)
    )
    task = TaskKey(job().job_id, 0, 0, 0)
    end = ended_run(1, task, starts[0].order.run_number - 1, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(end,)), incarnation(worker))
    stopped = {(stop.task, stop.run_number) for stop in harness.stops}
    assert stopped == {(start.order.task, start.order.run_number) for start in starts}


@pytest.mark.parametrize("event", [cancel, drain])
def test_a_worker_backed_off_for_an_order_that_was_withdrawn(event: Event) -> None:
    harness = with_waiting_orders()
    event(harness)
    harness.answer_starts(OrderResult.NOT_SENT)
    worker = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    assert worker.backoff_until <= harness.now
    assert not worker.runs_by_task


def test_a_worker_that_could_not_be_reached_backs_off() -> None:
    harness = with_waiting_orders()
    harness.answer_starts(OrderResult.NOT_SENT)
    worker = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    assert worker.backoff_until > harness.now
