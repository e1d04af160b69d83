"""Counts of waiting jobs agree with the phases of the jobs."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import QueueName
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    JobProgress,
    RecordKind,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_scheduling import HIGH_PRIORITY, LOW_PRIORITY, job, queue

QUEUES = (LOW_PRIORITY, HIGH_PRIORITY)
CHANGES = st.sampled_from(["job", "cancel", "remove", "clear", *JobPhase])


def apply_change(index: JobIndex, number: int, change: str | JobPhase) -> None:
    name = QUEUES[number % len(QUEUES)]
    one = replace(job(number), terms=queue(name, 1))
    if change == "job":
        index.apply(job_key(one), encode_record(one))
    elif change == "cancel":
        key = record_key(RecordKind.CANCEL, one.job_id)
        index.apply(key, encode_record(CancelRecord(1)))
    elif change == "remove":
        index.apply(job_key(one), b"")
    elif change == "clear":
        index.clear()
    elif isinstance(change, JobPhase):
        records = index.jobs_by_id.get(one.job_id)
        if records is None or not records.is_final:
            key = record_key(RecordKind.PROGRESS, one.job_id)
            index.apply(key, encode_record(JobProgress(change)))


def scanned_count(index: JobIndex, name: QueueName) -> int:
    return sum(
        records.phase is JobPhase.QUEUED
        and records.accepted is not None
        and records.accepted.queue_name == name
        for records in index.jobs_by_id.values()
    )


def counted_index() -> JobIndex:
    """Return the index of two jobs of each queue, which were counted."""
    index = JobIndex()
    for number in range(4):
        apply_change(index, number, "job")
    assert [index.waiting_count(name) for name in QUEUES] == [2, 2]
    return index


@pytest.mark.parametrize("change", ["cancel", "remove", "clear", *JobPhase])
def test_a_count_of_waiting_jobs_missed_a_single_change(
    change: str | JobPhase,
) -> None:
    index = counted_index()
    apply_change(index, 0, change)
    for name in QUEUES:
        assert index.waiting_count(name) == scanned_count(index, name)


@given(st.lists(st.tuples(st.integers(0, 3), CHANGES, st.booleans()), max_size=30))
def test_a_count_of_waiting_jobs_missed_one_of_many_changes(
    changes: list[tuple[int, str | JobPhase, bool]],
) -> None:
    index = counted_index()
    for number, change, is_counted in [*changes, (0, "job", True)]:
        apply_change(index, number, change)
        if is_counted:
            for name in QUEUES:
                assert index.waiting_count(name) == scanned_count(index, name)
