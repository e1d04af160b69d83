"""Holder claims and fenced appends, under the store's rules for producers."""

from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import Epoch, Instant, MemberId, Offset
from tamarackmount.node.claims import HOLDER_TOPIC, Claim, claim
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.platform.store import Appended, Fenced, KeyedRecord, Topic
from tests.utils.memory_store import MemoryStore

JOBS = Topic("keyed.jobs")
ROW = KeyedRecord("progress/1", b"{}")


def make() -> tuple[Clock, Any]:
    clock = Clock()
    return clock, MemoryStore(clock)


def run_claims(clock: Clock, store: Any, *nodes: str) -> list[Claim | None]:
    results: list[Claim | None] = []
    for node in nodes:
        claiming = ensureDeferred(claim(clock, store, MemberId(node), 1, Offset(0)))
        claiming.addCallback(results.append)
    clock.pump([0.05] * 60)
    return results


def test_only_one_of_two_claims_at_one_offset_is_accepted() -> None:
    clock, store = make()
    results = run_claims(clock, store, "a", "b")
    assert len(results) == 2
    assert sum(1 for claimed in results if claimed is not None) == 1
    assert len(store.records(HOLDER_TOPIC)) == 1


def test_claim_is_rejected_after_an_unread_heartbeat() -> None:
    clock, store = make()
    deadline = Instant(clock.seconds() + 1.0)
    ensureDeferred(store.append(HOLDER_TOPIC, [ROW], deadline))
    clock.pump([0.05] * 4)
    assert run_claims(clock, store, "a") == [None]


def test_claim_with_lost_responses_is_stored_once() -> None:
    clock, store = make()
    store.replies_to_drop = 2
    results = run_claims(clock, store, "a")
    assert [claimed is not None for claimed in results] == [True]
    assert len(store.records(HOLDER_TOPIC)) == 1


def test_next_holder_fences_former_holder() -> None:
    clock, store = make()
    former_log = FencedLog(clock, store, JOBS, Epoch(3))
    next_log = FencedLog(clock, store, JOBS, Epoch(9))
    results: list[object] = []
    for log in (former_log, next_log, former_log):
        ensureDeferred(log.append([ROW])).addCallback(results.append)
        clock.pump([0.05] * 10)
    assert [type(result) for result in results] == [Appended, Appended, Fenced]


def test_append_with_lost_responses_is_stored_once() -> None:
    clock, store = make()
    log = FencedLog(clock, store, JOBS, Epoch(3))
    store.replies_to_drop = 3
    results: list[object] = []
    ensureDeferred(log.append([ROW])).addCallback(results.append)
    clock.pump([0.1] * 80)
    assert [type(result) for result in results] == [Appended]
    assert len(store.records(JOBS)) == 1


def test_slow_store_counts_as_available() -> None:
    clock, store = make()
    log = FencedLog(clock, store, JOBS, Epoch(3))
    clock.advance(60.0)
    store.append_latency_s = 0.5
    results: list[object] = []
    ensureDeferred(log.append([ROW])).addCallback(results.append)
    while not results:
        clock.advance(0.05)
        assert log.is_store_available
    assert [type(result) for result in results] == [Appended]


def test_silent_store_is_unavailable_before_callers_time_out() -> None:
    clock, store = make()
    log = FencedLog(clock, store, JOBS, Epoch(3))
    clock.advance(60.0)
    store.replies_to_drop = 100
    ensureDeferred(log.append([ROW]))
    clock.pump([0.05] * 50)
    assert not log.is_store_available
    store.replies_to_drop = 0
    clock.pump([0.05] * 30)
    assert log.is_store_available
