"""Tests of the capacity that long work leaves free for urgent work."""

import pytest

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.estimates.peak_use import URGENT_PEAK_AGE_S, PeakUse
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SERVICE,
    START,
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.pool_simulation import PoolSimulation

URGENT_S = 0.6
URGENT_LIMIT_S = 1.5 * URGENT_S + 0.25
"""Time in which an urgent job has to be done: its queue's stretch times its duration
and the queue's target. Its slack is half of what a stop takes."""

REPORT_S = 0.1
"""Time by which the simulation notices an end late, in seconds."""

LONG_S = 3.0
LONG_LIMIT_S = 4.0 * LONG_S + 3.0
WORKERS = [worker_entry(f"w{number}", cores=16) for number in range(8)]
TASK = Resources(4_000, 1_000, 0)


def long_jobs(until_s: float) -> list[tuple[float, AcceptedJob]]:
    """Return waves of jobs, each larger than the pool, that fill nine tenths of it."""
    spec = step(20, cores=2, estimated_ms=int(LONG_S * 1_000), saves_progress=True)
    return [
        (float(wave_s), job(1_000 + 10 * wave_s + number, spec))
        for wave_s in range(0, int(until_s), 4)
        for number in range(4)
    ]


def bursts(at_s: list[float]) -> list[tuple[float, AcceptedJob]]:
    """Return bursts of two urgent jobs of three tasks on 4 cores."""
    return [
        (
            begins_s + 0.1 * number,
            job(
                100 * (burst + 1) + number,
                step(3, cores=4, estimated_ms=int(URGENT_S * 1_000)),
                in_queue=HIGH_PRIORITY,
            ),
        )
        for burst, begins_s in enumerate(at_s)
        for number in range(2)
    ]


def test_bursts_of_urgent_jobs_are_on_time_on_a_pool_that_long_work_would_fill() -> (
    None
):
    """Guards against relying on stops, which take longer than an urgent job may wait.

    Nothing is known before the first burst.
    """
    harness = SchedulerHarness(ceiling=Resources())
    simulation = PoolSimulation(harness, WORKERS)
    urgent = bursts([4.5, 12.5, 20.5, 28.5])
    long = long_jobs(30.0)
    simulation.run_until([*urgent, *long], 45.0)
    late = [
        arrives
        for arrives, accepted in urgent
        if simulation.done_s[accepted.job_id] - arrives > URGENT_LIMIT_S + REPORT_S
    ]
    assert [arrives for arrives in late if arrives >= 12.0] == []
    for arrives, accepted in long:
        assert simulation.done_s[accepted.job_id] - arrives <= LONG_LIMIT_S


def test_nothing_is_kept_free_without_urgent_work() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=16))
    harness.submit_job(job(1, step(16, estimated_ms=9_000)))
    assert len(harness.starts) == 16


def harness_after_a_burst(tasks: int) -> SchedulerHarness:
    """Return a scheduler whose pool of 20 cores has just run urgent tasks of a core."""
    harness = SchedulerHarness(ceiling=Resources())
    simulation = PoolSimulation(harness, [worker_entry("w1", cores=20)])
    urgent = job(1, step(tasks, estimated_ms=600), in_queue=HIGH_PRIORITY)
    simulation.run_until([(0.0, urgent)], 1.0)
    return harness


@pytest.mark.parametrize(("peak_tasks", "kept"), [(2, 2), (12, 4)])
def test_the_peak_is_kept_free_but_at_most_a_fifth(peak_tasks: int, kept: int) -> None:
    harness = harness_after_a_burst(peak_tasks)
    harness.submit_job(job(2, step(30, estimated_ms=9_000)))
    assert len(harness.starts) == 20 - kept


def test_urgent_work_uses_the_headroom() -> None:
    harness = harness_after_a_burst(4)
    harness.submit_job(job(2, step(30, estimated_ms=9_000)))
    harness.answer_starts()
    harness.submit_job(job(3, step(4, estimated_ms=600), in_queue=HIGH_PRIORITY))
    assert len(harness.starts) == 4
    harness.tick()
    assert len(harness.starts) == 4


def test_a_gang_leaves_headroom_too() -> None:
    harness = harness_after_a_burst(4)
    harness.submit_job(job(2, step(3, cores=6, estimated_ms=9_000, gang=True)))
    assert not harness.starts
    harness.submit_job(job(3, step(2, cores=6, estimated_ms=9_000, gang=True)))
    assert len(harness.starts) == 2


def test_work_without_slack_takes_the_headroom() -> None:
    harness = harness_after_a_burst(4)
    harness.submit_job(job(2, step(30, estimated_ms=1_000)))
    waiting = 30 - len(harness.answer_starts())
    assert waiting > 10
    harness.tick(3.0)
    assert len(harness.starts) == 4


def test_headroom_ends_once_the_peak_is_old() -> None:
    harness = harness_after_a_burst(4)
    harness.submit_job(job(2, step(30, estimated_ms=60_000)))
    harness.answer_starts()
    harness.tick(URGENT_PEAK_AGE_S + 1.0)
    assert len(harness.starts) == 4


def test_waiting_for_headroom_preempts_nothing() -> None:
    harness = harness_after_a_burst(4)
    harness.submit_job(job(2, step(16, estimated_ms=9_000, saves_progress=True)))
    harness.answer_starts()
    harness.tick(2.0)
    harness.submit_job(job(3, step(2, estimated_ms=3_000)))
    harness.tick(0.5)
    assert not harness.stops


def test_a_preempted_task_leaves_the_headroom_while_it_has_slack() -> None:
    """Guards against work that is stopped for each burst and restarts between them."""
    harness = SchedulerHarness(ceiling=Resources())
    long = job(1, step(8, estimated_ms=9_000, saves_progress=True))
    urgent = job(2, step(1, estimated_ms=600), in_queue=HIGH_PRIORITY)
    simulation = PoolSimulation(harness, [worker_entry("w1", cores=8)])
    simulation.run_until([(0.0, long), (2.0, urgent)], 8.0)
    assert urgent.job_id in simulation.done_s
    assert len(simulation.worker_by_start) == 8 + 1
    simulation.run_until([], 30.0)
    assert len(simulation.worker_by_start) == 8 + 1 + 1
    assert long.job_id in simulation.done_s


def test_present_use_counts_towards_the_peak() -> None:
    use = PeakUse(URGENT_PEAK_AGE_S)
    use.add(SERVICE, TASK, START)
    use.add(SERVICE, TASK, START)
    assert use.unused_peak(SERVICE, START) == (Resources(), TASK)
    use.remove(SERVICE, TASK)
    assert use.unused_peak(SERVICE, Instant(START + 2.0)) == (TASK, TASK)
    assert use.unused_peak(SERVICE, Instant(START + URGENT_PEAK_AGE_S + 1.0)) is None


def test_no_headroom_is_kept_where_stops_are_quicker_than_urgent_jobs_need() -> None:
    # Guards against idle capacity in deployments that preempt in time.
    for stop_timeout_ms, is_kept in ((200, False), (900, True)):
        harness = SchedulerHarness(ceiling=Resources())
        harness.scheduler.set_stop_timeout(stop_timeout_ms)
        harness.register_workers(worker_entry("w1", cores=10))
        harness.submit_job(job(1, step(2), in_queue=HIGH_PRIORITY))
        rows = [
            ended_run(number, start.order.task, start.order.run_number, RunEnd.DONE)
            for number, start in enumerate(harness.answer_starts(), 1)
        ]
        harness.answer_poll(worker_report(ended=tuple(rows)))
        harness.submit_job(job(2, step(10, estimated_ms=9_000, saves_progress=True)))
        assert len(harness.starts) == (8 if is_kept else 10)
