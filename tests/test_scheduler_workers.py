"""Scheduling with workers that are lost, leaving, faulty or too small."""

from tamarackmount.adapters.worker_schema import WorkerReport
from tamarackmount.ids import Instant, JobId, WorkerId
from tamarackmount.kernel.job_effects import SyncWorker
from tamarackmount.kernel.messages import JobAction
from tamarackmount.kernel.worker_health import WorkerHealth, WorkerHealthState
from tests.utils.build_jobs import call_on, worker
from tests.utils.job_cell import JobCell


def test_service_of_a_lost_worker_restarts_after_its_lease() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(kind="service")
    cell.run(2)
    lost = WorkerId(cell.places()[0])
    cell.unreachable = {lost}
    cell.run(4)
    assert len(cell.starts()) == 1
    cell.run(4)
    assert len(cell.starts()) == 2
    assert lost not in cell.places()


def test_expired_attempt_of_a_returned_worker_is_forgotten() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(kind="service")
    cell.run(2)
    lost = WorkerId(cell.places()[0])
    cell.unreachable = {lost}
    cell.run(10)
    cell.unreachable.clear()
    cell.run(10)
    assert cell.workers_by_id[lost].attempts_by_task == {}
    assert cell.counts() == {"running": 1}


def test_leaving_worker_gets_no_new_tasks() -> None:
    cell = JobCell([worker("w1", leaving=True), worker("w2", cores=1)])
    cell.submit(tasks=3)
    cell.run(5)
    assert {note.worker_id for note in cell.starts()} == {"w2"}


def test_worker_is_synced_at_the_set_interval() -> None:
    cell = JobCell([worker("w1")])
    cell.effects.clear()
    cell.run(10)
    syncs = [one for one in cell.effects if isinstance(one, SyncWorker)]
    assert 18 <= len(syncs) <= 21


def test_no_second_sync_while_one_is_pending() -> None:
    cell = JobCell()
    scheduler = cell.scheduler
    scheduler.set_workers([worker("w1")], cell.now)
    sent = [effect for _ in range(50) for effect in scheduler.tick(cell.now)]
    assert len(sent) == 1


def test_worker_is_synced_at_once_after_a_stop_during_a_sync() -> None:
    cell = JobCell([worker("w1")])
    cell.submit(kind="service")
    cell.run(0.5)
    fake, scheduler = cell.worker("w1"), cell.scheduler
    cell.now = Instant(cell.now + 1)
    (sync,) = scheduler.tick(cell.now)
    assert isinstance(sync, SyncWorker)
    report = fake.sync(sync.command, cell.now)
    assert isinstance(report, WorkerReport)
    cell.call(call_on(JobAction.CANCEL))
    cell.apply(scheduler.worker_synced(WorkerId("w1"), report, cell.now))
    cell.apply(scheduler.tick(cell.now))
    assert cell.job()["state"] == "cancelled"


def test_ended_attempts_are_forgotten_only_once_saved() -> None:
    cell = JobCell([worker("w1")])
    cell.submit()
    cell.saves_held = False
    cell.run(5)
    assert len(cell.worker("w1").attempts_by_task) == 1
    cell.saves_held = True
    cell.run(5)
    assert cell.worker("w1").attempts_by_task == {}


def test_worker_that_fails_different_jobs_is_backed_off() -> None:
    cell = JobCell([worker("w1", cores=1), worker("w2", cores=2)])
    cell.worker("w1").fails_tasks = True
    for number in range(12):
        cell.submit(f"job{number}", run_ms=300, max_attempts=5)
    cell.run(25)
    for number in range(12):
        assert cell.job(f"job{number}")["state"] == "succeeded"
    on_bad = [note for note in cell.starts() if note.worker_id == "w1"]
    assert len(on_bad) == 3


def test_worker_after_backoff_runs_one_task_before_it_is_trusted_again() -> None:
    cell = JobCell([worker("w1", cores=4)])
    cell.worker("w1").fails_starts = True
    for number in range(4):
        cell.submit(f"bad{number}", max_attempts=1)
    cell.run(2)
    cell.worker("w1").fails_starts = False
    cell.submit("good", tasks=4, run_ms=2_000)
    cell.run(20)
    assert cell.counts("good") == {"waiting": 4}
    cell.run(9)
    assert cell.counts("good") == {"running": 1, "waiting": 3}
    cell.run(6)
    assert cell.counts("good") == {"succeeded": 4}


def test_job_that_fails_everywhere_backs_off_no_worker() -> None:
    names = [f"w{number}" for number in range(6)]
    cell = JobCell([worker(name, cores=4) for name in names])
    for fake in cell.workers_by_id.values():
        fake.failing_prefixes = ("dc1:retail:bad",)
    for number in range(3):
        cell.submit(f"bad{number}", tasks=6, max_attempts=50)
    cell.submit("good", tasks=2_000, run_ms=500)
    for _ in range(40):
        cell.run(1)
        states = [cell.scheduler._state.health.state(WorkerId(name)) for name in names]
        if cell.now > 10:
            assert states == [WorkerHealthState.TRUSTED] * 6


def test_jobs_that_failed_on_proven_workers_back_off_no_other_worker() -> None:
    health = WorkerHealth(backoff_s=30.0)
    jobs = [JobId("a"), JobId("b"), JobId("c")]
    for name in ("w1", "w2", "w3"):
        for job_id in jobs:
            health.failed(WorkerId(name), job_id, Instant(0.0))
        first = health.state(WorkerId(name))
        health.proved(WorkerId(name))
        assert first is (
            WorkerHealthState.TRUSTED if name == "w3" else WorkerHealthState.BACKOFF
        )


def test_task_larger_than_every_worker_is_infeasible() -> None:
    cell = JobCell([worker("w1", cores=4)])
    cell.submit(cores=8)
    assert cell.job()["state"] == "waiting"
    assert "larger than every worker" in cell.job()["reason"]
    cell.workers_by_id[WorkerId("w2")] = type(cell.worker("w1"))(worker("w2", cores=8))
    cell.list_workers()
    cell.run(3)
    assert cell.job()["state"] == "succeeded"


def test_gang_larger_than_all_workers_is_infeasible() -> None:
    cell = JobCell([worker("w1", cores=4)])
    cell.submit(kind="gang", tasks=5)
    assert "only 4 of the gang's tasks" in cell.job()["reason"]


def test_service_tasks_are_spread_over_racks() -> None:
    workers = [worker(f"w{n}", rack=f"r{n % 3}") for n in range(6)]
    cell = JobCell(workers)
    cell.submit(kind="service", tasks=3)
    cell.run(1)
    racks = [cell.worker(name).listed.rack for name in cell.places()]
    assert sorted(racks) == ["r0", "r1", "r2"]


def test_batch_tasks_are_packed() -> None:
    cell = JobCell([worker("w1", cores=8), worker("w2", cores=4), worker("w3")])
    cell.submit("a", cores=4, run_ms=60_000)
    cell.submit("b", cores=3, run_ms=60_000)
    cell.submit("c", cores=8, run_ms=60_000)
    cell.run(1)
    assert cell.places("c") == ["w1"]


def test_accelerator_workers_are_used_only_when_others_are_full() -> None:
    cell = JobCell([worker("g1", cores=4, accelerators=2), worker("w1", cores=4)])
    cell.submit("plain", tasks=5, run_ms=60_000)
    cell.run(1)
    assert sorted(cell.places("plain")) == ["g1", "w1", "w1", "w1", "w1"]
