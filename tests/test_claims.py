"""Holder claims and fenced appends, under the store's rules for producers."""

from typing import Any

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import Epoch, Instant, MemberId, Offset
from tamarackmount.node.claims import (
    HOLDER_TOPIC,
    Claim,
    HeartbeatWriter,
    claim,
)
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.platform.store import Appended, Fenced, KeyedRecord, Topic
from tamarackmount.scheduling.membership.holder_watch import HEARTBEAT_INTERVAL_S
from tamarackmount.scheduling.store.journal import (
    HolderRecord,
    decode_record,
    encode_record,
)
from tests.utils.build_scheduling import fleet_config
from tests.utils.memory_peers import MemoryFleet
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


class FencedHolder:
    """A holder that another one fences while it reads the store."""

    epoch = Epoch(2)
    is_stopped = True

    def __init__(self) -> None:
        """Begin without a start."""
        self.starts = 0

    async def fence(self) -> bool:
        """Keep former holders from writing."""
        return True

    def set_fleet_config(self, _fleet: object) -> None:
        """Do nothing."""

    def start(self) -> None:
        """Count the start."""
        self.starts += 1

    def stop(self) -> None:
        """Do nothing."""


def test_a_holder_that_was_fenced_while_it_took_over_does_not_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = MemoryFleet(1)
    node: Any = fleet.node(0)
    election = node._election
    election._context.fleet = fleet_config()
    holder = FencedHolder()
    monkeypatch.setattr("tamarackmount.node.holder_election.Holder", lambda *_: holder)
    log: Any = None
    claimed = Claim(MemberId("n0"), 1, Epoch(2), log)
    fleet.run(election._take_over(claimed, Instant(0.0)))
    assert election.holder is None
    assert holder.starts == 0


@pytest.mark.parametrize("reason", ["stopped", "replaced", "drains"])
def test_reading_before_the_first_start_ends_when_the_holder_must_not_start(
    monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    """Guards against a node that reads for ever and never claims again."""
    fleet = MemoryFleet(1)
    election: Any = fleet.node(0)._election
    election._context.fleet = fleet_config()
    holder: Any = FencedHolder()
    holder.is_stopped = False
    holder.releases = 0

    async def release() -> None:
        holder.releases += 1

    holder.release = release
    monkeypatch.setattr("tamarackmount.node.holder_election.Holder", lambda *_: holder)
    fleet.nodes_without_operator_topic.add(MemberId("n0"))
    log: Any = None
    ended: list[None] = []
    claimed = Claim(MemberId("n0"), 1, Epoch(2), log)
    taking_over = ensureDeferred(election._take_over(claimed, Instant(0.0)))
    taking_over.addCallback(ended.append)
    fleet.run_for(3.0)
    assert not ended
    if reason == "stopped":
        holder.is_stopped = True
    elif reason == "replaced":
        # A claim at an offset has the epoch after it, so the topic needs a heartbeat.
        for record in (
            HolderRecord(MemberId("n0"), 1, 1, 1),
            HolderRecord(MemberId("n1"), 3, 0, 1),
        ):
            fleet.store.put(HOLDER_TOPIC, KeyedRecord("holder", encode_record(record)))
    else:
        election._context.is_draining = True
    fleet.run_for(3.0)
    assert ended
    assert election.holder is None
    assert holder.starts == 0
    assert holder.releases == (reason == "drains")


def test_a_release_is_stored_although_a_heartbeat_is_being_written() -> None:
    clock, store = make()
    (claimed,) = run_claims(clock, store, "a")
    assert claimed is not None
    store.append_latency_s = 0.4
    heartbeats = HeartbeatWriter(clock, claimed, lambda _: None)
    heartbeats.start()
    # The heartbeat is on its way, as it is half of the time in a slow store.
    clock.advance(HEARTBEAT_INTERVAL_S + 0.1)
    ensureDeferred(heartbeats.release())
    clock.pump([0.05] * 60)
    rows = [
        decode_record(row.value, HolderRecord) for row in store.records(HOLDER_TOPIC)
    ]
    assert [row.unwrap().released for row in rows] == [False, False, True]
