"""Tests of jobs with more tasks than one round of placement starts."""

from dataclasses import replace

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.placement.placement import MAX_STARTS_PER_ROUND
from tamarackmount.scheduling.store.job_index import JobRecords
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.build_suspects import only_step, pool_of_large_workers, small_tasks

WIDE = 5 * MAX_STARTS_PER_ROUND + 1


def add_job(harness: SchedulerHarness, accepted: AcceptedJob) -> None:
    """Add a job that was accepted just now, without a decision."""
    records = JobRecords(replace(accepted, accepted_unix_ms=harness.unix_ms))
    harness.scheduler.add_job(records, harness.now, harness.unix_ms)


def tick_once(harness: SchedulerHarness) -> None:
    """Let the scheduler decide once, as in one turn of the event loop."""
    harness.scheduler.tick(harness.now, harness.unix_ms)


def pool_with_wide_job() -> SchedulerHarness:
    """Return a pool with a wide job of which no task has started."""
    harness = pool_of_large_workers(4)
    records = JobRecords(
        replace(small_tasks(1, WIDE), accepted_unix_ms=harness.unix_ms)
    )
    harness.scheduler.add_job(records, harness.now, harness.unix_ms)
    return harness


def test_all_tasks_of_a_wide_job_were_started_in_one_turn() -> None:
    harness = pool_with_wide_job()
    wide = only_step(harness, small_tasks(1, WIDE))
    started_by_turn: list[int] = []
    while not started_by_turn or harness.scheduler.has_more_to_place:
        before = len(wide.runs_by_index)
        tick_once(harness)
        started_by_turn.append(len(wide.runs_by_index) - before)
    assert max(started_by_turn) <= MAX_STARTS_PER_ROUND
    assert len(wide.runs_by_index) == WIDE


def test_an_urgent_job_waited_for_all_tasks_of_a_wide_one() -> None:
    harness = pool_with_wide_job()
    tick_once(harness)
    urgent = job(2, in_queue=HIGH_PRIORITY)
    add_job(harness, urgent)
    tick_once(harness)
    assert only_step(harness, urgent).runs_by_index
    assert harness.scheduler.has_more_to_place


def test_a_gang_wider_than_a_round_never_started() -> None:
    harness = pool_of_large_workers(4)
    gang = small_tasks(1, MAX_STARTS_PER_ROUND + 1)
    spec = replace(gang.spec, steps=(replace(gang.spec.steps[0], gang=True),))
    gang = replace(gang, spec=spec)
    harness.submit_job(gang)
    assert len(only_step(harness, gang).runs_by_index) == MAX_STARTS_PER_ROUND + 1


def test_a_wide_job_without_room_kept_the_holder_busy() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry(cores=8))
    add_job(harness, job(1, step(WIDE)))
    tick_once(harness)
    assert not harness.scheduler.has_more_to_place
