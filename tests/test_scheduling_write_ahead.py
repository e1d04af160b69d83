"""When orders wait until the store holds their runs, and what a successor knows."""

from tamarackmount.scheduling.fleet_config import AdvicePolicy
from tamarackmount.scheduling.job_index import JobIndex
from tamarackmount.scheduling.journal import (
    CompletenessRecord,
    RecordKind,
    decode_record,
    record_key,
)
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission
from tamarackmount.scheduling.store_batches import Batch
from tamarackmount.scheduling.write_ahead import QUICK_FOR_S, SLOW_S, STALLED_S
from tests.test_scheduling_takeover import book_of, successor
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    worker_entry,
)

MARK = record_key(RecordKind.COMPLETENESS)
SLOW_ANSWER_S = 4 * SLOW_S


def cell_with_a_worker() -> SchedulerHarness:
    """Return a cell whose store takes news only when a test says so."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=64))
    harness.is_store_healthy = False
    return harness


def take(harness: SchedulerHarness) -> Batch:
    """Return the next news."""
    batch = harness.scheduler.take_batch(harness.now, harness.unix_ms)
    assert batch is not None
    return batch


def answer(harness: SchedulerHarness, batch: Batch, after_s: float) -> None:
    """Let the store answer some time later."""
    harness.tick(after_s)
    harness.acknowledge_batch(batch)
    harness.tick()


def slowed() -> SchedulerHarness:
    """Return a cell whose store has been slow, and holds a mark that says so."""
    harness = cell_with_a_worker()
    harness.submit_job(job(1))
    answer(harness, take(harness), SLOW_ANSWER_S)
    answer(harness, take(harness), SLOW_ANSWER_S)
    harness.answer_starts()
    return harness


def marks(batch: Batch) -> list[bool]:
    """Return what the marks among the news say."""
    rows = [value for key, value in batch.records if key == MARK]
    return [decode_record(row, CompletenessRecord).unwrap().is_complete for row in rows]


def test_orders_wait_for_a_store_that_is_well() -> None:
    harness = cell_with_a_worker()
    harness.submit_job(job(1))
    batch = take(harness)
    assert not harness.starts
    assert not marks(batch)
    answer(harness, batch, SLOW_S / 2)
    assert len(harness.starts) == 1


def test_in_a_slow_store_orders_leave_at_once_after_a_mark_is_stored() -> None:
    harness = cell_with_a_worker()
    harness.submit_job(job(1))
    answer(harness, take(harness), SLOW_ANSWER_S)
    mark = take(harness)
    assert marks(mark) == [False]
    harness.starts.clear()
    harness.submit_job(job(2))
    assert not harness.starts
    answer(harness, mark, SLOW_ANSWER_S)
    assert len(harness.starts) == 1
    harness.submit_job(job(3))
    assert len(harness.starts) == 2


def test_a_mark_of_completeness_comes_with_all_runs() -> None:
    harness = slowed()
    harness.submit_job(job(2))
    (start,) = harness.answer_starts()
    harness.tick(QUICK_FOR_S + SLOW_S)
    batch = take(harness)
    assert marks(batch) == [True]
    book = JobIndex()
    for key, value in batch.records:
        book.apply(key, value)
    runs = [run for worker in book.workers() for run in worker.runs]
    assert any(start.order.task.job_id in text for text, _ in runs)
    harness.submit_job(job(3))
    assert not harness.starts


def permit(harness: SchedulerHarness, valid_ms: float) -> None:
    """Answer all questions: the worker may take everything."""
    questions, harness.questions = harness.questions, []
    answer = AdviceAnswer((Permission(incarnation("w1").worker_id, "t"),), valid_ms)
    for question in questions:
        harness.scheduler.advice_answered(question.step, answer, harness.now)
    harness.tick()


def test_an_order_whose_permission_ended_while_it_waited_is_not_sent() -> None:
    harness = SchedulerHarness(advice=AdvicePolicy(20.0, 0.2, 2_000.0))
    harness.register_workers(worker_entry("w1", cores=64))
    harness.is_store_healthy = False
    harness.submit_job(job(1))
    permit(harness, 2_000.0)
    batch = take(harness)
    answer(harness, batch, 3.0)
    assert not harness.starts
    permit(harness, 2_000.0)
    harness.store_pending()
    assert len(harness.starts) == 1


def test_nothing_is_placed_while_the_store_takes_nothing() -> None:
    harness = cell_with_a_worker()
    harness.submit_job(job(1))
    batch = take(harness)
    harness.tick(STALLED_S + 0.1)
    harness.submit_job(job(2))
    assert not harness.scheduler.waits_for_store
    answer(harness, batch, 0.0)
    harness.store_pending()
    assert len(harness.starts) == 2


def test_after_a_slow_store_older_tasks_wait_for_silent_workers() -> None:
    before = slowed()
    book = book_of([job(1), job(2)], before.store_pending())
    assert not book.runs_are_complete
    after = successor(before, book, stops_in_s=1.5)
    after.register_workers(worker_entry("w2"))
    after.tick(1.0)
    assert not after.starts
    after.register_workers(worker_entry("w1"), worker_entry("w2"))
    assert {start.order.task.job_id for start in after.starts} >= {job(2).job_id}
