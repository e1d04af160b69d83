"""Workers that turn slow, or let what they run stand still."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.forecast import LEARNED_TASKS
from tamarackmount.scheduling.stragglers import FACTOR
from tamarackmount.scheduling.worker_reports import RunEnd
from tests.utils.build_scheduling import (
    PATIENT,
    Cell,
    ended,
    entry,
    job,
    life,
    report,
    step,
)

TOOK_S = 1.0


def learned() -> Cell:
    """Return a cell in which tasks of the patient queue are known to take a second."""
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=64), entry("w2", cores=64))
    for _ in range(LEARNED_TASKS):
        cell.scheduler.learn(PATIENT, 1_000, TOOK_S)
    return cell


def test_a_run_that_stands_still_is_started_elsewhere() -> None:
    cell = learned()
    cell.add(job())
    (start,) = cell.answer_starts()
    other = life("w2") if start.order.life == life("w1") else life("w1")
    cell.tick(FACTOR * TOOK_S - 0.2)
    assert not cell.stops
    cell.tick(0.5)
    assert [stop.task for stop in cell.stops] == [start.order.task]
    row = ended(1, start.order.task, start.order.run, RunEnd.STOPPED)
    cell.hold(report(ended=(row,)), start.order.life)
    assert [again.order.life for again in cell.starts] == [other]


def test_a_task_that_is_long_by_itself_is_stopped_once_only() -> None:
    cell = learned()
    cell.add(job())
    (start,) = cell.answer_starts()
    cell.tick(FACTOR * TOOK_S + 0.5)
    row = ended(1, start.order.task, start.order.run, RunEnd.STOPPED)
    cell.hold(report(ended=(row,)), start.order.life)
    cell.answer_starts()
    cell.stops.clear()
    cell.tick(FACTOR * TOOK_S + 5.0)
    assert not cell.stops


def test_nothing_is_stopped_before_a_queue_is_known() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1"), entry("w2"))
    cell.add(job())
    cell.answer_starts()
    cell.tick(60.0)
    assert not cell.stops


def test_a_lasting_task_is_no_straggler() -> None:
    cell = learned()
    cell.add(job(1, step(perpetual=True)))
    cell.answer_starts()
    cell.tick(60.0)
    assert not cell.stops


def test_a_worker_whose_runs_take_long_gets_no_more_of_them() -> None:
    cell = learned()
    cell.add(job(1, step(4)))
    starts = cell.answer_starts()
    slow = starts[0].order.life
    cell.tick(2.5 * TOOK_S)
    rows = tuple(
        ended(number + 1, start.order.task, start.order.run, RunEnd.DONE)
        for number, start in enumerate(starts)
        if start.order.life == slow
    )
    cell.hold(report(ended=rows), slow)
    cell.store()
    cell.add(job(2, step(4)))
    assert {start.order.life for start in cell.starts}.isdisjoint({slow})
    cell.answer_starts()
    cell.tick(30.0)
    cell.add(job(3, step(80)))
    assert slow in {start.order.life for start in cell.starts}
