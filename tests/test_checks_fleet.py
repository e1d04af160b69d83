"""Fleet files: checks of each document and between documents."""

import pytest
from returns.result import Failure, Success

from tamarackmount.documents import QueueDocument, TeamDocument
from tamarackmount.fleet_checks import check_fleet, check_fleet_text
from tamarackmount.ids import ConfigPath
from tests.utils.build_settings import sha256_of

RETAIL_HASH = sha256_of("retail-key")
NIGHT_HASH = sha256_of("night-key")

FLEET_TEXT = f"""\
[teams.retail]
share = 2

[teams.retail.ceiling]
running_tasks = 10
cores = 4

[teams.retail.keys.counter]
sha256 = "{RETAIL_HASH}"

[teams.night]
share = 1
keys.render.sha256 = "{NIGHT_HASH}"

[queues.counter]
service = "counter"
policy = "waiting-time"
"""


def places_of(text: str) -> list[tuple[int, str]]:
    result = check_fleet_text(text, "fleet.toml", {"waiting-time"})
    assert isinstance(result, Failure), result
    return [(problem.line, problem.field) for problem in result.failure()]


def test_valid_fleet_returns_its_documents() -> None:
    documents = check_fleet_text(FLEET_TEXT, "fleet.toml", {"waiting-time"}).unwrap()
    assert set(documents) == {"teams/retail", "teams/night", "queues/counter"}
    assert isinstance(documents[ConfigPath("teams/night")], TeamDocument)
    assert isinstance(documents[ConfigPath("queues/counter")], QueueDocument)


@pytest.mark.parametrize(
    ("old", "new", "places"),
    [
        ("share = 2", "share = -2", [(2, "teams.retail.share")]),
        ("share = 2", "share = 10_000", [(12, "teams.night.share")]),
        ("cores = 4", "cores = 0", [(6, "teams.retail.ceiling.cores")]),
        ("tasks = 10", "tasks = 0", [(6, "teams.retail.ceiling.cores")]),
        (NIGHT_HASH, RETAIL_HASH, [(13, "teams.night.keys.render.sha256")]),
        ('"waiting-time"', '"first-come"', [(17, "queues.counter.policy")]),
        (
            'service = "counter"',
            "servce = 1",
            [(15, "queues.counter.service"), (16, "queues.counter.servce")],
        ),
        ("[teams.night]", "[teams.Night]", [(11, "teams.Night")]),
        ("[queues.counter]", "[nodes.counter]", [(15, "nodes")]),
    ],
)
def test_invalid_fleet_is_reported_with_its_line(
    old: str, new: str, places: list[tuple[int, str]]
) -> None:
    assert old in FLEET_TEXT
    assert places_of(FLEET_TEXT.replace(old, new, 1)) == places


def test_document_that_is_not_a_table_is_reported() -> None:
    text = "[teams]\nretail = 1\n[queues]\n"
    assert places_of(text) == [(2, "teams.retail")]


def test_services_are_checked_if_known_services_are_given() -> None:
    documents = check_fleet_text(FLEET_TEXT, "fleet.toml").unwrap()
    assert check_fleet(documents, services={"counter"}) == []
    problems = check_fleet(documents, services={"imaging", "orders"})
    assert [problem.message for problem in problems] == [
        "'counter' is unknown; known: imaging, orders"
    ]


def test_smallest_allowed_share_passes() -> None:
    text = FLEET_TEXT.replace("share = 2", "share = 9_999", 1)
    assert isinstance(check_fleet_text(text, "fleet.toml"), Success)
