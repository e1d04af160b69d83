"""Stored records: the names of their fields, which later versions have to read."""

from dataclasses import dataclass

import orjson

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.store.journal import (
    ForecastRecord,
    QueueMeans,
    decode_record,
    encode_record,
)
from tests.utils.build_scheduling import WORKSPACE, job


def test_a_jobs_workspace_keeps_its_stored_name() -> None:
    # Guards against jobs that a build of another version can't read after a takeover.
    raw = orjson.loads(encode_record(job()))
    assert raw["team_id"] == WORKSPACE
    assert "workspace_id" not in raw
    assert decode_record(orjson.dumps(raw), AcceptedJob).unwrap() == job()


def test_a_forecast_without_means_of_workers_is_read() -> None:
    # Guards against a forecast that is lost when a newer build takes over.
    raw = {"means_by_queue": {"q": {"log_took": 0.5, "log_estimate": 7.0, "count": 3}}}
    record = decode_record(orjson.dumps(raw), ForecastRecord).unwrap()
    assert record == ForecastRecord({"q": QueueMeans(0.5, 7.0, 3)})


def test_the_means_of_workers_keep_their_stored_form() -> None:
    record = ForecastRecord({}, {"w1": (0.693, 30.0)})
    raw = orjson.loads(encode_record(record))
    assert raw == {"means_by_queue": {}, "means_by_worker": {"w1": [0.693, 30.0]}}
    assert decode_record(orjson.dumps(raw), ForecastRecord).unwrap() == record


def test_a_build_without_means_of_workers_reads_a_record_that_has_them() -> None:
    """Guards against a record that is refused for its new field by an older build."""

    @dataclass(frozen=True, slots=True)
    class EarlierRecord:
        means_by_queue: dict[str, QueueMeans]

    text = encode_record(ForecastRecord({}, {"w1": (0.693, 30.0)}))
    assert decode_record(text, EarlierRecord).unwrap() == EarlierRecord({})
