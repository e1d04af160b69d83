"""Clients outside the limits: cases that a review of the limits found open."""

import itertools
import string
import tracemalloc
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import MemberId, WorkspaceId
from tamarackmount.internal.bounded_channel import CONNECTION_ALLOWANCE_BYTES
from tamarackmount.internal.bounded_request import BoundedRequest, header
from tamarackmount.internal.connection_limit import ConnectionState
from tamarackmount.internal.refusals import Refusal
from tamarackmount.node.job_limits import JobLimit, JobLimits, JobLimitSizes
from tamarackmount.node.messages import StoreReply
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.record_relay import RecordRelay
from tamarackmount.node.submissions import StoreOutcome, StoreResult
from tamarackmount.node.tasks import Event
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.domain.model import JobPhase, JobSpec
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    JobProgress,
    RecordKind,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_channels import Policy, Port, post
from tests.utils.build_hostile_requests import PREFIX, with_length
from tests.utils.build_scheduling import job, step
from tests.utils.count_instructions import count_instructions
from tests.utils.hostile_clients import Script, connected
from tests.utils.running_node import Limits, running_node
from tests.utils.serve_store import Mode

NAMES = tuple(
    "".join(pair) for pair in itertools.product(string.ascii_letters, repeat=2)
)
MEMORY_BYTES = 300 * 1024 * 1024
FAR_UNIX_MS = 4_102_444_800_000
MAX_REPETITIONS = 20_000


def request_of(query: str = "", cookie: str = "") -> bytes:
    return (
        f"GET /served?{query} HTTP/1.1\r\nHost: h\r\nCookie: {cookie}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize(
    "data",
    [
        request_of(query="&".join(f"{name}=" for name in NAMES)),
        request_of(cookie=";".join(f"{name}=" for name in NAMES)),
        request_of(query="/" * 10_000).replace(b"?", b"/"),
    ],
    ids=["query", "cookies", "path"],
)
def test_decoded_parts_of_a_header_took_memory_that_was_not_counted(
    data: bytes,
) -> None:
    port = Port()
    port.resource.answers_at_once = False
    port.connect().send(request_of())
    connection = port.connect()
    tracemalloc.start()
    try:
        connection.send(data)
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert kept <= 4 * (CONNECTION_ALLOWANCE_BYTES + port.budget.used)


class HostPolicy(Policy):
    """Reads the host of each request, as the policy of the entry port does."""

    def refusal(self, request: BoundedRequest, path: str) -> Refusal | None:
        """Return no refusal for any host."""
        header(request, "host")
        return super().refusal(request, path)


def test_a_host_that_is_not_text_raised_an_error_in_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.utils.build_channels.Policy", HostPolicy)
    connection = Port().connect()
    connection.send(post(length=9_000).replace(b"Host: h", b"Host: \xff"))
    assert connection.statuses in ([400], [404])


def test_a_request_that_just_began_was_evicted_before_idle_connections() -> None:
    port = Port(max_connections=3)
    idle = [port.connect(), port.connect()]
    port.clock.advance(30.0)
    ordinary = port.connect()
    ordinary.send(post(b"body")[:-2])
    port.connect()
    assert idle[0].transport.is_aborted
    assert not ordinary.transport.is_aborted


def test_a_response_that_is_being_sent_was_dropped_for_a_new_connection() -> None:
    port = Port(max_connections=3)
    idle = [port.connect(), port.connect()]
    port.clock.advance(30.0)
    ordinary = port.connect()
    ordinary.send(post(b"body").replace(b"Host: h", b"Host: h\r\nConnection: close"))
    assert ordinary.statuses == [200]
    port.connect()
    assert port.observer.evictions == [ConnectionState.IDLE]
    assert idle[0].transport.is_aborted
    assert not ordinary.transport.is_aborted


def test_few_jobs_of_one_workspace_left_no_third_of_the_memory_to_others() -> None:
    reactor: Any = Clock()
    index = JobIndex()
    sizes = JobLimitSizes.of_memory(MEMORY_BYTES)
    limits = JobLimits(reactor, sizes, index, NodeMetrics())
    spec = JobSpec("text", (step(),), FAR_UNIX_MS, 1_000, MAX_REPETITIONS // 2)
    for number in range(20):
        accepted = replace(job(number), spec=spec, workspace_id=WorkspaceId("one"))
        text = encode_record(accepted)
        reservation = limits.try_reserve(accepted.job_id, text)
        if isinstance(reservation, JobLimit):
            break
        index.apply(job_key(accepted), text)
        limits.release(reservation)
    assert 0 < index.kept_bytes <= sizes.kept * 2 / 3


class TwoHolders:
    """A holder that does not answer, and the next one, which refuses all records."""

    def __init__(self) -> None:
        """Begin with the first holder."""
        self.holder = None
        self.holder_node = MemberId("first")
        self.new_holder_ready = Event()

    def next_call_id(self) -> int:
        """Return the id of a call."""
        return 1

    def call(self, node: MemberId, _query: Any, _timeout_s: float) -> "Deferred[Any]":
        """Send a query to a node."""
        reply: Deferred[Any] = Deferred()
        if node == MemberId("second"):
            reply.callback(StoreReply(1, StoreOutcome.REFUSED.value, 5))
        return reply

    def take_over(self) -> None:
        """Let the second node become the holder."""
        self.holder_node = MemberId("second")
        self.new_holder_ready.notify()


def test_a_job_was_refused_that_a_former_holder_may_have_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    monkeypatch.setattr("tamarackmount.node.clock.now", clock.seconds)
    holders: Any = TwoHolders()
    context: Any = SimpleNamespace(
        reactor=clock,
        links=SimpleNamespace(is_open=lambda _: True),
        peer_calls=holders,
    )
    limits: Any = None
    relay = RecordRelay(context, holders, limits, lambda _: True, lambda _: None)
    results: list[StoreResult | None] = []
    call: Any = relay.store(KeyedRecord("job/1", b"{}"), 1.0)
    ensureDeferred(call).addCallback(results.append)
    holders.take_over()
    (result,) = results
    assert result is not None
    assert result.outcome is StoreOutcome.UNKNOWN


def index_of_ended(count: int) -> JobIndex:
    index = JobIndex()
    ended = encode_record(JobProgress(JobPhase.COMPLETED))
    for number in range(count):
        accepted = job(number)
        index.apply(job_key(accepted), encode_record(accepted))
        index.apply(record_key(RecordKind.PROGRESS, accepted.job_id), ended)
    list(index.open_jobs())
    return index


def test_each_count_of_waiting_jobs_looked_at_all_jobs_that_had_ended() -> None:
    name = job().queue_name
    few, many = (
        count_instructions(partial(index_of_ended(count).waiting_count, name))
        for count in (50, 500)
    )
    assert many < 2 * few


LIMITS = Limits(memory_mib=128, file_descriptors=4_100)
"""Limits of the process; without callers it takes about 50 MiB."""

JOB_NUMBERS = range(1, 401)
"""One caller each."""


def test_small_jobs_with_long_queries_exhaust_the_node(tmp_path: Path) -> None:
    body = b'{"steps":[{"count":1}]}'
    query = "?" + "&".join(f"{name}=" for name in NAMES)
    scripts = []
    for number in JOB_NUMBERS:
        path = f"{PREFIX}{number:016x}"
        head = with_length(number, len(body)).decode()
        head = head.replace(path, path + query)
        scripts.append(Script((head.encode() + body,)))
    with running_node(LIMITS, tmp_path) as (node, store):
        store.set_mode(Mode.SILENT)
        with connected(node.entry, scripts) as crowd:
            crowd.wait_until_quiet(node.observe)
            store.set_mode(Mode.NORMAL)
            node.check_that_it_serves()
            node.check_limits()


MANY_JOB_NUMBERS = range(1, 701)
"""One caller each: more than the node may have connections."""


def test_small_jobs_that_wait_for_the_store_keep_all_other_callers_out(
    tmp_path: Path,
) -> None:
    body = b'{"steps":[{"count":1}]}'
    scripts = [
        Script((with_length(number, len(body)) + body,)) for number in MANY_JOB_NUMBERS
    ]
    with running_node(LIMITS, tmp_path) as (node, store):
        store.set_mode(Mode.SILENT)
        with connected(node.entry, scripts) as crowd:
            crowd.wait_until_quiet(node.observe)
            assert node.get(node.entry, "/unknown") is not None
            store.set_mode(Mode.NORMAL)
            node.check_that_it_serves()
            node.check_limits()
