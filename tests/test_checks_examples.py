"""The example files are valid, and errors put into them are found."""

import json
from pathlib import Path

import pytest
from returns.result import Failure, Success

from tamarackmount.checks import check_settings, parse_toml
from tamarackmount.cli.config_check import check_file
from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.fleet_checks import check_fleet_text
from tamarackmount.ids import ConfigPath
from tamarackmount.job_spec import parse_job_spec
from tamarackmount.plugins.queue_policies import queue_policies

EXAMPLES = Path(__file__).parent.parent / "examples"

HAMAGUCHI = "hamaguchi/fukuoka-entry-1.toml"
DERWENT = "derwent/hobart-entry-1.toml"

MIN_ENTRY_VMS = 6
MAX_ENTRY_VMS = 9


def read(name: str) -> str:
    return (EXAMPLES / name).read_text(encoding="utf-8")


def line_with(text: str, part: str) -> int:
    """Return the line, counted from 1, of the first occurrence of ``part``."""
    return text[: text.index(part)].count("\n") + 1


@pytest.mark.parametrize(
    ("name", "data_centres"),
    [(HAMAGUCHI, 3), (DERWENT, 4)],
)
def test_settings_list_all_entry_vms(name: str, data_centres: int) -> None:
    settings = check_settings(read(name), name).unwrap()
    member_data_centres = [settings.member.data_centre]
    member_data_centres += [peer.data_centre for peer in settings.peers]
    assert MIN_ENTRY_VMS <= len(member_data_centres) <= MAX_ENTRY_VMS
    assert len(set(member_data_centres)) == data_centres


@pytest.mark.parametrize(
    ("name", "queues", "policy"),
    [
        ("hamaguchi/fleet.toml", {"counter", "imaging"}, "waiting-time"),
        ("derwent/fleet.toml", {"orders", "bead-lab"}, "share-fairness"),
    ],
)
def test_fleets_have_six_teams_and_two_queues(
    name: str, queues: set[str], policy: str
) -> None:
    documents = check_fleet_text(read(name), name, queue_policies.names()).unwrap()
    teams = [d for d in documents.values() if isinstance(d, TeamDocument)]
    assert len(teams) == 6
    for queue in queues:
        document = documents[ConfigPath(f"queues/{queue}")]
        assert isinstance(document, QueueDocument)
        assert (document.service, document.policy) == (queue, policy)


@pytest.mark.parametrize(
    ("name", "old", "new", "field"),
    [
        (HAMAGUCHI, '"kagoshima-entry-3"', '"kagoshima-entry-2"', "peers[7].id"),
        (HAMAGUCHI, '"192.0.2.15"', '"192.0.2.11"', "peers[3].host"),
        (DERWENT, "lease_ms = 1500", "lease_ms = 999", "timing.owner_lease_ms"),
        (DERWENT, 'centre = "sorell', 'center = "sorell', "peers[5].data_center"),
        (
            "hamaguchi/fleet.toml",
            'when_cut_off = "refuse"',
            'when_cut_off = "reject"',
            "teams.print-partners.when_cut_off",
        ),
        (
            "derwent/fleet.toml",
            "running_tasks = 300",
            "running_tasks = 300.5",
            "teams.line-engineers.ceiling.running_tasks",
        ),
        (
            "derwent/fleet.toml",
            "max_waiting = 200",
            "max_waiting = -1",
            "queues.bead-lab.max_waiting",
        ),
    ],
)
def test_errors_are_found_on_their_line(
    name: str, old: str, new: str, field: str
) -> None:
    text = read(name)
    assert old in text
    result = check_file(text.replace(old, new, 1), name)
    assert isinstance(result, Failure)
    places = [(problem.line, problem.field) for problem in result.failure()]
    assert (line_with(text, old), field) in places


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.rglob("*.toml")), ids=lambda path: path.name
)
def test_every_example_passes_the_check(path: Path) -> None:
    result = check_file(path.read_text(encoding="utf-8"), path.name)
    assert isinstance(result, Success)


@pytest.mark.parametrize(
    "name", ["hamaguchi/nightly-renders.toml", "derwent/bead-training.toml"]
)
def test_job_files_are_valid(name: str) -> None:
    values = parse_toml(read(name), name).unwrap()
    assert isinstance(parse_job_spec(json.dumps(values)), Success)


def test_error_in_a_job_file_is_found_on_its_line() -> None:
    text = read("derwent/bead-training.toml")
    result = check_file(text.replace("cores = 8", "cores = 0"), "job")
    assert isinstance(result, Failure)
    places = [(problem.line, problem.field) for problem in result.failure()]
    assert places == [(line_with(text, "cores = 8"), "cores")]


def test_file_of_unknown_kind_is_refused() -> None:
    assert isinstance(check_file("colour = 1\n", "file"), Failure)
