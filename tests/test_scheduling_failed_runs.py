"""Tests of how often a task or gang has failed.

Guards against jobs shown as failed before a task has failed its number of times: the
end of one run can be reported more than once, also to different holders.
"""

import pytest

from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.domain.worker_reports import PollFailure, RunEnd
from tamarackmount.scheduling.jobs.runs import MAX_AVOIDANCE_S
from tamarackmount.scheduling.store.journal import RecordKind, split_key
from tamarackmount.scheduling.workers.workers import MAX_INHERITED_LEASE_S
from tests.utils.build_scheduling import (
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

ENTRIES = [worker_entry("w1"), worker_entry("w2")]


def records_of(harness: SchedulerHarness, *kinds: RecordKind) -> dict[str, bytes]:
    """Return the stored records of some kinds."""
    return {
        key: value
        for key, value in harness.store_pending().items()
        if (parsed := split_key(key)) is not None and parsed[0] in kinds
    }


def test_one_failed_run_of_a_gang_counted_twice_around_a_takeover() -> None:
    # One member's end is stored; the other's worker answers the next holder first.
    before = SchedulerHarness()
    before.register_workers(*ENTRIES)
    gang = job(1, step(2, gang=True, max_per_worker=1))
    before.submit_job(gang)
    starts = {one.order.incarnation: one.order for one in before.answer_starts()}
    first, second = (starts[entry.incarnation] for entry in ENTRIES)
    end = ended_run(1, first.task, first.run_number, RunEnd.FAILED)
    before.answer_poll(worker_report(ended=(end,)), first.incarnation)
    index = build_job_index([gang], before.store_pending())
    after = build_next_holder(before, index)
    after.scheduler.set_registered_workers(ENTRIES, after.now)
    end = ended_run(1, second.task, second.run_number, RunEnd.FAILED)
    after.answer_poll(worker_report(ended=(end,)), second.incarnation)
    after.answer_poll(worker_report(), first.incarnation)
    after.store_pending()
    assert after.scheduler.phase(gang.job_id) is JobPhase.RUNNING
    after.tick(MAX_AVOIDANCE_S)
    again = after.answer_starts()
    assert len(again) == 2
    order = again[0].order
    assert order.run_number > first.run_number
    end = ended_run(2, order.task, order.run_number, RunEnd.FAILED)
    after.answer_poll(worker_report(ended=(end,)), order.incarnation)
    after.store_pending()
    assert after.scheduler.phase(gang.job_id) is JobPhase.FAILED


def test_a_failed_run_counted_twice_as_its_end_was_stored_after_the_progress() -> None:
    # A batch may take several appends, and the holder may end between two of them.
    before = SchedulerHarness()
    before.register_workers(ENTRIES[0])
    before.submit_job(job())
    (start,) = before.answer_starts()
    workers = records_of(before, RecordKind.WORKER)
    order = start.order
    end = ended_run(1, order.task, order.run_number, RunEnd.FAILED)
    before.answer_poll(worker_report(ended=(end,)))
    progress = records_of(before, RecordKind.PROGRESS)
    after = build_next_holder(before, build_job_index([job()], workers, progress))
    after.scheduler.set_registered_workers(ENTRIES[:1], after.now)
    after.answer_poll(worker_report(ended=(end,)))
    after.store_pending()
    assert after.scheduler.phase(order.task.job_id) is JobPhase.RUNNING
    (again,) = after.starts
    assert again.order.run_number > order.run_number


def test_a_failed_run_counted_twice_as_its_worker_was_removed_and_came_back() -> None:
    # The store takes no records, so that the worker lists the end again.
    harness = SchedulerHarness()
    harness.register_workers(*ENTRIES)
    harness.submit_job(job())
    (start,) = harness.answer_starts()
    harness.is_store_healthy = False
    order = start.order
    end = ended_run(1, order.task, order.run_number, RunEnd.FAILED)
    harness.answer_poll(worker_report(ended=(end,)), order.incarnation)
    others = [one for one in ENTRIES if one.incarnation != order.incarnation]
    harness.scheduler.set_registered_workers(others, harness.now)
    for _ in range(int(4 * MAX_INHERITED_LEASE_S)):
        harness.answer_poll(PollFailure.NO_ANSWER, order.incarnation)
        harness.tick(0.5)
    assert order.incarnation not in harness.scheduler._state.workers_by_incarnation
    harness.scheduler.set_registered_workers(ENTRIES, harness.now)
    harness.tick()
    harness.answer_poll(worker_report(ended=(end,)), order.incarnation)
    harness.store_pending()
    assert harness.scheduler.phase(order.task.job_id) is JobPhase.RUNNING


@pytest.mark.parametrize("takeovers", [0, 1, 2])
def test_each_failed_run_counts_whoever_the_holder_is(takeovers: int) -> None:
    # Guards against a task that starts again after its last attempt.
    accepted = job()
    harness = SchedulerHarness()
    harness.register_workers(ENTRIES[0])
    harness.submit_job(accepted)
    for number in (1, 2):
        (start,) = harness.answer_starts()
        order = start.order
        records = harness.store_pending()
        for _ in range(takeovers):
            harness = build_next_holder(harness, build_job_index([accepted], records))
            harness.scheduler.set_registered_workers(ENTRIES[:1], harness.now)
        end = ended_run(number, order.task, order.run_number, RunEnd.FAILED)
        harness.answer_poll(worker_report(ended=(end,)))
    harness.store_pending()
    assert harness.scheduler.phase(accepted.job_id) is JobPhase.FAILED
    assert not harness.starts


def test_a_failure_that_an_earlier_version_counted_still_counts() -> None:
    # Its records have the number of failures, and no run numbers.
    accepted = job()
    before = SchedulerHarness()
    before.register_workers(ENTRIES[0])
    before.submit_job(accepted)
    before.answer_starts()
    key = f"progress/{accepted.job_id}"
    progress = {key: b'{"phase":"running","failures_by_task":{"0.0.0":1}}'}
    after = build_next_holder(before, build_job_index([accepted], progress))
    after.register_workers(ENTRIES[0])
    (start,) = after.answer_starts()
    order = start.order
    end = ended_run(1, order.task, order.run_number, RunEnd.FAILED)
    after.answer_poll(worker_report(ended=(end,)))
    after.store_pending()
    assert after.scheduler.phase(accepted.job_id) is JobPhase.FAILED
