"""Gangs start all their tasks or none, and large jobs do not starve."""

from tamarackmount.ids import WorkerId
from tamarackmount.kernel.job_effects import SchedulerTiming, StartTask
from tests.utils.build_jobs import OTHER_TEAM, worker
from tests.utils.scheduler_harness import SchedulerHarness

SHORT_RESERVE_DELAY = SchedulerTiming(reserve_after_s=1.0, reservation_s=30.0)


def test_gang_waits_until_all_tasks_fit() -> None:
    harness = SchedulerHarness([worker("w1", cores=2), worker("w2", cores=2)])
    harness.submit("first", run_ms=2_000)
    harness.run(0.1)
    harness.submit("gang", kind="gang", tasks=4)
    harness.run(1)
    assert harness.counts("gang") == {"waiting": 4}
    harness.run(2)
    assert harness.counts("gang") in ({"running": 4}, {"succeeded": 4})


def test_all_tasks_of_a_gang_restart_after_a_lost_worker() -> None:
    harness = SchedulerHarness(
        [worker("w1", cores=2), worker("w2", cores=2), worker("w3")]
    )
    harness.submit("gang", kind="gang", tasks=4, run_ms=60_000)
    harness.run(1)
    lost = next(
        fake for fake in harness.workers_by_id.values() if len(fake.running()) == 2
    )
    lost.attempts_by_task.clear()
    harness.unreachable = {lost.listed.id}
    harness.run(0.1)
    harness.unreachable.clear()
    harness.run(3)
    assert harness.counts("gang") == {"running": 4}
    starts = [one for one in harness.effects if isinstance(one, StartTask)]
    assert len(starts) == 8


def test_lost_gang_task_stops_the_other_tasks() -> None:
    harness = SchedulerHarness([worker("w1", cores=2), worker("w2", cores=2)])
    harness.submit("gang", kind="gang", tasks=4, run_ms=60_000)
    harness.run(1)
    harness.worker("w1").attempts_by_task.clear()
    harness.unreachable = {WorkerId("w1")}
    harness.run(0.2)
    harness.unreachable.clear()
    harness.worker("w1").attempts_by_task.clear()
    for _ in range(40):
        harness.run(0.05)
        if not harness.places("gang"):
            return
    raise AssertionError("other tasks of the gang still run 2 s after the loss")


def test_gang_with_refused_starts_fails_after_max_attempts() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.worker("w1").fails_starts = True
    harness.worker("w2").fails_starts = True
    harness.submit("gang", kind="gang", tasks=5, max_attempts=2)
    harness.run(60)
    assert harness.job("gang")["state"] == "failed"
    assert harness.places("gang") == []


def test_gang_is_not_starved_by_small_tasks() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")], timing=SHORT_RESERVE_DELAY)
    harness.submit("small", OTHER_TEAM, tasks=400, run_ms=1_500)
    harness.run(0.2)
    harness.submit("gang", kind="gang", tasks=2, cores=4, run_ms=1_000)
    harness.run(8)
    assert harness.job("gang")["state"] == "succeeded"
    harness.run(90)
    assert harness.job("small", OTHER_TEAM)["state"] == "succeeded"


def test_large_task_is_not_starved_by_small_tasks() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")], timing=SHORT_RESERVE_DELAY)
    harness.submit("small", OTHER_TEAM, tasks=400, run_ms=1_500)
    harness.run(0.2)
    harness.submit("large", cores=4, run_ms=1_000)
    harness.run(8)
    assert harness.job("large")["state"] == "succeeded"


def test_backfill_uses_reserved_workers_without_delaying_the_gang() -> None:
    harness = SchedulerHarness(
        [worker("w1", cores=4), worker("w2", cores=4)], timing=SHORT_RESERVE_DELAY
    )
    harness.submit("long", OTHER_TEAM, cores=3, run_ms=10_000)
    harness.run(0.1)
    harness.submit("gang", kind="gang", tasks=2, cores=4, run_ms=1_000)
    harness.run(2)
    harness.submit("short", OTHER_TEAM, run_ms=2_000)
    harness.submit("overlong", OTHER_TEAM, tasks=4, run_ms=30_000)
    harness.run(0.2)
    assert harness.counts("short", OTHER_TEAM) == {"running": 1}
    assert harness.counts("overlong", OTHER_TEAM) == {"waiting": 4}
    harness.run(8.5)
    assert harness.counts("gang") == {"running": 2}


def test_backfilled_task_that_overruns_is_preempted() -> None:
    harness = SchedulerHarness(
        [worker("w1", cores=4), worker("w2", cores=4)], timing=SHORT_RESERVE_DELAY
    )
    harness.submit("long", OTHER_TEAM, cores=3, run_ms=5_000)
    harness.run(0.1)
    harness.submit("gang", kind="gang", tasks=2, cores=4, run_ms=1_000)
    harness.run(2)
    harness.submit("short", OTHER_TEAM, run_ms=1_000)
    harness.run(0.1)
    for fake in harness.workers_by_id.values():
        for attempt in fake.running():
            if ":short/" in attempt.command.task_id:
                attempt.ends_at = float("inf")
    harness.run(6)
    assert harness.job("gang")["state"] == "succeeded"


def test_reservation_ends_at_its_deadline() -> None:
    timing = SchedulerTiming(reserve_after_s=1.0, reservation_s=3.0)
    harness = SchedulerHarness([worker("w1", cores=4)], timing=timing)
    harness.submit("long", OTHER_TEAM, cores=3, run_ms=60_000)
    harness.run(0.1)
    harness.submit("gang", kind="gang", tasks=2, cores=2, run_ms=1_000)
    harness.run(2)
    harness.submit("waits", OTHER_TEAM, run_ms=70_000)
    harness.run(0.5)
    assert harness.counts("waits", OTHER_TEAM) == {"waiting": 1}
    harness.run(3)
    assert harness.counts("waits", OTHER_TEAM) == {"running": 1}


def test_urgent_gang_preempts_normal_work() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit("normal", tasks=8, run_ms=60_000)
    harness.run(1)
    harness.submit("gang", kind="gang", tasks=4, cores=2, priority="urgent")
    harness.run(1.5)
    assert harness.counts("gang").get("waiting", 0) == 0
