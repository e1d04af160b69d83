"""Job records are read back as written, and invalid ones are refused."""

import json

import pytest
from returns.result import Failure, Success

from tamarackmount.ids import Epoch, JobId, WorkspaceId
from tamarackmount.job_spec import parse_job_spec
from tamarackmount.kernel.job_records import (
    job_from_record,
    read_record,
    record_text,
)
from tamarackmount.kernel.jobs import Job, TaskState
from tests.utils.build_jobs import spec_text


def job(tasks: int = 10) -> Job:
    spec = parse_job_spec(spec_text("j", tasks=tasks, idempotent=False)).unwrap()
    original = Job(JobId("dc1:retail:j"), WorkspaceId("retail"), spec)
    original.epoch, original.version, original.accepted_number = Epoch(3), 4, 17
    return original


def test_round_trip() -> None:
    original = job()
    for index, state in ((0, TaskState.SUCCEEDED), (1, TaskState.SUCCEEDED)):
        original.waiting.discard(index)
        original.end(index, state)
    original.attempted.add(5)
    original.failures_by_index[4] = 2
    original.checkpoints_by_index[4] = "token"
    original.cancelled = True
    result = read_record(record_text(original))
    assert isinstance(result, Success)
    restored = job_from_record(result.unwrap())
    assert record_text(restored) == record_text(original)
    assert restored.waiting.ranges() == [(2, 9)]
    assert (restored.id, restored.team_id, restored.spec) == (
        original.id,
        original.team_id,
        original.spec,
    )


def test_large_jobs_have_small_records() -> None:
    original = job(100_000)
    for index in range(50_000):
        original.waiting.discard(index)
        original.end(index, TaskState.SUCCEEDED)
    assert len(record_text(original)) < 500


@pytest.mark.parametrize(
    "change",
    [
        {"format": 2},
        {"version": 0},
        {"ended": {"succeeded": [[0, 10]]}},
        {"ended": {"succeeded": [[0, 3]], "failed": [[3, 4]]}},
        {"ended": {"succeeded": [[4, 2]]}},
        {"attempted": [[-1, 0]]},
        {"spec": {}},
        {"unknown": 1},
    ],
)
def test_invalid_records_are_refused(change: dict[str, object]) -> None:
    fields = json.loads(record_text(job()))
    assert isinstance(read_record(json.dumps(fields | change)), Failure)


@pytest.mark.parametrize("text", ["", "{", "[]", "{}"])
def test_unreadable_text_is_refused(text: str) -> None:
    assert isinstance(read_record(text), Failure)


def test_records_are_ordered_by_epoch_then_version() -> None:
    first = read_record(record_text(job())).unwrap()
    later = first.model_copy(update={"version": 5})
    other_epoch = first.model_copy(update={"epoch": 4, "version": 1})
    assert later.is_newer_than(first)
    assert other_epoch.is_newer_than(later)
    assert not first.is_newer_than(first)
