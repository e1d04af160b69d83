"""Checks of settings and documents: what is refused, and on which line."""

from collections.abc import Sequence

import pytest
from returns.result import Failure, Result, Success

from tamarackmount.checks import check_document, check_settings
from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.ids import ConfigPath
from tamarackmount.problems import Problem
from tests.utils.build_settings import (
    SETTINGS_TEXT,
    settings_text,
    sha256_of,
    team_text,
)

TEAM = ConfigPath("teams/retail")
QUEUE = ConfigPath("queues/counter")


def problems_of(result: Result[object, list[Problem]]) -> list[tuple[int, str, str]]:
    assert isinstance(result, Failure), result
    return [(p.line, p.field, p.message) for p in result.failure()]


def places_of(result: Result[object, list[Problem]]) -> list[tuple[int, str]]:
    return [(line, field) for line, field, _ in problems_of(result)]


def test_settings_without_a_fault_pass() -> None:
    settings = check_settings(SETTINGS_TEXT, "entry-1.toml").unwrap()
    assert [peer.id for peer in settings.peers] == ["entry-2", "entry-3"]


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        pytest.param([('id = "entry-1"\n', "")], [(1, "member.id")], id="missing"),
        pytest.param(
            [("http_port = 8080", "http_prot = 8080")],
            [(5, "listen.http_port"), (7, "listen.http_prot")],
            id="misspelt",
        ),
        pytest.param(
            [("http_port = 8080", 'http_port = "8080"')],
            [(7, "listen.http_port")],
            id="a text for a number",
        ),
        pytest.param(
            [("http_port = 8080", "http_port = 8081")],
            [(8, "listen.peer_port")],
            id="one port twice",
        ),
        pytest.param(
            [('host = "192.0.2.1"', 'host = "entry-1.example"')],
            [(6, "listen.host")],
            id="a host name",
        ),
        pytest.param(
            [('log_url = "http://192.0.2.100:9000"', 'log_url = "http://"')],
            [(11, "platform.log_url")],
            id="half a URL",
        ),
        pytest.param(
            [(sha256_of("operator"), sha256_of("operator")[:-1])],
            [(15, "operators.key_sha256[0]")],
            id="a short hash",
        ),
        pytest.param(
            [('"entry-3"', '"entry-2"')],
            [(24, "peers[1].id")],
            id="one peer twice",
        ),
        pytest.param(
            [('"entry-3"', '"entry-1"')],
            [(24, "peers[1].id")],
            id="the member as a peer",
        ),
        pytest.param(
            [("192.0.2.3", "192.0.2.2")],
            [(26, "peers[1].host")],
            id="one address twice",
        ),
        pytest.param(
            [("192.0.2.2", "192.0.2.1")],
            [(20, "peers[0].host")],
            id="the member's address at a peer",
        ),
        pytest.param(
            [("heartbeat_ms = 250", "heartbeat_ms = 376")],
            [(31, "timing.owner_lease_ms")],
            id="three heartbeats a lease",
        ),
        pytest.param(
            [("heartbeat_ms = 250", "worker_sync_ms = 1334")],
            [(29, "timing.task_lease_ms")],
            id="two syncs a lease",
        ),
        pytest.param(
            [("heartbeat_ms = 250", "task_lease_ms = 1999")],
            [(30, "timing.task_lease_ms")],
            id="tasks lapse while the owner changes",
        ),
        pytest.param(
            [("heartbeat_ms = 250", "clock_margin_ms = 751")],
            [(31, "timing.owner_lease_ms")],
            id="a margin over half of the lease",
        ),
        pytest.param(
            [("heartbeat_ms = 250", "attempt_memory_ms = 1599")],
            [(30, "timing.attempt_memory_ms")],
            id="attempts forgotten within a lease",
        ),
    ],
)
def test_a_bad_setting_is_named_with_its_line(
    changes: Sequence[tuple[str, str]], places: list[tuple[int, str]]
) -> None:
    result = check_settings(settings_text(*changes), "entry-1.toml")
    assert places_of(result) == places


def test_bounds_of_the_timings_themselves_pass() -> None:
    text = settings_text(
        ("heartbeat_ms = 250", "heartbeat_ms = 375\ntask_lease_ms = 2000")
    )
    assert isinstance(check_settings(text, "entry-1.toml"), Success)


def test_every_problem_is_reported_at_once() -> None:
    text = settings_text(
        ('"entry-3"', '"entry-1"'),
        ("192.0.2.2", "192.0.2.1"),
        ("heartbeat_ms = 250", "heartbeat_ms = 400"),
    )
    result = check_settings(text, "entry-1.toml")
    assert places_of(result) == [
        (20, "peers[0].host"),
        (24, "peers[1].id"),
        (31, "timing.owner_lease_ms"),
    ]


def test_a_syntax_error_has_its_line() -> None:
    result = check_settings("[member]\nid = entry-1\n", "entry-1.toml")
    assert problems_of(result) == [(2, "", "Invalid value")]


def test_an_unfinished_text_has_the_last_line() -> None:
    result = check_settings('[member]\nid = """\nentry', "entry-1.toml")
    assert places_of(result) == [(3, "")]


def test_a_problem_reads_as_one_line() -> None:
    result = check_settings(settings_text(('id = "entry-1"\n', "")), "entry-1.toml")
    lines = [str(problem) for problem in result.failure()]
    assert lines == ["entry-1.toml:1: member.id: is required and missing"]


def test_a_teams_document_passes() -> None:
    document = check_document(TEAM, team_text()).unwrap()
    assert isinstance(document, TeamDocument)
    assert document.keys["counter"].sha256 == sha256_of("counter-key")


def test_a_queues_document_passes() -> None:
    document = check_document(QUEUE, 'service = "counter"\n').unwrap()
    assert isinstance(document, QueueDocument)


@pytest.mark.parametrize(
    ("text", "places"),
    [
        pytest.param("share = 0\n", [(1, "share")], id="no share"),
        pytest.param("share = nan\n", [(1, "share")], id="not a number"),
        pytest.param("share = inf\n", [(1, "share")], id="an endless share"),
        pytest.param("\n", [(0, "share")], id="empty"),
        pytest.param(
            "share = 1\n\n[ceiling]\ncores = -1\n",
            [(4, "ceiling.cores")],
            id="negative",
        ),
        pytest.param(
            'share = 1\nwhen_cut_off = "maybe"\n', [(2, "when_cut_off")], id="unknown"
        ),
        pytest.param(
            f'share = 1\n[keys."A b"]\nsha256 = "{sha256_of("k")}"\n',
            [(2, "keys.A b")],
            id="a bad name of a key",
        ),
        pytest.param(
            f'share = 1\n[keys.a]\nsha256 = "{sha256_of("k")}"\n'
            f'[keys.b]\nsha256 = "{sha256_of("k")}"\n',
            [(5, "keys.b.sha256")],
            id="one key twice",
        ),
        pytest.param(
            'share = 1\n[keys.a]\nkey = "secret"\n',
            [(2, "keys.a.sha256"), (3, "keys.a.key")],
            id="a key in place of its hash",
        ),
    ],
)
def test_a_bad_team_is_named_with_its_line(
    text: str, places: list[tuple[int, str]]
) -> None:
    assert places_of(check_document(TEAM, text)) == places


def test_problems_of_keys_and_fields_come_together() -> None:
    text = f'share = 0\n[keys."A"]\nsha256 = "{sha256_of("k")}"\n'
    assert places_of(check_document(TEAM, text)) == [(1, "share"), (2, "keys.A")]


@pytest.mark.parametrize(
    "path", ["teams", "teams/", "teams/A", "teams/a/b", "nodes/a", "", "/teams/a"]
)
def test_a_bad_path_is_refused(path: str) -> None:
    assert places_of(check_document(ConfigPath(path), team_text())) == [(0, "")]


def test_a_text_that_is_too_long_is_refused() -> None:
    result = check_document(TEAM, "#" * 65_537)
    assert problems_of(result) == [(0, "", "is longer than 65536 characters")]


def test_lines_are_found_behind_statements_of_several_lines() -> None:
    text = (
        "# a comment\n"
        "share = 1 # [keys.z]\n"
        "[ceiling]\n"
        "cores = 4\n"
        "[keys]\n"
        'a = { sha256 = """\\\n'
        f'  {sha256_of("a")}""" }}\n'
        'b.sha256 = "no hash"\n'
    )
    assert places_of(check_document(TEAM, text)) == [(8, "keys.b.sha256")]
