"""Cancellations that come before the record of their job."""

import tracemalloc
from collections.abc import Sequence
from dataclasses import replace

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from tamarackmount.ids import Instant, JobId, WorkspaceId
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.http_api import ApiResponse, Canceller, HttpStatus
from tamarackmount.node.job_limits import JobLimitSizes
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
)
from tamarackmount.scheduling.store.retention import (
    LATE_APPEND_MARGIN_S,
    expired_cancels,
)
from tamarackmount.scheduling.store.unmatched_cancels import CANCEL_BYTES
from tests.utils.build_cancels import CALLER, STRANGER
from tests.utils.build_scheduling import (
    LOW_PRIORITY,
    UNIX_MS,
    WORKSPACE,
    SchedulerHarness,
    job,
    worker_entry,
)
from tests.utils.memory_peers import MemoryFleet

ID = job().job_id
KEY = record_key(RecordKind.CANCEL, ID)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> MemoryFleet:
    """Return three nodes, of which the first holds the scheduling."""
    made = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(made.clock.seconds()))
    made.start_claiming()
    made.run_for(3.0)
    assert made.node(0)._election.holder is not None
    return made


def submitting(fleet: MemoryFleet, node: int) -> "Deferred[ApiResponse]":
    """Submit the job at a node."""
    return ensureDeferred(fleet.node(node).jobs.submit(job(), fleet.deadline()))


def cancelling(
    fleet: MemoryFleet, node: int, by: Canceller = CALLER
) -> "Deferred[ApiResponse]":
    """Cancel the job at a node."""
    return ensureDeferred(fleet.node(node).jobs.cancel(ID, by, fleet.deadline()))


def statuses(
    fleet: MemoryFleet, calls: Sequence["Deferred[ApiResponse]"]
) -> list[HttpStatus]:
    """Return the statuses of calls, once all are answered."""
    responses: list[list[ApiResponse]] = [[] for _ in calls]
    for call, found in zip(calls, responses, strict=True):
        call.addCallback(found.append)
    fleet.run_for(4.0)
    return [response.status for (response,) in responses]


def phase_at(fleet: MemoryFleet, node: int) -> object:
    """Return the job's phase as a node tells it."""
    return fleet.run(fleet.node(node).jobs.phase(ID))


def has_started(fleet: MemoryFleet) -> bool:
    """Tell whether a holder would start a task of the job."""
    return any(
        step.key.job_id == ID
        for number in range(3)
        if (holder := fleet.node(number)._election.holder) is not None
        for step in holder.scheduler._state.ready_steps_by_key.values()
    )


@pytest.mark.parametrize("submitted_at", [0, 1, 2])
@pytest.mark.parametrize("cancelled_at", [0, 1])
def test_a_job_whose_record_came_after_its_cancellation_runs(
    fleet: MemoryFleet, submitted_at: int, cancelled_at: int
) -> None:
    # Guards against a client that left and was told that there is no such job.
    assert statuses(fleet, [cancelling(fleet, cancelled_at)]) == [HttpStatus.GONE]
    assert statuses(fleet, [submitting(fleet, submitted_at)]) == [HttpStatus.OK]
    assert phase_at(fleet, 2) is JobPhase.CANCELLED
    assert not has_started(fleet)


@pytest.mark.parametrize("node", [0, 1])
def test_a_job_that_is_submitted_and_cancelled_at_once_runs(
    fleet: MemoryFleet, node: int
) -> None:
    # Guards against a cancellation that overtakes the submission on its own node.
    calls = [submitting(fleet, node), cancelling(fleet, node)]
    assert statuses(fleet, calls)[1] in (HttpStatus.OK, HttpStatus.GONE)
    assert phase_at(fleet, 2) is JobPhase.CANCELLED
    assert not has_started(fleet)


def test_a_job_whose_record_waits_for_a_killed_holder_runs(fleet: MemoryFleet) -> None:
    # Guards against a record that is on its way while the holder does not answer.
    fleet.lose_silently(0)
    calls = [submitting(fleet, 1), cancelling(fleet, 2)]
    assert statuses(fleet, calls)[1] in (HttpStatus.OK, HttpStatus.GONE)
    fleet.run_for(8.0)
    assert phase_at(fleet, 2) is JobPhase.CANCELLED
    assert not has_started(fleet)


def test_a_job_that_is_cancelled_in_a_slow_store_runs(fleet: MemoryFleet) -> None:
    # Guards against an answer that is given before the cancellation is stored.
    fleet.store.append_latency_s = 0.3
    calls = [cancelling(fleet, 1), submitting(fleet, 2)]
    assert statuses(fleet, calls) == [HttpStatus.GONE, HttpStatus.OK]
    assert phase_at(fleet, 2) is JobPhase.CANCELLED
    assert not has_started(fleet)


def test_a_cancellation_that_is_not_stored_is_answered_with_gone(
    fleet: MemoryFleet,
) -> None:
    # Guards against a client that is told to be done while its job may follow.
    fleet.store.is_down = True
    (status,) = statuses(fleet, [cancelling(fleet, 1)])
    assert status in (HttpStatus.SERVICE_UNAVAILABLE, HttpStatus.GATEWAY_TIMEOUT)


def test_a_job_that_is_submitted_again_after_its_cancellation_runs(
    fleet: MemoryFleet,
) -> None:
    # Guards against a repeat that comes through another node.
    statuses(fleet, [submitting(fleet, 1)])
    assert statuses(fleet, [cancelling(fleet, 2)]) == [HttpStatus.OK]
    assert statuses(fleet, [submitting(fleet, 0)]) == [HttpStatus.OK]
    assert phase_at(fleet, 1) is JobPhase.CANCELLED


def test_an_id_that_a_stranger_cancelled_can_not_be_used(fleet: MemoryFleet) -> None:
    # Guards against a workspace that cancels the future jobs of another one.
    assert statuses(fleet, [cancelling(fleet, 1, STRANGER)]) == [HttpStatus.GONE]
    assert statuses(fleet, [submitting(fleet, 2)]) == [HttpStatus.OK]
    assert phase_at(fleet, 1) is JobPhase.QUEUED
    assert has_started(fleet)


@pytest.mark.parametrize("callers", [(CALLER, STRANGER), (STRANGER, CALLER)])
def test_a_stranger_takes_a_cancellation_back(
    fleet: MemoryFleet, callers: tuple[Canceller, ...]
) -> None:
    # Guards against the newest record of a key, which is all that the store keeps.
    for number, caller in enumerate(callers):
        statuses(fleet, [cancelling(fleet, number, caller)])
    newest = [row for row in fleet.store.records(JOBS_TOPIC) if row.key == KEY][-1]
    index = JobIndex()
    index.apply(KEY, newest.value)
    index.apply(job_key(job()), encode_record(job()))
    assert index.phase(ID) is JobPhase.CANCELLED


def index_of(cancellation: CancelRecord, accepted: AcceptedJob) -> JobIndex:
    """Return an index that read a cancellation, and then a job."""
    index = JobIndex()
    index.apply(KEY, encode_record(cancellation))
    index.apply(job_key(accepted), encode_record(accepted))
    return index


@pytest.mark.parametrize(
    ("cancellation", "is_cancelled"),
    [
        (CancelRecord(UNIX_MS), True),
        (CancelRecord(UNIX_MS, [WORKSPACE]), True),
        (CancelRecord(UNIX_MS, [WorkspaceId("others")]), False),
        (CancelRecord(UNIX_MS, [WorkspaceId("")], [LOW_PRIORITY]), True),
        (CancelRecord(UNIX_MS, [WorkspaceId("")]), False),
    ],
)
def test_a_cancellation_holds_for_the_wrong_jobs(
    cancellation: CancelRecord, *, is_cancelled: bool
) -> None:
    # Guards against callers without a key, whom a public queue lets cancel its jobs.
    index = index_of(cancellation, job())
    expected = JobPhase.CANCELLED if is_cancelled else JobPhase.QUEUED
    assert index.phase(ID) is expected
    harness = SchedulerHarness()
    harness.register_workers(worker_entry())
    harness.scheduler.add_job(index.jobs_by_id[ID], harness.now, harness.unix_ms)
    harness.tick()
    assert bool(harness.starts) is not is_cancelled


def test_a_cancellation_of_an_earlier_version_is_ignored() -> None:
    # Guards against an upgrade between a cancellation and the record of its job.
    text = b'{"cancelled_unix_ms":1700}'
    assert decode_record(text, CancelRecord).unwrap() == CancelRecord(1700)
    index = JobIndex()
    index.apply(KEY, text)
    index.apply(job_key(job()), encode_record(job()))
    assert index.phase(ID) is JobPhase.CANCELLED


def cancel_key(number: int) -> tuple[JobId, str]:
    """Return an id that no job has, and the key of its cancellation."""
    job_id = JobId(f"{number:016x}")
    return job_id, record_key(RecordKind.CANCEL, job_id)


def test_cancellations_of_strangers_are_kept_without_end(fleet: MemoryFleet) -> None:
    # Guards against memory that any caller can fill with ids.
    limits = fleet.node(0).jobs._limits
    limits._sizes = replace(limits._sizes, cancels=20)
    index = fleet.node(0)._context.job_index
    answers = [
        fleet.run(
            fleet.node(number % 3).jobs.cancel(
                cancel_key(number)[0], STRANGER, fleet.deadline()
            )
        )
        for number in range(60)
    ]
    assert len(index.unmatched_cancels) == 10
    assert [answer.status for answer in answers[:10]] == [HttpStatus.GONE] * 10
    refused = {(answer.status, bool(answer.retry_after_s)) for answer in answers[10:]}
    assert refused == {(HttpStatus.TOO_MANY_REQUESTS, True)}
    # Others find room all the same, and known jobs are cancelled in any case.
    assert statuses(fleet, [cancelling(fleet, 1)]) == [HttpStatus.GONE]
    assert statuses(fleet, [submitting(fleet, 2)]) == [HttpStatus.OK]
    assert phase_at(fleet, 1) is JobPhase.CANCELLED


def test_cancellations_of_unknown_jobs_are_never_removed() -> None:
    # Guards against records, and memory on each node, that nothing gives back.
    index = JobIndex()
    for number in range(30):
        index.apply(
            cancel_key(number)[1], encode_record(CancelRecord(UNIX_MS + number))
        )
    kept_ms = int(LATE_APPEND_MARGIN_S * 1_000)
    assert not expired_cancels(index.unmatched_cancels, UNIX_MS + kept_ms)
    expired = expired_cancels(index.unmatched_cancels, UNIX_MS + kept_ms + 10)
    assert len(expired) == 10
    harness = SchedulerHarness()
    harness.scheduler.remove_cancels(expired)
    for key, value in harness.store_pending().items():
        if key.startswith(RecordKind.CANCEL.value):
            index.apply(key, value)
    assert len(index.unmatched_cancels) == len(index.jobs_by_id) == 20


def test_the_holder_removes_cancellations_of_unknown_jobs(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    statuses(fleet, [cancelling(fleet, 1)])
    later_ms = clock.unix_ms() + int(LATE_APPEND_MARGIN_S * 1_000) + 1
    monkeypatch.setattr(clock, "unix_ms", lambda: later_ms)
    fleet.run_for(8.0)
    assert not len(fleet.node(0)._context.job_index.unmatched_cancels)
    assert not len(fleet.node(2)._context.job_index.unmatched_cancels)


def test_a_cancellation_takes_more_memory_than_was_counted() -> None:
    # Guards against a limit in number that is none in memory.
    rows = [
        (
            cancel_key(number)[1],
            encode_record(CancelRecord(UNIX_MS, [WorkspaceId(f"w{number}")])),
        )
        for number in range(2_000)
    ]
    tracemalloc.start()
    try:
        index = JobIndex()
        for key, value in rows:
            index.apply(key, value)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(index.unmatched_cancels) == len(rows)
    assert used <= len(rows) * CANCEL_BYTES


def test_limits_of_cancellations_are_not_those_of_the_process() -> None:
    # Guards against a limit that a small VM can't keep.
    assert JobLimitSizes.of_memory(160 * 1024**2).cancels < 6_000


def test_a_job_that_followed_a_strangers_cancellation_in_a_takeover_is_lost(
    fleet: MemoryFleet,
) -> None:
    # Guards against a restore that takes the cancellation for the job.
    record = CancelRecord(UNIX_MS, [STRANGER.workspace_id])
    fleet.store.put(JOBS_TOPIC, KeyedRecord(KEY, encode_record(record)))
    fleet.lose_silently(0)
    fleet.run_for(1.0)
    fleet.store.put(JOBS_TOPIC, KeyedRecord(job_key(job()), encode_record(job())))
    fleet.run_for(8.0)
    assert phase_at(fleet, 1) is JobPhase.QUEUED
    assert has_started(fleet)
