"""Tests of ``tamarackmount config ...``, ``status`` and ``drain``."""

import json
from pathlib import Path

import pytest

from tamarackmount.status import ExitStatus
from tests.utils.build_settings import SETTINGS_TEXT, settings_text, team_text
from tests.utils.environment import (
    CallResult,
    command_line,
    connection_lost,
    header_of,
    json_response,
    request_lines,
)

TEXT = team_text()


def document(version: int, text: str = TEXT) -> CallResult:
    value = {"path": "teams/retail", "version": version, "text": text}
    return json_response(200, value)


def changed(version: int) -> CallResult:
    return json_response(200, {"version": version})


def conflict(version: int) -> CallResult:
    value = {"error": "conflict", "message": "changed meanwhile", "version": version}
    return json_response(409, value)


def history(*versions: tuple[int, str]) -> CallResult:
    entries = [{"version": version, "text": text} for version, text in versions]
    return json_response(200, {"versions": entries})


def absent() -> CallResult:
    return json_response(404, {"error": "unknown_document", "message": "m"})


@pytest.fixture
def team_file(tmp_path: Path) -> str:
    file = tmp_path / "retail.toml"
    file.write_text(TEXT, encoding="utf-8")
    return str(file)


def test_a_document_is_printed_unchanged() -> None:
    run_command, opener = command_line(document(7))
    run = run_command("config", "get", "teams/retail")
    assert run.stdout == TEXT
    assert run.stderr == "teams/retail is at version 7\n"
    assert request_lines(opener.requests) == ["GET /v1/config/teams/retail"]


def test_documents_are_listed_by_path() -> None:
    documents = [
        {"path": "teams/retail", "version": 7, "text": TEXT},
        {"path": "queues/counter", "version": 12, "text": "x"},
    ]
    listed = json_response(200, {"offset": 12, "documents": documents})
    run_command, _ = command_line(listed)
    run = run_command("config", "list")
    assert [line.split() for line in run.stdout.splitlines()] == [
        ["PATH", "VERSION"],
        ["queues/counter", "12"],
        ["teams/retail", "7"],
    ]


def test_a_document_is_created_only_if_there_is_none(team_file: str) -> None:
    run_command, opener = command_line(changed(7))
    run = run_command("config", "set", "teams/retail", team_file)
    assert run.status is ExitStatus.OK
    assert run.stdout == "teams/retail is at version 7\n"
    assert header_of(opener.requests[0], "If-Match") == "0"


def test_if_version_replaces_that_version(team_file: str) -> None:
    run_command, opener = command_line(changed(9))
    args = ["config", "set", "teams/retail", team_file, "--if-version", "7", "--json"]
    assert json.loads(run_command(*args).stdout) == {"version": 9}
    assert header_of(opener.requests[0], "If-Match") == "7"


def test_overwrite_replaces_any_version(team_file: str) -> None:
    run_command, opener = command_line(document(8), changed(9), absent(), changed(10))
    args = ["config", "set", "teams/retail", team_file, "--overwrite"]
    assert run_command(*args).status is ExitStatus.OK
    assert run_command(*args).status is ExitStatus.OK
    versions = [header_of(request, "If-Match") for request in opener.requests]
    assert versions == [None, "8", None, "0"]


def test_a_concurrent_change_is_a_conflict_with_the_current_version(
    team_file: str,
) -> None:
    run_command, _ = command_line(conflict(9), conflict(9))
    args = ["config", "set", "teams/retail", team_file, "--if-version", "7"]
    run = run_command(*args)
    assert run.status is ExitStatus.CONFLICT
    assert "at version 9" in run.stderr
    value = json.loads(run_command(*args, "--json").stdout)
    assert (value["version"], value["outcome"]) == (9, "not-run")


def test_a_conflict_with_a_removed_document_says_so() -> None:
    run_command, _ = command_line(conflict(0))
    run = run_command("config", "delete", "teams/retail", "--if-version", "7")
    assert run.status is ExitStatus.CONFLICT
    assert run.stderr.endswith("The document doesn't exist now.\n")


def test_an_invalid_document_is_refused_without_a_call() -> None:
    run_command, opener = command_line()
    run = run_command("config", "set", "teams/retail", "-", stdin="share = 0\n")
    assert run.status is ExitStatus.INVALID
    assert run.stderr.startswith("teams/retail:1: share: ")
    assert not opener.requests


def test_a_document_that_names_an_unknown_policy_is_refused_without_a_call() -> None:
    text = 'service = "counter"\npolicy = "first-come"\n'
    run_command, opener = command_line()
    run = run_command("config", "set", "queues/counter", "-", stdin=text)
    assert run.status is ExitStatus.INVALID
    assert run.stderr.startswith("queues/counter:2: policy: 'first-come' is unknown")
    assert not opener.requests


def test_problems_that_the_server_finds_are_printed(team_file: str) -> None:
    problem = {"source": "teams/retail", "line": 3, "field": "a", "message": "b"}
    refusal = {"error": "bad_document", "message": "m", "problems": [problem]}
    run_command, _ = command_line(json_response(400, refusal))
    run = run_command("config", "set", "teams/retail", team_file)
    assert run.status is ExitStatus.INVALID
    assert "teams/retail:3: a: b" in run.stderr


def test_a_change_whose_response_was_lost_is_found_in_the_history(
    team_file: str,
) -> None:
    run_command, opener = command_line(
        connection_lost(), history((7, "old")), history((7, "old"), (9, TEXT))
    )
    args = ["config", "set", "teams/retail", team_file, "--if-version", "7"]
    run = run_command(*args)
    assert run.status is ExitStatus.OK
    assert run.stdout == "teams/retail is at version 9\n"
    assert [r.method for r in opener.requests] == ["PUT", "GET", "GET"]


def test_an_older_version_with_the_same_text_leaves_the_outcome_unknown(
    team_file: str,
) -> None:
    run_command, opener = command_line(
        connection_lost(), *[history((5, TEXT), (7, "old"))] * 6
    )
    args = ["config", "set", "teams/retail", team_file, "--if-version", "7"]
    run = run_command(*args)
    assert run.status is ExitStatus.UNKNOWN_OUTCOME
    assert [r.method for r in opener.requests] == ["PUT", *["GET"] * 6]


def test_a_change_refused_by_the_log_is_not_run(team_file: str) -> None:
    down = {"error": "log_down", "message": "m", "version": 7, "retry_after_ms": 2_000}
    run_command, _ = command_line(json_response(503, down))
    run = run_command("config", "set", "teams/retail", team_file)
    assert run.status is ExitStatus.NOT_RUN
    assert run.stderr.endswith("log service is back. Try again in 2000 ms.\n")


def test_a_document_is_removed() -> None:
    run_command, opener = command_line(changed(9))
    run = run_command("config", "delete", "teams/retail", "--if-version", "7")
    assert (run.status, run.stdout) == (ExitStatus.OK, "teams/retail is removed\n")
    assert opener.requests[0].method == "DELETE"


def test_a_removal_whose_response_was_lost_is_found_in_the_history() -> None:
    run_command, _ = command_line(connection_lost(), history((7, TEXT), (9, "")))
    run = run_command("config", "delete", "teams/retail", "--if-version", "7")
    assert run.status is ExitStatus.OK


def test_the_history_shows_versions() -> None:
    run_command, _ = command_line(history((7, "share = 1\n"), (9, "")))
    run = run_command("config", "history", "teams/retail")
    assert [line.split() for line in run.stdout.splitlines()[1:]] == [
        ["7", "1", "lines"],
        ["9", "removed"],
    ]


def test_diff_without_a_file_shows_the_last_change() -> None:
    run_command, _ = command_line(history((7, "share = 1\n"), (9, "share = 2\n")))
    run = run_command("config", "diff", "teams/retail")
    assert run.stdout.splitlines() == [
        "--- teams/retail@7",
        "+++ teams/retail@9",
        "@@ -1 +1 @@",
        "-share = 1",
        "+share = 2",
    ]


def test_a_file_is_compared_with_the_live_document(team_file: str) -> None:
    run_command, _ = command_line(history((7, TEXT)), history((7, "a\n"), (8, TEXT)))
    run = run_command("config", "diff", "teams/retail", team_file)
    assert run.stdout == "no difference\n"
    args = ["config", "diff", "teams/retail", team_file, "--from-version", "7"]
    assert "-a" in run_command(*args).stdout.splitlines()


@pytest.mark.parametrize(
    "args",
    [
        ["get", "retail"],
        ["delete", "teams/retail"],
        ["delete", "teams/retail", "--if-version", "7", "--overwrite"],
        ["delete", "teams/retail", "--if-version", "latest"],
    ],
)
def test_an_invalid_command_line_makes_no_call(args: list[str]) -> None:
    run_command, opener = command_line()
    assert run_command("config", *args).status is ExitStatus.USAGE
    assert not opener.requests


def test_an_unknown_queue_policy_is_a_problem() -> None:
    text = '[queues.counter]\nservice = "counter"\npolicy = "first-come"\n'
    run_command, _ = command_line()
    run = run_command("config", "check", "-", stdin=text)
    assert run.status is ExitStatus.INVALID
    assert run.stderr.startswith("-:3: queues.counter.policy: 'first-come' is unknown")


def test_the_kind_of_a_file_is_recognised(tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text("[teams.retail]\nshare = 1\n", encoding="utf-8")
    daemon = tmp_path / "entry-1.toml"
    daemon.write_text(SETTINGS_TEXT, encoding="utf-8")
    run_command, _ = command_line()
    run = run_command("config", "check", str(fleet), str(daemon))
    assert (run.status, run.stdout) == (ExitStatus.OK, "no problems\n")


def test_problems_of_all_files_are_printed(tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text("[teams.retail]\nshare = 0\n", encoding="utf-8")
    daemon = tmp_path / "entry-1.toml"
    text = settings_text(('"entry-3"', '"entry-2"'))
    daemon.write_text(text, encoding="utf-8")
    run_command, _ = command_line()
    args = ["config", "check", str(fleet), str(daemon)]
    run = run_command(*args)
    assert run.status is ExitStatus.INVALID
    lines = run.stderr.splitlines()
    assert lines[0].startswith(f"{fleet}:2: teams.retail.share: ")
    assert lines[1].startswith(f"{daemon}:24: peers[1].id: ")
    problems = json.loads(run_command(*args, "--json").stdout)["problems"]
    assert [(p["line"], p["field"]) for p in problems] == [
        (2, "teams.retail.share"),
        (24, "peers[1].id"),
    ]


@pytest.mark.parametrize("text", ["", "[member]\n[teams]\n", "[nodes]\n", "not TOML"])
def test_a_file_of_unknown_kind_is_invalid(text: str) -> None:
    run_command, _ = command_line()
    run = run_command("config", "check", "-", stdin=text)
    assert run.status is ExitStatus.INVALID
    assert len(run.stderr.splitlines()) == 1


def test_the_status_is_printed_with_nested_values() -> None:
    value = {"member": "entry-1", "unknown": [], "peers": [{"id": "entry-2"}]}
    run_command, _ = command_line(json_response(200, value), json_response(200, value))
    assert run_command("status").stdout.splitlines() == [
        "member: entry-1",
        "unknown: none",
        "peers:",
        "  -",
        "    id: entry-2",
    ]
    assert json.loads(run_command("status", "--json").stdout) == value


def test_a_member_is_drained() -> None:
    run_command, opener = command_line(json_response(202, {}))
    run = run_command("drain")
    assert (run.status, run.stdout) == (ExitStatus.OK, "draining\n")
    assert request_lines(opener.requests) == ["POST /v1/drain"]
