"""Tests of tasks that crash the workers that start them, and of tasks beside them."""

import random
from collections.abc import Callable

import pytest

from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    StepSpec,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    RunEnd,
)
from tamarackmount.scheduling.evidence.crash_evidence import (
    MAX_ISOLATION_WAIT_S,
    MAX_UNEXPLAINED_CRASHES,
    explain_crashes,
    find_culprits,
    record_crash,
)
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import (
    CrashRecord,
    JobProgress,
    RecordKind,
    decode_record,
    record_key,
)
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
from tests.utils.crashing_pool import CrashingPool, tasks_of

MAX_STARTS = 5
"""The users allow two more starts after three workers have crashed under a task."""

LONG_S = 60.0

STEPS = {
    "task": step(estimated_ms=5_000),
    "copies": step(estimated_ms=5_000, speculative=True),
    "gang": step(3, estimated_ms=5_000, gang=True),
    "perpetual": step(2, perpetual=True),
}


def test_a_task_crashed_worker_after_worker() -> None:
    pool = CrashingPool()
    deadly = job(1)
    pool.deadly.update(tasks_of(deadly))
    pool.submit(deadly)
    pool.run(LONG_S)
    assert pool.started[tasks_of(deadly)[0]] <= MAX_STARTS
    assert pool.phase(deadly) is JobPhase.FAILED


@pytest.mark.parametrize("keeps_id", [False, True], ids=["new id", "same id"])
@pytest.mark.parametrize("downtime_s", [0.3, 3.2, 9.0])
@pytest.mark.parametrize("crash_after_s", [-1.0, 0.0, 2.0])
@pytest.mark.parametrize("spec", STEPS.values(), ids=STEPS)
def test_a_kind_of_task_crashed_worker_after_worker(
    spec: StepSpec, crash_after_s: float, downtime_s: float, keeps_id: bool
) -> None:
    pool = CrashingPool(
        crash_after_s=crash_after_s, downtime_s=downtime_s, keeps_id=keeps_id
    )
    deadly = job(1, spec)
    beside = [job(number, step(2), in_queue=HIGH_PRIORITY) for number in range(2, 6)]
    pool.deadly.add(tasks_of(deadly)[0])
    pool.submit(deadly, *beside)
    pool.run(LONG_S)
    assert pool.phase(deadly) is JobPhase.FAILED
    assert pool.started[tasks_of(deadly)[0]] <= MAX_STARTS
    assert pool.crash_count >= 2
    assert {pool.phase(other) for other in beside} == {JobPhase.COMPLETED}


@pytest.mark.parametrize("vacant_s", [0.5, 2.0, 4.0])
@pytest.mark.parametrize("killed_after_s", [0.04, 1.0, 3.0, 3.4])
def test_a_count_of_crashes_was_lost_with_the_holder(
    killed_after_s: float, vacant_s: float
) -> None:
    pool = CrashingPool()
    deadly = job(1)
    task = tasks_of(deadly)[0]
    pool.deadly.add(task)
    pool.submit(deadly)
    for _ in range(4):
        crashes = pool.crash_count
        pool.run(LONG_S, until=lambda: pool.crash_count > crashes)  # noqa: B023
        if pool.phase(deadly) is JobPhase.FAILED:
            break
        pool.run(killed_after_s)
        pool.kill_holder(vacant_s)
    pool.run(LONG_S)
    assert pool.phase(deadly) is JobPhase.FAILED
    assert pool.started[task] <= MAX_STARTS


def test_tasks_were_given_up_for_the_crashes_of_another_job() -> None:
    pool = CrashingPool(worker_count=3, downtime_s=1.0)
    deadly = [job(number) for number in (1, 2)]
    long = step(3, estimated_ms=5_000)
    beside = [job(3, long), job(4, step(2, perpetual=True)), job(5, step(2, gang=True))]
    pool.deadly.update(tasks_of(one)[0] for one in deadly)
    pool.submit(*beside)
    pool.run(0.5)
    pool.submit(*deadly)
    pool.run(LONG_S)
    assert {pool.phase(one) for one in deadly} == {JobPhase.FAILED}
    assert JobPhase.FAILED not in {pool.phase(other) for other in beside}
    assert pool.phase(beside[0]) is JobPhase.COMPLETED


@pytest.mark.parametrize("deadly_number", [1, 2])
def test_a_task_that_always_started_beside_a_deadly_one_was_given_up(
    deadly_number: int,
) -> None:
    """There is one worker, so that both start there after each crash."""
    pool = CrashingPool(worker_count=1)
    jobs = [job(1), job(2)]
    deadly = jobs.pop(deadly_number - 1)
    pool.deadly.update(tasks_of(deadly))
    pool.submit_together(deadly, *jobs)
    pool.run(LONG_S)
    assert pool.phase(deadly) is JobPhase.FAILED
    assert pool.started[tasks_of(deadly)[0]] <= MAX_STARTS
    assert pool.phase(jobs[0]) is JobPhase.COMPLETED


def test_tasks_that_started_together_were_both_given_up() -> None:
    harness = SchedulerHarness()
    jobs = [job(1), job(2)]
    for accepted in jobs:
        harness.submit_job(accepted)
    state = harness.scheduler._state
    steps = [state.jobs_by_id[one.job_id].steps_by_key for one in jobs]
    both = [step for by_key in steps for step in by_key.values()]
    for number in (1, 2, 3):
        crash = CrashRecord(incarnation(f"w{number}"), f"w{number}:1", 20, True)
        # The third worker ran the second task only.
        for one in both if number < 3 else both[1:]:
            record_crash(state, one, 0, crash, harness.now)
        found = list(find_culprits(state, [crash.worker]))
        assert [task.job_id for _, task in found] == (
            [jobs[1].job_id] if number == 3 else []
        )
    explain_crashes(state, both[1], tasks_of(jobs[1])[0])
    assert tasks_of(jobs[0])[0] not in state.suspected_tasks


def test_a_task_was_given_up_as_its_workers_crashed_for_other_reasons() -> None:
    pool = CrashingPool(downtime_s=1.0)
    unlucky = job(1, step(estimated_ms=5_000))
    pool.submit(unlucky)
    for worked_s in (1.0, 3.0, 0.7):
        pool.run(worked_s)
        where = pool.worker_of(tasks_of(unlucky)[0])
        assert where is not None
        pool.crash(where)
        pool.run(1.5)
    pool.run(LONG_S)
    assert pool.phase(unlucky) is JobPhase.COMPLETED


def test_a_gang_was_given_up_for_one_crash_under_all_its_members() -> None:
    pool = CrashingPool(worker_count=1, downtime_s=0.5)
    gang = job(1, step(6, estimated_ms=2_000, gang=True))
    pool.submit(gang)
    pool.run(0.3)
    pool.crash(incarnation("w0"))
    pool.run(10.0)
    assert pool.phase(gang) is JobPhase.COMPLETED


def test_a_task_was_given_up_as_its_orders_came_to_crashed_workers() -> None:
    """Nobody knows whether the task has started on any of them."""
    harness = SchedulerHarness()
    harness.register_workers(*(worker_entry(f"w{number}") for number in range(6)))
    unlucky = job(1)
    harness.submit_job(unlucky)
    for _ in range(3):
        (start,) = harness.answer_starts(OrderResult.UNKNOWN)
        harness.answer_poll(PollFailure.OTHER_INCARNATION, start.order.incarnation)
        harness.tick(2.0)
    (start,) = harness.answer_starts()
    ended = ended_run(1, start.order.task, start.order.run_number, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(ended,)), start.order.incarnation)
    harness.store_pending()
    assert harness.scheduler.phase(unlucky.job_id) is JobPhase.COMPLETED


def test_a_task_started_once_more_than_the_next_holder_knew() -> None:
    """The store is slow, so that the first order leaves before its run is stored."""
    pool = CrashingPool(worker_count=1, downtime_s=0.5)
    pool.store_latency_s = 0.4
    pool.submit(job(1))
    pool.run(3.0)
    deadly = job(2)
    task = tasks_of(deadly)[0]
    pool.deadly.add(task)
    pool.submit(deadly)
    pool.run(1.0, until=lambda: pool.started[task] == 1)
    assert pool.started_unstored[task] == 1
    pool.kill_holder()
    pool.run(LONG_S)
    assert pool.phase(deadly) is JobPhase.FAILED
    assert pool.started[task] <= MAX_STARTS


def test_a_task_was_given_up_as_the_only_worker_for_it_crashed_by_itself() -> None:
    pool = CrashingPool(worker_count=1, downtime_s=0.5)
    unlucky = job(1, step(estimated_ms=2_000))
    pool.submit(unlucky)
    for _ in range(MAX_UNEXPLAINED_CRASHES - 1):
        pool.run(0.1)
        pool.crash(next(iter(pool.workers)))
        pool.run(1.0)
    pool.run(LONG_S)
    assert pool.phase(unlucky) is JobPhase.COMPLETED


def test_a_step_waited_while_a_suspect_of_it_waited_for_a_worker() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(job(1))
    harness.answer_starts()
    accepted = job(2, step(3))
    state = harness.scheduler._state
    harness.scheduler.add_job(JobRecords(accepted), harness.now, harness.unix_ms)
    (waiting,) = state.jobs_by_id[accepted.job_id].steps_by_key.values()
    crash = CrashRecord(incarnation("w9"), "w9:1", 20, True)
    record_crash(state, waiting, 0, crash, harness.now)
    harness.tick()
    assert sorted(start.order.task.index for start in harness.starts) == [1, 2]
    harness.tick(MAX_ISOLATION_WAIT_S)
    assert sorted(start.order.task.index for start in harness.starts) == [0, 1, 2]


def test_a_suspect_started_again_where_its_worker_had_crashed() -> None:
    pool = CrashingPool(worker_count=2, downtime_s=0.1)
    unlucky = job(1, step(estimated_ms=2_000))
    pool.submit(unlucky)
    pool.run(0.1)
    first = pool.worker_of(tasks_of(unlucky)[0])
    assert first is not None
    address = pool.workers[first].entry.address
    pool.crash(first)
    pool.run(1.0)
    second = pool.worker_of(tasks_of(unlucky)[0])
    assert second is not None
    assert pool.workers[second].entry.address != address


def test_a_perpetual_task_was_given_up_for_crashes_long_ago() -> None:
    pool = CrashingPool(downtime_s=1.0)
    lasting = job(1, step(perpetual=True))
    pool.submit(lasting)
    for worked_s in (2.0, 15.0, 65.0, 3.0, 20.0):
        pool.run(worked_s)
        where = pool.worker_of(tasks_of(lasting)[0])
        assert where is not None
        pool.crash(where)
    pool.run(10.0)
    assert pool.phase(lasting) is JobPhase.RUNNING


def _let_drain(pool: CrashingPool, where: WorkerIncarnation) -> None:
    pool.drain(where, 0.5)
    pool.run(0.06)
    pool.leave(where)


def _cut_for_a_while(pool: CrashingPool, where: WorkerIncarnation) -> None:
    pool.cut(where)
    pool.run(12.0)
    pool.cut(where, is_cut=False)
    # Its lease ended the run that it had, and the task has started elsewhere.
    pool.run(2.0)
    pool.crash(where)
    pool.run(4.0)


def _remove(pool: CrashingPool, where: WorkerIncarnation) -> None:
    pool.remove(where)
    pool.run(8.0)


@pytest.mark.parametrize(
    "interrupt",
    [_let_drain, _cut_for_a_while, _remove],
    ids=["drain", "cut and lease", "removal"],
)
def test_an_end_of_a_worker_was_taken_for_a_crash(
    interrupt: Callable[[CrashingPool, WorkerIncarnation], None],
) -> None:
    pool = CrashingPool(worker_count=12)
    interrupted = job(1, step(estimated_ms=120_000))
    task = tasks_of(interrupted)[0]
    pool.submit(interrupted)
    for _ in range(6):
        pool.run(10.0, until=lambda: pool.worker_of(task) is not None)
        where = pool.worker_of(task)
        assert where is not None
        interrupt(pool, where)
        assert not pool.suspected_tasks
    pool.run(4 * LONG_S, until=lambda: task in pool.done)
    pool.run(1.0)
    assert pool.phase(interrupted) is JobPhase.COMPLETED


def test_a_job_that_was_given_up_was_told_late_and_without_its_cause() -> None:
    pool = CrashingPool(downtime_s=1.0)
    deadly = job(1, step(2, estimated_ms=30_000))
    pool.deadly.add(tasks_of(deadly)[0])
    pool.submit(deadly)
    pool.run(LONG_S, until=lambda: pool.crash_count == 3)
    pool.run(1.5)
    assert pool.phase(deadly) is JobPhase.FAILED
    record = pool.harness.records[record_key(RecordKind.PROGRESS, deadly.job_id)]
    progress = decode_record(record, JobProgress).unwrap()
    assert progress.cause == FailureCause.WORKER_CRASHES.value
    pool.run(1.0)
    assert not any(worker.runs for worker in pool.workers.values())


def test_a_start_of_a_suspect_left_before_its_crash_was_stored() -> None:
    """The store is slow, and start orders of other tasks leave at once."""
    pool = CrashingPool(downtime_s=0.5)
    deadly = job(1)
    pool.deadly.add(tasks_of(deadly)[0])
    pool.submit(deadly)
    other = job(2, step(4, estimated_ms=20_000))
    pool.submit(other)
    pool.store_latency_s = 0.4
    pool.run(3.0)
    late = job(3)
    pool.submit(late)
    pool.run(LONG_S)
    assert pool.started_unstored[tasks_of(late)[0]] == 1
    assert pool.started[tasks_of(deadly)[0]] > 1
    assert pool.started_unstored[tasks_of(deadly)[0]] == 0


def _disturb(pool: CrashingPool, rng: random.Random) -> None:
    """Draw a change of the holder, a crash or a cut, or nothing."""
    pool.run(10.0, until=lambda: bool(pool.workers))
    event = rng.random()
    where = rng.choice(list(pool.workers))
    if event < 0.2:
        pool.kill_holder(rng.uniform(0.5, 3.0))
    elif event < 0.4:
        pool.crash(where)
    elif event < 0.5:
        pool.cut(where)
        pool.run(rng.uniform(0.5, 3.0))
        if where in pool.workers:
            pool.cut(where, is_cut=False)


def test_an_order_that_never_left_was_evidence_of_a_crash() -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.is_store_healthy = False
    harness.submit_job(job(1))
    harness.answer_poll(PollFailure.OTHER_INCARNATION)
    assert not harness.scheduler._state.suspected_tasks


@pytest.mark.parametrize("seed", range(12))
def test_chance_brought_crashes_cuts_and_holder_changes_together(seed: int) -> None:
    """No deadly task exceeds its starts, and no other is given up without crashes."""
    rng = random.Random(seed)
    pool = CrashingPool(
        worker_count=rng.randint(4, 10),
        crash_after_s=rng.choice((0.0, 0.1, 1.0)),
        downtime_s=rng.choice((0.3, 3.2, 7.0)),
        keeps_id=rng.random() < 0.5,
    )
    jobs = [
        job(number, rng.choice(list(STEPS.values())), in_queue=HIGH_PRIORITY)
        for number in range(1, 13)
    ]
    pool.deadly.update(tasks_of(one)[0] for one in jobs[:3])
    for accepted in jobs:
        pool.submit(accepted)
        pool.run(rng.uniform(0.1, 1.5))
        _disturb(pool, rng)
    pool.run(LONG_S)
    for task in pool.deadly:
        assert pool.started[task] <= MAX_STARTS, task
    for accepted in jobs:
        if pool.phase(accepted) is JobPhase.FAILED:
            assert max(pool.crashed_under[task] for task in tasks_of(accepted)) >= 2
    assert not pool.overloaded


def test_a_step_never_used_the_only_free_worker_as_it_had_failed_there() -> None:
    """The other worker stays full, and nothing else needs the free one."""
    pool = CrashingPool(worker_count=2, cores=4)
    filler = job(1, step(cores=4, perpetual=True))
    pool.submit(filler)
    pool.run(0.2)
    waiting = job(2, step(cores=2))
    pool.submit(waiting)
    pool.run(0.2)
    failed_on = pool.worker_of(tasks_of(waiting)[0])
    assert failed_on is not None
    assert failed_on != pool.worker_of(tasks_of(filler)[0])
    pool.fail_runs(failed_on)
    pool.run(LONG_S)
    assert pool.phase(waiting) is JobPhase.COMPLETED


def test_a_gone_incarnation_was_polled_as_long_as_it_stayed_registered() -> None:
    pool = CrashingPool(downtime_s=0.5)
    pool.run(0.5)
    pool.crash(incarnation("w0"))
    pool.run(1.0)
    polled = pool.polled[incarnation("w0")]
    # Another worker's registration makes the holder read the list again.
    for _ in range(5):
        pool.set_capacity(incarnation("w1"), pool.workers[incarnation("w1")].capacity)
        pool.run(0.2)
    assert pool.polled[incarnation("w0")] == polled
