"""Reading stored records that other versions of the program may have written."""

from typing import Any

import pytest

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.job_sizes import job_size
from tamarackmount.scheduling.store.journal import (
    JobProgress,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_scheduling import job


@pytest.mark.parametrize("value", [b"{}", b"not JSON", b"[]"])
def test_a_record_that_can_not_be_decoded_is_skipped(value: bytes) -> None:
    job_index = JobIndex()
    accepted = job()
    for kind in ("job", "progress", "cancel"):
        job_index.apply(f"{kind}/{accepted.job_id}", value)
    job_index.apply("worker/w1@1", value)
    job_index.apply("forecast", value)
    assert job_index.phase(accepted.job_id) is None
    assert list(job_index.workers()) == []
    job_index.apply(job_key(accepted), encode_record(accepted))
    assert [row.accepted for row in job_index.open_jobs()] == [accepted]


def kept_bytes(*records: tuple[str, bytes]) -> int:
    job_index = JobIndex()
    for record in records:
        job_index.apply(*record)
    assert job_index.kept_bytes == job_index.kept_bytes_by_workspace.total()
    return job_index.kept_bytes


def test_the_counted_memory_of_jobs_depended_on_the_order_of_their_records() -> None:
    accepted = job()
    stored = (job_key(accepted), encode_record(accepted))
    progress_key = record_key(RecordKind.PROGRESS, accepted.job_id)
    running = (progress_key, encode_record(JobProgress(JobPhase.RUNNING)))
    ended = (progress_key, encode_record(JobProgress(JobPhase.FAILED)))
    removed = (stored[0], b"")
    size = job_size(stored[1])
    assert kept_bytes(stored) == kept_bytes(running, stored, stored) == size.total
    assert kept_bytes(stored, ended) == kept_bytes(ended, stored) == size.record
    assert kept_bytes(stored, ended, running) == size.record
    assert kept_bytes(stored, removed) == kept_bytes(stored, ended, removed) == 0
    assert kept_bytes(removed) == 0


def test_forgotten_jobs_were_counted() -> None:
    accepted = job()
    job_index = JobIndex()
    job_index.apply(job_key(accepted), encode_record(accepted))
    job_index.clear()
    assert job_index.kept_bytes == 0


@pytest.fixture
def decoded(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the names of the jobs whose own record is decoded."""
    names: list[str] = []

    def decode(text: bytes, record_type: type[Any], name: str) -> Any:
        if record_type is AcceptedJob:
            names.append(name)
        return decode_record(text, record_type).value_or(None)

    monkeypatch.setattr("tamarackmount.scheduling.store.job_index._decode", decode)
    return names


def test_a_takeover_or_a_count_decoded_the_jobs_that_had_ended(
    decoded: list[str],
) -> None:
    job_index = JobIndex()
    ended, waiting = job(1), job(2)
    for accepted in (ended, waiting):
        job_index.apply(job_key(accepted), encode_record(accepted))
    key = record_key(RecordKind.PROGRESS, ended.job_id)
    job_index.apply(key, encode_record(JobProgress(JobPhase.COMPLETED)))
    assert job_index.waiting_count(waiting.queue_name) == 1
    assert [records.accepted for records in job_index.open_jobs()] == [waiting]
    assert decoded == [waiting.job_id]


def test_a_record_that_was_read_again_was_decoded(decoded: list[str]) -> None:
    job_index = JobIndex()
    for _ in range(2):
        job_index.apply(job_key(job()), encode_record(job()))
    assert not decoded
    assert job_index.phase(job().job_id) is JobPhase.QUEUED
