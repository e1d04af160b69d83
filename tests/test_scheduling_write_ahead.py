"""When orders wait until the store holds their runs, and what a successor knows."""

from tamarackmount.scheduling.fleet_config import AdvicePolicy
from tamarackmount.scheduling.job_index import JobBook
from tamarackmount.scheduling.journal import (
    MarkRecord,
    RecordKind,
    decode_record,
    record_key,
)
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission
from tamarackmount.scheduling.store_batches import Batch
from tamarackmount.scheduling.write_ahead import QUICK_FOR_S, SLOW_S, STALLED_S
from tests.test_scheduling_takeover import book_of, successor
from tests.utils.build_scheduling import Cell, entry, job, life

MARK = record_key(RecordKind.MARK)
SLOW_ANSWER_S = 4 * SLOW_S


def cell_with_a_worker() -> Cell:
    """Return a cell whose store takes news only when a test says so."""
    cell = Cell()
    cell.list_workers(entry("w1", cores=64))
    cell.is_store_well = False
    return cell


def take(cell: Cell) -> Batch:
    """Return the next news."""
    batch = cell.scheduler.take_batch(cell.now, cell.unix_ms)
    assert batch is not None
    return batch


def answer(cell: Cell, batch: Batch, after_s: float) -> None:
    """Let the store answer some time later."""
    cell.tick(after_s)
    cell.stored(batch)
    cell.tick()


def slowed() -> Cell:
    """Return a cell whose store has been slow, and holds a mark that says so."""
    cell = cell_with_a_worker()
    cell.add(job(1))
    answer(cell, take(cell), SLOW_ANSWER_S)
    answer(cell, take(cell), SLOW_ANSWER_S)
    cell.answer_starts()
    return cell


def marks(batch: Batch) -> list[bool]:
    """Return what the marks among the news say."""
    rows = [value for key, value in batch.records if key == MARK]
    return [decode_record(row, MarkRecord).unwrap().is_complete for row in rows]


def test_orders_wait_for_a_store_that_is_well() -> None:
    cell = cell_with_a_worker()
    cell.add(job(1))
    batch = take(cell)
    assert not cell.starts
    assert not marks(batch)
    answer(cell, batch, SLOW_S / 2)
    assert len(cell.starts) == 1


def test_in_a_slow_store_orders_leave_at_once_after_a_mark_is_stored() -> None:
    cell = cell_with_a_worker()
    cell.add(job(1))
    answer(cell, take(cell), SLOW_ANSWER_S)
    mark = take(cell)
    assert marks(mark) == [False]
    cell.starts.clear()
    cell.add(job(2))
    assert not cell.starts
    answer(cell, mark, SLOW_ANSWER_S)
    assert len(cell.starts) == 1
    cell.add(job(3))
    assert len(cell.starts) == 2


def test_a_mark_of_completeness_comes_with_all_runs() -> None:
    cell = slowed()
    cell.add(job(2))
    (start,) = cell.answer_starts()
    cell.tick(QUICK_FOR_S + SLOW_S)
    batch = take(cell)
    assert marks(batch) == [True]
    book = JobBook()
    for key, value in batch.records:
        book.apply(key, value)
    runs = [run for worker in book.workers() for run in worker.runs]
    assert any(start.order.task.job_id in text for text, _ in runs)
    cell.add(job(3))
    assert not cell.starts


def permit(cell: Cell, valid_ms: float) -> None:
    """Answer all questions: the worker may take everything."""
    questions, cell.questions = cell.questions, []
    answer = AdviceAnswer((Permission(life("w1").worker_id, "t"),), valid_ms)
    for question in questions:
        cell.scheduler.advice_answered(question.step, answer, cell.now)
    cell.tick()


def test_an_order_whose_permission_ended_while_it_waited_is_not_sent() -> None:
    cell = Cell(advice=AdvicePolicy(20.0, 0.2, 2_000.0))
    cell.list_workers(entry("w1", cores=64))
    cell.is_store_well = False
    cell.add(job(1))
    permit(cell, 2_000.0)
    batch = take(cell)
    answer(cell, batch, 3.0)
    assert not cell.starts
    permit(cell, 2_000.0)
    cell.store()
    assert len(cell.starts) == 1


def test_nothing_is_placed_while_the_store_takes_nothing() -> None:
    cell = cell_with_a_worker()
    cell.add(job(1))
    batch = take(cell)
    cell.tick(STALLED_S + 0.1)
    cell.add(job(2))
    assert not cell.scheduler.waits_for_record
    answer(cell, batch, 0.0)
    cell.store()
    assert len(cell.starts) == 2


def test_after_a_slow_store_older_tasks_wait_for_silent_workers() -> None:
    before = slowed()
    book = book_of([job(1), job(2)], before.store())
    assert not book.is_complete
    after = successor(before, book, stops_in_s=1.5)
    after.list_workers(entry("w2"))
    after.tick(1.0)
    assert not after.starts
    after.list_workers(entry("w1"), entry("w2"))
    assert {start.order.task.job_id for start in after.starts} >= {job(2).job_id}
