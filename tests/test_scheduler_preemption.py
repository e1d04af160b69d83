"""Urgent jobs are placed first and preempt the normal work that costs least."""

from tamarackmount.ids import WorkerId
from tamarackmount.kernel.job_effects import CheckpointTask, StartTask, StopTask
from tests.utils.build_jobs import OTHER_TEAM, worker
from tests.utils.job_cell import JobCell


def test_urgent_task_starts_within_one_second_on_full_workers() -> None:
    cell = JobCell([worker("w1", cores=4)])
    cell.submit("normal", cores=4, run_ms=60_000)
    cell.run(2)
    cell.submit("urgent", OTHER_TEAM, priority="urgent", run_ms=60_000)
    cell.run(1.0)
    assert cell.counts("urgent", OTHER_TEAM) == {"running": 1}
    assert cell.counts("normal") == {"waiting": 1}


def test_victim_is_checkpointed_then_stopped_and_resumed() -> None:
    cell = JobCell([worker("w1", cores=1)])
    cell.submit("normal", run_ms=5_000)
    cell.run(2)
    cell.effects.clear()
    cell.submit("urgent", priority="urgent", run_ms=1_000)
    cell.run(4)
    kinds = [
        type(one)
        for one in cell.effects
        if isinstance(one, CheckpointTask | StopTask | StartTask)
    ]
    assert kinds == [CheckpointTask, StopTask, StartTask, StartTask]
    resumed = cell.starts()[-1].command
    assert resumed.checkpoint == f"{resumed.task_id}@{cell.starts()[0].command.attempt}"


def test_cheapest_victim_is_chosen() -> None:
    cell = JobCell([worker("w1", cores=1), worker("w2", cores=1)])
    cell.submit("old", run_ms=60_000)
    cell.run(3)
    cell.submit("young", run_ms=60_000)
    cell.run(0.5)
    cell.submit("urgent", priority="urgent", run_ms=60_000)
    cell.run(1.5)
    assert cell.counts("old") == {"running": 1}
    assert cell.counts("young") == {"waiting": 1}


def test_batch_task_is_preempted_before_a_service() -> None:
    cell = JobCell([worker("w1", cores=1), worker("w2", cores=1)])
    cell.submit("batch", run_ms=60_000)
    cell.run(30)
    cell.submit("service", kind="service")
    cell.run(0.5)
    cell.submit("urgent", priority="urgent", run_ms=60_000)
    cell.run(1.5)
    assert cell.counts("service") == {"running": 1}


def test_non_idempotent_and_urgent_tasks_are_not_preempted() -> None:
    cell = JobCell([worker("w1", cores=2)])
    cell.submit("once", idempotent=False, run_ms=60_000)
    cell.submit("urgent", priority="urgent", run_ms=60_000)
    cell.run(1)
    cell.submit("late", priority="urgent", run_ms=60_000)
    cell.run(3)
    assert cell.counts("late") == {"waiting": 1}
    assert cell.counts("once") == {"running": 1}


def test_freed_capacity_goes_to_the_urgent_task() -> None:
    cell = JobCell([worker("w1", cores=2)])
    cell.submit("normal", tasks=20, run_ms=60_000)
    cell.run(1)
    cell.submit("urgent", priority="urgent", cores=2, run_ms=60_000)
    cell.run(2)
    assert cell.counts("urgent") == {"running": 1}


def test_worker_is_reserved_for_the_urgent_task_until_all_victims_have_ended() -> None:
    cell = JobCell([worker("w1", cores=2)])
    cell.submit("normal", tasks=20, run_ms=60_000)
    cell.run(1)
    cell.unreachable = {WorkerId("w1")}
    cell.submit("urgent", priority="urgent", cores=2, run_ms=60_000)
    reserved = cell.scheduler._state.ledger.workers_by_id[WorkerId("w1")]
    assert reserved.reserved_for == "dc1:retail:urgent"
    assert not reserved.is_placeable


def test_preemption_on_a_lost_worker_is_given_up() -> None:
    cell = JobCell([worker("w1", cores=1)])
    cell.submit("normal", run_ms=60_000)
    cell.run(1)
    cell.unreachable = {WorkerId("w1")}
    cell.submit("urgent", priority="urgent", run_ms=60_000)
    cell.run(5)
    cell.workers_by_id[WorkerId("w2")] = type(cell.worker("w1"))(worker("w2", cores=1))
    cell.list_workers()
    cell.run(1)
    assert cell.places("urgent") == ["w2"]
