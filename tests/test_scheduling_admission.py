"""Which jobs are refused before they are stored, under the loads that decide it."""

from dataclasses import replace

import pytest

from tamarackmount.ids import WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.admission.admission import (
    UNFIT_JOB_RETRY_S,
    RefusalReason,
)
from tamarackmount.scheduling.admission.drain_forecast import SUMS_MAX_AGE_S
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy, Workspace
from tamarackmount.scheduling.domain.model import StepSpec, TaskKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.estimates.wait_correction import (
    MAX_CORRECTION,
    WaitCorrection,
)
from tamarackmount.scheduling.scheduler import SHARES_INTERVAL_S
from tamarackmount.scheduling.shares.returns import MAX_RETRY_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SERVICE,
    SchedulerHarness,
    ended_run,
    fleet_config,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.contention_replay import (
    LONG_STEP,
    URGENT_STEP,
    Arrival,
    ContentionReplay,
    Outcome,
    poisson_arrivals,
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


def test_work_that_waits_at_its_workspaces_ceiling_delays_no_other() -> None:
    harness = SchedulerHarness()
    other = WorkspaceId("other")
    limited = Workspace(other, 100.0, Resources(8_000, 0, 0))
    workspaces = {**fleet_config().workspaces_by_id, other: limited}
    harness.scheduler.set_fleet_config(
        replace(fleet_config(2), workspaces_by_id=workspaces), harness.now
    )
    harness.register_workers(worker_entry("w1", cores=32))
    for number in range(20):
        accepted = job(100 + number, step(20, **LONG))
        harness.submit_job(replace(accepted, workspace_id=other))
    assert len(harness.starts) < 9
    assert harness.scheduler.check_admission(job(1), harness.now) is None


def test_workers_that_may_start_nothing_are_no_capacity() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    entries = [worker_entry(f"w{n}", cores=8) for n in range(10)]
    harness.register_workers(*entries)
    harness.submit_job(job(100, step(80, **LONG)))
    harness.answer_starts()
    harness.submit_job(job(101, step(10, estimated_ms=20_000)))
    assert harness.scheduler.check_admission(job(1), harness.now) is None
    draining = [replace(entry, is_draining=True) for entry in entries[1:]]
    harness.scheduler.set_registered_workers([entries[0], *draining], harness.now)
    harness.tick(SHARES_INTERVAL_S * 5)
    refusal = harness.scheduler.check_admission(job(2), harness.now)
    assert refusal is not None
    assert refusal.reason is RefusalReason.BACKLOG


def test_an_urgent_job_is_accepted_where_long_work_can_be_stopped_for_it() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    harness.submit_job(job(100, step(30, saves_progress=True, **LONG)))
    harness.answer_starts()
    urgent = job(1, step(4, estimated_ms=700), in_queue=HIGH_PRIORITY)
    assert harness.scheduler.check_admission(urgent, harness.now) is None


def test_jobs_accepted_at_the_same_moment_count_as_work_ahead() -> None:
    harness = full_pool(tasks_waiting=0)
    answers = [
        harness.scheduler.check_admission(job(n), harness.now) for n in range(1, 30)
    ]
    assert answers[0] is None
    assert answers[-1] is not None


def test_no_job_is_refused_while_capacity_for_it_has_just_become_free() -> None:
    harness = full_pool(tasks_waiting=0)
    asked = job(50, step(4))
    assert harness.scheduler.check_admission(asked, harness.now) is not None
    harness.answer_poll(
        worker_report(
            ended=tuple(
                ended_run(n + 1, TaskKey(job(100 + n).job_id, 0, 0, 0), 1, RunEnd.DONE)
                for n in range(4)
            )
        )
    )
    # The sums of the refusal a moment ago are still kept.
    harness.tick(SUMS_MAX_AGE_S / 5)
    assert harness.scheduler.check_admission(asked, harness.now) is None


def test_forecasts_follow_the_waits_that_were_observed() -> None:
    correction = WaitCorrection()
    pool = SERVICE, False
    assert correction.corrected_s(pool, 2.0) == pytest.approx(2.0)
    for _ in range(100):
        correction.add_sample(pool, 2.0, 5.0)
    assert correction.corrected_s(pool, 2.0) == pytest.approx(5.0, rel=0.01)
    for _ in range(200):
        correction.add_sample(pool, 2.0, 500.0)
    assert correction.corrected_s(pool, 2.0) <= 3.0 * MAX_CORRECTION
    assert correction.corrected_s((SERVICE, True), 2.0) == pytest.approx(2.0)


def play_a_burst(seconds: float) -> dict[str, Outcome]:
    """Return what callers got, by queue, in a burst of urgent jobs on a full pool.

    One workspace sends six times its usual beside it.
    """
    weights = {"large": 40.0, "small-a": 20.0, "small-b": 20.0}
    arrivals: list[Arrival] = []
    for number, name in enumerate(weights):
        first, factor = 10_000 * number, 6.0 if name == "large" else 1.0
        arrivals += poisson_arrivals(
            name, 0.4 * factor, (0.0, seconds), LONG_STEP, first + 1, False
        )
        burst = 4.0, seconds - 4.0
        arrivals += poisson_arrivals(name, 5.0, burst, URGENT_STEP, first + 5_001, True)
    workers = [
        worker_entry(f"w{n}", cores=64, capacity=Resources(64_000, 256_000, 0))
        for n in range(4)
    ]
    replay = ContentionReplay(workers, weights)
    replay.run(arrivals, seconds + 15.0)
    found: dict[str, Outcome] = {}
    for queue in (HIGH_PRIORITY, LOW_PRIORITY):
        rows = [replay.outcome(name, queue) for name in weights]
        found[queue] = Outcome(
            sum(row.on_time for row in rows),
            sum(row.late for row in rows),
            sum(row.too_late for row in rows),
            sum(row.refused for row in rows),
        )
    return found


def test_most_jobs_that_are_accepted_in_a_burst_are_on_time() -> None:
    found = play_a_burst(15.0)
    assert found[HIGH_PRIORITY].accepted_on_time >= 0.9
    assert found[LOW_PRIORITY].accepted_on_time >= 0.9
    assert found[LOW_PRIORITY].refused > 0


def test_a_pool_whose_workers_are_all_draining_accepts_jobs() -> None:
    # Guards against an error in admission while no worker of a pool may start tasks.
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"))
    draining = worker_entry("w1", is_draining=True, drain_left_ms=2_000)
    harness.scheduler.set_registered_workers([draining], harness.now)
    refusals = [
        harness.scheduler.check_admission(job(number), harness.now)
        for number in range(1, 4)
    ]
    assert refusals == [None, None, None]


def test_waits_on_an_idle_pool_refuse_no_urgent_job_later() -> None:
    # Guards against a correction that learns the time of the store and of tickets.
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    correction = WaitCorrection()
    for _ in range(40):
        correction.add_sample((SERVICE, True), 0.0, 0.3)
    assert correction.corrected_s((SERVICE, True), 0.9) == pytest.approx(0.9)


def test_a_job_behind_perpetual_tasks_that_fill_its_pool_is_refused_at_once() -> None:
    # Guards against jobs that are accepted and never start.
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    harness.submit_job(job(1, step(8, perpetual=True)))
    harness.answer_starts()
    refusal = harness.scheduler.check_admission(job(2), harness.now)
    assert refusal is not None
    assert refusal.reason is RefusalReason.BACKLOG
    assert refusal.retry_after_s <= MAX_RETRY_S


SINGLE_STEP = StepSpec(
    16, Resources(11_000, 1_000, 1), estimated_ms=2_600, saves_progress=True
)
GANG_STEP = StepSpec(3, Resources(62_000, 1_000, 8), estimated_ms=4_800, gang=True)


def play_a_burst_beside_gangs(uses_admission: bool) -> Outcome:
    """Return what callers of tasks on one accelerator got, in a burst beside gangs."""
    arrivals = poisson_arrivals("gangs", 0.35, (0.0, 20.0), GANG_STEP, 1, False)
    for number, (rate, span) in enumerate(
        ((1.2, (0.0, 6.0)), (3.0, (6.0, 10.0)), (1.2, (10.0, 20.0)))
    ):
        first = 5_001 + 2_000 * number
        arrivals += poisson_arrivals("single", rate, span, SINGLE_STEP, first, False)
    workers = [
        worker_entry(f"w{n}", capacity=Resources(128_000, 256_000, 8))
        for n in range(10)
    ]
    weights = {"gangs": 20.0, "single": 20.0}
    replay = ContentionReplay(workers, weights, uses_admission)
    replay.run(arrivals, 45.0)
    return replay.outcome("single")


def test_no_job_is_refused_in_a_burst_beside_gangs_that_the_pool_can_serve() -> None:
    # Guards against a forecast that refuses jobs which would be on time.
    accepted_all = play_a_burst_beside_gangs(uses_admission=False)
    found = play_a_burst_beside_gangs(uses_admission=True)
    assert found.refused == 0
    assert found.on_time >= accepted_all.on_time
