"""Workers that turn slow, or let what they run stand still."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.forecast import LEARNED_TASKS
from tamarackmount.scheduling.stragglers import FACTOR, LONE_FACTOR
from tamarackmount.scheduling.worker_reports import RunEnd, WorkerTrouble
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


def two_jobs_left_with_one_task_each(cell: Cell) -> list[StartRun]:
    """Return the starts of the tasks that are left, on the same worker."""
    cell.add(job(1, step(3)))
    cell.add(job(2, step(3)))
    starts = cell.answer_starts()
    left = [starts[2], starts[5]]
    cell.tick(TOOK_S)
    rows = tuple(
        ended(place + 1, start.order.task, start.order.run, RunEnd.DONE)
        for place, start in enumerate(starts)
        if start not in left
    )
    running = tuple((start.order.task, start.order.run) for start in left)
    cell.hold(report(ended=rows, running=running), left[0].order.life)
    return left


def test_a_worker_on_which_two_jobs_stand_still_loses_them() -> None:
    cell = learned()
    left = two_jobs_left_with_one_task_each(cell)
    other = life("w2") if left[0].order.life == life("w1") else life("w1")
    cell.tick((FACTOR - 1) * TOOK_S - 0.2)
    assert not cell.stops
    cell.tick(0.5)
    assert {stop.task for stop in cell.stops} == {row.order.task for row in left}
    end(cell, left, 10, RunEnd.STOPPED)
    assert {again.order.life for again in cell.starts} == {other}


def test_one_job_that_takes_long_is_left_alone() -> None:
    cell = learned()
    cell.add(job(1, step(3)))
    *done, last = cell.answer_starts()
    cell.tick(TOOK_S)
    end(cell, done, 1, RunEnd.DONE)
    cell.tick(FACTOR * TOOK_S + 5.0)
    assert not cell.stops
    assert last.order.run


def test_runs_without_their_like_are_left_alone_for_much_longer() -> None:
    cell = learned()
    cell.add(job(1))
    cell.add(job(2))
    cell.answer_starts()
    cell.tick(LONE_FACTOR * TOOK_S - 0.2)
    assert not cell.stops
    cell.tick(0.5)
    assert len(cell.stops) == 2


def test_a_task_is_stopped_as_a_straggler_once_only() -> None:
    cell = learned()
    left = two_jobs_left_with_one_task_each(cell)
    cell.tick(FACTOR * TOOK_S)
    end(cell, left, 10, RunEnd.STOPPED)
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


def test_a_worker_that_is_silent_is_not_blamed_for_its_runs() -> None:
    cell = learned()
    left = two_jobs_left_with_one_task_each(cell)
    cell.hold(WorkerTrouble.SILENT, left[0].order.life)
    cell.tick(FACTOR * TOOK_S)
    assert not cell.stops
