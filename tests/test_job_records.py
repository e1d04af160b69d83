"""Job records are read back as they were written, and bad ones refused."""

import json

import pytest
from returns.result import Failure, Success

from tamarackmount.ids import Epoch, JobId, TeamId
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
    made = Job(JobId("dc1:retail:j"), TeamId("retail"), spec)
    made.epoch, made.version, made.accepted_number = Epoch(3), 4, 17
    return made


def test_round_trip() -> None:
    made = job()
    for index, state in ((0, TaskState.SUCCEEDED), (1, TaskState.SUCCEEDED)):
        made.waiting.discard(index)
        made.end(index, state)
    made.attempted.add(5)
    made.failures_by_index[4] = 2
    made.checkpoints_by_index[4] = "token"
    made.cancelled = True
    result = read_record(record_text(made))
    assert isinstance(result, Success)
    back = job_from_record(result.unwrap())
    assert record_text(back) == record_text(made)
    assert back.waiting.ranges() == [(2, 9)]
    assert (back.id, back.team_id, back.spec) == (made.id, made.team_id, made.spec)


def test_large_jobs_have_small_records() -> None:
    made = job(100_000)
    for index in range(50_000):
        made.waiting.discard(index)
        made.end(index, TaskState.SUCCEEDED)
    assert len(record_text(made)) < 500


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
def test_bad_records_are_refused(change: dict[str, object]) -> None:
    fields = json.loads(record_text(job()))
    assert isinstance(read_record(json.dumps(fields | change)), Failure)


@pytest.mark.parametrize("text", ["", "{", "[]", "{}"])
def test_text_that_is_no_record(text: str) -> None:
    assert isinstance(read_record(text), Failure)


def test_newer_is_by_epoch_then_version() -> None:
    first = read_record(record_text(job())).unwrap()
    later = first.model_copy(update={"version": 5})
    other_epoch = first.model_copy(update={"epoch": 4, "version": 1})
    assert later.is_newer_than(first)
    assert other_epoch.is_newer_than(later)
    assert not first.is_newer_than(first)
