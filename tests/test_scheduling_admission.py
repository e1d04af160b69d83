"""Which jobs are refused before they are stored, under the loads that decide it."""

import pytest

from tamarackmount.resources import Resources
from tamarackmount.scheduling.admission import UNFIT_JOB_RETRY_S, RefusalReason
from tamarackmount.scheduling.fleet_config import AdvicePolicy
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)

LONG = {"estimated_ms": 60_000}


def full_pool(tasks_waiting: int) -> SchedulerHarness:
    """Return a pool of eight cores that is busy for a minute, and tasks that wait."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    for number in range(8):
        harness.submit_job(job(100 + number, step(1, **LONG)))
    harness.answer_starts()
    if tasks_waiting:
        harness.submit_job(job(200, step(tasks_waiting, **LONG)))
    return harness


@pytest.mark.parametrize("name", [HIGH_PRIORITY, LOW_PRIORITY])
def test_no_job_is_refused_while_its_pool_has_capacity(name: str) -> None:
    # The waiting steps need tickets, and the advice service is slow to answer.
    policy = AdvicePolicy(600.0, 8.0, 2_000.0)
    harness = SchedulerHarness(ceiling=Resources(), advice=policy)
    harness.register_workers(*(worker_entry(f"w{n}", cores=32) for n in range(1, 9)))
    for number in range(10):
        harness.submit_job(job(100 + number, step(20, **LONG)))
    assert not harness.starts
    asked = job(1, in_queue=HIGH_PRIORITY if name == HIGH_PRIORITY else LOW_PRIORITY)
    assert harness.scheduler.check_admission(asked, harness.now) is None


def test_no_job_is_refused_while_its_workspace_is_below_its_ceiling() -> None:
    harness = SchedulerHarness(ceiling=Resources(300_000, 0, 0))
    harness.register_workers(*(worker_entry(f"w{n}", cores=32) for n in range(1, 9)))
    # Gangs that are larger than any worker that is free now, but not than the pool.
    harness.submit_job(job(100, step(8, 20, **LONG)))
    harness.answer_starts()
    harness.submit_job(job(101, step(6, 20, **LONG)))
    assert harness.scheduler.check_admission(job(1), harness.now) is None


def test_a_job_behind_more_work_than_it_may_wait_for_is_refused_at_once() -> None:
    harness = full_pool(tasks_waiting=8)
    refusal = harness.scheduler.check_admission(job(1), harness.now)
    assert refusal is not None
    assert refusal.reason is RefusalReason.BACKLOG
    assert refusal.retry_after_s >= 30.0


def test_a_job_on_a_full_pool_without_a_backlog_is_accepted() -> None:
    harness = full_pool(tasks_waiting=0)
    assert harness.scheduler.check_admission(job(1), harness.now) is None


@pytest.mark.parametrize(
    ("cores", "ceiling", "reason"),
    [(33, 0, RefusalReason.NO_WORKER), (9, 8_000, RefusalReason.CEILING)],
)
def test_a_job_that_can_never_run_is_refused_for_long(
    cores: int, ceiling: int, reason: RefusalReason
) -> None:
    harness = SchedulerHarness(ceiling=Resources(ceiling, 0, 0))
    harness.register_workers(worker_entry("w1", cores=32))
    refusal = harness.scheduler.check_admission(job(1, step(1, cores)), harness.now)
    assert refusal is not None
    assert refusal.reason is reason
    assert refusal.retry_after_s == UNFIT_JOB_RETRY_S


def test_a_job_that_is_known_is_never_refused() -> None:
    harness = full_pool(tasks_waiting=8)
    known = job(200, step(8, **LONG))
    assert harness.scheduler.check_admission(known, harness.now) is None
