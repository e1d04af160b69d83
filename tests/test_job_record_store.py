"""A member keeps the newest record of a job and deletes those of ended jobs."""

from tamarackmount.ids import Epoch, Instant, JobId
from tamarackmount.job_spec import parse_job_spec
from tamarackmount.kernel.job_record_store import (
    ENDED_RECORD_RETENTION_S,
    JobRecordStore,
)
from tamarackmount.kernel.job_records import RECORD_FORMAT, JobRecord
from tamarackmount.kernel.jobs import TaskState
from tests.utils.build_jobs import TEAM, spec_text

NOW = Instant(50.0)


def build_record(name: str = "a", version: int = 1, *, ended: int = 0) -> str:
    """Return the text of a record of two tasks, of which ``ended`` have succeeded."""
    spec = parse_job_spec(spec_text(name, tasks=2)).unwrap()
    ranges = {TaskState.SUCCEEDED: [(0, ended - 1)]} if ended else {}
    record = JobRecord(
        format=RECORD_FORMAT,
        job_id=JobId(f"dc1:retail:{name}"),
        team_id=TEAM,
        epoch=Epoch(1),
        version=version,
        accepted_number=1,
        spec=spec,
        ended=ranges,
    )
    return record.model_dump_json()


def after(seconds: float) -> Instant:
    return Instant(NOW + seconds)


def test_newer_record_replaces_an_older_one_but_not_the_reverse() -> None:
    store = JobRecordStore()
    newer = build_record(version=2)
    assert store.merge([newer], NOW).newer == [newer]
    assert store.merge([build_record(version=1)], NOW).newer == []
    assert store.texts() == [newer]


def test_unreadable_text_is_reported_and_other_records_are_stored() -> None:
    store = JobRecordStore()
    result = store.merge(["{}", build_record()], NOW)
    assert len(result.problems) == 1
    assert len(store) == 1


def test_record_of_an_ended_job_is_deleted_after_the_retention_time_only() -> None:
    store = JobRecordStore()
    store.merge([build_record(ended=2)], NOW)
    store.drop_expired(after(ENDED_RECORD_RETENTION_S - 1))
    assert len(store) == 1
    store.drop_expired(after(ENDED_RECORD_RETENTION_S))
    assert len(store) == 0


def test_record_of_an_open_job_is_never_deleted() -> None:
    store = JobRecordStore()
    store.merge([build_record(ended=1)], NOW)
    store.drop_expired(after(100 * ENDED_RECORD_RETENTION_S))
    assert len(store) == 1


def test_newer_record_of_an_ended_job_restarts_its_retention_time() -> None:
    store = JobRecordStore()
    store.merge([build_record("a", 1, ended=2), build_record("b", 1, ended=2)], NOW)
    store.merge([build_record("a", 2, ended=2)], after(10))
    store.drop_expired(after(ENDED_RECORD_RETENTION_S))
    assert [text for text in store.texts() if '"a"' in text] == store.texts()
    assert len(store) == 1
