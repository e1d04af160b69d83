"""Odd entries of other writers end no process and keep none from reading on.

Guards against one entry that ends each holder in turn, or that hides all others.
"""

import logging
from typing import Any

import orjson
import pytest
from returns.result import Failure, Success
from twisted.internet.defer import ensureDeferred

from tamarackmount.ids import Instant, JobId
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.config import decode_fleet_config
from tamarackmount.platform.http import Address, Reply
from tamarackmount.platform.jobs import decode_job
from tamarackmount.platform.store import (
    WORKERS_TOPIC,
    KeyedRecord,
    LatestRecordsPage,
    Store,
)
from tamarackmount.platform.workers import _decode_report, decode_worker
from tamarackmount.scheduling.domain.model import JobPhase, StepKey
from tamarackmount.scheduling.domain.worker_reports import (
    PollFailure,
    WorkerReport,
)
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer
from tamarackmount.scheduling.store.journal import HolderRecord, encode_record
from tests.utils.build_odd_entries import (
    FIELDS,
    ODD_IDS,
    ODD_VALUES,
    TEXT_FIELDS,
    nested_list,
    worker_text,
)
from tests.utils.build_platform_documents import worker_document
from tests.utils.build_scheduling import SchedulerHarness, job, worker_entry
from tests.utils.build_takeover import build_job_index, build_next_holder
from tests.utils.memory_peers import MemoryFleet


@pytest.mark.parametrize("worker_id", ODD_IDS)
def test_a_registration_under_an_odd_id_ended_the_holder(worker_id: str) -> None:
    # The id goes into the header of each call, and into the key of a stored record.
    text = orjson.dumps(worker_document())
    assert isinstance(decode_worker(worker_id, text), Failure)


def test_a_registration_under_the_longest_id_is_valid() -> None:
    text = orjson.dumps(worker_document())
    assert isinstance(decode_worker("w" * 200, text), Success)


@pytest.mark.parametrize("field", FIELDS)
@pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_a_registration_with_an_odd_value_ended_the_holder(
    value: bytes, field: str
) -> None:
    decoded = decode_worker("w1", worker_text(field, value))
    is_text = value.startswith(b'"') and value != b'"\\ud800"'
    if not (field in TEXT_FIELDS and is_text):
        assert isinstance(decoded, Failure)
        assert len(decoded.failure()) <= 200


@pytest.mark.parametrize("field", ["slots", "sequence"])
@pytest.mark.parametrize("value", [b'"8"', b"null", b"[]", b"0.5", b"true"])
def test_a_registration_with_a_number_of_another_type_names_no_worker(
    value: bytes, field: str
) -> None:
    # Such a worker never answers, and jobs are accepted without limit meanwhile.
    assert isinstance(decode_worker("w1", worker_text(field, value)), Failure)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("w1", worker_text("service", nested_list(990))),
        ("\ufffd\ufffd-3", orjson.dumps(worker_document())),
    ],
)
def test_a_holder_ended_that_read_an_odd_registration(
    key: str,
    value: bytes,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    fleet.store.put(WORKERS_TOPIC, KeyedRecord(key, value))
    fleet.run_for(2.0)
    assert not [row for row in caplog.records if row.levelno >= logging.CRITICAL]
    text = orjson.dumps(worker_document())
    fleet.store.put(WORKERS_TOPIC, KeyedRecord("w2", text))
    fleet.run_for(2.0)
    holder = fleet.nodes_by_id[fleet.holder()]._election.holder
    assert holder is not None
    workers = holder.scheduler._state.workers_by_incarnation
    assert {found.worker_id for found in workers} == {"w2"}


def test_nobody_held_the_role_after_a_record_with_a_huge_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    odd = HolderRecord(fleet.holder(), 2**63, 0, 1)
    fleet.store.put(HOLDER_TOPIC, KeyedRecord("holder", encode_record(odd)))
    fleet.run_for(3.0)
    assert fleet.nodes_by_id[fleet.holder()]._election.holder is not None


class OneReply:
    """A client whose calls all get the same reply."""

    def __init__(self, body: bytes) -> None:
        """Answer each call with this body."""
        self._body = body

    async def call(self, *_: Any) -> Reply:
        return Reply(200, self._body)


@pytest.mark.parametrize("odd_key", [b"\xff\xfe-3", b"\\ud800-3", b"\\udfff"])
def test_a_key_that_is_no_text_hid_all_other_records(odd_key: bytes) -> None:
    good = b'{"key":"w1","value":"e30=","offset":4}'
    odd = good.replace(b"w1", odd_key)
    body = b'{"items":[' + good + b"," + odd + b'],"more":true,"end":7}'
    http: Any = OneReply(body)
    store = Store(http, Address("10.0.0.1:80"))
    reading = ensureDeferred(store.read_latest(WORKERS_TOPIC, "", Instant(1.0)))
    page: Any = reading.result
    assert isinstance(page, LatestRecordsPage)
    assert KeyedRecord("w1", b"{}", page.records[0].offset) in page.records
    # The next page is asked for by this key.
    page.last_key.encode()


def test_an_odd_task_in_a_worker_record_ended_each_new_holder() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    odd = {
        "worker/odd@1": b'{"life":["odd",1],"service":"s","address":"1e308","ack":0,'
        b'"runs":[["no task",1]]}'
    }
    index = build_job_index([job()], odd)
    after = build_next_holder(before, index)
    after.register_workers(worker_entry("w1"))
    assert len(after.starts) == 1


def test_an_odd_task_in_a_progress_record_ended_each_new_holder() -> None:
    before = SchedulerHarness()
    accepted = job()
    progress = {
        f"progress/{accepted.job_id}": b'{"phase":"queued",'
        b'"failures_by_task":{"no task":1},"checkpoints_by_task":{"0.0":"c"}}'
    }
    after = build_next_holder(before, build_job_index([accepted], progress))
    after.register_workers(worker_entry("w1"))
    assert len(after.starts) == 1
    assert after.scheduler.phase(accepted.job_id) is JobPhase.RUNNING


@pytest.mark.parametrize("value", [b"1e308", b"-1e308", b"9007199254740993"])
@pytest.mark.parametrize("field", ["cpu", "gpu", "estimatedMs", "antiAffinity"])
def test_a_job_with_a_huge_amount_was_answered_as_unknown(
    field: str, value: bytes
) -> None:
    # Its record could not be encoded, and its client got 504 in place of 400.
    body = b'{"spec":"","steps":[{"count":1,"' + field.encode() + b'":' + value + b"}]}"
    assert isinstance(decode_job(body), Failure)


@pytest.mark.parametrize("field", ["firstRunMs", "intervalMs"])
def test_a_job_with_a_huge_time_was_answered_as_unknown(field: str) -> None:
    body = b'{"steps":[{"count":1}],"' + field.encode() + b'":1e308}'
    assert isinstance(decode_job(body), Failure)


@pytest.mark.parametrize("depth", [300, 900, 990, 1_010])
def test_a_report_with_nested_lists_ended_the_holder(depth: int) -> None:
    body = b'{"clockMs":1,"ended":[[1,"j.0.0.0",1,' + nested_list(depth) + b',""]]}'
    assert isinstance(_decode_report(Reply(200, body)), PollFailure | WorkerReport)


@pytest.mark.parametrize("depth", [300, 900, 990, 1_010])
def test_a_configuration_with_nested_lists_ended_every_process(depth: int) -> None:
    nested = nested_list(depth)
    row = b'{"name":"r","service":"s","pathPrefix":"/","host":' + nested + b"}"
    decoded = decode_fleet_config(b'{"version":1,"routes":[' + row + b"]}")
    assert isinstance(decoded, Failure | Success)


@pytest.mark.parametrize("depth", [300, 900, 990, 1_010])
def test_an_advice_with_nested_lists_ended_the_holder(depth: int) -> None:
    body = b'{"validityMs":1,"good":[[' + nested_list(depth) + b',"ticket"]]}'
    http: Any = OneReply(body)
    client = AdviceClient(http, Address("10.0.0.1:80"))
    asking = ensureDeferred(client.ask(StepKey(JobId("j"), 0, 0), [], Instant(1.0)))
    assert asking.result is None or isinstance(asking.result, AdviceAnswer)
