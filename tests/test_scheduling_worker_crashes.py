"""Tests of tasks that crash the workers that start them, and of tasks beside them."""

from tamarackmount.scheduling.model import JobPhase
from tests.utils.build_scheduling import incarnation, job, step
from tests.utils.crashing_pool import CrashingPool, tasks_of

MAX_STARTS = 5
"""The users allow two more starts after three workers have crashed under a task."""

LONG_S = 60.0


def test_a_task_crashed_worker_after_worker() -> None:
    pool = CrashingPool()
    deadly = job(1)
    pool.deadly.update(tasks_of(deadly))
    pool.submit(deadly)
    pool.run(LONG_S)
    assert pool.started[tasks_of(deadly)[0]] <= MAX_STARTS
    assert pool.phase(deadly) is JobPhase.FAILED


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
