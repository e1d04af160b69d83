"""Jobs are accepted, run, shown and cancelled through the scheduler."""

import json

import pytest

from tamarackmount.kernel.job_effects import Durability, StartTask
from tamarackmount.kernel.messages import JobAction
from tests.utils.build_jobs import OTHER_TEAM, call_on, submit, worker
from tests.utils.job_cell import JobCell


def test_batch_runs_to_its_end() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(tasks=5)
    cell.run(0.1)
    assert cell.job()["state"] == "running"
    cell.run(3)
    assert cell.job()["state"] == "succeeded"
    assert cell.counts() == {"succeeded": 5}


def test_service_runs_until_cancelled() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.submit(kind="service", tasks=2)
    cell.run(20)
    assert cell.counts() == {"running": 2}
    answer = cell.call(call_on(JobAction.CANCEL))
    assert answer is not None
    assert answer.status == 202
    cell.run(1)
    assert cell.job()["state"] == "cancelled"
    assert cell.places() == []


def test_nothing_starts_before_the_record_is_stored() -> None:
    cell = JobCell([worker()])
    cell.saves_held = None
    assert cell.call(submit()) is None
    cell.run(5)
    assert not any(isinstance(effect, StartTask) for effect in cell.effects)


def test_job_whose_record_cannot_be_stored_is_refused_and_never_runs() -> None:
    cell = JobCell([worker()])
    cell.saves_held = False
    answer = cell.call(submit())
    assert answer is not None
    assert answer.status == 503
    assert json.loads(answer.body)["error"] == "not_durable"
    assert json.loads(answer.body)["outcome"] == "not-run"
    cell.run(5)
    assert cell.starts() == []
    view_answer = cell.call(call_on(JobAction.VIEW))
    assert view_answer is not None
    assert view_answer.status == 404


def test_refused_job_may_be_submitted_again() -> None:
    cell = JobCell([worker()])
    cell.saves_held = False
    cell.call(submit())
    cell.saves_held = True
    cell.submit()
    cell.run(2)
    assert cell.job()["state"] == "succeeded"


def test_submitting_again_is_idempotent() -> None:
    cell = JobCell([worker()])
    cell.submit()
    again = cell.call(submit())
    assert again is not None
    assert again.status == 200
    other = cell.call(submit(cores=2))
    assert other is not None
    assert (other.status, json.loads(other.body)["error"]) == (409, "conflict")
    cell.run(2)
    assert len(cell.starts()) == 1


def test_submitting_again_before_the_record_is_stored_waits_for_it() -> None:
    cell = JobCell([worker()])
    cell.saves_held = None
    cell.call(submit(call_id=1))
    cell.call(submit(call_id=2))
    assert cell.answers == []
    cell.apply(cell.scheduler.records_saved(1, Durability.PEERS, cell.now))
    assert [(one.call_id, one.status) for one in cell.answers] == [(1, 201), (2, 200)]
    assert cell.job()["durability"] == "peers"
    cell.apply(cell.scheduler.records_saved(1, Durability.LOG, cell.now))
    assert cell.job()["durability"] == "log"


def test_teams_see_their_own_jobs_only() -> None:
    cell = JobCell([worker()])
    cell.submit()
    for action in (JobAction.VIEW, JobAction.EXPLAIN, JobAction.CANCEL):
        answer = cell.call(call_on(action, "dc1:retail:job", OTHER_TEAM))
        assert answer is not None
        assert answer.status == 404
    listed = cell.call(call_on(JobAction.LIST, "", OTHER_TEAM))
    assert listed is not None
    assert json.loads(listed.body) == {"jobs": []}


def test_bad_specification_names_every_error() -> None:
    cell = JobCell()
    answer = cell.call(submit(tasks=0, cores=-1))
    assert answer is not None
    assert answer.status == 400
    message = json.loads(answer.body)["message"]
    assert "tasks: " in message
    assert "cores: " in message


@pytest.mark.parametrize("idempotent", [True, False])
def test_failing_task_is_started_up_to_max_attempts_if_idempotent(
    idempotent: bool,
) -> None:
    cell = JobCell([worker("w1"), worker("w2"), worker("w3")])
    for fake in cell.workers_by_id.values():
        fake.fails_tasks = True
    cell.submit(max_attempts=3, idempotent=idempotent)
    cell.run(20)
    assert cell.job()["state"] == "failed"
    assert len(cell.starts()) == (3 if idempotent else 1)


def test_failed_task_is_tried_on_another_worker() -> None:
    cell = JobCell([worker("w1"), worker("w2")])
    cell.worker("w1").fails_tasks = True
    cell.worker("w2").fails_tasks = False
    cell.submit()
    cell.run(5)
    assert cell.job()["state"] == "succeeded"
    assert [note.worker_id for note in cell.starts()] == ["w1", "w2"]


def test_cancelled_waiting_tasks_never_start() -> None:
    cell = JobCell([worker(cores=2)])
    cell.submit(tasks=100_000, run_ms=60_000)
    cell.run(1)
    assert cell.counts() == {"running": 2, "waiting": 99_998}
    cell.call(call_on(JobAction.CANCEL))
    cell.run(1)
    assert cell.counts() == {"cancelled": 100_000}
    assert len(cell.starts()) == 2


def test_explanation_names_worker_and_reason() -> None:
    cell = JobCell([worker(cores=1)])
    cell.submit(tasks=2)
    cell.run(0.1)
    first, second = cell.explain()
    assert (first["worker"], first["why"]) == ("w1", "fits; least free room left")
    assert (second["state"], second["why"]) == ("waiting", "no worker has room now")


def test_ended_job_is_removed_after_its_retention_time() -> None:
    cell = JobCell([worker()])
    cell.submit()
    cell.run(2)
    cell.now = type(cell.now)(cell.now + cell.timing.job_memory_s)
    cell.run(1)
    assert cell.dropped == ["dc1:retail:job"]
