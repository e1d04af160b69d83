"""Tests of ``tamarackmount request``: calls, output and exit statuses."""

import json
from pathlib import Path

import pytest
from returns.result import Success

from tamarackmount.context import process_environment
from tamarackmount.http_calls import Header, HttpResponse
from tamarackmount.status import ExitStatus
from tests.utils.environment import (
    CallResult,
    command_line,
    connection_lost,
    header_of,
    json_response,
    request_lines,
    unreachable,
)


def answered(status: int = 200, body: bytes = b"3 left") -> CallResult:
    headers = (Header("Outcome", "answered"), Header("Served-By", "counter-3"))
    return Success(HttpResponse(status, headers, body))


def test_only_the_body_goes_to_standard_output() -> None:
    run_command, opener = command_line(answered())
    run = run_command("request", "counter", "--path", "/stock?lot=7")
    assert (run.status, run.stdout) == (ExitStatus.OK, "3 left")
    assert "counter-3" in run.stderr
    assert request_lines(opener.requests) == [
        "GET /v1/queues/counter/requests/stock?lot=7"
    ]


def test_options_become_headers() -> None:
    run_command, opener = command_line(answered())
    run_command(
        "request",
        "counter",
        "--data",
        "two",
        "--non-idempotent",
        "--timeout-ms=500",
        "--header",
        "Accept: text/plain",
        "--home",
        "dc1",
    )
    request = opener.requests[0]
    assert (request.method, request.body) == ("POST", b"two")
    assert header_of(request, "Idempotent") == "false"
    assert header_of(request, "Timeout-Ms") == "500"
    assert header_of(request, "Accept") == "text/plain"
    assert header_of(request, "Request-Id") == "dc1:token-1"


def test_data_comes_from_a_file_or_standard_input(tmp_path: Path) -> None:
    file = tmp_path / "order.bin"
    file.write_bytes(b"\x00\xff")
    run_command, opener = command_line(answered(), answered())
    run_command("request", "counter", "--data", f"@{file}")
    run_command("request", "counter", "--data", "@-", stdin="from stdin")
    assert [r.body for r in opener.requests] == [b"\x00\xff", b"from stdin"]


def test_json_contains_the_whole_response() -> None:
    run_command, _ = command_line(answered(), answered(body=b"\xff"))
    value = json.loads(run_command("request", "counter", "--json").stdout)
    assert (value["outcome"], value["status"], value["body"]) == (
        "answered",
        200,
        "3 left",
    )
    value = json.loads(run_command("--json", "request", "counter").stdout)
    assert value["body_base64"] == "/w=="


def test_an_upstreams_error_is_a_success_unless_the_status_is_checked() -> None:
    run_command, _ = command_line(answered(500), answered(500), answered(399))
    assert run_command("request", "counter").status is ExitStatus.OK
    run = run_command("request", "counter", "--check-status")
    assert (run.status, run.stdout) == (ExitStatus.UPSTREAM_ERROR, "3 left")
    run = run_command("request", "counter", "--check-status")
    assert run.status is ExitStatus.OK


def refused(status: int, error: str, outcome: str = "not-run") -> CallResult:
    value = {"error": error, "message": "m", "retry_after_ms": 250}
    return json_response(status, value, Outcome=outcome)


@pytest.mark.parametrize(
    ("result", "status", "advice"),
    [
        (refused(429, "line_full"), ExitStatus.NOT_RUN, "Try again in 250 ms"),
        (refused(401, "bad_key"), ExitStatus.NOT_ALLOWED, "TAMARACKMOUNT_KEY"),
        (refused(404, "unknown_queue"), ExitStatus.NOT_FOUND, "config list"),
        (
            refused(409, "already_attempted", "unknown"),
            ExitStatus.UNKNOWN_OUTCOME,
            "before you repeat it",
        ),
        (json_response(502, {}), ExitStatus.UNKNOWN_OUTCOME, "Request id: token-1"),
        (unreachable(), ExitStatus.UNREACHABLE, "another entry VM"),
        (connection_lost(), ExitStatus.UNKNOWN_OUTCOME, "Request id: token-1"),
    ],
)
def test_an_error_comes_with_advice(
    result: CallResult, status: ExitStatus, advice: str
) -> None:
    run_command, opener = command_line(result)
    run = run_command("request", "counter")
    assert (run.status, run.stdout) == (status, "")
    assert advice in run.stderr
    assert len(opener.requests) == 1


def test_an_error_is_printed_as_json() -> None:
    run_command, _ = command_line(connection_lost())
    run = run_command("request", "counter", "--json")
    value = json.loads(run.stdout)
    assert (value["error"], value["outcome"]) == ("connection_lost", "unknown")
    assert value["request_id"] == "token-1"
    assert run.stderr == ""


def test_the_key_comes_from_the_environment_or_a_file(tmp_path: Path) -> None:
    file = tmp_path / "key"
    file.write_text("from-file\n", encoding="utf-8")
    run_command, opener = command_line(answered(), answered())
    run_command.variables["TAMARACKMOUNT_KEY"] = "from-environment"
    run_command("request", "counter")
    run_command("request", "counter", "--key-file", str(file))
    assert [header_of(r, "Authorization") for r in opener.requests] == [
        "Bearer from-environment",
        "Bearer from-file",
    ]


@pytest.mark.parametrize(
    "args",
    [
        ["request"],
        ["request", "counter", "--key", "k"],
        ["request", "counter", "--timeout-ms", "soon"],
        ["request", "counter", "--header", "Accept"],
        ["request", "counter", "--header", "A: b\nC: d"],
        ["request", "counter", "--url", "entry-1"],
        ["request", "counter", "--idempotent", "--non-idempotent"],
        ["requests"],
    ],
)
def test_an_invalid_command_line_makes_no_call(args: list[str]) -> None:
    run_command, opener = command_line()
    run = run_command(*args)
    assert run.status is ExitStatus.USAGE
    assert run.stderr
    assert not opener.requests


def test_a_missing_url_is_a_usage_error() -> None:
    run_command, _ = command_line()
    run_command.variables["TAMARACKMOUNT_URL"] = ""
    run = run_command("request", "counter")
    assert run.status is ExitStatus.USAGE
    assert "--url or TAMARACKMOUNT_URL" in run.stderr


def test_a_missing_file_is_an_error() -> None:
    run_command, _ = command_line()
    run = run_command("request", "counter", "--data", "@/nowhere/order")
    assert run.status is ExitStatus.ERROR
    assert "/nowhere/order" in run.stderr


def test_generated_request_ids_are_distinct_and_alphanumeric() -> None:
    """To repeat a request, its id is passed as an argument of the command."""
    tokens = {process_environment().make_token() for _ in range(100)}
    assert len(tokens) == 100
    assert all(token.isalnum() and token.isascii() for token in tokens)
