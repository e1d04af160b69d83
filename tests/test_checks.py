"""Settings and documents: which errors are reported, and on which lines."""

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


HASH = sha256_of("key")

HEARTBEAT = "heartbeat_ms = 250"
"""A line of the settings that tests replace."""


def problems_of(result: Result[object, list[Problem]]) -> list[tuple[int, str, str]]:
    assert isinstance(result, Failure), result
    return [(p.line, p.field, p.message) for p in result.failure()]


def places_of(result: Result[object, list[Problem]]) -> list[tuple[int, str]]:
    return [(line, field) for line, field, _ in problems_of(result)]


def test_valid_settings_pass() -> None:
    settings = check_settings(SETTINGS_TEXT, "entry-1.toml").unwrap()
    assert [peer.id for peer in settings.peers] == ["entry-2", "entry-3"]


@pytest.mark.parametrize(
    ("old", "new", "places"),
    [
        ('id = "entry-1"\n', "", [(1, "member.id")]),
        ("http_port", "port", [(5, "listen.http_port"), (7, "listen.port")]),
        ("http_port = 8080", 'http_port = "8080"', [(7, "listen.http_port")]),
        ("http_port = 8080", "http_port = 8081", [(8, "listen.peer_port")]),
        ('host = "192.0.2.1"', 'host = "entry-1.example"', [(6, "listen.host")]),
        ("http://192.0.2.100:9000", "http://", [(11, "platform.log_url")]),
        (sha256_of("operator"), "0" * 63, [(15, "operators.key_sha256[0]")]),
        ('"entry-3"', '"entry-2"', [(24, "peers[1].id")]),
        ('"entry-3"', '"entry-1"', [(24, "peers[1].id")]),
        ("192.0.2.3", "192.0.2.2", [(26, "peers[1].host")]),
        ("192.0.2.2", "192.0.2.1", [(20, "peers[0].host")]),
        (HEARTBEAT, "heartbeat_ms = 376", [(31, "timing.owner_lease_ms")]),
        (HEARTBEAT, "worker_sync_ms = 1334", [(29, "timing.task_lease_ms")]),
        (HEARTBEAT, "task_lease_ms = 1999", [(30, "timing.task_lease_ms")]),
        (HEARTBEAT, "clock_margin_ms = 751", [(31, "timing.owner_lease_ms")]),
        (HEARTBEAT, "attempt_memory_ms = 1599", [(30, "timing.attempt_memory_ms")]),
    ],
)
def test_invalid_setting_is_reported_with_its_line(
    old: str, new: str, places: list[tuple[int, str]]
) -> None:
    result = check_settings(settings_text((old, new)), "entry-1.toml")
    assert places_of(result) == places


def test_timings_equal_to_their_bounds_pass() -> None:
    text = settings_text(
        ("heartbeat_ms = 250", "heartbeat_ms = 375\ntask_lease_ms = 2000")
    )
    assert isinstance(check_settings(text, "entry-1.toml"), Success)


def test_all_problems_are_reported_at_once() -> None:
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


def test_syntax_error_is_reported_with_its_line() -> None:
    result = check_settings("[member]\nid = entry-1\n", "entry-1.toml")
    assert problems_of(result) == [(2, "", "Invalid value")]


def test_unterminated_string_is_reported_on_the_last_line() -> None:
    result = check_settings('[member]\nid = """\nentry', "entry-1.toml")
    assert places_of(result) == [(3, "")]


def test_problem_is_formatted_as_one_line() -> None:
    result = check_settings(settings_text(('id = "entry-1"\n', "")), "entry-1.toml")
    lines = [str(problem) for problem in result.failure()]
    assert lines == ["entry-1.toml:1: member.id: is required and missing"]


def test_valid_team_document_passes() -> None:
    document = check_document(TEAM, team_text()).unwrap()
    assert isinstance(document, TeamDocument)
    assert document.keys["counter"].sha256 == sha256_of("counter-key")


def test_valid_queue_document_passes() -> None:
    document = check_document(QUEUE, 'service = "counter"\n').unwrap()
    assert isinstance(document, QueueDocument)


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("share = 0\n", [(1, "share")]),
        ("share = nan\n", [(1, "share")]),
        ("share = inf\n", [(1, "share")]),
        ("\n", [(0, "share")]),
        ("share = 1\n\n[ceiling]\ncores = -1\n", [(4, "ceiling.cores")]),
        ('share = 1\nwhen_cut_off = "maybe"\n', [(2, "when_cut_off")]),
        (f'share = 1\n[keys."A b"]\nsha256 = "{HASH}"\n', [(2, "keys.A b")]),
        (
            f'share = 1\nkeys.a.sha256 = "{HASH}"\nkeys.b.sha256 = "{HASH}"\n',
            [(3, "keys.b.sha256")],
        ),
        (
            'share = 1\n[keys.a]\nkey = "secret"\n',
            [(2, "keys.a.sha256"), (3, "keys.a.key")],
        ),
    ],
)
def test_invalid_team_is_reported_with_its_line(
    text: str, places: list[tuple[int, str]]
) -> None:
    assert places_of(check_document(TEAM, text)) == places


def test_key_and_field_problems_are_reported_together() -> None:
    text = f'share = 0\n[keys."A"]\nsha256 = "{sha256_of("k")}"\n'
    assert places_of(check_document(TEAM, text)) == [(1, "share"), (2, "keys.A")]


@pytest.mark.parametrize(
    "path", ["teams", "teams/", "teams/A", "teams/a/b", "nodes/a", "", "/teams/a"]
)
def test_invalid_path_is_refused(path: str) -> None:
    assert places_of(check_document(ConfigPath(path), team_text())) == [(0, "")]


def test_too_long_text_is_refused() -> None:
    result = check_document(TEAM, "#" * 65_537)
    assert problems_of(result) == [(0, "", "is longer than 65536 characters")]


def test_lines_are_found_after_multiline_statements() -> None:
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


def test_lines_are_found_in_tables_inside_an_array() -> None:
    text = settings_text(("[timing]", "[peers.extra]\na = 1\n\n[timing]"))
    result = check_settings(text, "entry-1.toml")
    assert places_of(result) == [(29, "peers[1].extra")]
