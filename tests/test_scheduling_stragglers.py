"""Workers that turn slow, or let what they run stand still."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.forecast import LEARNED_TASKS
from tamarackmount.scheduling.stragglers import FACTOR, LONE_FACTOR
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


def end(cell: Cell, starts: list[StartRun], number: int, how: RunEnd) -> None:
    """Let runs end together."""
    rows = tuple(
        ended(number + place, start.order.task, start.order.run, how)
        for place, start in enumerate(starts)
    )
    cell.hold(report(ended=rows), starts[0].order.life)


def three_of_which_two_are_done(cell: Cell) -> StartRun:
    """Return the start of the task that is left, on the same worker."""
    cell.add(job(1, step(3)))
    *done, last = cell.answer_starts()
    cell.tick(TOOK_S)
    running = ((last.order.task, last.order.run),)
    rows = tuple(
        ended(place + 1, start.order.task, start.order.run, RunEnd.DONE)
        for place, start in enumerate(done)
    )
    cell.hold(report(ended=rows, running=running), last.order.life)
    return last


def test_a_run_that_takes_far_longer_than_its_like_starts_elsewhere() -> None:
    cell = learned()
    last = three_of_which_two_are_done(cell)
    other = life("w2") if last.order.life == life("w1") else life("w1")
    cell.tick((FACTOR - 1) * TOOK_S - 0.2)
    assert not cell.stops
    cell.tick(0.5)
    assert [stop.task for stop in cell.stops] == [last.order.task]
    end(cell, [last], 3, RunEnd.STOPPED)
    assert [again.order.life for again in cell.starts] == [other]


def test_a_run_without_its_like_is_left_alone_for_much_longer() -> None:
    cell = learned()
    cell.add(job())
    cell.answer_starts()
    cell.tick(LONE_FACTOR * TOOK_S - 0.2)
    assert not cell.stops
    cell.tick(0.5)
    assert cell.stops


def test_a_task_that_is_long_by_itself_is_stopped_once_only() -> None:
    cell = learned()
    last = three_of_which_two_are_done(cell)
    cell.tick(FACTOR * TOOK_S)
    end(cell, [last], 3, RunEnd.STOPPED)
    cell.answer_starts()
    cell.stops.clear()
    cell.tick(60.0)
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


def test_a_job_of_long_tasks_does_not_make_its_worker_slow() -> None:
    cell = learned()
    cell.add(job(1, step(6)))
    starts = cell.answer_starts()
    cell.tick(2.4 * TOOK_S)
    end(cell, starts, 1, RunEnd.DONE)
    cell.store()
    cell.add(job(2, step(1)))
    assert [start.order.life for start in cell.starts] == [starts[0].order.life]
