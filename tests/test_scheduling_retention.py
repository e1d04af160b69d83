"""Tests for the removal of finished jobs, and for jobs of removed queues."""

from dataclasses import replace

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    JobProgress,
    encode_record,
    job_key,
)
from tamarackmount.scheduling.store.retention import (
    LATE_APPEND_MARGIN_S,
    expired_jobs,
    tombstones,
)
from tests.utils.build_scheduling import (
    UNIX_MS,
    SchedulerHarness,
    fleet_config,
    job,
    worker_entry,
)

STATUS_RETENTION_S = 120.0
RECORD_RETENTION_MS = int((STATUS_RETENTION_S + LATE_APPEND_MARGIN_S) * 1_000)


def index_with(phase: JobPhase) -> JobIndex:
    index = JobIndex()
    index.apply(job_key(job()), encode_record(job()))
    progress = JobProgress(phase, final_unix_ms=UNIX_MS if phase.is_final else 0)
    key = f"progress/{job().job_id}"
    index.apply(key, encode_record(progress))
    return index


def test_a_finished_job_is_kept_for_the_retention_period() -> None:
    jobs = index_with(JobPhase.COMPLETED).jobs_by_id
    assert not expired_jobs(jobs, UNIX_MS + RECORD_RETENTION_MS, STATUS_RETENTION_S)
    assert expired_jobs(
        jobs, UNIX_MS + RECORD_RETENTION_MS + 1, STATUS_RETENTION_S
    ) == [job().job_id]


def test_an_unfinished_job_never_expires() -> None:
    jobs = index_with(JobPhase.RUNNING).jobs_by_id
    assert not expired_jobs(
        jobs, UNIX_MS + 100 * RECORD_RETENTION_MS, STATUS_RETENTION_S
    )


def test_a_cancellation_of_a_job_that_was_never_submitted_expires() -> None:
    index = JobIndex()
    record = encode_record(CancelRecord(UNIX_MS))
    index.apply(f"cancel/{job().job_id}", record)
    found = expired_jobs(
        index.jobs_by_id, UNIX_MS + RECORD_RETENTION_MS + 1, STATUS_RETENTION_S
    )
    assert found == [job().job_id]


def test_tombstones_remove_all_records_of_a_job_from_the_index() -> None:
    index = index_with(JobPhase.COMPLETED)
    for key, value in tombstones([job().job_id]):
        index.apply(key, value)
    assert index.phase(job().job_id) is None


def test_tombstones_are_in_the_next_batch() -> None:
    harness = SchedulerHarness()
    harness.scheduler.remove_jobs([job().job_id])
    assert harness.store_pending()[job_key(job())] == b""


def test_a_job_of_a_removed_queue_still_runs() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1))
    harness.answer_starts()
    harness.submit_job(job(2))
    dropped = replace(fleet_config(version=2), queues_by_name={}, queues_by_host={})
    harness.scheduler.set_fleet_config(dropped, Instant(harness.now))
    harness.register_workers(worker_entry("w1", cores=1), worker_entry("w2"))
    assert [start.order.task.job_id for start in harness.starts] == [job(2).job_id]
