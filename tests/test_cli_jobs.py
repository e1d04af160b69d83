"""Tests of ``tamarackmount job ...``."""

import json
from pathlib import Path

import pytest

from tamarackmount.status import ExitStatus
from tests.utils.environment import (
    CallResult,
    command_line,
    connection_lost,
    json_response,
    request_lines,
    unreachable,
)

JOB_ID = "dc1:retail:nightly-7"

JOB_FILE = """\
id = "nightly-7"
kind = "batch"
tasks = 20
cores = 1.5
memory_gib = 2
idempotent = true
"""


def job(state: str, *, status: int = 200, **tasks: int) -> CallResult:
    value = {
        "id": JOB_ID,
        "team": "retail",
        "kind": "batch",
        "state": state,
        "durability": "log",
        "reason": "no worker has 9 accelerators" if state == "failed" else "",
        "tasks": {"waiting": 0, "running": 0, "succeeded": 0, **tasks},
    }
    return json_response(status, value)


def test_a_file_is_submitted_as_json(tmp_path: Path) -> None:
    file = tmp_path / "job.toml"
    file.write_text(JOB_FILE, encoding="utf-8")
    run_command, opener = command_line(job("waiting", status=201, waiting=20))
    run = run_command("job", "submit", str(file))
    assert run.status is ExitStatus.OK
    assert run.stdout == f"{JOB_ID} waiting (20 waiting; durability log)\n"
    assert request_lines(opener.requests) == ["POST /v1/jobs"]
    assert json.loads(opener.requests[0].body) == {
        "id": "nightly-7",
        "kind": "batch",
        "tasks": 20,
        "cores": 1.5,
        "memory_gib": 2,
        "idempotent": True,
    }


def test_a_job_file_is_read_from_standard_input() -> None:
    run_command, opener = command_line(job("waiting"))
    run = run_command("job", "submit", "-", "--json", stdin=JOB_FILE)
    assert json.loads(run.stdout)["id"] == JOB_ID
    assert json.loads(opener.requests[0].body)["id"] == "nightly-7"


def test_a_file_with_a_syntax_error_is_not_submitted() -> None:
    run_command, opener = command_line()
    run = run_command("job", "submit", "-", stdin="id = nightly\n")
    assert run.status is ExitStatus.INVALID
    assert run.stderr == "-:1: Invalid value\n"
    assert not opener.requests


def test_an_invalid_specification_is_not_submitted() -> None:
    text = JOB_FILE.replace("tasks = 20", "tasks = 0\ncore = 2")
    run_command, opener = command_line()
    run = run_command("job", "submit", "-", stdin=text)
    assert run.status is ExitStatus.INVALID
    places = [line.split(": ")[:2] for line in run.stderr.splitlines()]
    assert places == [["-:3", "tasks"], ["-:4", "core"]]
    assert not opener.requests


def test_a_submission_with_unknown_outcome_may_be_repeated() -> None:
    run_command, opener = command_line(connection_lost())
    run = run_command("job", "submit", "-", stdin=JOB_FILE)
    assert run.status is ExitStatus.UNKNOWN_OUTCOME
    assert "again is safe" in run.stderr
    assert len(opener.requests) == 1


def test_another_job_with_the_same_id_is_a_conflict() -> None:
    refusal = json_response(409, {"error": "conflict", "message": "m"})
    run_command, _ = command_line(refusal)
    run = run_command("job", "submit", "-", stdin=JOB_FILE)
    assert run.status is ExitStatus.CONFLICT
    assert "another id" in run.stderr


def test_jobs_are_listed_in_a_table() -> None:
    listed = job("running", running=3, succeeded=17).unwrap()
    jobs = {"jobs": [json.loads(listed.body)]}
    run_command, _ = command_line(json_response(200, jobs))
    lines = run_command("job", "list").stdout.splitlines()
    assert lines[0].split() == ["JOB", "KIND", "STATE", "DURABILITY", "TASKS", "REASON"]
    assert lines[1].startswith(f"{JOB_ID}  batch  running  log")
    assert "3 running, 17 succeeded" in lines[1]


def test_an_explanation_has_a_row_for_each_task() -> None:
    explanation = {
        "id": JOB_ID,
        "tasks": [
            {"task": f"{JOB_ID}/0", "state": "running", "worker": "w3", "why": "fits"},
            {"task": f"{JOB_ID}/1", "state": "waiting", "worker": "", "why": "no room"},
        ],
    }
    run_command, opener = command_line(json_response(200, explanation))
    lines = run_command("job", "explain", JOB_ID).stdout.splitlines()
    assert lines[2].split() == [f"{JOB_ID}/1", "waiting", "no", "room"]
    assert request_lines(opener.requests) == [f"GET /v1/jobs/{JOB_ID}/explain"]


def test_a_job_is_cancelled() -> None:
    run_command, opener = command_line(job("cancelled", status=202))
    run = run_command("job", "cancel", JOB_ID)
    assert run.status is ExitStatus.OK
    assert request_lines(opener.requests) == [f"DELETE /v1/jobs/{JOB_ID}"]


def test_an_unknown_job_is_not_found() -> None:
    refusal = json_response(404, {"error": "unknown_job", "message": "m"})
    run_command, _ = command_line(refusal)
    run = run_command("job", "view", "nothing")
    assert run.status is ExitStatus.NOT_FOUND
    assert "job list" in run.stderr


@pytest.mark.parametrize(
    ("state", "status"),
    [
        ("succeeded", ExitStatus.OK),
        ("failed", ExitStatus.JOB_FAILED),
        ("cancelled", ExitStatus.JOB_FAILED),
        ("unknown", ExitStatus.UNKNOWN_OUTCOME),
    ],
)
def test_watching_prints_changes_until_the_end(state: str, status: ExitStatus) -> None:
    run_command, opener = command_line(
        job("waiting", waiting=1),
        job("waiting", waiting=1),
        job("running", running=1),
        job(state),
    )
    run = run_command("job", "watch", JOB_ID, "--interval-ms", "500")
    assert run.status is status
    assert [line.split()[1] for line in run.stdout.splitlines()] == [
        "waiting",
        "running",
        state,
    ]
    assert len(opener.requests) == 4
    assert 1.5 <= run_command.clock.seconds() < 2.0


def test_watching_as_json_prints_one_object_a_line() -> None:
    run_command, _ = command_line(job("running", running=1), job("succeeded"))
    run = run_command("job", "watch", JOB_ID, "--json")
    states = [json.loads(line)["state"] for line in run.stdout.splitlines()]
    assert states == ["running", "succeeded"]


def test_watching_continues_after_ten_failed_polls() -> None:
    down = json_response(503, {"error": "no_owner", "message": "m"})
    failed = [unreachable(), down, *[connection_lost()] * 8]
    running = job("running", running=1)
    run_command, _ = command_line(*failed, running, *failed, job("succeeded"))
    assert run_command("job", "watch", JOB_ID).status is ExitStatus.OK


def test_watching_ends_after_eleven_failed_polls() -> None:
    run_command, opener = command_line(*[unreachable()] * 11)
    run = run_command("job", "watch", JOB_ID)
    assert run.status is ExitStatus.UNREACHABLE
    assert len(opener.requests) == 11


def test_watching_ends_at_once_when_the_job_is_unknown() -> None:
    refusal = json_response(404, {"error": "unknown_job", "message": "m"})
    run_command, opener = command_line(refusal)
    assert run_command("job", "watch", JOB_ID).status is ExitStatus.NOT_FOUND
    assert len(opener.requests) == 1


def test_an_interval_of_zero_is_refused() -> None:
    run_command, _ = command_line()
    run = run_command("job", "watch", JOB_ID, "--interval-ms", "0")
    assert run.status is ExitStatus.USAGE
