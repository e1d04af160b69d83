"""Bodies of requests take no memory after their connection has returned it."""

import tracemalloc

import pytest
from twisted.internet.defer import Deferred

from tamarackmount.internal.bounded_channel import CONNECTION_ALLOWANCE_BYTES
from tamarackmount.internal.bounded_request import BoundedRequest
from tests.test_served_requests import BODY, Callers
from tests.utils.build_channels import Policy

COUNT = 50
LARGE_BODY = BODY + b" " * 60_000


class AnyPath(Policy):
    """Serves all paths."""

    def refusal(self, _request: BoundedRequest, _path: str) -> None:
        """Return no refusal."""


@pytest.mark.parametrize(
    ("method", "limit"), [("POST", COUNT), ("POST", 25), ("GET", 50), ("DELETE", 50)]
)
def test_bodies_were_kept_uncounted_while_requests_outlived_their_connections(
    method: str, limit: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.utils.build_channels.Policy", AnyPath)
    callers = Callers(limit)
    callers.jobs.refusing = Deferred()
    tracemalloc.start()
    try:
        for number in range(COUNT):
            connection = callers.send(method, number, LARGE_BODY)
            assert not connection.statuses
            connection.lose()
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert callers.port.budget.used == 0
    assert kept <= COUNT * CONNECTION_ALLOWANCE_BYTES
