"""Tests of ``tamarackmount config apply``."""

import json

from returns.result import Success

from tamarackmount.checks import check_document
from tamarackmount.documents import QueueDocument
from tamarackmount.ids import ConfigPath
from tamarackmount.status import ExitStatus
from tests.utils.environment import (
    CallResult,
    command_line,
    header_of,
    json_response,
    request_lines,
)

FLEET_TEXT = """\
[teams.retail]
share = 2
when_cut_off = "refuse"

[queues.counter]
service = "counter"
open_to_all = true
"""


def live_teams(**texts_by_name: str) -> CallResult:
    documents = [
        {"path": f"teams/{name}", "version": 3, "text": text}
        for name, text in texts_by_name.items()
    ]
    return json_response(200, {"offset": 4, "documents": documents})


def changed() -> CallResult:
    return json_response(200, {"version": 5})


def test_absent_documents_are_created() -> None:
    run_command, opener = command_line(live_teams(), changed(), changed())
    run = run_command("config", "apply", "-", stdin=FLEET_TEXT)
    assert run.status is ExitStatus.OK
    assert run.stdout == "teams/retail: created\nqueues/counter: created\n"
    writes = opener.requests[1:]
    assert request_lines(writes) == [
        "PUT /v1/config/teams/retail",
        "PUT /v1/config/queues/counter",
    ]
    assert [header_of(request, "If-Match") for request in writes] == ["0", "0"]
    queue = check_document(ConfigPath("queues/counter"), writes[1].body.decode())
    assert queue == Success(QueueDocument(service="counter", open_to_all=True))


def test_live_documents_are_left_as_they_are() -> None:
    same = 'share = 2.0 # two\nwhen_cut_off = "refuse"\n'
    run_command, opener = command_line(live_teams(retail=same), changed())
    run = run_command("config", "apply", "-", stdin=FLEET_TEXT)
    assert run.status is ExitStatus.OK
    assert run.stdout == "teams/retail: same\nqueues/counter: created\n"
    assert len(opener.requests) == 2


def test_live_documents_that_differ_are_named() -> None:
    run_command, _ = command_line(live_teams(retail="share = 1\n"), changed())
    run = run_command("config", "apply", "-", "--json", stdin=FLEET_TEXT)
    assert run.status is ExitStatus.CONFLICT
    assert json.loads(run.stdout) == {
        "teams/retail": "differs",
        "queues/counter": "created",
    }


def test_an_invalid_fleet_file_makes_no_call() -> None:
    run_command, opener = command_line()
    run = run_command("config", "apply", "-", stdin="[teams.retail]\n")
    assert run.status is ExitStatus.INVALID
    assert run.stderr == "-:1: teams.retail.share: is required and missing\n"
    text = '[queues.counter]\nservice = "counter"\npolicy = "first-come"\n'
    run = run_command("config", "apply", "-", stdin=text)
    assert run.status is ExitStatus.INVALID
    assert not opener.requests


def test_a_failure_says_where_it_stopped() -> None:
    down = {"error": "log_down", "message": "m", "outcome": "not-run"}
    run_command, _ = command_line(live_teams(), changed(), json_response(503, down))
    run = run_command("config", "apply", "-", stdin=FLEET_TEXT)
    assert run.status is ExitStatus.NOT_RUN
    assert run.stdout == "teams/retail: created\n"
    assert "Stopped at queues/counter" in run.stderr
