"""Replies and messages with odd values never end a process.

Guards against one worker, node or reply that brings the holder down: an exception in a
task that handles one stops the process.
"""

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import MemberId, Offset
from tamarackmount.internal.codec import Envelope
from tamarackmount.node import tasks
from tamarackmount.node.messages import (
    AdviceQuery,
    JobStored,
    PhaseQuery,
    StoreQuery,
    StoreReply,
    WaitingQuery,
)
from tamarackmount.platform import store, workers
from tamarackmount.platform.config import decode_fleet_config
from tamarackmount.platform.http import Reply
from tamarackmount.scheduling.domain.worker_reports import (
    PollFailure,
    RunEnd,
    WorkerReport,
)
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    worker_entry,
)
from tests.utils.memory_peers import MemoryFleet

ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.lists(st.integers(-9, 9), max_size=2),
    st.sampled_from([f"{job().job_id}.0.{step}.0" for step in (-7, -1, 0, 9, 2**70)]),
)


def reply(document: Any) -> Any:
    return Reply(200, orjson.dumps(document))


def decoded_report(document: Any) -> Any:
    return workers._decode_report(reply(document))


@given(ODD_VALUES, ODD_VALUES, ODD_VALUES, ODD_VALUES, ODD_VALUES, ODD_VALUES)
def test_a_report_with_odd_values_is_handled_or_rejected(
    clock: Any, task: Any, run: Any, checkpoint: Any, speed: Any, kind: Any
) -> None:
    document = {
        "clockMs": clock,
        "running": [[task, run, checkpoint, speed]],
        "ended": [[1, task, run, kind, checkpoint]],
    }
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job())
    harness.answer_starts()
    harness.tick(0.1)
    harness.answer_poll(decoded_report(document))
    harness.tick(0.5)
    for poll in harness.take_polls():
        orjson.dumps(poll.lease_end_clock_ms)
    harness.store_pending()


@pytest.mark.parametrize("task", ["j.0.-1.0", "j.0.0.-1", f"j.0.0.{2**70}", "j", 7])
def test_a_report_of_a_task_that_cannot_exist_is_rejected_as_a_whole(
    task: Any,
) -> None:
    # Without the row, the report would say that the worker does not run the task.
    document = {"clockMs": 1, "running": [[task, 1, "", 100]]}
    assert decoded_report(document) is PollFailure.UNHEALTHY


def test_a_report_with_a_huge_clock_is_rejected() -> None:
    # A lease end computed from it could not be encoded in the next poll.
    assert decoded_report({"clockMs": 1e300}) is PollFailure.UNHEALTHY


def test_a_run_end_of_unknown_kind_is_an_end() -> None:
    # Guards against a worker that counts as silent, and whose work is given up, for a
    # value that a later version adds.
    report = decoded_report({"clockMs": 1, "ended": [[1, "j.0.0.0", 1, "evicted"]]})
    assert isinstance(report, WorkerReport)
    assert report.ended[0].outcome is RunEnd.FAILED


@given(ODD_VALUES, ODD_VALUES, ODD_VALUES)
def test_a_configuration_with_odd_values_is_rejected_or_read(
    version: Any, routes: Any, weight: Any
) -> None:
    document = {
        "version": version,
        "routes": routes,
        "tenants": [{"name": "w", "weight": weight, "maximum": routes}],
    }
    decode_fleet_config(orjson.dumps(document))


@given(ODD_VALUES, ODD_VALUES)
def test_a_page_of_the_store_with_odd_values_is_rejected(key: Any, value: Any) -> None:
    page = {"items": [{"key": key, "value": value, "offset": 1}], "more": 0, "end": 2}
    try:
        decoded = store._decode_latest_page(page)
    except store._DECODING_ERRORS:
        return
    assert all(isinstance(row.key, str) for row in decoded.records)
    assert decoded.end_offset == Offset(2)


@pytest.mark.parametrize(
    "message",
    [
        StoreQuery(1, "x" * 300, b"v"),
        StoreQuery(2, "", b""),
        StoreQuery(3, "job.j", b"{}"),
        StoreQuery(4, "job.j", b"\xff"),
        StoreReply(99, "perhaps", -1),
        PhaseQuery(5, "\x00" * 1_000, read_store=True),
        WaitingQuery(6, "no such queue"),
        JobStored(b"[]"),
        AdviceQuery(7, "j", -1, -1, ["w"] * 10_000, 0),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_with_odd_values_does_not_stop_the_process(
    message: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    stopped: list[bool] = []
    monkeypatch.setattr(tasks, "_fatal_error_callbacks", [lambda: stopped.append(True)])
    fleet = MemoryFleet(3)
    fleet.node(0).handle_message(Envelope(MemberId("n1"), message))
    fleet.run_for(1.0)
    assert not stopped


def test_an_error_while_a_message_is_answered_does_not_stop_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stopped: list[bool] = []
    monkeypatch.setattr(tasks, "_fatal_error_callbacks", [lambda: stopped.append(True)])
    fleet = MemoryFleet(3)
    node = fleet.node(0)

    def fail(_job_id: Any) -> None:
        raise LookupError("broken")

    monkeypatch.setattr(type(node.jobs._context.job_index), "phase", fail)
    message = PhaseQuery(1, "j", read_store=True)
    node.handle_message(Envelope(MemberId("n1"), message))
    fleet.run_for(0.5)
    assert not stopped


def test_incarnations_of_other_workers_are_not_affected() -> None:
    # A rejected report of one worker leaves the others as they were.
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.answer_poll(PollFailure.UNHEALTHY, incarnation("w1"))
    states = harness.scheduler._state.workers_by_incarnation
    assert states[incarnation("w2")].can_start
