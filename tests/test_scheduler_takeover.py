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
from tests.utils.job_cell import ORIGIN, JobCell

QUARANTINE_S = 5.1
"""Sum of command timeout, lease and clock margin of the default timing."""


def test_running_tasks_are_adopted() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(kind="service", tasks=3)
    cell.run(1)
    before = cell.places()
    cell.take_over(cell.scheduler.records())
    cell.run(20)
    assert cell.places() == before
    assert len(cell.starts()) == 3
    assert cell.counts() == {"running": 3}


def test_task_that_may_still_run_starts_only_after_the_quarantine() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(kind="service", cores=3)
    cell.run(1)
    cell.unreachable = {WorkerId(cell.places()[0])}
    cell.take_over(cell.scheduler.records())
    cell.run(QUARANTINE_S - 0.2)
    assert len(cell.starts()) == 1
    cell.run(0.5)
    assert len(cell.starts()) == 2


def test_new_jobs_start_at_once_after_takeover() -> None:
    cell = JobCell([worker("w1")])
    cell.take_over()
    cell.submit()
    cell.run(0.1)
    assert len(cell.starts()) == 1


def test_nothing_is_placed_before_the_first_sync() -> None:
    cell = JobCell([worker("w1")])
    cell.unreachable = {WorkerId("w1")}
    cell.take_over()
    cell.submit()
    cell.run(3)
    assert not any(isinstance(one, StartTask) for one in cell.effects)
    cell.unreachable.clear()
    cell.run(1)
    assert len(cell.starts()) == 1


def test_non_idempotent_task_without_a_reported_end_ends_unknown() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(idempotent=False, run_ms=60_000)
    cell.run(1)
    cell.unreachable = {WorkerId(cell.places()[0])}
    cell.take_over(cell.records)
    cell.run(QUARANTINE_S + 1)
    assert cell.job()["state"] == "unknown"
    assert len(cell.starts()) == 1


def test_non_idempotent_task_that_was_never_attempted_starts() -> None:
    cell = JobCell([worker("w1", cores=1)])
    cell.submit("first", run_ms=60_000)
    cell.submit("second", idempotent=False)
    cell.run(1)
    cell.take_over(cell.records)
    cell.call(call_on(JobAction.CANCEL, "first"))
    cell.run(QUARANTINE_S + 3)
    assert cell.job("second")["state"] == "succeeded"


def test_end_that_the_former_owner_did_not_save_is_reported_by_the_worker() -> None:
    cell = JobCell([worker("w1")])
    cell.submit(idempotent=False, run_ms=1_000)
    records = list(cell.records)
    cell.run(0.5)
    records = list(cell.records)
    cell.run(1)
    cell.take_over(records)
    cell.run(1)
    assert cell.job()["state"] == "succeeded"


def test_cancellation_survives_a_takeover() -> None:
    cell = JobCell([worker("w1", cores=1)])
    cell.submit(tasks=3, run_ms=60_000)
    cell.run(1)
    cell.unreachable = {WorkerId("w1")}
    cell.call(call_on(JobAction.CANCEL))
    cell.take_over(cell.records)
    cell.unreachable.clear()
    cell.run(QUARANTINE_S + 2)
    assert cell.counts() == {"cancelled": 3}
    assert cell.places() == []


def test_newest_record_wins_and_unreadable_ones_are_skipped() -> None:
    cell = JobCell([worker("w1")])
    cell.submit()
    cell.run(5)
    assert len(cell.records) > 1
    cell.take_over(["{", '{"format": 9}', *reversed(cell.records)])
    assert cell.job()["state"] == "succeeded"
    cell.run(QUARANTINE_S + 2)
    assert len(cell.starts()) == 1


def test_ceiling_holds_while_former_tasks_may_run_unseen() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    limits = {TEAM: TeamLimits(running_tasks=2), OTHER_TEAM: TeamLimits()}
    cell.apply(cell.scheduler.set_teams(limits, cell.now))
    cell.submit("old", tasks=2, kind="service")
    cell.run(1)
    cell.unreachable = {WorkerId(cell.places("old")[0])}
    cell.take_over(cell.scheduler.records())
    cell.apply(cell.scheduler.set_teams(limits, cell.now))
    cell.submit("new", run_ms=60_000)
    cell.submit("other", OTHER_TEAM)
    cell.run(QUARANTINE_S - 0.3)
    assert cell.places("new") == []
    assert len(cell.places("old")) <= 2
    assert cell.job("other", OTHER_TEAM)["state"] == "succeeded"


def test_ceiling_lowered_before_tasks_were_adopted_is_reached() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(tasks=6, kind="service")
    cell.run(1)
    cell.unreachable = {WorkerId("w1"), WorkerId("w2")}
    cell.take_over(cell.scheduler.records())
    cell.apply(cell.scheduler.set_teams({TEAM: TeamLimits(running_tasks=2)}, cell.now))
    cell.unreachable.clear()
    cell.run(3)
    assert len(cell.places()) == 2


def test_orphaned_attempt_counts_until_it_is_over() -> None:
    cell = JobCell([worker("w1", cores=4)])
    cell.submit("lost", cores=3, run_ms=60_000)
    cell.run(1)
    cell.take_over([])
    cell.effects.clear()
    cell.submit("new", cores=2, run_ms=1_000)
    cell.run(2)
    assert not any(isinstance(one, StartTask) for one in cell.effects)
    cell.run(4)
    assert cell.job("new")["state"] == "succeeded"


def test_superseded_owner_sends_no_commands_and_refuses_calls() -> None:
    cell = JobCell([worker("w1")])
    old = cell.scheduler
    cell.submit(kind="service")
    cell.run(1)
    effects = old.worker_stale(WorkerId("w1"), Epoch(7), cell.now)
    assert effects == []
    assert old.tick(Instant(cell.now + 5)) == []
    (effect,) = old.call(ORIGIN, submit("late"), cell.now)
    assert isinstance(effect, AnswerJob)
    assert effect.answer.status == 503


def test_second_report_to_one_sync_is_ignored() -> None:
    cell = JobCell([worker("w1")])
    sync = next(one for one in cell.effects if isinstance(one, SyncWorker))
    report = cell.worker("w1").sync(sync.command, cell.now)
    cell.submit(run_ms=60_000)
    cell.run(1)
    assert not isinstance(report, CommandReply)
    cell.apply(cell.scheduler.worker_synced(WorkerId("w1"), report, cell.now))  # type: ignore[arg-type]
    cell.run(1)
    assert len(cell.starts()) == 1


@pytest.mark.parametrize("result", [CommandResult.DONE, CommandResult.UNKNOWN_TASK])
def test_answer_to_a_stop_does_not_end_an_attempt(result: CommandResult) -> None:
    cell = JobCell([worker("w1", cores=1)])
    cell.submit("first", run_ms=60_000)
    cell.run(1)
    cell.unreachable = {WorkerId("w1")}
    cell.call(call_on(JobAction.CANCEL, "first"))
    stop = next(one for one in cell.effects if isinstance(one, StopTask))
    cell.apply(
        cell.scheduler.command_answered(
            stop.worker_id,
            stop.command.task_id,
            stop.command.attempt,
            CommandReply(result=result),
            cell.now,
        )
    )
    assert cell.counts("first") == {"running": 1}
    cell.unreachable.clear()
    cell.run(1)
    assert cell.counts("first") == {"cancelled": 1}
