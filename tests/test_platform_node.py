"""What an entry VM answers its callers, over the store's states."""

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
from tamarackmount.scheduling.model import JobPhase
from tests.utils.build_platform_documents import boot_document
from tests.utils.build_scheduling import job
from tests.utils.memory_store import MemoryStore

ID = job().job_id


class Entry:
    """A node without sockets, over a store in memory."""

    def __init__(self, append_s: float = 0.002) -> None:
        """Build a node that follows nothing yet."""
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = MemoryStore(self.clock, append_s)
        settings = decode_boot(orjson.dumps(boot_document())).unwrap()
        store: Any = self.store
        self.node = Node(settings, self.clock, store)

    def follow(self) -> None:
        """Let the node read the store."""
        self.node.follow_store()
        self.clock.pump([0.05] * 10)

    def result(self, call: Coroutine[Any, Any, Any], seconds: float = 4.0) -> Any:
        """Return what a call gives, and how long that took."""
        results: list[Any] = []
        begun = self.clock.seconds()
        ensureDeferred(call).addCallback(
            lambda found: results.append((found, self.clock.seconds() - begun))
        )
        while not results and self.clock.seconds() - begun < seconds:
            self.clock.advance(0.02)
        assert results, "no answer"
        found, self.took_s = results[0]
        return found

    def deadline(self) -> Instant:
        """Return when a caller with three seconds gives up."""
        return Instant(self.clock.seconds() + 3.0)

    def submit(self) -> ApiResponse:
        """Hand a job in."""
        answer: ApiResponse = self.result(self.node.jobs.submit(job(), self.deadline()))
        return answer

    def cancel(self) -> ApiResponse:
        """Cancel the job."""
        answer: ApiResponse = self.result(self.node.jobs.cancel(ID, self.deadline()))
        return answer

    def records(self, key: str) -> int:
        """Return how many records of a key the store holds."""
        return sum(1 for row in self.store.records(JOBS_TOPIC) if row.key == key)


def test_a_job_is_accepted_once_the_store_has_it() -> None:
    entry = Entry()
    entry.follow()
    assert entry.submit().status is HttpStatus.OK
    assert entry.records(f"job/{ID}") == 1
    assert entry.result(entry.node.jobs.phase(ID)) is JobPhase.QUEUED


def test_a_job_that_comes_again_is_the_same_job() -> None:
    entry = Entry()
    entry.follow()
    assert [entry.submit().status for _ in range(2)] == [HttpStatus.OK, HttpStatus.OK]
    assert entry.records(f"job/{ID}") == 1


def test_while_the_store_is_down_a_job_is_refused_at_once_with_a_time() -> None:
    entry = Entry()
    entry.follow()
    entry.store.is_down = True
    answer = entry.submit()
    assert answer.status is HttpStatus.SERVICE_UNAVAILABLE
    assert answer.retry_after_s
    assert entry.took_s < 0.5
    assert entry.records(f"job/{ID}") == 0


def test_an_append_without_an_answer_is_settled_by_another() -> None:
    entry = Entry()
    entry.follow()
    entry.store.replies_to_drop = 1
    assert entry.submit().status is HttpStatus.OK


def test_what_can_not_be_settled_in_time_is_never_called_not_run() -> None:
    entry = Entry()
    entry.follow()
    entry.store.replies_to_drop = 100
    assert entry.submit().status is HttpStatus.GATEWAY_TIMEOUT
    assert entry.took_s <= 3.0


def test_a_node_that_has_not_read_the_store_does_not_deny_a_job() -> None:
    entry = Entry()
    assert entry.result(entry.node.jobs.phase(ID)) is PhaseLookupFailure.UNAVAILABLE
    entry.follow()
    assert entry.result(entry.node.jobs.phase(ID)) is PhaseLookupFailure.NOT_SUBMITTED


def test_a_cancel_is_not_lost_on_a_node_that_has_just_started() -> None:
    entry = Entry()
    assert entry.cancel().status is HttpStatus.OK
    assert entry.records(f"cancel/{ID}") == 1


def test_a_job_that_nobody_handed_in_can_not_be_cancelled() -> None:
    entry = Entry()
    entry.follow()
    assert entry.cancel().status is HttpStatus.GONE
    assert entry.records(f"cancel/{ID}") == 0


@pytest.mark.parametrize("append_s", [0.2, 0.35])
def test_a_slow_store_is_not_flooded(append_s: float) -> None:
    entry = Entry(append_s)
    entry.follow()
    answers: list[ApiResponse] = []
    for number in range(20):
        call = entry.node.jobs.submit(job(number + 1), entry.deadline())
        ensureDeferred(call).addCallback(answers.append)
        entry.clock.advance(0.05)
    entry.clock.pump([0.05] * 80)
    assert len(answers) == 20
    assert {answer.status for answer in answers} == {HttpStatus.OK}
    appends = entry.store.appends
    assert appends <= 2 + int(5.0 / append_s)
