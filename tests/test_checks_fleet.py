"""Checks of fleet files: what documents must agree on."""

import pytest
from returns.result import Failure, Success

from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.fleet_checks import check_fleet, check_fleet_text
from tamarackmount.ids import ConfigPath
from tests.utils.build_settings import sha256_of

FLEET_TEXT = f"""\
[teams.retail]
share = 2

[teams.retail.ceiling]
running_tasks = 10
cores = 4

[teams.retail.keys.counter]
sha256 = "{sha256_of("retail-key")}"

[teams.night]
share = 1
keys.render.sha256 = "{sha256_of("night-key")}"

[queues.counter]
service = "counter"
policy = "waiting-time"
"""


def places_of(text: str) -> list[tuple[int, str]]:
    result = check_fleet_text(text, "fleet.toml", {"waiting-time"})
    assert isinstance(result, Failure), result
    return [(problem.line, problem.field) for problem in result.failure()]


def test_a_fleet_without_a_fault_gives_its_documents() -> None:
    documents = check_fleet_text(FLEET_TEXT, "fleet.toml", {"waiting-time"}).unwrap()
    assert set(documents) == {"teams/retail", "teams/night", "queues/counter"}
    assert isinstance(documents[ConfigPath("teams/night")], TeamDocument)
    assert isinstance(documents[ConfigPath("queues/counter")], QueueDocument)


@pytest.mark.parametrize(
    ("old", "new", "places"),
    [
        pytest.param(
            "share = 2", "share = -2", [(2, "teams.retail.share")], id="share"
        ),
        pytest.param(
            "share = 2", "share = 10_000", [(12, "teams.night.share")], id="tiny share"
        ),
        pytest.param(
            "cores = 4",
            "cores = 0",
            [(6, "teams.retail.ceiling.cores")],
            id="tasks without cores",
        ),
        pytest.param(
            "running_tasks = 10",
            "running_tasks = 0",
            [(6, "teams.retail.ceiling.cores")],
            id="cores without tasks",
        ),
        pytest.param(
            sha256_of("night-key"),
            sha256_of("retail-key"),
            [(13, "teams.night.keys.render.sha256")],
            id="one key of two teams",
        ),
        pytest.param(
            '"waiting-time"',
            '"first-come"',
            [(17, "queues.counter.policy")],
            id="policy",
        ),
        pytest.param(
            'service = "counter"',
            "servce = 1",
            [(15, "queues.counter.service"), (16, "queues.counter.servce")],
            id="misspelt",
        ),
        pytest.param(
            "[teams.night]", "[teams.Night]", [(11, "teams.Night")], id="name"
        ),
        pytest.param(
            "[queues.counter]", "[nodes.counter]", [(15, "nodes")], id="unknown table"
        ),
    ],
)
def test_a_bad_fleet_is_named_with_its_line(
    old: str, new: str, places: list[tuple[int, str]]
) -> None:
    assert old in FLEET_TEXT
    assert places_of(FLEET_TEXT.replace(old, new, 1)) == places


def test_a_document_that_is_no_table_is_named() -> None:
    text = "[teams]\nretail = 1\n[queues]\n"
    assert places_of(text) == [(2, "teams.retail")]


def test_services_are_compared_only_with_known_ones() -> None:
    documents = check_fleet_text(FLEET_TEXT, "fleet.toml").unwrap()
    assert check_fleet(documents, services={"counter"}) == []
    problems = check_fleet(documents, services={"imaging", "orders"})
    assert [problem.message for problem in problems] == [
        "'counter' is unknown; known: imaging, orders"
    ]


def test_the_smallest_share_that_counts_passes() -> None:
    text = FLEET_TEXT.replace("share = 2", "share = 9_999", 1)
    assert isinstance(check_fleet_text(text, "fleet.toml"), Success)
