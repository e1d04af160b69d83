"""Responses of an entry VM to callers in different states of the store."""

from collections.abc import Coroutine
from typing import Any

import orjson
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import Instant
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.http_api import ApiResponse, HttpStatus, PhaseLookupFailure
from tamarackmount.node.node import Node
from tamarackmount.platform.boot import decode_boot
from tamarackmount.scheduling.domain.model import JobPhase
from tests.utils.build_cancels import CALLER
from tests.utils.build_platform_documents import boot_document
from tests.utils.build_scheduling import job
from tests.utils.memory_store import MemoryStore

ID = job().job_id


class NodeHarness:
    """A node without sockets, over an in-memory store."""

    def __init__(self, append_s: float = 0.002) -> None:
        """Build a node that does not follow the store yet."""
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = MemoryStore(self.clock, append_s)
        settings = decode_boot(orjson.dumps(boot_document())).unwrap()
        store: Any = self.store
        self.node = Node(settings, self.clock, store)

    def follow_store(self) -> None:
        """Let the node read the store to its end."""
        self.node.follow_store()
        self.clock.pump([0.05] * 10)

    def run(self, call: Coroutine[Any, Any, Any], seconds: float = 4.0) -> Any:
        """Return the result of a call; ``took_s`` is then its duration."""
        results: list[Any] = []
        started_at = self.clock.seconds()
        ensureDeferred(call).addCallback(
            lambda value: results.append((value, self.clock.seconds() - started_at))
        )
        while not results and self.clock.seconds() - started_at < seconds:
            self.clock.advance(0.02)
        assert results, "no answer"
        value, self.took_s = results[0]
        return value

    def deadline(self) -> Instant:
        """Return the deadline of a caller that waits three seconds."""
        return Instant(self.clock.seconds() + 3.0)

    def submit(self) -> ApiResponse:
        """Submit the job."""
        answer: ApiResponse = self.run(self.node.jobs.submit(job(), self.deadline()))
        return answer

    def cancel(self) -> ApiResponse:
        """Cancel the job."""
        answer: ApiResponse = self.run(
            self.node.jobs.cancel(ID, CALLER, self.deadline())
        )
        return answer

    def records(self, key: str) -> int:
        """Return the number of records with a key in the store."""
        return sum(1 for row in self.store.records(JOBS_TOPIC) if row.key == key)


def test_job_is_accepted_once_stored() -> None:
    harness = NodeHarness()
    harness.follow_store()
    assert harness.submit().status is HttpStatus.OK
    assert harness.records(f"job/{ID}") == 1
    assert harness.run(harness.node.jobs.phase(ID)) is JobPhase.QUEUED


def test_resubmitted_job_is_stored_once() -> None:
    harness = NodeHarness()
    harness.follow_store()
    assert [harness.submit().status for _ in range(2)] == [HttpStatus.OK, HttpStatus.OK]
    assert harness.records(f"job/{ID}") == 1


def test_job_that_exceeds_the_store_limit_of_a_record_is_rejected() -> None:
    harness = NodeHarness()
    harness.follow_store()
    harness.store.max_record_bytes = 100
    assert harness.submit().status is HttpStatus.TOO_LARGE
    assert harness.records(f"job/{ID}") == 0


def test_job_is_rejected_with_retry_time_while_store_is_down() -> None:
    harness = NodeHarness()
    harness.follow_store()
    harness.store.is_down = True
    answer = harness.submit()
    assert answer.status is HttpStatus.SERVICE_UNAVAILABLE
    assert answer.retry_after_s
    assert harness.took_s < 0.5
    assert harness.records(f"job/{ID}") == 0


def test_append_with_lost_response_is_repeated() -> None:
    harness = NodeHarness()
    harness.follow_store()
    harness.store.replies_to_drop = 1
    assert harness.submit().status is HttpStatus.OK


def test_unknown_outcome_at_deadline_is_gateway_timeout() -> None:
    harness = NodeHarness()
    harness.follow_store()
    harness.store.replies_to_drop = 100
    assert harness.submit().status is HttpStatus.GATEWAY_TIMEOUT
    assert harness.took_s <= 3.0


def test_job_is_not_denied_before_store_is_read() -> None:
    harness = NodeHarness()
    assert harness.run(harness.node.jobs.phase(ID)) is PhaseLookupFailure.UNAVAILABLE
    harness.follow_store()
    assert harness.run(harness.node.jobs.phase(ID)) is PhaseLookupFailure.NOT_SUBMITTED


def test_job_is_not_denied_while_the_store_can_not_be_read() -> None:
    harness = NodeHarness()
    harness.follow_store()
    harness.store.is_down = True
    assert harness.run(harness.node.jobs.phase(ID)) is PhaseLookupFailure.UNAVAILABLE


def test_cancellation_is_stored_before_store_is_read() -> None:
    harness = NodeHarness()
    assert harness.cancel().status is HttpStatus.OK
    assert harness.records(f"cancel/{ID}") == 1


def test_a_cancellation_of_an_unknown_job_is_stored_once() -> None:
    harness = NodeHarness()
    harness.follow_store()
    for _ in range(2):
        assert harness.cancel().status is HttpStatus.GONE
        assert harness.records(f"cancel/{ID}") == 1


@pytest.mark.parametrize("append_s", [0.2, 0.35])
def test_slow_store_is_not_flooded(append_s: float) -> None:
    harness = NodeHarness(append_s)
    harness.follow_store()
    answers: list[ApiResponse] = []
    for number in range(20):
        call = harness.node.jobs.submit(job(number + 1), harness.deadline())
        ensureDeferred(call).addCallback(answers.append)
        harness.clock.advance(0.05)
    harness.clock.pump([0.05] * 80)
    assert len(answers) == 20
    assert {answer.status for answer in answers} == {HttpStatus.OK}
    appends = harness.store.appends
    assert appends <= 2 + int(5.0 / append_s)
