"""A new owner takes over jobs and starts no task that may still run."""

import pytest

from tamarackmount.adapters.worker_schema import CommandReply, CommandResult
from tamarackmount.ids import Epoch, Instant, WorkerId
from tamarackmount.kernel.job_effects import (
    AnswerJob,
    StartTask,
    StopTask,
    SyncWorker,
    TeamLimits,
)
from tamarackmount.kernel.messages import JobAction
from tests.utils.build_jobs import OTHER_TEAM, TEAM, call_on, submit, worker
from tests.utils.scheduler_harness import ORIGIN, SchedulerHarness

QUARANTINE_S = 5.1
"""Sum of command timeout, lease and clock margin of the default timing."""


def test_running_tasks_are_adopted() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(kind="service", tasks=3)
    harness.run(1)
    before = harness.places()
    harness.take_over(harness.scheduler.records())
    harness.run(20)
    assert harness.places() == before
    assert len(harness.starts()) == 3
    assert harness.counts() == {"running": 3}


def test_task_that_may_still_run_starts_only_after_the_quarantine() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(kind="service", cores=3)
    harness.run(1)
    harness.unreachable = {WorkerId(harness.places()[0])}
    harness.take_over(harness.scheduler.records())
    harness.run(QUARANTINE_S - 0.2)
    assert len(harness.starts()) == 1
    harness.run(0.5)
    assert len(harness.starts()) == 2


def test_new_jobs_start_at_once_after_takeover() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.take_over()
    harness.submit()
    harness.run(0.1)
    assert len(harness.starts()) == 1


def test_nothing_is_placed_before_the_first_sync() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.unreachable = {WorkerId("w1")}
    harness.take_over()
    harness.submit()
    harness.run(3)
    assert not any(isinstance(one, StartTask) for one in harness.effects)
    harness.unreachable.clear()
    harness.run(1)
    assert len(harness.starts()) == 1


def test_non_idempotent_task_without_a_reported_end_ends_unknown() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(idempotent=False, run_ms=60_000)
    harness.run(1)
    harness.unreachable = {WorkerId(harness.places()[0])}
    harness.take_over(harness.records)
    harness.run(QUARANTINE_S + 1)
    assert harness.job()["state"] == "unknown"
    assert len(harness.starts()) == 1


def test_non_idempotent_task_that_was_never_attempted_starts() -> None:
    harness = SchedulerHarness([worker("w1", cores=1)])
    harness.submit("first", run_ms=60_000)
    harness.submit("second", idempotent=False)
    harness.run(1)
    harness.take_over(harness.records)
    harness.call(call_on(JobAction.CANCEL, "first"))
    harness.run(QUARANTINE_S + 3)
    assert harness.job("second")["state"] == "succeeded"


def test_end_that_the_former_owner_did_not_save_is_reported_by_the_worker() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.submit(idempotent=False, run_ms=1_000)
    records = list(harness.records)
    harness.run(0.5)
    records = list(harness.records)
    harness.run(1)
    harness.take_over(records)
    harness.run(1)
    assert harness.job()["state"] == "succeeded"


def test_cancellation_survives_a_takeover() -> None:
    harness = SchedulerHarness([worker("w1", cores=1)])
    harness.submit(tasks=3, run_ms=60_000)
    harness.run(1)
    harness.unreachable = {WorkerId("w1")}
    harness.call(call_on(JobAction.CANCEL))
    harness.take_over(harness.records)
    harness.unreachable.clear()
    harness.run(QUARANTINE_S + 2)
    assert harness.counts() == {"cancelled": 3}
    assert harness.places() == []


def test_newest_record_wins_and_unreadable_ones_are_skipped() -> None:
    harness = SchedulerHarness([worker("w1")])
    harness.submit()
    harness.run(5)
    assert len(harness.records) > 1
    harness.take_over(["{", '{"format": 9}', *reversed(harness.records)])
    assert harness.job()["state"] == "succeeded"
    harness.run(QUARANTINE_S + 2)
    assert len(harness.starts()) == 1


def test_ceiling_holds_while_former_tasks_may_run_unseen() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    limits = {TEAM: TeamLimits(running_tasks=2), OTHER_TEAM: TeamLimits()}
    harness.apply(harness.scheduler.set_teams(limits, harness.now))
    harness.submit("old", tasks=2, kind="service")
    harness.run(1)
    harness.unreachable = {WorkerId(harness.places("old")[0])}
    harness.take_over(harness.scheduler.records())
    harness.apply(harness.scheduler.set_teams(limits, harness.now))
    harness.submit("new", run_ms=60_000)
    harness.submit("other", OTHER_TEAM)
    harness.run(QUARANTINE_S - 0.3)
    assert harness.places("new") == []
    assert len(harness.places("old")) <= 2
    assert harness.job("other", OTHER_TEAM)["state"] == "succeeded"


def test_ceiling_lowered_before_tasks_were_adopted_is_reached() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(tasks=6, kind="service")
    harness.run(1)
    harness.unreachable = {WorkerId("w1"), WorkerId("w2")}
    harness.take_over(harness.scheduler.records())
    harness.apply(
        harness.scheduler.set_teams({TEAM: TeamLimits(running_tasks=2)}, harness.now)
    )
    harness.unreachable.clear()
    harness.run(3)
    assert len(harness.places()) == 2


def test_orphaned_attempt_counts_until_it_is_over() -> None:
    harness = SchedulerHarness([worker("w1", cores=4)])
    harness.submit("lost", cores=3, run_ms=60_000)
    harness.run(1)
    harness.take_over([])
    harness.effects.clear()
    harness.submit("new", cores=2, run_ms=1_000)
    harness.run(2)
    assert not any(isinstance(one, StartTask) for one in harness.effects)
    harness.run(4)
    assert harness.job("new")["state"] == "succeeded"


def test_superseded_owner_sends_no_commands_and_refuses_calls() -> None:
    harness = SchedulerHarness([worker("w1")])
    old = harness.scheduler
    harness.submit(kind="service")
    harness.run(1)
    effects = old.worker_stale(WorkerId("w1"), Epoch(7), harness.now)
    assert effects == []
    assert old.tick(Instant(harness.now + 5)) == []
    (effect,) = old.call(ORIGIN, submit("late"), harness.now)
    assert isinstance(effect, AnswerJob)
    assert effect.answer.status == 503


def test_second_report_to_one_sync_is_ignored() -> None:
    harness = SchedulerHarness([worker("w1")])
    sync = next(one for one in harness.effects if isinstance(one, SyncWorker))
    report = harness.worker("w1").sync(sync.command, harness.now)
    harness.submit(run_ms=60_000)
    harness.run(1)
    assert not isinstance(report, CommandReply)
    harness.apply(harness.scheduler.worker_synced(WorkerId("w1"), report, harness.now))  # type: ignore[arg-type]
    harness.run(1)
    assert len(harness.starts()) == 1


@pytest.mark.parametrize("result", [CommandResult.DONE, CommandResult.UNKNOWN_TASK])
def test_answer_to_a_stop_does_not_end_an_attempt(result: CommandResult) -> None:
    harness = SchedulerHarness([worker("w1", cores=1)])
    harness.submit("first", run_ms=60_000)
    harness.run(1)
    harness.unreachable = {WorkerId("w1")}
    harness.call(call_on(JobAction.CANCEL, "first"))
    stop = next(one for one in harness.effects if isinstance(one, StopTask))
    harness.apply(
        harness.scheduler.command_answered(
            stop.worker_id,
            stop.command.task_id,
            stop.command.attempt,
            CommandReply(result=result),
            harness.now,
        )
    )
    assert harness.counts("first") == {"running": 1}
    harness.unreachable.clear()
    harness.run(1)
    assert harness.counts("first") == {"cancelled": 1}
