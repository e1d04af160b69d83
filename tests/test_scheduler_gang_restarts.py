"""Scheduling of gangs whose workers restart."""

from tamarackmount.kernel.task_ends import MAX_RESTARTS
from tests.utils.build_jobs import worker
from tests.utils.scheduler_harness import SchedulerHarness

CORES = 4.0
"""All processors of a worker."""


def test_a_gang_failed_after_one_restart_of_the_worker_of_its_tasks() -> None:
    """One restart that takes four tasks of a gang is one restart of the gang."""
    harness = SchedulerHarness([worker("w1")])
    harness.submit(kind="gang", tasks=4, run_ms=60_000)
    harness.run(2)
    assert harness.counts() == {"running": 4}
    harness.worker("w1").restart()
    harness.run(10)
    assert not harness.job()["reason"]
    assert harness.counts() == {"running": 4}


def test_a_gang_failed_as_workers_restarted_under_different_tasks() -> None:
    """Each restart takes another task of it."""
    count = MAX_RESTARTS + 1
    harness = SchedulerHarness([worker(f"w{number}") for number in range(count)])
    harness.submit(kind="gang", tasks=count, cores=CORES, run_ms=600_000)
    for index in range(count):
        harness.run(10)
        assert harness.counts() == {"running": count}
        harness.worker(harness.places()[index]).restart()
    harness.run(10)
    assert not harness.job()["reason"]
    assert harness.counts() == {"running": count}


def test_a_task_of_a_gang_restarted_worker_after_worker() -> None:
    """Another task is on the same worker, and two are on one that goes on."""
    harness = SchedulerHarness([worker(f"w{number}") for number in range(3)])
    harness.submit(kind="gang", tasks=4, cores=CORES / 2, run_ms=600_000)
    for _ in range(2 * MAX_RESTARTS):
        harness.run(10)
        if harness.job()["reason"]:
            break
        harness.worker(harness.places()[3]).restart()
    assert "worker restarts" in harness.job()["reason"]
    assert len(harness.starts()) == 4 * MAX_RESTARTS
