"""Scheduling with workers that are lost, leaving, faulty or too small."""

import pytest

from tamarackmount.adapters.worker_schema import WorkerReport
from tamarackmount.ids import Instant, JobId, WorkerId
from tamarackmount.kernel.job_effects import SyncWorker
from tamarackmount.kernel.messages import JobAction
from tamarackmount.kernel.task_ends import MAX_RESTARTS
from tamarackmount.kernel.worker_health import WorkerHealth, WorkerHealthState
from tests.utils.build_jobs import call_on, worker
from tests.utils.scheduler_harness import SchedulerHarness


def test_service_of_a_lost_worker_restarts_after_its_lease() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(kind="service")
    harness.run(2)
    lost = WorkerId(harness.places()[0])
    harness.unreachable = {lost}
    harness.run(4)
    assert len(harness.starts()) == 1
    harness.run(4)
    assert len(harness.starts()) == 2
    assert lost not in harness.places()


def test_expired_attempt_of_a_returned_worker_is_forgotten() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(kind="service")
    harness.run(2)
    lost = WorkerId(harness.places()[0])
    harness.unreachable = {lost}
    harness.run(10)
    harness.unreachable.clear()
    harness.run(10)
    assert harness.workers_by_id[lost].attempts_by_task == {}
    assert harness.counts() == {"running": 1}


def test_leaving_worker_gets_no_new_tasks() -> None:
    harness = SchedulerHarness([worker("w1", leaving=True), worker("w2", cores=1)])
    harness.submit(tasks=3)
    harness.run(5)
    assert {note.worker_id for note in harness.starts()} == {"w2"}


def test_worker_is_synced_at_the_set_interval() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.effects.clear()
    harness.run(10)
    syncs = [one for one in harness.effects if isinstance(one, SyncWorker)]
    assert 18 <= len(syncs) <= 21


def test_no_second_sync_while_one_is_pending() -> None:
    harness = SchedulerHarness()
    scheduler = harness.scheduler
    scheduler.set_workers([worker("w1")], harness.now)
    sent = [effect for _ in range(50) for effect in scheduler.tick(harness.now)]
    assert len(sent) == 1


def test_worker_is_synced_at_once_after_a_stop_during_a_sync() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.submit(kind="service")
    harness.run(0.5)
    fake, scheduler = harness.worker("w1"), harness.scheduler
    harness.now = Instant(harness.now + 1)
    (sync,) = scheduler.tick(harness.now)
    assert isinstance(sync, SyncWorker)
    report = fake.sync(sync.command, harness.now)
    assert isinstance(report, WorkerReport)
    harness.call(call_on(JobAction.CANCEL))
    harness.apply(scheduler.worker_synced(WorkerId("w1"), report, harness.now))
    harness.apply(scheduler.tick(harness.now))
    assert harness.job()["state"] == "cancelled"


def test_ended_attempts_are_forgotten_only_once_saved() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.submit()
    harness.saves_succeed = False
    harness.run(5)
    assert len(harness.worker("w1").attempts_by_task) == 1
    harness.saves_succeed = True
    harness.run(5)
    assert harness.worker("w1").attempts_by_task == {}


def test_worker_that_fails_different_jobs_is_backed_off() -> None:
    harness = SchedulerHarness([worker("w1", cores=1), worker("w2", cores=2)])
    harness.worker("w1").fails_tasks = True
    for number in range(12):
        harness.submit(f"job{number}", run_ms=300, max_attempts=5)
    harness.run(25)
    for number in range(12):
        assert harness.job(f"job{number}")["state"] == "succeeded"
    on_bad = [note for note in harness.starts() if note.worker_id == "w1"]
    assert len(on_bad) == 3


def test_worker_after_backoff_runs_one_task_before_it_is_trusted_again() -> None:
    harness = SchedulerHarness([worker("w1", cores=4)])
    harness.worker("w1").fails_starts = True
    for number in range(4):
        harness.submit(f"bad{number}", max_attempts=1)
    harness.run(2)
    harness.worker("w1").fails_starts = False
    harness.submit("good", tasks=4, run_ms=2_000)
    harness.run(20)
    assert harness.counts("good") == {"waiting": 4}
    harness.run(9)
    assert harness.counts("good") == {"running": 1, "waiting": 3}
    harness.run(6)
    assert harness.counts("good") == {"succeeded": 4}


def test_job_that_fails_everywhere_backs_off_no_worker() -> None:
    names = [f"w{number}" for number in range(6)]
    harness = SchedulerHarness([worker(name, cores=4) for name in names])
    for fake in harness.workers_by_id.values():
        fake.failing_prefixes = ("dc1:retail:bad",)
    for number in range(3):
        harness.submit(f"bad{number}", tasks=6, max_attempts=50)
    harness.submit("good", tasks=2_000, run_ms=500)
    for _ in range(40):
        harness.run(1)
        states = [
            harness.scheduler._state.health.state(WorkerId(name)) for name in names
        ]
        if harness.now > 10:
            assert states == [WorkerHealthState.TRUSTED] * 6


def test_jobs_that_failed_on_proven_workers_back_off_no_other_worker() -> None:
    health = WorkerHealth(backoff_s=30.0)
    jobs = [JobId("a"), JobId("b"), JobId("c")]
    for name in ("w1", "w2", "w3"):
        for job_id in jobs:
            health.attempt_failed(WorkerId(name), job_id, Instant(0.0))
        first = health.state(WorkerId(name))
        health.mark_proven(WorkerId(name))
        assert first is (
            WorkerHealthState.TRUSTED if name == "w3" else WorkerHealthState.BACKOFF
        )


def test_task_larger_than_every_worker_is_infeasible() -> None:
    harness = SchedulerHarness([worker("w1", cores=4)])
    harness.submit(cores=8)
    assert harness.job()["state"] == "waiting"
    assert "larger than every worker" in harness.job()["reason"]
    harness.workers_by_id[WorkerId("w2")] = type(harness.worker("w1"))(
        worker("w2", cores=8)
    )
    harness.list_workers()
    harness.run(3)
    assert harness.job()["state"] == "succeeded"


def test_gang_larger_than_all_workers_is_infeasible() -> None:
    harness = SchedulerHarness([worker("w1", cores=4)])
    harness.submit(kind="gang", tasks=5)
    assert "only 4 of the gang's tasks" in harness.job()["reason"]


def test_service_tasks_are_spread_over_racks() -> None:
    workers = [worker(f"w{n}", rack=f"r{n % 3}") for n in range(6)]
    harness = SchedulerHarness(workers)
    harness.submit(kind="service", tasks=3)
    harness.run(1)
    racks = [harness.worker(name).listed.rack for name in harness.places()]
    assert sorted(racks) == ["r0", "r1", "r2"]


def test_batch_tasks_are_packed() -> None:
    harness = SchedulerHarness(
        [worker("w1", cores=8), worker("w2", cores=4), worker("w3")]
    )
    harness.submit("a", cores=4, run_ms=60_000)
    harness.submit("b", cores=3, run_ms=60_000)
    harness.submit("c", cores=8, run_ms=60_000)
    harness.run(1)
    assert harness.places("c") == ["w1"]


def test_accelerator_workers_are_used_only_when_others_are_full() -> None:
    harness = SchedulerHarness(
        [worker("g1", cores=4, accelerators=2), worker("w1", cores=4)]
    )
    harness.submit("plain", tasks=5, run_ms=60_000)
    harness.run(1)
    assert sorted(harness.places("plain")) == ["g1", "w1", "w1", "w1", "w1"]


@pytest.mark.parametrize("kind", ["service", "batch", "gang"])
def test_a_task_restarted_worker_after_worker_without_end(kind: str) -> None:
    harness = SchedulerHarness([worker(f"w{number}") for number in range(3)])
    harness.submit(kind=kind, run_ms=60_000)
    for _ in range(20):
        harness.run(2)
        for name in harness.places():
            harness.worker(name).restart()
    harness.run(10)
    assert len(harness.starts()) == MAX_RESTARTS
    assert harness.counts() == {"failed": 1}
    assert "worker restarts" in harness.job()["reason"]


def test_a_task_survives_some_restarts_of_its_workers() -> None:
    harness = SchedulerHarness([worker(f"w{number}") for number in range(3)])
    harness.submit(kind="service")
    for _ in range(MAX_RESTARTS - 1):
        harness.run(2)
        for name in harness.places():
            harness.worker(name).restart()
    harness.run(10)
    assert harness.counts() == {"running": 1}
