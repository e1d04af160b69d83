"""What the store may forget, and what outlives a configuration."""

from dataclasses import replace

from tamarackmount.ids import Instant
from tamarackmount.scheduling.job_index import JobBook
from tamarackmount.scheduling.journal import (
    CancelRecord,
    JobProgress,
    encode_record,
    job_key,
)
from tamarackmount.scheduling.model import JobPhase
from tamarackmount.scheduling.retention import LATE_APPEND_S, forgettable, removals
from tests.utils.build_scheduling import UNIX_MS, Cell, entry, fleet, job

STATUS_S = 120.0
KEPT_MS = int((STATUS_S + LATE_APPEND_S) * 1_000)


def book_with(phase: JobPhase) -> JobBook:
    book = JobBook()
    book.apply(job_key(job()), encode_record(job()))
    progress = JobProgress(phase, final_unix_ms=UNIX_MS if phase.is_final else 0)
    key = f"progress/{job().job_id}"
    book.apply(key, encode_record(progress))
    return book


def test_a_finished_job_is_kept_for_as_long_as_it_may_be_asked_for() -> None:
    jobs = book_with(JobPhase.COMPLETED).jobs_by_id
    assert not forgettable(jobs, UNIX_MS + KEPT_MS, STATUS_S)
    assert forgettable(jobs, UNIX_MS + KEPT_MS + 1, STATUS_S) == [job().job_id]


def test_an_unfinished_job_is_never_forgotten() -> None:
    jobs = book_with(JobPhase.RUNNING).jobs_by_id
    assert not forgettable(jobs, UNIX_MS + 100 * KEPT_MS, STATUS_S)


def test_a_cancelling_of_a_job_that_never_came_is_forgotten() -> None:
    book = JobBook()
    record = encode_record(CancelRecord(UNIX_MS))
    book.apply(f"cancel/{job().job_id}", record)
    found = forgettable(book.jobs_by_id, UNIX_MS + KEPT_MS + 1, STATUS_S)
    assert found == [job().job_id]


def test_removed_records_leave_nothing_in_the_book() -> None:
    book = book_with(JobPhase.COMPLETED)
    for key, value in removals([job().job_id]):
        book.apply(key, value)
    assert book.phase(job().job_id) is None


def test_removals_go_out_with_the_next_batch() -> None:
    cell = Cell()
    cell.scheduler.forget([job().job_id])
    assert cell.store()[job_key(job())] == b""


def test_a_job_of_a_queue_that_was_dropped_still_runs() -> None:
    cell = Cell()
    cell.list_workers(entry("w1", cores=1))
    cell.add(job(1))
    cell.answer_starts()
    cell.add(job(2))
    dropped = replace(fleet(version=2), queues_by_name={}, queues_by_host={})
    cell.scheduler.set_fleet(dropped, Instant(cell.now))
    cell.list_workers(entry("w1", cores=1), entry("w2"))
    assert [start.order.task.job_id for start in cell.starts] == [job(2).job_id]
