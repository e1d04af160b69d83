"""Tests of placement, preemption and advice under the loads that they are made for."""

import random

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import OrderResult, RunEnd
from tamarackmount.scheduling.jobs.ranking import WorkspaceRateLimiter
from tamarackmount.scheduling.jobs.runs import make_job
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket
from tamarackmount.scheduling.placement.preemption import PREEMPTED_RESTART_DELAY_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.load_simulation import LoadSimulation

LONG = {"estimated_ms": 9_000, "saves_progress": True}


LATE_AFTER_S = 60.0


def test_a_burst_of_urgent_jobs_preempts_long_ones_that_fill_the_worker() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    arrivals = [(0.0, job(1, step(8, **LONG)))]
    rng = random.Random(3)
    urgent = [
        job(number, step(2, estimated_ms=700), in_queue=HIGH_PRIORITY)
        for number in range(10, 16)
    ]
    times = {row.job_id: 2.0 + rng.random() for row in urgent}
    arrivals += [(times[row.job_id], row) for row in urgent]
    simulation = LoadSimulation(harness)
    simulation.run_for(arrivals, 8.0)
    waits = [simulation.first_start_s[row.job_id] - times[row.job_id] for row in urgent]
    assert max(waits) <= 0.8


def test_urgent_jobs_preempt_long_ones_that_fill_their_workspaces_ceiling() -> None:
    harness = SchedulerHarness(ceiling=Resources(8_000, 0, 0))
    harness.register_workers(worker_entry("w1", cores=32))
    arrivals = [(0.0, job(1, step(20, **LONG)))]
    urgent = job(10, step(4, estimated_ms=700), in_queue=HIGH_PRIORITY)
    arrivals.append((3.0, urgent))
    simulation = LoadSimulation(harness)
    simulation.run_for(arrivals, 5.0)
    assert simulation.first_start_s[urgent.job_id] <= 3.0 + 0.5


def test_non_urgent_jobs_leave_part_of_their_workspaces_ceiling_free() -> None:
    harness = SchedulerHarness(ceiling=Resources(10_000, 0, 0))
    harness.register_workers(worker_entry("w1", cores=32))
    harness.submit_job(job(1, step(20, **LONG)))
    assert len(harness.starts) == 8
    harness.submit_job(job(2, step(2, estimated_ms=700), in_queue=HIGH_PRIORITY))
    assert len(harness.starts) == 10


def test_a_ceiling_is_never_exceeded() -> None:
    harness = SchedulerHarness(ceiling=Resources(3_000, 0, 0))
    harness.register_workers(worker_entry("w1", cores=32))
    harness.submit_job(job(1, step(9), in_queue=HIGH_PRIORITY))
    assert len(harness.starts) == 3


def test_the_job_with_the_earliest_latest_start_goes_first() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1, step(1, estimated_ms=20_000)))
    harness.answer_starts()
    harness.submit_job(job(2, step(1, estimated_ms=9_000)))
    harness.submit_job(job(3, step(1, estimated_ms=1_000)))
    row = ended_run(1, TaskKey(job(1).job_id, 0, 0, 0), 1, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(row,)))
    assert [start.order.task.job_id for start in harness.starts] == [job(3).job_id]


def test_a_gang_starts_whole_or_not_at_all() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=4), worker_entry("w2", cores=4))
    harness.submit_job(job(1, step(3, cores=4, gang=True)))
    assert not harness.starts
    harness.register_workers(
        worker_entry("w1", cores=4),
        worker_entry("w2", cores=4),
        worker_entry("w3", cores=4),
    )
    assert len(harness.starts) == 3
    assert len({start.order.run_number for start in harness.starts}) == 1


def test_a_gang_that_lost_a_member_is_stopped_without_free_capacity() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=2), worker_entry("w2", cores=2))
    harness.submit_job(job(1, step(2, cores=2, gang=True)))
    first, second = harness.starts
    harness.starts = []
    for start, result in ((first, OrderResult.DONE), (second, OrderResult.UNHEALTHY)):
        order = start.order
        harness.scheduler.start_answered(
            order.incarnation, order.task, order.run_number, result, harness.now
        )
    harness.tick(0.1)
    assert [stop.task for stop in harness.stops] == [first.order.task]


def test_a_step_waits_for_those_before_it() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1, step(2), step(1, after=(0,))))
    first, second = harness.answer_starts()
    harness.answer_poll(
        worker_report(
            ended=(ended_run(1, first.order.task, 1, RunEnd.DONE),),
            running=((second.order.task, second.order.run_number),),
        )
    )
    assert not harness.starts
    row = ended_run(2, second.order.task, second.order.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(row,)))
    assert [start.order.task.step for start in harness.starts] == [1]


def test_a_queue_with_an_advice_policy_starts_only_on_permitted_workers() -> None:
    policy = AdvicePolicy(20.0, 0.2, 2_000.0)
    harness = SchedulerHarness(ceiling=Resources(), advice=policy)
    harness.register_workers(worker_entry("w1"), worker_entry("w2"))
    harness.submit_job(job(1))
    assert not harness.starts
    (request,) = harness.advice_requests
    answer = AdviceAnswer((WorkerTicket(incarnation("w2").worker_id, "t1"),), 2_000.0)
    harness.scheduler.advice_answered(request.step, answer, harness.now)
    harness.tick()
    (start,) = harness.starts
    assert (start.order.incarnation, start.order.ticket) == (incarnation("w2"), "t1")


def test_a_ticket_is_renewed_before_it_expires() -> None:
    policy = AdvicePolicy(600.0, 8.0, 2_000.0)
    harness = SchedulerHarness(ceiling=Resources(), advice=policy)
    harness.register_workers(worker_entry("w1", cores=1))
    harness.submit_job(job(1))
    (request,) = harness.advice_requests
    harness.scheduler.advice_answered(request.step, None, harness.now)
    harness.tick(0.3)
    answer = AdviceAnswer((WorkerTicket(incarnation("w1").worker_id, "t1"),), 2_000.0)
    harness.scheduler.advice_answered(request.step, answer, harness.now)
    harness.submit_job(job(2))
    second = harness.advice_requests[-1]
    harness.scheduler.advice_answered(second.step, answer, harness.now)
    harness.advice_requests.clear()
    harness.tick(1.5)
    assert [row.step for row in harness.advice_requests] == [second.step]


def test_advice_for_late_steps_is_requested_only_once_they_could_start() -> None:
    policy = AdvicePolicy(20.0, 0.2, 2_000.0)
    harness = SchedulerHarness(ceiling=Resources(1_500, 0, 0), advice=policy)
    harness.register_workers(worker_entry("w1", cores=64))
    answer = AdviceAnswer((WorkerTicket(incarnation("w1").worker_id, "t1"),), 2_000.0)
    harness.submit_job(job(1))
    harness.submit_job(job(2))
    while harness.advice_requests:
        request = harness.advice_requests.pop()
        harness.scheduler.advice_answered(request.step, answer, harness.now)
        harness.tick()
    (start,) = harness.answer_starts()
    harness.tick(LATE_AFTER_S)
    late = [
        row for row in harness.advice_requests if row.step != start.order.task.step_key
    ]
    for request in late:
        harness.scheduler.advice_answered(request.step, answer, harness.now)
    harness.advice_requests.clear()
    harness.tick(3.0)
    assert not harness.advice_requests
    row = ended_run(1, start.order.task, start.order.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(row,)))
    harness.tick()
    assert [row.step.job_id for row in harness.advice_requests] == [job(2).job_id]


def test_jobs_beyond_the_burst_are_over_their_workspaces_share() -> None:
    harness = SchedulerHarness()
    limiter = WorkspaceRateLimiter()
    rows = [make_job(job(number), None, harness.now) for number in range(1, 40)]
    over = [limiter.count_and_check(row, 8.0, harness.now) for row in rows]
    assert over == [False] * 17 + [True] * 22


def test_nothing_is_preempted_for_tasks_that_fit_on_no_eligible_worker() -> None:
    harness = SchedulerHarness(ceiling=Resources(8_000, 0, 0))
    labels = frozenset({"x", "r1"})
    harness.register_workers(
        worker_entry("w1", cores=1, labels=labels), worker_entry("w2", cores=32)
    )
    harness.submit_job(
        job(1, step(1, label="x", estimated_ms=60_000), in_queue=HIGH_PRIORITY)
    )
    harness.answer_starts()
    harness.submit_job(job(2, step(20, **LONG)))
    harness.answer_starts()
    harness.tick(1.5)
    harness.submit_job(
        job(3, step(4, label="x", estimated_ms=700), in_queue=HIGH_PRIORITY)
    )
    harness.tick(0.1)
    assert not harness.starts
    assert not harness.stops


def test_a_preempted_task_does_not_restart_at_once() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    # Stops are quick here, so that no headroom is kept for urgent work.
    harness.scheduler.set_stop_timeout(200)
    harness.register_workers(worker_entry("w1", cores=8))
    harness.submit_job(job(1, step(8, **LONG)))
    (first, *_) = harness.answer_starts()
    harness.tick(1.5)
    harness.submit_job(job(2, step(1, estimated_ms=700), in_queue=HIGH_PRIORITY))
    (stop,) = harness.stops
    runs = {row: number + 1 for number, row in enumerate(range(8))}
    running = tuple(
        (first.order.task._replace(index=index), run)
        for index, run in runs.items()
        if index != stop.task.index
    )
    harness.answer_poll(
        worker_report(
            running=running,
            ended=(ended_run(1, stop.task, stop.run_number, RunEnd.STOPPED),),
        )
    )
    (urgent,) = harness.answer_starts()
    assert urgent.order.task.job_id == job(2).job_id
    row = ended_run(2, urgent.order.task, urgent.order.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(running=running, ended=(row,)))
    assert not harness.starts
    harness.tick(PREEMPTED_RESTART_DELAY_S)
    assert [start.order.task for start in harness.starts] == [stop.task]
