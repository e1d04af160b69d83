"""What callers' jobs may take of a node's memory and time."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import orjson
import pytest
from returns.result import Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tamarackmount.adapters.http_exchange import Answer, HttpExchanger
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.internal.addresses import Address
from tamarackmount.kernel.messages import HttpHeader
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.job_limits import JobLimit, JobLimits, JobLimitSizes
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.node import Node
from tamarackmount.node.paced_queue import SMALL_BYTES
from tamarackmount.platform.boot import decode_boot
from tamarackmount.platform.jobs import decode_job
from tamarackmount.scheduling.domain.fleet_config import group_by_host
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    JobProgress,
    RecordKind,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_large_jobs import labelled_body, padded_body, scheduled_body
from tests.utils.build_platform_documents import boot_document
from tests.utils.build_scheduling import LOW_PRIORITY, fleet_config, job, queue, step
from tests.utils.memory_network import MemoryNetwork
from tests.utils.memory_store import MemoryStore

PORT = 7_100
MAX_BODY_BYTES = 262_144
DECODE_S = 0.25
MEMORY_MIB = 64


class Callers:
    """Callers of one node, over a network in memory.

    ``decoded`` has the sizes of the bodies that the node has decoded.
    """

    def __init__(self, memory_mib: int = MEMORY_MIB) -> None:
        """Start a node whose process may use ``memory_mib``."""
        self.network = MemoryNetwork()
        self.store = MemoryStore(self.network)
        self.decoded: list[int] = []
        self.answers: list[Answer] = []
        document = boot_document()
        document["limits"]["memoryMb"] = memory_mib
        settings = decode_boot(orjson.dumps(document)).unwrap()
        self.sizes = JobLimitSizes.of_memory(settings.memory_bytes)
        store: Any = self.store
        self.node = Node(settings, self.network, store)
        public = queue(LOW_PRIORITY, 2, is_public=True, host=f"127.0.0.1:{PORT}")
        queues = {LOW_PRIORITY: public}
        self.node._context.fleet = replace(
            fleet_config(),
            queues_by_name=queues,
            queues_by_host=group_by_host(queues),
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.node.follow_store()
        self.network.elapse(1.0)
        self.node._ports.listen_for_callers(
            Address("127.0.0.1", PORT), self.node._jobs_resource
        )

    def decode_slowly(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let each body take ``DECODE_S`` to decode."""

        def decode(body: bytes, max_steps: int) -> Result[Any, Any]:
            self.decoded.append(len(body))
            if len(body) > MAX_BODY_BYTES // 2:
                self.network.rightNow += DECODE_S
            return decode_job(body, max_steps)

        monkeypatch.setattr("tamarackmount.node.http_api.decode_job", decode)

    def submit(self, number: int, body: bytes) -> "Deferred[Any]":
        """Send a job; its answer is added to ``answers`` too."""
        exchanger = HttpExchanger(self.network, Limits(0, 1.0, 1_000_000))
        answer = exchanger.send(
            "POST",
            f"http://127.0.0.1:{PORT}/{LOW_PRIORITY}/{number:016x}",
            [HttpHeader("Deadline-Remaining", "600000")],
            body,
            Instant(self.network.seconds() + 600),
        )
        answer.addCallback(self._record)
        return answer

    def _record(self, result: Result[Answer, Any]) -> Answer:
        answer = result.unwrap()
        self.answers.append(answer)
        return answer

    def statuses(self, answers: Sequence["Deferred[Any]"]) -> list[int]:
        return [self.network.wait(answer).status for answer in answers]


def retry_after_s(answer: Answer) -> int:
    values = [h.value for h in answer.headers if h.name.lower() == "retry-after"]
    return int(values[0])


def test_large_bodies_that_came_at_once_kept_a_small_one_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callers = Callers()
    callers.decode_slowly(monkeypatch)
    large = [callers.submit(one, padded_body(MAX_BODY_BYTES)) for one in range(10)]
    small = callers.submit(99, padded_body(100))
    assert callers.statuses([small]) == [200]
    assert len(callers.decoded) < 5
    assert callers.statuses(large) == [200] * 10


def test_large_bodies_were_all_kept_until_they_were_decoded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callers = Callers()
    callers.decode_slowly(monkeypatch)
    fitting = callers.sizes.waiting // MAX_BODY_BYTES
    large = [
        callers.submit(one, padded_body(MAX_BODY_BYTES)) for one in range(2 * fitting)
    ]
    callers.network.elapse(0.2)
    assert len(callers.answers) >= fitting - 3
    assert {answer.status for answer in callers.answers} <= {200, 503}
    refused = [answer for answer in callers.answers if answer.status == 503]
    assert all(retry_after_s(answer) >= 1 for answer in refused)
    statuses = callers.statuses(large)
    assert statuses.count(200) == len(callers.decoded)


def test_a_stored_job_was_refused_when_its_large_body_came_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callers = Callers()
    body = padded_body(MAX_BODY_BYTES)
    assert callers.statuses([callers.submit(1, body)]) == [200]
    callers.decode_slowly(monkeypatch)
    for one in range(2, 50):
        callers.submit(one, body)
    assert callers.statuses([callers.submit(1, body)]) == [200]


def test_jobs_that_waited_for_a_slow_store_were_kept_without_bound() -> None:
    callers = Callers(memory_mib=16)
    callers.store.append_latency_s = 30.0
    jobs = [callers.submit(one, labelled_body(SMALL_BYTES)) for one in range(60)]
    callers.network.elapse(1.0)
    limits = callers.node.jobs._limits
    assert 0 < limits.pending.peak <= callers.sizes.pending
    assert {answer.status for answer in callers.answers} == {503}
    assert all(retry_after_s(answer) >= 1 for answer in callers.answers)
    assert len(callers.answers) > len(jobs) // 3
    callers.store.append_latency_s = 0.002
    callers.network.elapse(600.0)
    assert limits.pending.used == 0
    assert callers.statuses([callers.submit(99, labelled_body(SMALL_BYTES))]) == [200]


def test_a_job_that_waited_for_a_lost_store_was_refused_when_it_came_again() -> None:
    callers = Callers()
    callers.store.append_latency_s = 30.0
    body = labelled_body(100)
    first = callers.submit(1, body)
    callers.network.elapse(4.0)
    assert callers.statuses([callers.submit(1, body)]) == [504]
    assert callers.statuses([callers.submit(2, body)]) == [503]
    callers.store.append_latency_s = 0.002
    callers.network.elapse(500.0)
    assert callers.statuses([first]) == [200]


def test_jobs_were_accepted_until_they_filled_the_memory() -> None:
    callers = Callers(memory_mib=6)
    statuses = [
        callers.network.wait(callers.submit(one, scheduled_body(200))).status
        for one in range(10)
    ]
    assert statuses == sorted(statuses)
    assert set(statuses) == {200, 429}
    index = callers.node._context.job_index
    assert 0 < index.kept_bytes <= callers.sizes.kept
    refused = [answer for answer in callers.answers if answer.status == 429]
    assert all(retry_after_s(answer) >= 1 for answer in refused)
    assert len(callers.store.records(JOBS_TOPIC)) == statuses.count(200)


def test_jobs_that_came_at_once_were_accepted_beyond_the_memory() -> None:
    callers = Callers(memory_mib=6)
    jobs = [callers.submit(one, scheduled_body(200)) for one in range(10)]
    statuses = callers.statuses(jobs)
    assert set(statuses) == {200, 429}
    assert callers.node._context.job_index.kept_bytes <= callers.sizes.kept


def test_a_kept_job_was_refused_when_it_came_again() -> None:
    callers = Callers(memory_mib=6)
    for one in range(10):
        callers.network.wait(callers.submit(one, scheduled_body(200)))
    assert callers.answers[-1].status == 429
    assert callers.statuses([callers.submit(0, scheduled_body(200))]) == [200]


def test_no_job_was_accepted_after_the_memory_had_been_full() -> None:
    callers = Callers(memory_mib=6)
    for one in range(10):
        callers.network.wait(callers.submit(one, scheduled_body(200)))
    ended = encode_record(JobProgress(JobPhase.COMPLETED, final_unix_ms=1))
    index = callers.node._context.job_index
    for job_id in list(index.jobs_by_id):
        index.apply(record_key(RecordKind.PROGRESS, job_id), ended)
    assert callers.statuses([callers.submit(99, scheduled_body(200))]) == [200]


def test_one_workspace_filled_the_memory_and_the_others_were_refused() -> None:
    reactor: Any = Clock()
    index = JobIndex()
    sizes = JobLimitSizes.of_memory(MEMORY_MIB * 1024 * 1024)
    limits = JobLimits(reactor, sizes, index, NodeMetrics())
    accepted_by_workspace: Counter[str] = Counter()
    for number in range(2_000):
        workspace = "greedy" if number < 1_500 else f"other {number % 3}"
        accepted = replace(
            job(number, *[step()] * 10), workspace_id=WorkspaceId(workspace)
        )
        text = encode_record(accepted)
        reservation = limits.try_reserve(accepted.job_id, text)
        if reservation is JobLimit.KEPT_JOBS:
            continue
        assert not isinstance(reservation, JobLimit)
        index.apply(job_key(accepted), text)
        limits.release(reservation)
        accepted_by_workspace[workspace] += 1
    assert index.kept_bytes <= sizes.kept
    assert 100 < accepted_by_workspace["greedy"] < 1_500
    assert min(accepted_by_workspace[f"other {one}"] for one in range(3)) > 25
    assert index.kept_bytes == index.kept_bytes_by_workspace.total()


def test_a_small_job_was_refused_after_large_ones_of_its_workspace() -> None:
    callers = Callers(memory_mib=32)
    for one in range(10):
        callers.network.wait(callers.submit(one, scheduled_body(700)))
    assert {answer.status for answer in callers.answers} == {200, 429}
    assert callers.statuses([callers.submit(99, scheduled_body(1))]) == [200]


def test_refusals_and_kept_memory_are_in_the_metrics() -> None:
    callers = Callers(memory_mib=6)
    for one in range(10):
        callers.network.wait(callers.submit(one, scheduled_body(200)))
    callers.network.elapse(1.0)
    context = callers.node._context
    text = context.metrics.render().decode()
    refused = sum(answer.status == 429 for answer in callers.answers)
    name = "tamarackmount_job_limit_refusals_total"
    assert f'{name}{{limit="kept_jobs"}} {refused}' in text
    assert f"tamarackmount_kept_job_bytes {context.job_index.kept_bytes}" in text
