"""Calls to workers that restart under their ids, at the limits of what guards them."""

import random
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from tamarackmount.ids import Epoch, Instant
from tamarackmount.node import clock
from tamarackmount.platform.http import CallResult, HttpClient
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.domain.worker_reports import OrderResult
from tests.test_platform_calls import IDENTIFIED, Peer, encode_reply, start_order
from tests.utils import connected_pool, worker_network
from tests.utils.build_scheduling import job, step
from tests.utils.connected_pool import ConnectedPool
from tests.utils.connected_workers import LateCall, Respond
from tests.utils.worker_network import STEP_S, HolderReactor

LONG_S = 30.0
"""Duration of a task that outlives every lease, in seconds."""

MAX_URGENT_DELAY_S = 0.5
"""Time that urgent jobs have to spare, in seconds."""

BuildPool = Callable[[int], ConnectedPool]

KINDS = pytest.mark.parametrize(
    "kind",
    [{}, {"gang": True}, {"perpetual": True}],
    ids=["plain", "gang", "perpetual"],
)


class EarlierHttpClient(HttpClient):
    """Client of an earlier version, which doesn't ask which peer answers."""

    async def call(self, *args: Any, **options: Any) -> CallResult:
        """Send one request to whoever answers."""
        options.pop("question", None)
        return await super().call(*args, **options)


@pytest.fixture
def build_pool(monkeypatch: pytest.MonkeyPatch) -> BuildPool:
    """Return a function that builds a pool and sets the process's clock to its time."""

    def build(workers: int) -> ConnectedPool:
        pool = ConnectedPool(workers, lambda: LONG_S, random.Random(1))
        monkeypatch.setattr(clock, "now", lambda: Instant(pool.now))
        return pool

    return build


@KINDS
def test_two_runs_of_a_task_as_the_former_holder_ran_an_earlier_version(
    build_pool: BuildPool, monkeypatch: pytest.MonkeyPatch, kind: dict[str, Any]
) -> None:
    """A rolling upgrade: only the next holder asks connections for their peer."""
    with monkeypatch.context() as earlier:
        earlier.setattr(connected_pool, "HttpClient", EarlierHttpClient)
        pool = build_pool(2)
    pool.run(3.0)
    pool.restart("w0", down_s=0.05, registered_after_s=3.0, resets=False)
    pool.submit(job(1, step(3, **kind)))
    pool.run_until(lambda: pool.has_runs("w0"), 0.5)
    pool.cut("w0", 20.0)
    pool.kill_holder(vacant_s=0.5)
    pool.run(20.0)
    assert not pool.violations


def late_poll(pool: ConnectedPool, name: str, after_s: float) -> LateCall:
    """Return a poll of the former incarnation that the next one carries out."""
    machine = pool.machines[name]
    body = {
        "fencingToken": 7,
        "ackCursor": 0,
        "untilMs": machine.life.clock_ms(pool.now) + 6_000,
    }
    return LateCall(pool.now + after_s, machine, machine.life, "/api/hold", body)


@KINDS
def test_two_runs_of_a_task_as_a_late_renewal_came_to_the_next_incarnation(
    build_pool: BuildPool, kind: dict[str, Any]
) -> None:
    """The former incarnation had left the renewal unanswered."""
    pool = build_pool(2)
    pool.cut("w1", 9.0)
    pool.run(3.0)
    pool.workers.outlives_crashes = True
    pool.workers._late.append(late_poll(pool, "w0", after_s=4.0))
    pool.restart("w0", down_s=0.05, registered_after_s=0.0, resets=True)
    pool.run(2.0)
    pool.submit(job(1, step(3, **kind)))
    pool.run(2.1)
    assert pool.has_runs("w0")
    assert pool.workers.late_calls
    pool.cut("w0", 20.0)
    pool.run(20.0)
    assert not pool.violations


def test_a_task_that_was_done_ran_again_as_a_late_poll_acknowledged_its_end(
    build_pool: BuildPool,
) -> None:
    """The next incarnation forgot its ends up to the former one's cursor."""
    pool = build_pool(1)
    pool.workers._work_s = lambda: 1.0
    pool.run(3.0)
    pool.workers.outlives_crashes = True
    call = late_poll(pool, "w0", after_s=3.3)
    call.body["ackCursor"] = 1
    pool.workers._late.append(call)
    pool.restart("w0", down_s=0.05, registered_after_s=0.0, resets=True)
    pool.run(1.95)
    pool.submit(job(1, step(1)))
    pool.run_until(lambda: pool.has_runs("w0"), 0.5)
    pool.cut("w0", 1.5)
    pool.run(20.0)
    assert pool.workers.late_calls
    assert not pool.violations


def test_a_late_order_that_the_former_incarnation_had_stopped_ran_on_the_next(
    build_pool: BuildPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All workers are in touch; the next incarnation does not know of the stop."""
    pool = build_pool(2)
    pool.workers.outlives_crashes = True
    held: list[LateCall] = []
    carry_out = pool.workers.handle

    def hold_first_order(name: str, request: bytes, respond: Respond) -> None:
        if held or b"/api/run-start" not in request:
            carry_out(name, request, respond)
            return
        machine = pool.machines[name]
        body = orjson.loads(request.partition(b"\r\n\r\n")[2])
        held.append(
            LateCall(pool.now + 5.0, machine, machine.life, "/api/run-start", body)
        )
        pool.workers._late += held

    monkeypatch.setattr(pool.workers, "handle", hold_first_order)
    pool.run(3.0)
    pool.submit(job(1, step()))
    pool.run(2.0)
    assert pool.workers.starts == 1
    pool.restart(held[0].machine.name, 0.05, registered_after_s=0.0, resets=True)
    pool.run(10.0)
    assert pool.workers.late_calls == 1
    assert not pool.violations


def test_a_restart_that_an_order_had_met_was_not_asked_about(
    build_pool: BuildPool,
) -> None:
    """The poll in flight waits on a silent connection to the former incarnation."""
    pool = build_pool(2)
    pool.run(3.2)
    pool.restart("w0", down_s=0.05, registered_after_s=3.0, resets=False)
    pool.run(0.1)
    born = pool.machines["w0"].life.born_unix_ms
    state = pool.holder.harness.scheduler._state

    def is_known() -> bool:
        return born in {one.born_unix_ms for one in state.workers_by_incarnation}

    pool.submit(job(1, step(3)))
    pool.run_until(is_known, MAX_URGENT_DELAY_S)
    assert is_known()


@pytest.mark.parametrize("round_trip_s", [0.04, 0.06, 0.08])
def test_no_task_started_on_workers_with_a_long_round_trip(
    build_pool: BuildPool, monkeypatch: pytest.MonkeyPatch, round_trip_s: float
) -> None:
    """Connecting, the question and the order share the time-out of one order."""
    connect = HolderReactor.connectTCP

    def connect_later(reactor: HolderReactor, *args: Any, **options: Any) -> None:
        reactor.callLater(round_trip_s - STEP_S, connect, reactor, *args, **options)

    monkeypatch.setattr(HolderReactor, "connectTCP", connect_later)
    monkeypatch.setattr(worker_network, "STEP_S", round_trip_s)
    pool = build_pool(2)
    pool.run(3.0)
    pool.submit(job(1, step(8)))
    pool.run_until(lambda: pool.workers.starts == 8, MAX_URGENT_DELAY_S)
    assert pool.workers.starts == 8


def test_a_worker_that_closes_each_connection_got_no_order() -> None:
    closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    body = IDENTIFIED.partition(b"\r\n\r\n")[2]
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    peer = Peer(closing + length + body, encode_reply(200, b'{"clockMs":1}'))
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call).result is OrderResult.DONE


def test_the_rest_of_an_answer_was_taken_for_that_of_an_order() -> None:
    rest = encode_reply(200, b'{"clockMs":1}')
    peer = Peer(IDENTIFIED + rest, encode_reply(503, b""))
    calls = WorkerCalls(peer.http)
    call = calls.start(peer.address, start_order(), Epoch(7), peer.deadline)
    assert peer.wait(call).clock_ms is None
