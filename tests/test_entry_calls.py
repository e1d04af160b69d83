"""How an entry VM reads the calls of its callers, and how it counts them."""

from typing import Any

import pytest
from twisted.web.test.requesthelper import DummyRequest

from tamarackmount.node import clock
from tamarackmount.node.http_api import (
    DEFAULT_DEADLINE_MS,
    OTHER_VERB,
    JobsResource,
    parse_deadline,
)


def seconds_left(text: str) -> float:
    request: Any = DummyRequest([])
    request.requestHeaders.addRawHeader(b"deadline-remaining", text.encode())
    return parse_deadline(request) - clock.now()


@pytest.mark.parametrize("text", ["nan", "inf", "1e300", "soon", ""])
def test_a_malformed_deadline_counts_as_the_default(text: str) -> None:
    assert 0.0 < seconds_left(text) <= DEFAULT_DEADLINE_MS / 1_000


@pytest.mark.parametrize("text", ["-inf", "-5", "0"])
def test_a_deadline_in_the_past_has_passed(text: str) -> None:
    assert -0.1 <= seconds_left(text) <= 0.0


class RecordedCalls:
    """Keeps the labels of the calls that are counted."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.verbs: list[str] = []

    def record_request(self, verb: str, _status: int, _took_s: float) -> None:
        self.verbs.append(verb)


class StartingNode:
    """A node that has no configuration yet."""

    fleet = None
    sends_callers_away = False


def test_unknown_methods_are_counted_under_one_label() -> None:
    calls: Any = RecordedCalls()
    node: Any = StartingNode()
    resource = JobsResource(node, calls)
    for method in (b"GET", b"BREW", b"WHISK"):
        request: Any = DummyRequest([])
        request.method = method
        request.path = b"/"
        resource.render(request)
    assert calls.verbs == ["GET", OTHER_VERB, OTHER_VERB]
