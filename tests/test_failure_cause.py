"""Tests that callers learn why a job has failed, whichever node they ask."""

import orjson
import pytest

from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.platform.jobs import encode_job_state
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase
from tamarackmount.scheduling.store.journal import (
    JobProgress,
    RecordKind,
    encode_record,
    record_key,
)
from tests.utils.build_scheduling import job
from tests.utils.build_takeover import build_job_index
from tests.utils.memory_peers import MemoryFleet

ID = job().job_id


@pytest.mark.parametrize("asked", [0, 7], ids=["a follower", "another node"])
def test_the_cause_of_a_stored_failure_is_told_by_each_node(asked: int) -> None:
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    assert fleet.run(fleet.node(asked).jobs.failure_cause(ID)) is None
    progress = JobProgress(JobPhase.FAILED, cause=FailureCause.WORKER_CRASHES.value)
    key = record_key(RecordKind.PROGRESS, ID)
    fleet.store.put(JOBS_TOPIC, KeyedRecord(key, encode_record(progress)))
    fleet.run_for(1.0)
    cause = fleet.run(fleet.node(asked).jobs.failure_cause(ID))
    assert cause is FailureCause.WORKER_CRASHES


def test_only_the_state_of_a_failed_job_has_a_cause() -> None:
    failed = encode_job_state(JobPhase.FAILED, FailureCause.WORKER_CRASHES)
    assert orjson.loads(failed) == {"state": "failed", "cause": "worker_crashes"}
    running = encode_job_state(JobPhase.RUNNING)
    assert orjson.loads(running) == {"state": "running"}


def test_a_record_of_a_version_without_causes_is_readable() -> None:
    fleet = MemoryFleet(3)
    fleet.run(fleet.node(0).jobs.submit(job(), fleet.deadline()))
    key = record_key(RecordKind.PROGRESS, ID)
    fleet.store.put(JOBS_TOPIC, KeyedRecord(key, b'{"phase":"failed"}'))
    fleet.run_for(1.0)
    assert fleet.run(fleet.node(1).jobs.phase(ID)) is JobPhase.FAILED
    assert fleet.run(fleet.node(1).jobs.failure_cause(ID)) is None


def test_a_cause_or_evidence_of_another_version_made_a_job_run_again() -> None:
    """A progress record that can't be decoded loses the tasks that are done."""
    index = build_job_index([job()])
    record = (
        b'{"phase":"running","done_by_step":{"0.0":[0]},"cause":"later",'
        b'"crashes_by_task":{"0.0.1":[{"worker":["w1",1],"later":2}]}}'
    )
    index.apply(record_key(RecordKind.PROGRESS, ID), record)
    progress = index.jobs_by_id[ID].progress
    assert progress is not None
    assert progress.done_by_step == {"0.0": [0]}
    assert index.failure_cause(ID) is None
