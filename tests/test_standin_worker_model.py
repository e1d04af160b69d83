"""Tests of the worker stand-in: epochs, leases, capacity, checkpoints and usage."""

from returns.result import Failure
from returns.result import Result as Outcome

from tamarackmount.adapters.worker_schema import (
    Amount,
    AttemptReport,
    AttemptState,
    CommandReply,
    CommandResult,
    StaleEpoch,
)
from tamarackmount.ids import Epoch, Instant, TaskId, WorkerId
from tamarackmount.standins.worker_model import WorkerModel, WorkerPlan
from tests.utils.build_platform_messages import (
    TASK,
    a_command,
    a_start,
    a_sync,
    a_throttle,
    an_amount,
)

START = Instant(100.0)
CAPACITY = Amount(millicores=4_000, memory_mib=8_192, accelerators=0)


def a_worker(usage_lag_s: float = 0.0, usage_factor: float = 1.0) -> WorkerModel:
    plan = WorkerPlan(WorkerId("w1"), CAPACITY, usage_lag_s, usage_factor)
    return WorkerModel(plan)


def at(seconds: float) -> Instant:
    return Instant(START + seconds)


def result_of(reply: Outcome[CommandReply, StaleEpoch]) -> CommandResult:
    return reply.unwrap().result


def report_at(worker: WorkerModel, seconds: float) -> AttemptReport:
    (report,) = worker.sync(at(seconds), a_sync()).unwrap().attempts
    return report


def test_task_runs_for_its_run_time_and_ends_with_its_exit_code() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000, exit_code=3))
    assert report_at(worker, 0.9).state is AttemptState.RUNNING
    ended = report_at(worker, 1.0)
    assert (ended.state, ended.exit_code) == (AttemptState.FAILED, 3)


def test_repeated_start_changes_nothing() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    assert result_of(worker.start(at(0.5), a_start(run_ms=1_000))) == CommandResult.DONE
    assert report_at(worker, 1.0).state is AttemptState.SUCCEEDED
    assert result_of(worker.start(at(2.0), a_start(run_ms=1_000))) == CommandResult.DONE
    assert worker.state(at(2.0))["starts"] == 1


def test_attempt_lapses_when_its_lease_ends() -> None:
    worker = a_worker()
    worker.start(START, a_start(lease_ms=1_000))
    worker.sync(at(0.8), a_sync(lease_ms=1_000, renew=[TASK]))
    assert report_at(worker, 1.7).state is AttemptState.RUNNING
    assert report_at(worker, 1.8).state is AttemptState.LAPSED
    (entry,) = worker.state(at(9.0))["history"]
    assert (entry["start"], entry["end"]) == (at(0.0), at(1.8))


def test_lapsed_attempt_is_not_renewed() -> None:
    worker = a_worker()
    worker.start(START, a_start(lease_ms=1_000))
    worker.sync(at(1.5), a_sync(renew=[TASK]))
    assert report_at(worker, 1.6).state is AttemptState.LAPSED


def test_attempt_lapses_even_without_commands_in_between() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=2_000, lease_ms=1_000))
    assert report_at(worker, 5.0).state is AttemptState.LAPSED


def test_attempt_that_ends_together_with_its_lease_succeeds() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000, lease_ms=1_000))
    assert report_at(worker, 5.0).state is AttemptState.SUCCEEDED


def test_commands_of_a_stale_epoch_have_no_effect() -> None:
    worker = a_worker()
    worker.start(START, a_start())
    worker.sync(at(0.1), a_sync(epoch=5))
    stale = Failure(StaleEpoch(highest=Epoch(5)))
    assert worker.stop(at(0.2), a_command(epoch=4)) == stale
    assert worker.start(at(0.2), a_start(TaskId("j/1"), epoch=4)) == stale
    assert worker.sync(at(0.2), a_sync(epoch=4, renew=[TASK], lease_ms=9_000)) == stale
    (report,) = worker.sync(at(4.1), a_sync(epoch=5)).unwrap().attempts
    assert report.state is AttemptState.LAPSED
    state = worker.state(at(4.1))
    assert (state["refused_stale"], state["starts"]) == (3, 1)
    assert worker.breach_log.breaches == []


def test_start_beyond_the_capacity_is_rejected_and_is_a_breach() -> None:
    worker = a_worker()
    worker.start(START, a_start(amount=an_amount(millicores=3_000), run_ms=500))
    over_capacity = a_start(TaskId("j/1"), amount=an_amount(millicores=1_001))
    assert result_of(worker.start(at(0.1), over_capacity)) == CommandResult.NO_CAPACITY
    assert [breach.rule for breach in worker.breach_log.breaches] == ["over_capacity"]
    assert result_of(worker.start(at(0.5), over_capacity)) == CommandResult.DONE
    assert len(worker.breach_log.breaches) == 1


def test_second_attempt_during_the_first_is_a_breach() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    worker.start(at(0.5), a_start(attempt=2))
    assert [breach.rule for breach in worker.breach_log.breaches] == ["task_runs_twice"]
    assert worker.state(at(0.5))["running"] == 2


def test_second_attempt_after_the_first_is_no_breach() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    worker.start(at(1.0), a_start(attempt=2))
    assert worker.breach_log.breaches == []


def test_repeated_stop_leaves_the_end_time_unchanged() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    assert result_of(worker.stop(at(0.4), a_command())) == CommandResult.DONE
    assert result_of(worker.stop(at(0.9), a_command())) == CommandResult.DONE
    assert report_at(worker, 2.0).state is AttemptState.STOPPED
    (entry,) = worker.state(at(2.0))["history"]
    assert entry["end"] == at(0.4)
    unknown = worker.stop(at(2.0), a_command(attempt=7))
    assert result_of(unknown) == CommandResult.UNKNOWN_TASK


def test_attempt_resumes_from_a_checkpoint_on_another_worker() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    token = worker.checkpoint(at(0.7), a_command()).unwrap().checkpoint
    worker.stop(at(0.7), a_command())
    assert report_at(worker, 0.7).checkpoint == token
    other = a_worker()
    other.start(START, a_start(attempt=2, run_ms=1_000, checkpoint=token))
    assert report_at(other, 0.2).state is AttemptState.RUNNING
    assert report_at(other, 0.4).state is AttemptState.SUCCEEDED


def test_malformed_checkpoint_fails_the_start() -> None:
    reply = a_worker().start(START, a_start(checkpoint="nonsense"))
    assert result_of(reply) == CommandResult.START_FAILED


def test_throttling_slows_the_remaining_work() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    worker.throttle(at(0.5), a_throttle(percent=25))
    assert report_at(worker, 2.4).state is AttemptState.RUNNING
    assert report_at(worker, 2.5).state is AttemptState.SUCCEEDED


def test_usage_lags_and_differs_from_the_declared_amount() -> None:
    worker = a_worker(usage_lag_s=1.0, usage_factor=1.5)
    worker.start(START, a_start(amount=an_amount(1_000, 1_024), run_ms=2_000))
    assert report_at(worker, 0.9).usage == an_amount(0, 0)
    assert report_at(worker, 1.0).usage == an_amount(1_500, 1_536)
    assert report_at(worker, 2.5).usage == an_amount(1_500, 1_536)
    assert report_at(worker, 3.0).usage == an_amount(0, 0)


def test_ended_attempts_are_reported_until_forgotten_and_running_ones_stay() -> None:
    worker = a_worker()
    worker.start(START, a_start(run_ms=1_000))
    assert worker.sync(at(0.5), a_sync(forget=[TASK])).unwrap().attempts
    assert worker.sync(at(1.5), a_sync()).unwrap().attempts
    assert worker.sync(at(1.6), a_sync(forget=[TASK])).unwrap().attempts == []
    assert len(worker.state(at(1.6))["history"]) == 1


def test_faults_fail_starts_and_force_exit_codes() -> None:
    worker = a_worker()
    worker.set_faults_json(b'{"fail_starts": true}')
    reply = worker.start(START, a_start(run_ms=10))
    assert result_of(reply) == CommandResult.START_FAILED
    worker.set_faults_json(b'{"force_exit_code": 9}')
    worker.start(START, a_start(run_ms=10))
    assert report_at(worker, 1.0).exit_code == 9
