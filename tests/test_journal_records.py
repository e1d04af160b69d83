"""Stored records: the names of their fields, which later versions have to read."""

import orjson

from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.journal import decode_record, encode_record
from tests.utils.build_scheduling import WORKSPACE, job


def test_a_jobs_workspace_keeps_its_stored_name() -> None:
    # Guards against jobs that a build of another version can't read after a takeover.
    raw = orjson.loads(encode_record(job()))
    assert raw["team_id"] == WORKSPACE
    assert "workspace_id" not in raw
    assert decode_record(orjson.dumps(raw), AcceptedJob).unwrap() == job()
