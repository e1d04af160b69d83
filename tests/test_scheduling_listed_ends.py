"""Tests of ends that a worker lists on a later page of its reports.

Guards against tasks that run again, or whose job is reported wrongly, as their ends
were not among the first 500 that a worker lists. A run that no report lists is over
only if all ends were listed.
"""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.domain.worker_reports import OrderResult
from tamarackmount.scheduling.store.write_ahead import SLOW_APPEND_S
from tests.utils.build_scheduling import SchedulerHarness, job, step
from tests.utils.build_takeover import build_job_index, build_next_holder
from tests.utils.paging_worker import PAGE_ENDS, PagingWorker

NO_CEILING = Resources()


def busy_worker(
    accepted: AcceptedJob, harness: SchedulerHarness | None = None
) -> tuple[SchedulerHarness, PagingWorker]:
    """Return a holder and its only worker, which runs all tasks of a job."""
    harness = harness or SchedulerHarness(ceiling=NO_CEILING)
    worker = PagingWorker()
    harness.register_workers(worker.entry)
    harness.submit_job(accepted)
    assert len(worker.take_starts(harness)) == accepted.spec.steps[0].count
    worker.answer_poll(harness)
    return harness, worker


def drain_pages(harness: SchedulerHarness, worker: PagingWorker, pages: int) -> None:
    """Store and acknowledge one page of ends after the other."""
    for _ in range(pages):
        worker.answer_poll(harness)
        assert not harness.starts
        harness.store_pending()


@pytest.mark.parametrize("count", [PAGE_ENDS, PAGE_ENDS + 140, 3 * PAGE_ENDS + 7])
def test_a_task_ran_again_as_its_end_was_on_a_later_page(count: int) -> None:
    accepted = job(1, step(count))
    harness, worker = busy_worker(accepted)
    worker.end_runs(count)
    drain_pages(harness, worker, 1 + count // PAGE_ENDS)
    assert harness.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


def test_a_new_holder_ran_tasks_again_whose_ends_were_on_a_later_page() -> None:
    # The former holder is killed, and the tasks end before the next one polls.
    accepted = job(1, step(PAGE_ENDS + 140))
    before, worker = busy_worker(accepted)
    index = build_job_index([accepted], before.store_pending())
    worker.end_runs(PAGE_ENDS + 140)
    after = build_next_holder(before, index, ceiling=NO_CEILING)
    after.scheduler.set_registered_workers([worker.entry], after.now)
    drain_pages(after, worker, 2)
    assert after.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


def test_a_new_holder_ran_tasks_again_whose_runs_the_store_did_not_hold() -> None:
    # The store is slow, so orders leave before their runs are stored; a first report
    # that does not list all ends tells the next holder of a part of them only.
    before = SchedulerHarness(ceiling=NO_CEILING)
    worker = PagingWorker()
    before.register_workers(worker.entry)
    before.is_store_healthy = False
    early, accepted = job(1), job(2, step(PAGE_ENDS + 140))
    before.submit_job(early)
    for _ in range(2):
        batch = before.scheduler.take_batch(before.now, before.unix_ms)
        assert batch is not None
        before.tick(4 * SLOW_APPEND_S)
        before.acknowledge_batch(batch)
        before.tick()
    index = build_job_index([early, accepted], before.records)
    before.submit_job(accepted)
    worker.take_starts(before)
    assert len(worker.run_by_task) == PAGE_ENDS + 141
    worker.end_runs(PAGE_ENDS + 141)
    after = build_next_holder(before, index, ceiling=NO_CEILING)
    after.scheduler.set_registered_workers([worker.entry], after.now)
    drain_pages(after, worker, 2)
    assert after.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


def test_tasks_ran_again_that_ended_while_the_store_took_no_records() -> None:
    accepted = job(1, step(PAGE_ENDS + 140))
    harness, worker = busy_worker(accepted)
    harness.is_store_healthy = False
    worker.end_runs(PAGE_ENDS)
    worker.answer_poll(harness)
    worker.end_runs(140)
    for _ in range(12):  # longer than a slow worker gets no runs
        worker.answer_poll(harness)
        assert not harness.scheduler.waits_for_store
    harness.is_store_healthy = True
    harness.store_pending()
    drain_pages(harness, worker, 1)
    assert harness.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


def test_a_run_that_never_began_starts_again_once_all_ends_are_listed() -> None:
    # Guards against a run that is kept for good, as it is on no page.
    accepted = job(1, step(PAGE_ENDS + 20))
    harness, worker = busy_worker(accepted)
    second = job(2)
    harness.submit_job(second)
    harness.answer_starts(OrderResult.UNKNOWN)
    (stop,) = harness.stops
    harness.scheduler.stop_answered(
        stop.incarnation, stop.task, stop.run_number, OrderResult.DONE, harness.now
    )
    worker.end_runs(PAGE_ENDS + 20)
    worker.answer_poll(harness)
    assert not harness.starts
    harness.store_pending()
    worker.answer_poll(harness)
    (again,) = harness.starts
    assert again.order.task.job_id == second.job_id


def test_a_gang_was_stopped_as_the_end_of_a_member_was_on_a_later_page() -> None:
    harness, worker = busy_worker(job(1, step(PAGE_ENDS)))
    gang = job(2, step(2, gang=True))
    harness.submit_job(gang)
    worker.take_starts(harness)
    worker.end_runs(PAGE_ENDS + 2)
    drain_pages(harness, worker, 2)
    assert not harness.stops
    assert harness.scheduler.phase(gang.job_id) is JobPhase.COMPLETED


def test_a_copy_started_beside_a_run_whose_end_was_on_a_later_page() -> None:
    # The worker is not slow: the run has ended, and its end is about to be listed.
    harness, worker = busy_worker(job(1, step(PAGE_ENDS)))
    copied = job(2, step(4, speculative=True))
    harness.submit_job(copied)
    worker.take_starts(harness)
    other = PagingWorker("w2")
    harness.scheduler.set_registered_workers([worker.entry, other.entry], harness.now)
    other.answer_poll(harness)
    harness.store_pending()
    worker.end_runs(PAGE_ENDS + 4)
    for _ in range(4):
        worker.answer_poll(harness, 1.0)
    assert not harness.starts
