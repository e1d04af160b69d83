"""Requests above the limit of their kind are refused without a false answer."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant, JobId
from tamarackmount.node.http_api import (
    ApiResponse,
    Canceller,
    HttpStatus,
    JobsResource,
)
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.process_limits import ProcessLimits
from tamarackmount.node.served_requests import RequestKind, ServedRequests
from tests.utils.build_channels import Connection, Port
from tests.utils.build_job_queues import public_fleet

BODY = b'{"steps":[{"count":1}]}'
CROWDED = "tamarackmount_crowded_requests_total"


class WaitingJobs:
    """A node whose store doesn't answer until the test says so."""

    sends_callers_away = False
    max_steps = 10

    def __init__(self) -> None:
        """Start without requests."""
        self.fleet = public_fleet()
        self.waiting: list[Deferred[Any]] = []
        self.refusing: Deferred[ApiResponse] | None = None

    async def wait_turn(self, _size: int, _deadline: Instant) -> bool:
        return True

    async def refuse_large(self, _job_id: JobId, _deadline: Instant) -> ApiResponse:
        if self.refusing is not None:
            return await self.refusing
        return ApiResponse(HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=1)

    async def submit(self, _job: Any, _deadline: Instant) -> Any:
        return await self._wait()

    async def cancel(
        self, _job_id: JobId, _canceller: Canceller, _deadline: Instant
    ) -> Any:
        return await self._wait()

    async def phase(self, _job_id: JobId) -> Any:
        return await self._wait()

    async def _wait(self) -> Any:
        self.waiting.append(Deferred())
        return await self.waiting[-1]


class Callers:
    """Callers of a node that serves a number of requests of each kind at once."""

    def __init__(self, limit: int = 1) -> None:
        """Serve up to ``limit`` requests of each kind."""
        self.jobs = WaitingJobs()
        self.metrics = NodeMetrics()
        jobs: Any = self.jobs
        self.port = Port(max_connections=1_000)
        self.port.site.resource = JobsResource(
            jobs, self.metrics, ServedRequests(dict.fromkeys(RequestKind, limit))
        )

    def send(self, method: str, number: int, body: bytes = b"") -> Connection:
        """Send a request for a job on a new connection."""
        (queue,) = self.jobs.fleet.queues_by_name.values()
        body = body or (BODY if method == "POST" else b"")
        connection = self.port.connect()
        head = f"{method} {queue.prefix}/{number:016x} HTTP/1.1\r\nHost: h\r\n"
        connection.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return connection


@pytest.mark.parametrize(
    ("method", "kind"),
    [("POST", "submission"), ("GET", "lookup"), ("DELETE", "cancellation")],
)
def test_requests_that_wait_for_the_store_took_all_connections(
    method: str, kind: str
) -> None:
    callers = Callers()
    assert not callers.send(method, 1).statuses
    refused = callers.send(method, 2)
    assert refused.statuses == [503]
    assert b"Retry-After: 1" in refused.sent
    assert f'{CROWDED}{{kind="{kind}"}} 1' in callers.metrics.render().decode()


def test_submissions_that_wait_kept_lookups_and_cancellations_out() -> None:
    callers = Callers()
    callers.send("POST", 1)
    callers.send("POST", 2)
    callers.send("GET", 3)
    callers.send("DELETE", 4)
    assert len(callers.jobs.waiting) == 3


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_a_repeated_request_was_refused_while_its_first_attempt_was_served(
    method: str,
) -> None:
    callers = Callers()
    callers.send(method, 1)
    assert callers.send(method, 1).statuses == [504]


def test_refusals_that_ask_other_nodes_took_all_connections() -> None:
    callers = Callers()
    callers.jobs.refusing = Deferred()
    callers.send("POST", 1)
    assert not callers.send("POST", 2).statuses
    assert callers.send("POST", 3).statuses == [504]


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_places_were_kept_after_an_answer_or_an_error(method: str) -> None:
    callers = Callers()
    callers.send(method, 1)
    callers.jobs.waiting[-1].callback(ApiResponse(HttpStatus.OK))
    callers.send(method, 1)
    callers.jobs.waiting[-1].errback(RuntimeError("store"))
    callers.send(method, 2)
    assert len(callers.jobs.waiting) == 3


def test_served_requests_left_no_connections_to_others() -> None:
    limits = ProcessLimits(1, 1, entry_connections=546, peer_connections=1)
    assert sum(limits.served_by_kind.values()) < 546
    assert limits.served_by_kind[RequestKind.SUBMISSION] == 273
