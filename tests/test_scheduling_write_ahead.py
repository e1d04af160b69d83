"""Tests for start orders that wait for the store, and takeovers after a slow store."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.contact.store_batches import MAX_BATCH_RECORDS, Batch
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    CompletenessRecord,
    RecordKind,
    decode_record,
    record_key,
)
from tamarackmount.scheduling.store.write_ahead import (
    FAST_STORE_PERIOD_S,
    SLOW_APPEND_S,
    STALLED_APPEND_S,
)
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

COMPLETENESS_KEY = record_key(RecordKind.COMPLETENESS)
SLOW_APPEND_DURATION_S = 4 * SLOW_APPEND_S


def harness_with_a_worker() -> SchedulerHarness:
    """Return a harness whose batches are stored only when a test says so."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=64))
    harness.is_store_healthy = False
    return harness


def take_batch(harness: SchedulerHarness) -> Batch:
    """Return the next batch."""
    batch = harness.scheduler.take_batch(harness.now, harness.unix_ms)
    assert batch is not None
    return batch


def acknowledge(harness: SchedulerHarness, batch: Batch, after_s: float) -> None:
    """Acknowledge a batch after some time."""
    harness.tick(after_s)
    harness.acknowledge_batch(batch)
    harness.tick()


def harness_with_slow_store() -> SchedulerHarness:
    """Return a harness whose slow store says that runs may be missing."""
    harness = harness_with_a_worker()
    harness.submit_job(job(1))
    acknowledge(harness, take_batch(harness), SLOW_APPEND_DURATION_S)
    acknowledge(harness, take_batch(harness), SLOW_APPEND_DURATION_S)
    harness.answer_starts()
    return harness


def completeness_values(batch: Batch) -> list[bool]:
    """Return the values of the completeness records in a batch."""
    rows = [value for key, value in batch.records if key == COMPLETENESS_KEY]
    return [decode_record(row, CompletenessRecord).unwrap().is_complete for row in rows]


def test_orders_wait_for_a_healthy_store() -> None:
    harness = harness_with_a_worker()
    harness.submit_job(job(1))
    batch = take_batch(harness)
    assert not harness.starts
    assert not completeness_values(batch)
    acknowledge(harness, batch, SLOW_APPEND_S / 2)
    assert len(harness.starts) == 1


def test_orders_stop_waiting_once_the_store_says_that_runs_may_be_missing() -> None:
    harness = harness_with_a_worker()
    harness.submit_job(job(1))
    acknowledge(harness, take_batch(harness), SLOW_APPEND_DURATION_S)
    incomplete_batch = take_batch(harness)
    assert completeness_values(incomplete_batch) == [False]
    harness.starts.clear()
    harness.submit_job(job(2))
    assert not harness.starts
    acknowledge(harness, incomplete_batch, SLOW_APPEND_DURATION_S)
    assert len(harness.starts) == 1
    harness.submit_job(job(3))
    assert len(harness.starts) == 2


def test_the_record_that_no_run_is_missing_is_stored_with_all_runs() -> None:
    harness = harness_with_slow_store()
    harness.submit_job(job(2))
    (start,) = harness.answer_starts()
    harness.tick(FAST_STORE_PERIOD_S + SLOW_APPEND_S)
    batch = take_batch(harness)
    assert completeness_values(batch) == [True]
    index = JobIndex()
    for key, value in batch.records:
        index.apply(key, value)
    runs = [run for worker in index.workers() for run in worker.runs]
    assert any(start.order.task.job_id in text for text, _ in runs)
    harness.submit_job(job(3))
    assert not harness.starts


def grant_tickets(harness: SchedulerHarness, valid_ms: float) -> None:
    """Answer all advice requests: the worker may run every step."""
    requests, harness.advice_requests = harness.advice_requests, []
    answer = AdviceAnswer((WorkerTicket(incarnation("w1").worker_id, "t"),), valid_ms)
    for request in requests:
        harness.scheduler.advice_answered(request.step, answer, harness.now)
    harness.tick()


def test_an_order_whose_ticket_expired_while_it_waited_is_not_sent() -> None:
    harness = SchedulerHarness(advice=AdvicePolicy(20.0, 0.2, 2_000.0))
    harness.register_workers(worker_entry("w1", cores=64))
    harness.is_store_healthy = False
    harness.submit_job(job(1))
    grant_tickets(harness, 2_000.0)
    batch = take_batch(harness)
    acknowledge(harness, batch, 3.0)
    assert not harness.starts
    grant_tickets(harness, 2_000.0)
    harness.store_pending()
    assert len(harness.starts) == 1


def test_nothing_is_placed_while_the_store_is_stalled() -> None:
    harness = harness_with_a_worker()
    harness.submit_job(job(1))
    batch = take_batch(harness)
    harness.tick(STALLED_APPEND_S + 0.1)
    harness.submit_job(job(2))
    assert not harness.scheduler.waits_for_store
    acknowledge(harness, batch, 0.0)
    harness.store_pending()
    assert len(harness.starts) == 2


def test_after_a_slow_store_older_tasks_wait_for_unconfirmed_workers() -> None:
    before = harness_with_slow_store()
    index = build_job_index([job(1), job(2)], before.store_pending())
    assert not index.runs_are_complete
    after = build_next_holder(before, index, former_orders_end_in_s=1.5)
    after.register_workers(worker_entry("w2"))
    after.tick(1.0)
    assert not after.starts
    after.register_workers(worker_entry("w1"), worker_entry("w2"))
    assert {start.order.task.job_id for start in after.starts} >= {job(2).job_id}


def test_a_worker_record_was_stored_before_the_jobs_that_depend_on_it() -> None:
    """A holder that is lost between the two knows neither of a crash nor of an end."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", capacity=Resources(10**7, 10**7, 0)))
    harness.is_store_healthy = False
    count = 2 * MAX_BATCH_RECORDS
    for number in range(1, count + 1):
        harness.submit_job(job(number))
    jobs_stored = 0
    while jobs_stored < count:
        batch = harness.scheduler.take_batch(harness.now, harness.unix_ms)
        assert batch is not None
        keys = [key.partition("/")[0] for key, _ in batch.records]
        jobs_stored += keys.count("progress")
        if jobs_stored < count:
            assert "worker" not in keys
            assert not batch.starts
        harness.acknowledge_batch(batch)
    harness.tick()
    assert len(harness.starts) == count


def test_an_order_left_for_a_worker_of_which_the_store_had_no_record() -> None:
    # Guards against a task that runs twice: the next holder waits only for reports of
    # workers that the store knows.
    harness = harness_with_slow_store()
    workers = [worker_entry("w1", cores=1), worker_entry("w2", cores=64)]
    harness.scheduler.set_registered_workers(workers, harness.now)
    harness.tick()
    harness.answer_poll(worker_report(), incarnation("w2"))
    harness.submit_job(job(2))
    assert not harness.starts
    harness.store_pending()
    (start,) = harness.starts
    assert start.order.incarnation == incarnation("w2")
