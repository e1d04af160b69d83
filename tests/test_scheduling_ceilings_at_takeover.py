"""Tests of what counts towards a workspace's ceiling although no task needs it.

Guards against starts beyond the ceiling while runs of cancelled, failed or finished
work still end, and against a workspace that is held back by runs that are over.
"""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import JobPhase, StepSpec
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
    WorkerEntry,
)
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    JobProgress,
    RecordKind,
    encode_record,
    record_key,
)
from tamarackmount.scheduling.store.write_ahead import SLOW_APPEND_S
from tamarackmount.scheduling.workers.workers import MAX_INHERITED_LEASE_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    UNIX_MS,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

CEILING = Resources(8_000, 0, 0)
WORKERS = (worker_entry("w1", cores=32), worker_entry("w2", cores=32))


def full_workspace(*steps: StepSpec) -> tuple[SchedulerHarness, AcceptedJob]:
    """Return a holder that runs a job which fills its workspace's ceiling."""
    harness = SchedulerHarness(ceiling=CEILING)
    harness.register_workers(*WORKERS)
    first = job(1, *(steps or (step(8),)), in_queue=HIGH_PRIORITY)
    harness.submit_job(first)
    return harness, first


def take_over(
    before: SchedulerHarness, jobs: Iterable[AcceptedJob], records: dict[str, bytes]
) -> SchedulerHarness:
    """Return the next holder, which restores the records and reads registrations."""
    index = build_job_index(jobs, records)
    after = build_next_holder(before, index, ceiling=CEILING)
    after.scheduler.set_registered_workers(list(WORKERS), after.now)
    after.tick(0.1)
    return after


def report_runs(harness: SchedulerHarness, starts: Iterable[StartRun]) -> None:
    """Let both workers report that the started runs go on."""
    for entry in WORKERS:
        rows = tuple(
            (start.order.task, start.order.run_number)
            for start in starts
            if start.order.incarnation == entry.incarnation
        )
        harness.answer_poll(worker_report(rows), entry.incarnation)


def report_ends(harness: SchedulerHarness, starts: Iterable[StartRun]) -> None:
    """Let both workers report that the started runs were stopped."""
    for entry in WORKERS:
        rows = [
            start.order
            for start in starts
            if start.order.incarnation == entry.incarnation
        ]
        ends = tuple(
            ended_run(number, order.task, order.run_number, RunEnd.STOPPED)
            for number, order in enumerate(rows, 1)
        )
        harness.answer_poll(worker_report(ended=ends), entry.incarnation)


def cancelled(first: AcceptedJob) -> dict[str, bytes]:
    key = record_key(RecordKind.CANCEL, first.job_id)
    return {key: encode_record(CancelRecord(UNIX_MS))}


def ended_as(first: AcceptedJob, phase: JobPhase) -> dict[str, bytes]:
    key = record_key(RecordKind.PROGRESS, first.job_id)
    return {key: encode_record(JobProgress(phase, final_unix_ms=UNIX_MS))}


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("takeovers", [1, 2])
@pytest.mark.parametrize(
    "final", [None, JobPhase.CANCELLED, JobPhase.FAILED, JobPhase.COMPLETED]
)
def test_a_workspace_exceeded_its_ceiling_by_runs_of_a_job_that_was_over(
    final: JobPhase | None, takeovers: int, is_gang: bool
) -> None:
    # With None, the cancellation is stored, and no holder has acted on it yet.
    before, first = full_workspace(step(8, gang=is_gang))
    starts = before.answer_starts()
    assert len(starts) == 8
    records = before.store_pending()
    records |= cancelled(first) if final is None else ended_as(first, final)
    after = before
    for _ in range(takeovers):
        after = take_over(after, [first], records)
        records |= after.store_pending()
    second = job(2, step(8), in_queue=HIGH_PRIORITY)
    after.submit_job(second)
    assert not after.starts
    report_runs(after, starts)
    after.tick(0.5)
    report_runs(after, starts)
    assert not after.starts
    report_ends(after, starts)
    assert len(after.starts) == 8


def test_a_workspace_exceeded_its_ceiling_by_the_original_beside_a_copy() -> None:
    before, first = full_workspace(step(4, speculative=True))
    originals = before.answer_starts()
    before.answer_poll(PollFailure.NO_ANSWER, originals[0].order.incarnation)
    before.answer_poll(PollFailure.NO_ANSWER, originals[0].order.incarnation)
    before.tick(0.1)
    copies = before.answer_starts()
    assert len(copies) == 4
    starts = [*originals, *copies]
    after = take_over(before, [first], before.store_pending())
    report_runs(after, starts)
    after.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    assert not after.starts
    report_ends(after, starts)
    assert after.starts


def test_a_workspace_exceeded_its_ceiling_by_runs_of_a_replaced_worker() -> None:
    # The orders name the worker's id only, and may have come to its next incarnation.
    harness, first = full_workspace()
    starts = harness.answer_starts(OrderResult.UNKNOWN)
    harness.scheduler.cancel_job(first.job_id, harness.now, harness.unix_ms)
    (where,) = {start.order.incarnation for start in starts}
    entries = [
        next_incarnation(entry) if entry.incarnation == where else entry
        for entry in WORKERS
    ]
    harness.scheduler.set_registered_workers(entries, harness.now)
    harness.tick()
    harness.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    harness.tick(0.1)
    assert not harness.starts


def next_incarnation(entry: WorkerEntry) -> WorkerEntry:
    """Return the registration of a worker that has restarted."""
    name = entry.incarnation.worker_id
    return replace(entry, incarnation=incarnation(name, 2))


def test_a_workspace_was_held_back_by_orphaned_runs_of_a_lost_worker() -> None:
    before, first = full_workspace()
    starts = before.answer_starts()
    records = before.store_pending() | cancelled(first)
    after = take_over(before, [first], records)
    on_first = [one for one in starts if one.order.incarnation == incarnation("w1")]
    lost = "w1" if on_first else "w2"
    other = "w2" if on_first else "w1"
    after.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    lease_ends = Instant(before.now + MAX_INHERITED_LEASE_S)
    while after.now < lease_ends:
        assert not after.starts
        after.answer_poll(PollFailure.NO_ANSWER, incarnation(lost))
        after.answer_poll(worker_report(), incarnation(other))
        after.tick(0.1)
    after.tick(0.1)
    assert len(after.starts) == 8


def test_a_restarted_worker_holds_no_workspace_back() -> None:
    before, first = full_workspace()
    before.answer_starts()
    records = before.store_pending() | cancelled(first)
    after = take_over(before, [first], records)
    after.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    assert not after.starts
    newer = [next_incarnation(entry) for entry in WORKERS]
    after.scheduler.set_registered_workers(newer, after.now)
    after.tick()
    for entry in newer:
        after.answer_poll(worker_report(born=2), entry.incarnation)
    assert len(after.starts) == 8


def test_no_job_is_refused_for_what_orphaned_runs_use() -> None:
    # They end within the time that a stop takes, long before the job would be late.
    before, first = full_workspace(step(8, estimated_ms=60_000))
    starts = before.answer_starts()
    records = before.store_pending() | cancelled(first)
    after = take_over(before, [first], records)
    report_runs(after, starts)
    after.submit_job(job(2, step(1, estimated_ms=60_000), in_queue=HIGH_PRIORITY))
    third = job(3, step(1), in_queue=HIGH_PRIORITY)
    assert after.scheduler.check_admission(third, after.now) is None


def slow_store_takeover() -> tuple[SchedulerHarness, list[StartRun]]:
    """Return a new holder, and runs that fill the ceiling and that nobody stored.

    The store was slow, so that orders left before their runs were stored.
    """
    before = SchedulerHarness(ceiling=CEILING)
    before.register_workers(*WORKERS)
    before.is_store_healthy = False
    early = job(1, in_queue=HIGH_PRIORITY)
    first = job(2, step(7), in_queue=HIGH_PRIORITY)
    before.submit_job(early)
    for _ in range(2):
        batch = before.scheduler.take_batch(before.now, before.unix_ms)
        assert batch is not None
        before.tick(4 * SLOW_APPEND_S)
        before.acknowledge_batch(batch)
        before.tick()
    records = dict(before.records)
    before.submit_job(first)
    starts = before.answer_starts()
    assert len(starts) == 8
    return take_over(before, [early, first], records), starts


def test_a_workspace_exceeded_its_ceiling_by_runs_that_a_new_holder_did_not_know() -> (
    None
):
    after, starts = slow_store_takeover()
    (where,) = {start.order.incarnation for start in starts}
    (other,) = {entry.incarnation for entry in WORKERS} - {where}
    after.answer_poll(worker_report(), other)
    after.submit_job(job(3, step(8), in_queue=HIGH_PRIORITY))
    after.tick(0.1)
    assert not after.starts
    report_runs(after, starts)
    after.tick(0.1)
    assert not after.starts


def test_a_workspace_was_held_back_by_a_worker_that_reported_no_unknown_runs() -> None:
    # No order of the former holder has arrived: all tasks that it started start now.
    after, _ = slow_store_takeover()
    after.submit_job(job(3, step(8), in_queue=HIGH_PRIORITY))
    for entry in WORKERS:
        assert not after.starts
        after.answer_poll(worker_report(), entry.incarnation)
    assert len(after.starts) == 8


def test_a_workspace_was_held_back_by_stored_runs_that_never_began() -> None:
    # The former holder was killed before their orders left, so that no end of them
    # answers a poll that waits for one.
    before, first = full_workspace()
    before.answer_starts()
    records = before.store_pending() | cancelled(first)
    after = take_over(before, [first], records)
    after.submit_job(job(2, step(8), in_queue=HIGH_PRIORITY))
    after.take_polls()
    for entry in WORKERS:
        after.answer_poll(worker_report(), entry.incarnation)
    assert not after.starts
    for stop in after.stops:
        after.scheduler.stop_answered(
            stop.incarnation, stop.task, stop.run_number, OrderResult.DONE, after.now
        )
    after.tick(0.01)
    (where,) = {stop.incarnation for stop in after.stops}
    extra = [poll for poll in after.take_polls() if poll.is_extra]
    assert [poll.incarnation for poll in extra] == [where]
    after.scheduler.poll_answered(
        where, worker_report(), after.now, after.now, is_extra=True
    )
    after.tick(0.01)
    assert len(after.starts) == 8
