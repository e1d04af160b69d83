"""Urgent jobs are placed first and preempt the normal work that costs least."""

from tamarackmount.ids import WorkerId
from tamarackmount.kernel.job_effects import CheckpointTask, StartTask, StopTask
from tests.utils.build_jobs import OTHER_TEAM, worker
from tests.utils.scheduler_harness import SchedulerHarness


def test_urgent_task_starts_within_one_second_on_full_workers() -> None:
    harness = SchedulerHarness([worker("w1", cores=4)])
    harness.submit("normal", cores=4, run_ms=60_000)
    harness.run(2)
    harness.submit("urgent", OTHER_TEAM, priority="urgent", run_ms=60_000)
    harness.run(1.0)
    assert harness.counts("urgent", OTHER_TEAM) == {"running": 1}
    assert harness.counts("normal") == {"waiting": 1}


def test_victim_is_checkpointed_then_stopped_and_resumed() -> None:
    harness = SchedulerHarness([worker("w1", cores=1)])
    harness.submit("normal", run_ms=5_000)
    harness.run(2)
    harness.effects.clear()
    harness.submit("urgent", priority="urgent", run_ms=1_000)
    harness.run(4)
    kinds = [
        type(one)
        for one in harness.effects
        if isinstance(one, CheckpointTask | StopTask | StartTask)
    ]
    assert kinds == [CheckpointTask, StopTask, StartTask, StartTask]
    resumed = harness.starts()[-1].command
    assert (
        resumed.checkpoint == f"{resumed.task_id}@{harness.starts()[0].command.attempt}"
    )


def test_cheapest_victim_is_chosen() -> None:
    harness = SchedulerHarness([worker("w1", cores=1), worker("w2", cores=1)])
    harness.submit("old", run_ms=60_000)
    harness.run(3)
    harness.submit("young", run_ms=60_000)
    harness.run(0.5)
    harness.submit("urgent", priority="urgent", run_ms=60_000)
    harness.run(1.5)
    assert harness.counts("old") == {"running": 1}
    assert harness.counts("young") == {"waiting": 1}


def test_batch_task_is_preempted_before_a_service() -> None:
    harness = SchedulerHarness([worker("w1", cores=1), worker("w2", cores=1)])
    harness.submit("batch", run_ms=60_000)
    harness.run(30)
    harness.submit("service", kind="service")
    harness.run(0.5)
    harness.submit("urgent", priority="urgent", run_ms=60_000)
    harness.run(1.5)
    assert harness.counts("service") == {"running": 1}


def test_non_idempotent_and_urgent_tasks_are_not_preempted() -> None:
    harness = SchedulerHarness([worker("w1", cores=2)])
    harness.submit("once", idempotent=False, run_ms=60_000)
    harness.submit("urgent", priority="urgent", run_ms=60_000)
    harness.run(1)
    harness.submit("late", priority="urgent", run_ms=60_000)
    harness.run(3)
    assert harness.counts("late") == {"waiting": 1}
    assert harness.counts("once") == {"running": 1}


def test_freed_capacity_goes_to_the_urgent_task() -> None:
    harness = SchedulerHarness([worker("w1", cores=2)])
    harness.submit("normal", tasks=20, run_ms=60_000)
    harness.run(1)
    harness.submit("urgent", priority="urgent", cores=2, run_ms=60_000)
    harness.run(2)
    assert harness.counts("urgent") == {"running": 1}


def test_worker_is_reserved_for_the_urgent_task_until_all_victims_have_ended() -> None:
    harness = SchedulerHarness([worker("w1", cores=2)])
    harness.submit("normal", tasks=20, run_ms=60_000)
    harness.run(1)
    harness.unreachable = {WorkerId("w1")}
    harness.submit("urgent", priority="urgent", cores=2, run_ms=60_000)
    reserved = harness.scheduler._state.ledger.workers_by_id[WorkerId("w1")]
    assert reserved.reserved_for == "dc1:retail:urgent"
    assert not reserved.is_placeable


def test_preemption_on_a_lost_worker_is_given_up() -> None:
    harness = SchedulerHarness([worker("w1", cores=1)])
    harness.submit("normal", run_ms=60_000)
    harness.run(1)
    harness.unreachable = {WorkerId("w1")}
    harness.submit("urgent", priority="urgent", run_ms=60_000)
    harness.run(5)
    harness.workers_by_id[WorkerId("w2")] = type(harness.worker("w1"))(
        worker("w2", cores=1)
    )
    harness.list_workers()
    harness.run(1)
    assert harness.places("urgent") == ["w2"]
