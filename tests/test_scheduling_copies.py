"""Copies of speculative tasks whose runs may be lost, and doubted workers."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.model import JobPhase
from tamarackmount.scheduling.scheduler_state import STOP_RETRY_S
from tamarackmount.scheduling.stragglers import CHECK_S, COPY_FACTOR
from tamarackmount.scheduling.worker_reports import (
    OrderResult,
    RunEnd,
    WorkerTrouble,
)
from tests.utils.build_scheduling import (
    URGENT,
    Cell,
    ended,
    entry,
    job,
    life,
    report,
    step,
)

TOOK_S = 1.0


def two_workers() -> Cell:
    """Return a cell with two workers that have room for all tasks of a test."""
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1"), entry("w2"))
    return cell


def started(cell: Cell, *, count: int = 1, speculative: bool = True) -> list[StartRun]:
    """Return the starts of an urgent job's tasks, which one worker takes."""
    cell.add(job(1, step(count, speculative=speculative), in_queue=URGENT))
    return cell.answer_starts()


def other(start: StartRun) -> str:
    """Return the worker that did not get a start."""
    return "w2" if start.order.life == life("w1") else "w1"


def test_a_lost_worker_s_speculative_tasks_start_elsewhere_at_once() -> None:
    cell = two_workers()
    (first,) = started(cell)
    cell.hold(WorkerTrouble.SILENT, first.order.life)
    (copy,) = cell.answer_starts()
    assert copy.order.task == first.order.task
    assert copy.order.run > first.order.run
    assert copy.order.life == life(other(first))


def test_one_lost_answer_of_a_worker_that_answers_others_costs_a_look() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1"), entry("w2"))
    cell.add(job(1, step(2), in_queue=URGENT))
    cell.take_holds()
    sent = cell.now
    cell.tick(0.1)
    (start, *_) = cell.answer_starts()
    cell.scheduler.worker_held(start.order.life, WorkerTrouble.SILENT, sent, cell.now)
    cell.tick()
    (look,) = cell.take_holds()
    assert look.wait_ms == 0
    cell.add(job(2, step(8), in_queue=URGENT))
    assert start.order.life in {row.order.life for row in cell.starts}


def test_a_stop_without_an_answer_is_sent_again_unless_its_worker_is_lost() -> None:
    cell = two_workers()
    cell.add(job(1, step(), in_queue=URGENT))
    (first,) = cell.answer_starts(OrderResult.UNKNOWN)
    order = first.order
    for _ in range(2):
        cell.tick(STOP_RETRY_S)
        cell.scheduler.stop_answered(
            order.life, order.task, order.run, OrderResult.UNKNOWN, cell.now
        )
        cell.tick()
    assert len(cell.stops) == 3
    cell.hold(WorkerTrouble.SILENT, order.life)
    cell.hold(WorkerTrouble.SILENT, order.life)
    cell.tick(STOP_RETRY_S)
    cell.scheduler.stop_answered(
        order.life, order.task, order.run, OrderResult.UNKNOWN, cell.now
    )
    cell.tick()
    assert len(cell.stops) == 3


def test_other_tasks_wait_until_the_lease_is_over() -> None:
    cell = two_workers()
    (first,) = started(cell, speculative=False)
    cell.hold(WorkerTrouble.SILENT, first.order.life)
    cell.tick(1.0)
    assert not cell.starts


@pytest.mark.parametrize("is_copy_first", [True, False])
def test_the_first_end_counts_and_the_other_run_is_stopped(
    is_copy_first: bool,
) -> None:
    cell = two_workers()
    (first,) = started(cell)
    cell.hold(WorkerTrouble.SILENT, first.order.life)
    (copy,) = cell.answer_starts()
    done, left = (copy, first) if is_copy_first else (first, copy)
    order = done.order
    cell.hold(report(ended=(ended(1, order.task, order.run, RunEnd.DONE),)), order.life)
    cell.store()
    assert cell.scheduler.phase(order.task.job_id) is JobPhase.COMPLETED
    assert (left.order.life, left.order.run) in {
        (stop.life, stop.run) for stop in cell.stops
    }


def test_a_task_has_one_copy_at_a_time() -> None:
    cell = two_workers()
    cell.list_workers(entry("w1"), entry("w2"), entry("w3"))
    (first,) = started(cell)
    cell.hold(WorkerTrouble.SILENT, first.order.life)
    (copy,) = cell.answer_starts()
    cell.hold(WorkerTrouble.SILENT, copy.order.life)
    cell.tick(1.0)
    assert not cell.starts


def test_a_copy_counts_for_its_team_until_it_is_surely_over() -> None:
    cell = Cell(ceiling=Resources(2_000, 0, 0))
    cell.list_workers(entry("w1"), entry("w2"))
    (first,) = started(cell)
    cell.hold(WorkerTrouble.SILENT, first.order.life)
    cell.answer_starts()
    cell.add(job(2, step(), in_queue=URGENT))
    assert not cell.starts


def test_an_order_without_an_answer_is_made_elsewhere_and_stopped() -> None:
    cell = two_workers()
    cell.add(job(1, step(speculative=True), in_queue=URGENT))
    (first,) = cell.answer_starts(OrderResult.UNKNOWN)
    (copy,) = cell.answer_starts()
    assert copy.order.life == life(other(first))
    assert [stop.run for stop in cell.stops] == [first.order.run]


def test_a_worker_that_left_an_order_unanswered_gets_no_more() -> None:
    cell = two_workers()
    cell.add(job(1, step(), in_queue=URGENT))
    cell.tick(0.3)
    (first,) = cell.answer_starts(OrderResult.UNKNOWN)
    for number in range(2, 5):
        cell.add(job(number, step(), in_queue=URGENT))
    starts = cell.answer_starts()
    assert {start.order.life for start in starts} == {life(other(first))}
    cell.hold(report(), first.order.life)
    cell.add(job(5, step(8), in_queue=URGENT))
    lives = {start.order.life for start in cell.answer_starts()}
    assert first.order.life in lives


def test_a_worker_that_answers_others_meanwhile_is_not_doubted() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1"))
    cell.add(job(1, step(2), in_queue=URGENT))
    lost, answered = cell.starts
    cell.starts = []
    cell.tick(0.01)
    for start, result in (
        (answered, OrderResult.DONE),
        (lost, OrderResult.UNKNOWN),
    ):
        order = start.order
        cell.scheduler.start_answered(
            order.life, order.task, order.run, result, cell.now
        )
    cell.add(job(2, step(), in_queue=URGENT))
    assert len(cell.starts) == 1


def test_a_speculative_task_that_others_left_behind_gets_a_copy() -> None:
    cell = two_workers()
    *done, slow = started(cell, count=4)
    cell.tick(TOOK_S)
    rows = tuple(
        ended(place, start.order.task, start.order.run, RunEnd.DONE)
        for place, start in enumerate(done, start=1)
    )
    running = ((slow.order.task, slow.order.run),)
    cell.hold(report(ended=rows, running=running), slow.order.life)
    cell.tick((COPY_FACTOR - 1) * TOOK_S - 0.1)
    assert not cell.starts
    cell.tick(0.1 + CHECK_S)
    (copy,) = cell.answer_starts()
    assert copy.order.task == slow.order.task
    assert copy.order.life == life(other(slow))
    assert not cell.stops
