"""What the store may forget, and what outlives a configuration."""

from dataclasses import replace

from tamarackmount.ids import Instant
from tamarackmount.scheduling.job_index import JobIndex
from tamarackmount.scheduling.journal import (
    CancelRecord,
    JobProgress,
    encode_record,
    job_key,
)
from tamarackmount.scheduling.model import JobPhase
from tamarackmount.scheduling.retention import LATE_APPEND_S, expired_jobs, tombstones
from tests.utils.build_scheduling import (
    UNIX_MS,
    SchedulerHarness,
    fleet_config,
    job,
    worker_entry,
)

STATUS_S = 120.0
KEPT_MS = int((STATUS_S + LATE_APPEND_S) * 1_000)


def book_with(phase: JobPhase) -> JobIndex:
    book = JobIndex()
    book.apply(job_key(job()), encode_record(job()))
    progress = JobProgress(phase, final_unix_ms=UNIX_MS if phase.is_final else 0)
    key = f"progress/{job().job_id}"
    book.apply(key, encode_record(progress))
    return book


def test_a_finished_job_is_kept_for_as_long_as_it_may_be_asked_for() -> None:
    jobs = book_with(JobPhase.COMPLETED).jobs_by_id
    assert not expired_jobs(jobs, UNIX_MS + KEPT_MS, STATUS_S)
    assert expired_jobs(jobs, UNIX_MS + KEPT_MS + 1, STATUS_S) == [job().job_id]


def test_an_unfinished_job_is_never_forgotten() -> None:
    jobs = book_with(JobPhase.RUNNING).jobs_by_id
    assert not expired_jobs(jobs, UNIX_MS + 100 * KEPT_MS, STATUS_S)


def test_a_cancelling_of_a_job_that_never_came_is_forgotten() -> None:
    book = JobIndex()
    record = encode_record(CancelRecord(UNIX_MS))
    book.apply(f"cancel/{job().job_id}", record)
    found = expired_jobs(book.jobs_by_id, UNIX_MS + KEPT_MS + 1, STATUS_S)
    assert found == [job().job_id]


def test_removed_records_leave_nothing_in_the_book() -> None:
    book = book_with(JobPhase.COMPLETED)
    for key, value in tombstones([job().job_id]):
        book.apply(key, value)
    assert book.phase(job().job_id) is None


def test_removals_go_out_with_the_next_batch() -> None:
    harness = SchedulerHarness()
    harness.scheduler.remove_jobs([job().job_id])
    assert harness.store_pending()[job_key(job())] == b""


def test_a_job_of_a_queue_that_was_dropped_still_runs() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1))
    harness.answer_starts()
    harness.submit_job(job(2))
    dropped = replace(fleet_config(version=2), queues_by_name={}, queues_by_host={})
    harness.scheduler.set_fleet_config(dropped, Instant(harness.now))
    harness.register_workers(worker_entry("w1", cores=1), worker_entry("w2"))
    assert [start.order.task.job_id for start in harness.starts] == [job(2).job_id]
