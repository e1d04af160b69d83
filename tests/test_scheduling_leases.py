"""Leases of workers, lost answers, and when a task may start elsewhere."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.model import JobPhase, TaskKey
from tamarackmount.scheduling.worker_leases import LOOK_GAP_S, RENEW_SILENT_S
from tamarackmount.scheduling.worker_reports import (
    OrderResult,
    RunEnd,
    WorkerTrouble,
)
from tamarackmount.scheduling.workers import LEASE_MS, SLOWEST_CLOCK
from tests.utils.build_scheduling import (
    CLOCK_MS,
    Cell,
    ended,
    entry,
    job,
    life,
    report,
    step,
)

SLOW_LEASE_S = 6.0 / 0.98
"""A lease of 6 s on a clock that runs 2 % slow, in seconds."""

LEASE_S = LEASE_MS / 1_000 / SLOWEST_CLOCK


def task_of() -> TaskKey:
    """Return the only task of the job that is handed in first."""
    return TaskKey(job().job_id, 0, 0, 0)


def one_run(cell: Cell) -> None:
    cell.list_workers(entry("w1"))
    cell.add(job())
    cell.answer_starts()


def silent_for(cell: Cell, seconds: float) -> None:
    """Leave every look at the worker without an answer for a while."""
    ends = cell.now + seconds
    while cell.now < ends:
        for hold in cell.take_holds():
            if hold.life == life():
                cell.hold(WorkerTrouble.SILENT)
        cell.tick(0.1)


def test_a_lost_workers_task_starts_elsewhere_once_its_lease_is_over() -> None:
    cell = Cell()
    one_run(cell)
    cell.list_workers(entry("w1"), entry("w2"))
    silent_for(cell, LEASE_S - 0.5)
    assert not cell.starts
    silent_for(cell, 1.0 + RENEW_SILENT_S)
    assert [start.order.life for start in cell.starts] == [life("w2")]


def test_looks_at_a_silent_worker_renew_nothing() -> None:
    cell = Cell()
    one_run(cell)
    silent_for(cell, RENEW_SILENT_S + 1.0)
    cell.tick(0.5)
    assert cell.holds[-1].lease_end_clock_ms is None


def test_a_worker_that_answers_again_in_time_keeps_its_task() -> None:
    cell = Cell()
    one_run(cell)
    cell.list_workers(entry("w1"), entry("w2"))
    silent_for(cell, 2.0)
    running = ((task_of(), 1),)
    cell.hold(report(running=running, clock_ms=CLOCK_MS + 2_000))
    cell.tick(LEASE_S)
    assert not cell.starts


def test_a_worker_born_again_ended_what_ran_before() -> None:
    cell = Cell()
    one_run(cell)
    cell.list_workers(entry("w1", life=life("w1", born=2)))
    assert [start.order.life.born_unix_ms for start in cell.starts] == [2]


def test_a_start_without_an_answer_is_stopped_before_it_is_made_elsewhere() -> None:
    cell = Cell()
    cell.list_workers(entry("w1"), entry("w2"))
    cell.add(job())
    (start,) = cell.answer_starts(OrderResult.UNKNOWN)
    assert [stop.task for stop in cell.stops] == [start.order.task]
    assert not cell.starts
    order = start.order
    cell.scheduler.stop_answered(
        order.life, order.task, order.run, OrderResult.DONE, cell.now
    )
    cell.tick(0.1)
    assert not cell.starts
    cell.hold(report(), order.life)
    assert len(cell.starts) == 1
    assert cell.starts[0].order.run > order.run


def test_a_start_without_an_answer_takes_room_until_it_is_settled() -> None:
    cell = Cell()
    cell.list_workers(entry("w1", cores=1))
    cell.add(job(1))
    cell.answer_starts(OrderResult.UNKNOWN)
    cell.add(job(2))
    cell.tick(0.2)
    assert not cell.starts


@pytest.mark.parametrize(
    "result",
    [OrderResult.NO_ROOM, OrderResult.LATE, OrderResult.NOT_SENT, OrderResult.OLD_RUN],
)
def test_a_start_that_was_refused_is_made_again(result: OrderResult) -> None:
    cell = Cell()
    cell.list_workers(entry("w1"))
    cell.add(job())
    (start,) = cell.answer_starts(result)
    cell.tick(2.0)
    assert len(cell.starts) == 1
    assert cell.starts[0].order.run > start.order.run


def test_an_end_is_acknowledged_only_once_the_store_has_it() -> None:
    cell = Cell()
    one_run(cell)
    cell.holds.clear()
    row = ended(1, task_of(), 1, RunEnd.DONE)
    cell.hold(report(ended=(row,)))
    cell.tick(1.0)
    assert [hold.ack_cursor for hold in cell.holds] == [0]
    assert cell.scheduler.phase(job().job_id) is JobPhase.RUNNING
    cell.hold(report(ended=(row,)))
    cell.holds.clear()
    cell.store()
    cell.tick(LOOK_GAP_S)
    assert [hold.ack_cursor for hold in cell.holds] == [1]
    assert cell.scheduler.phase(job().job_id) is JobPhase.COMPLETED


def test_an_end_that_is_listed_twice_counts_once() -> None:
    cell = Cell()
    one_run(cell)
    row = ended(1, task_of(), 1, RunEnd.FAILED)
    cell.hold(report(ended=(row,)))
    cell.answer_starts()
    cell.tick(0.5)
    cell.hold(report(ended=(row,), running=((row.task, 2),)))
    cell.store()
    assert cell.scheduler.phase(job().job_id) is JobPhase.RUNNING


def test_a_task_that_failed_as_often_as_it_may_fails_its_job() -> None:
    cell = Cell()
    one_run(cell)
    for number in (1, 2):
        row = ended(number, task_of(), number, RunEnd.FAILED)
        cell.hold(report(ended=(row,)))
        cell.tick(0.5)
        assert len(cell.answer_starts()) == 2 - number
    cell.store()
    assert cell.scheduler.phase(job().job_id) is JobPhase.FAILED


def test_a_lease_on_a_clock_that_is_slow_is_waited_for() -> None:
    cell = Cell()
    one_run(cell)
    cell.list_workers(entry("w1"), entry("w2"))
    renewed_at = cell.now
    while cell.now < renewed_at + SLOW_LEASE_S:
        for hold in cell.take_holds():
            if hold.life == life() and hold.lease_end_clock_ms is not None:
                renewed_at = cell.now
            if hold.life == life():
                cell.hold(WorkerTrouble.SILENT)
        assert not cell.starts
        cell.tick(0.02)


def test_nothing_starts_on_a_worker_that_drains_or_is_not_listed() -> None:
    cell = Cell()
    cell.list_workers(entry("w1"))
    cell.scheduler.set_workers([entry("w1", is_draining=True)], cell.now)
    cell.add(job(1))
    cell.scheduler.set_workers([], cell.now)
    cell.tick(0.1)
    assert not cell.starts


def test_what_keeps_its_progress_leaves_a_draining_worker() -> None:
    cell = Cell()
    cell.list_workers(entry("w1"))
    cell.add(job(1, step(saves_progress=True, estimated_ms=60_000), step()))
    cell.answer_starts()
    cell.list_workers(entry("w1", is_draining=True, drain_left_ms=2_000))
    assert [stop.task.step for stop in cell.stops] == [0]


def test_room_is_never_given_twice() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=4))
    for number in range(1, 9):
        cell.add(job(number))
    assert len(cell.starts) == 4


def test_a_start_whose_answer_is_lost_runs_on_once_it_is_listed() -> None:
    cell = Cell()
    cell.list_workers(entry("w1"), entry("w2"))
    cell.add(job())
    (start,) = cell.starts
    cell.hold(report(running=((start.order.task, start.order.run),)), start.order.life)
    cell.answer_starts(OrderResult.UNKNOWN)
    cell.tick(0.5)
    assert not cell.stops
    assert not cell.starts


def test_a_holder_without_a_licence_orders_and_renews_nothing() -> None:
    cell = Cell()
    one_run(cell)
    cell.hold(report(running=((task_of(), 1),)))
    cell.scheduler.set_licence(Licence.NONE)
    cell.take_holds()
    cell.add(job(2))
    cell.tick(3.0)
    assert not cell.starts
    assert not cell.take_holds()
    cell.scheduler.set_licence(Licence.FULL)
    cell.tick(0.1)
    assert cell.starts
