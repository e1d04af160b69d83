"""Builders of workers that restart under their id."""

from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
)
from tests.utils.build_scheduling import (
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    worker_entry,
    worker_report,
)

FORMER = incarnation("w1")
NEXT = incarnation("w1", born=2)
TASK = TaskKey(job().job_id, 0, 0, 0)

MAX_LEASE_S = 10.0 / 0.98
"""Longest lease that a worker takes, on a clock that runs 2 % slow, in seconds."""

USUAL_LEASE_S = 6.0 / 0.98
"""Length of a lease that the holder gives, on such a clock, in seconds."""


def start_one(harness: SchedulerHarness, result: OrderResult = OrderResult.DONE) -> int:
    """Let a task start on w1; return the number of its run."""
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    (start,) = harness.answer_starts(result)
    assert start.order.incarnation == FORMER
    return start.order.run_number


def restart(harness: SchedulerHarness) -> None:
    """Register the next incarnation of w1."""
    harness.scheduler.set_registered_workers(
        [worker_entry("w1", incarnation=NEXT)], harness.now
    )
    harness.tick()


def first_start_s(harness: SchedulerHarness, limit_s: float = 30.0) -> float:
    """Return how long it takes until a task starts while w1 answers no poll."""
    began = harness.now
    while not harness.starts and harness.now < began + limit_s:
        for poll in harness.take_polls():
            is_cut = poll.incarnation.worker_id == FORMER.worker_id
            answer = PollFailure.NO_ANSWER if is_cut else worker_report()
            harness.scheduler.poll_answered(
                poll.incarnation, answer, harness.now, harness.now
            )
        harness.tick(0.1)
    return harness.now - began


def is_for_one_incarnation(poll: PollWorker) -> bool:
    """Tell whether a poll renews a lease or acknowledges ends."""
    return poll.lease_end_clock_ms is not None or poll.ack_cursor > 0


def with_stored_ends() -> SchedulerHarness:
    """Return a scheduler that has stored an end of w1."""
    harness = SchedulerHarness()
    number = start_one(harness)
    harness.answer_poll(
        worker_report(ended=(ended_run(5, TASK, number, RunEnd.STOPPED),))
    )
    harness.store_pending()
    harness.answer_starts()
    harness.answer_poll(worker_report(running=((TASK, number + 1),)))
    harness.tick(0.5)
    return harness


def start_on_next(harness: SchedulerHarness) -> None:
    """Let a task start on w1, and again after that has restarted; add an idle w2."""
    start_one(harness)
    restart(harness)
    harness.answer_poll(worker_report(born=2, clock_ms=100), NEXT)
    harness.store_pending()
    harness.tick(0.1)
    (start,) = harness.answer_starts()
    assert start.order.incarnation == NEXT
    add_idle_worker(harness, NEXT)


def add_idle_worker(
    harness: SchedulerHarness, beside: WorkerIncarnation = FORMER
) -> None:
    """Register w2 beside an incarnation of w1."""
    harness.scheduler.set_registered_workers(
        [worker_entry("w1", incarnation=beside), worker_entry("w2")], harness.now
    )
    harness.answer_poll(worker_report(), incarnation("w2"))
