"""Tests of ``tamarackmount team ...`` and ``tamarackmount key ...``."""

import json
import tomllib

import pytest

from tamarackmount.document_texts import add_key, render_team, revoke_key
from tamarackmount.documents import Ceiling, Key, TeamDocument, WhenCutOff
from tamarackmount.ids import KeyHash
from tamarackmount.status import ExitStatus
from tests.utils.build_settings import sha256_of, team_text
from tests.utils.environment import (
    CallResult,
    command_line,
    connection_lost,
    header_of,
    json_response,
    request_lines,
)

TEXT = "# The retail shops.\n" + team_text()


HASH = "0" * 64


def document(text: str = TEXT) -> CallResult:
    value = {"path": "teams/retail", "version": 7, "text": text}
    return json_response(200, value)


def changed() -> CallResult:
    return json_response(200, {"version": 9})


def conflict() -> CallResult:
    value = {"error": "conflict", "message": "changed meanwhile", "version": 9}
    return json_response(409, value)


def parse_team(text: str) -> TeamDocument:
    return TeamDocument.model_validate(tomllib.loads(text))


def test_a_team_is_created_from_options() -> None:
    run_command, opener = command_line(changed())
    run = run_command(
        "team", "add", "retail", "--share", "2.5", "--cores", "64", "--running-tasks=0"
    )
    assert (run.status, run.stdout) == (
        ExitStatus.OK,
        "teams/retail is at version 9\n",
    )
    request = opener.requests[0]
    assert request_lines([request]) == ["PUT /v1/config/teams/retail"]
    assert header_of(request, "If-Match") == "0"
    assert parse_team(request.body.decode()) == TeamDocument(
        share=2.5, ceiling=Ceiling(cores=64, running_tasks=0)
    )


def test_adding_an_existing_team_is_a_conflict() -> None:
    run_command, _ = command_line(conflict())
    run = run_command("team", "add", "retail", "--share", "1")
    assert run.status is ExitStatus.CONFLICT


@pytest.mark.parametrize(
    "options",
    [
        [],
        ["--share", "0"],
        ["--share", "much"],
        ["--share", "1", "--cores", "few"],
        ["--share", "1", "--when-cut-off", "wait"],
    ],
)
def test_invalid_options_make_no_call(options: list[str]) -> None:
    run_command, opener = command_line()
    run = run_command("team", "add", "retail", *options)
    assert run.status is ExitStatus.USAGE
    assert not opener.requests


def test_a_team_is_shown_with_its_keys() -> None:
    run_command, _ = command_line(document(), document())
    lines = run_command("team", "show", "retail").stdout.splitlines()
    assert lines[0] == "teams/retail at version 7"
    assert "ceiling running_tasks: 100" in lines
    assert lines[-1].split() == ["counter", "in", "force", sha256_of("counter-key")]
    value = json.loads(run_command("team", "show", "retail", "--json").stdout)
    assert (value["version"], value["share"]) == (7, 1.0)


def test_a_key_is_printed_once_and_stored_as_its_hash() -> None:
    run_command, opener = command_line(document(), changed())
    run = run_command("key", "add", "retail", "imaging")
    assert (run.status, run.stdout) == (ExitStatus.OK, "token-1\n")
    stored = opener.requests[1]
    assert header_of(stored, "If-Match") == "7"
    text = stored.body.decode()
    assert text.startswith(TEXT)
    assert "token-1" not in text
    assert parse_team(text).keys["imaging"].sha256 == sha256_of("token-1")


def test_a_key_is_not_shown_unless_it_is_stored() -> None:
    run_command, _ = command_line(document(), conflict())
    run = run_command("key", "add", "retail", "imaging")
    assert (run.status, run.stdout) == (ExitStatus.CONFLICT, "")
    assert "token-1" not in run.stderr
    assert "run this again" in run.stderr


def test_a_key_is_not_shown_if_the_outcome_is_unknown() -> None:
    unseen = json_response(200, {"versions": []})
    run_command, _ = command_line(document(), connection_lost(), *[unseen] * 6)
    run = run_command("key", "add", "retail", "imaging")
    assert (run.status, run.stdout) == (ExitStatus.UNKNOWN_OUTCOME, "")
    assert "If `team show` lists it, revoke it" in run.stderr


def test_an_existing_key_is_not_replaced() -> None:
    run_command, opener = command_line(document())
    run = run_command("key", "add", "retail", "counter")
    assert run.status is ExitStatus.CONFLICT
    assert len(opener.requests) == 1


def test_a_key_is_revoked_and_the_rest_kept() -> None:
    run_command, opener = command_line(document(), changed())
    run = run_command("key", "revoke", "retail", "counter")
    assert run.status is ExitStatus.OK
    text = opener.requests[1].body.decode()
    assert text.startswith("# The retail shops.\n")
    assert parse_team(text).keys["counter"].revoked


def test_a_revoked_key_is_not_written_again() -> None:
    run_command, opener = command_line(document(revoke_key(TEXT, "counter")))
    run = run_command("key", "revoke", "retail", "counter")
    assert run.status is ExitStatus.OK
    assert len(opener.requests) == 1


def test_an_unknown_key_or_team_is_not_found() -> None:
    absent = json_response(404, {"error": "unknown_document", "message": "m"})
    run_command, _ = command_line(document(), absent)
    args = ["key", "revoke", "retail", "imaging"]
    assert run_command(*args).status is ExitStatus.NOT_FOUND
    assert run_command(*args).status is ExitStatus.NOT_FOUND


def test_an_invalid_live_document_is_not_changed() -> None:
    run_command, opener = command_line(document("share = 0\n"))
    run = run_command("key", "revoke", "retail", "counter")
    assert run.status is ExitStatus.INVALID
    assert "teams/retail:1: share" in run.stderr
    assert len(opener.requests) == 1


def test_a_rendered_team_parses_to_the_same_team() -> None:
    team = TeamDocument(
        share=0.1,
        ceiling=Ceiling(memory_gib=5),
        keys={"a": Key(sha256=KeyHash("0" * 64), revoked=True)},
        when_cut_off=WhenCutOff.REFUSE,
    )
    assert parse_team(render_team(team)) == team


@pytest.mark.parametrize(
    "text",
    [
        TEXT,
        TEXT.rstrip("\n"),
        TEXT + "revoked = false # for now\n",
        f'share = 1\nkeys = {{ counter = {{ sha256 = "{HASH}" }} }}\n',
        f'share = 1\n[keys]\ncounter = {{ sha256 = "{HASH}" }}\n',
        f'share = 1\nkeys.counter.sha256 = "{HASH}"\n',
        f'share = 1\n[keys.counter]\nsha256 = """\\\n  {HASH}"""\n',
    ],
)
def test_keys_are_added_and_revoked_in_every_toml_notation(text: str) -> None:
    before = parse_team(text)
    added = parse_team(add_key(text, "imaging", KeyHash("1" * 64)))
    assert added.keys == {**before.keys, "imaging": Key(sha256=KeyHash("1" * 64))}
    revoked = parse_team(revoke_key(text, "counter"))
    counter = before.keys["counter"].model_copy(update={"revoked": True})
    assert revoked.keys == {"counter": counter}
    assert revoked.share == added.share == before.share
