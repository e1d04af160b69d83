"""Jobs are accepted, run, shown and cancelled through the scheduler."""

import json

import pytest

from tamarackmount.kernel.job_effects import Durability, StartTask
from tamarackmount.kernel.messages import JobAction
from tests.utils.build_jobs import OTHER_TEAM, call_on, submit, worker
from tests.utils.scheduler_harness import SchedulerHarness


def test_batch_runs_to_its_end() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(tasks=5)
    harness.run(0.1)
    assert harness.job()["state"] == "running"
    harness.run(3)
    assert harness.job()["state"] == "succeeded"
    assert harness.counts() == {"succeeded": 5}


def test_service_runs_until_cancelled() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.submit(kind="service", tasks=2)
    harness.run(20)
    assert harness.counts() == {"running": 2}
    answer = harness.call(call_on(JobAction.CANCEL))
    assert answer is not None
    assert answer.status == 202
    harness.run(1)
    assert harness.job()["state"] == "cancelled"
    assert harness.places() == []


def test_nothing_starts_before_the_record_is_stored() -> None:
    harness = SchedulerHarness([worker()])
    harness.saves_succeed = None
    assert harness.call(submit()) is None
    harness.run(5)
    assert not any(isinstance(effect, StartTask) for effect in harness.effects)


def test_job_whose_record_cannot_be_stored_is_refused_and_never_runs() -> None:
    harness = SchedulerHarness([worker()])
    harness.saves_succeed = False
    answer = harness.call(submit())
    assert answer is not None
    assert answer.status == 503
    assert json.loads(answer.body)["error"] == "not_durable"
    assert json.loads(answer.body)["outcome"] == "not-run"
    harness.run(5)
    assert harness.starts() == []
    view_answer = harness.call(call_on(JobAction.VIEW))
    assert view_answer is not None
    assert view_answer.status == 404


def test_refused_job_may_be_submitted_again() -> None:
    harness = SchedulerHarness([worker()])
    harness.saves_succeed = False
    harness.call(submit())
    harness.saves_succeed = True
    harness.submit()
    harness.run(2)
    assert harness.job()["state"] == "succeeded"


def test_submitting_again_is_idempotent() -> None:
    harness = SchedulerHarness([worker()])
    harness.submit()
    again = harness.call(submit())
    assert again is not None
    assert again.status == 200
    other = harness.call(submit(cores=2))
    assert other is not None
    assert (other.status, json.loads(other.body)["error"]) == (409, "conflict")
    harness.run(2)
    assert len(harness.starts()) == 1


def test_submitting_again_before_the_record_is_stored_waits_for_it() -> None:
    harness = SchedulerHarness([worker()])
    harness.saves_succeed = None
    harness.call(submit(call_id=1))
    harness.call(submit(call_id=2))
    assert harness.answers == []
    harness.apply(harness.scheduler.records_saved(1, Durability.PEERS, harness.now))
    assert [(one.call_id, one.status) for one in harness.answers] == [
        (1, 201),
        (2, 200),
    ]
    assert harness.job()["durability"] == "peers"
    harness.apply(harness.scheduler.records_saved(1, Durability.LOG, harness.now))
    assert harness.job()["durability"] == "log"


def test_teams_see_their_own_jobs_only() -> None:
    harness = SchedulerHarness([worker()])
    harness.submit()
    for action in (JobAction.VIEW, JobAction.EXPLAIN, JobAction.CANCEL):
        answer = harness.call(call_on(action, "dc1:retail:job", OTHER_TEAM))
        assert answer is not None
        assert answer.status == 404
    listed = harness.call(call_on(JobAction.LIST, "", OTHER_TEAM))
    assert listed is not None
    assert json.loads(listed.body) == {"jobs": []}


def test_bad_specification_names_every_error() -> None:
    harness = SchedulerHarness()
    answer = harness.call(submit(tasks=0, cores=-1))
    assert answer is not None
    assert answer.status == 400
    message = json.loads(answer.body)["message"]
    assert "tasks: " in message
    assert "cores: " in message


@pytest.mark.parametrize("idempotent", [True, False])
def test_failing_task_is_started_up_to_max_attempts_if_idempotent(
    idempotent: bool,
) -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2"), worker("w3")])
    for fake in harness.workers_by_id.values():
        fake.fails_tasks = True
    harness.submit(max_attempts=3, idempotent=idempotent)
    harness.run(20)
    assert harness.job()["state"] == "failed"
    assert len(harness.starts()) == (3 if idempotent else 1)


def test_failed_task_is_tried_on_another_worker() -> None:
    harness = SchedulerHarness([worker("w1"), worker("w2")])
    harness.worker("w1").fails_tasks = True
    harness.worker("w2").fails_tasks = False
    harness.submit()
    harness.run(5)
    assert harness.job()["state"] == "succeeded"
    assert [note.worker_id for note in harness.starts()] == ["w1", "w2"]


def test_cancelled_waiting_tasks_never_start() -> None:
    harness = SchedulerHarness([worker(cores=2)])
    harness.submit(tasks=100_000, run_ms=60_000)
    harness.run(1)
    assert harness.counts() == {"running": 2, "waiting": 99_998}
    harness.call(call_on(JobAction.CANCEL))
    harness.run(1)
    assert harness.counts() == {"cancelled": 100_000}
    assert len(harness.starts()) == 2


def test_explanation_names_worker_and_reason() -> None:
    harness = SchedulerHarness([worker(cores=1)])
    harness.submit(tasks=2)
    harness.run(0.1)
    first, second = harness.explain()
    assert (first["worker"], first["why"]) == ("w1", "fits; least free capacity left")
    assert (second["state"], second["why"]) == ("waiting", "no worker has capacity now")


def test_ended_job_is_removed_after_its_retention_time() -> None:
    harness = SchedulerHarness([worker()])
    harness.submit()
    harness.run(2)
    harness.now = type(harness.now)(harness.now + harness.timing.ended_job_retention_s)
    harness.run(1)
    assert harness.dropped == ["dc1:retail:job"]
