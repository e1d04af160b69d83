"""The holder while a part of the store is away, and others work."""

import pytest

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.membership.holder_watch import (
    FORMER_ORDERS_LIMIT_S,
    HEARTBEAT_TIMEOUT_S,
    FormerHolder,
    HolderWatch,
)
from tamarackmount.scheduling.store.journal import (
    HolderRecord,
    RecordKind,
    record_key,
)
from tests.utils.memory_peers import STEP_S, MemoryFleet

HOLDER = MemberId("n0")
OUTAGE_S = 7.0


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> MemoryFleet:
    """Return three nodes that have elected the first one, and don't hand over."""
    fleet = MemoryFleet(3)
    for number in range(3):
        fleet.register(f"n{number}", cores=1.0)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    assert fleet.holder() == HOLDER
    return fleet


def authorities_during(fleet: MemoryFleet, seconds: float) -> set[HolderAuthority]:
    """Return what the first node was allowed to do as the holder meanwhile."""
    seen = set()
    end = fleet.clock.seconds() + seconds
    while fleet.clock.seconds() < end:
        fleet.run_for(STEP_S)
        holder = fleet.node(0)._election.holder
        seen.add(holder.scheduler.authority if holder else HolderAuthority.NONE)
    return seen


def test_the_holder_schedules_on_while_only_its_own_topic_is_away(
    fleet: MemoryFleet,
) -> None:
    fleet.store.topics_down.add(HOLDER_TOPIC)
    assert authorities_during(fleet, OUTAGE_S) == {HolderAuthority.FULL}
    fleet.store.topics_down.clear()
    assert authorities_during(fleet, OUTAGE_S) == {HolderAuthority.FULL}


def test_a_holder_whose_records_are_not_stored_loses_its_authority(
    fleet: MemoryFleet,
) -> None:
    fleet.store.topics_down |= {HOLDER_TOPIC, JOBS_TOPIC}
    authorities_during(fleet, OUTAGE_S)
    assert authorities_during(fleet, STEP_S) == {HolderAuthority.NONE}


def test_no_node_claims_while_heartbeats_come_in_the_jobs_topic(
    fleet: MemoryFleet,
) -> None:
    fleet.refused_appends.add((HOLDER, HOLDER_TOPIC))
    assert authorities_during(fleet, OUTAGE_S) == {HolderAuthority.FULL}
    assert fleet.holder() == HOLDER


def test_a_lost_holder_is_replaced_after_it_wrote_to_the_jobs_topic(
    fleet: MemoryFleet,
) -> None:
    fleet.refused_appends.add((HOLDER, HOLDER_TOPIC))
    fleet.run_for(OUTAGE_S)
    fleet.lose_silently(0)
    fleet.run_for(2 * HEARTBEAT_TIMEOUT_S)
    assert fleet.holder() != HOLDER


def test_heartbeats_go_to_the_jobs_topic_only_during_the_outage(
    fleet: MemoryFleet,
) -> None:
    key = record_key(RecordKind.HOLDER)
    fleet.run_for(OUTAGE_S)
    assert key not in {row.key for row in fleet.store.records(JOBS_TOPIC)}
    fleet.store.topics_down.add(HOLDER_TOPIC)
    fleet.run_for(OUTAGE_S)
    assert key in {row.key for row in fleet.store.records(JOBS_TOPIC)}


def test_a_heartbeat_read_late_does_not_renew_a_holder() -> None:
    watch = HolderWatch(Instant(10.0), Instant(10.0))
    released = HolderRecord(HOLDER, 5, 9, 100, released=True)
    watch.heartbeat_received(released, Instant(10.0))
    watch.heartbeat_received(HolderRecord(HOLDER, 5, 8, 100), Instant(11.0))
    assert watch.record == released
    assert watch.silent_since == Instant(10.0)


@pytest.mark.parametrize(
    ("newest", "expected"),
    [
        (None, 20.0),
        (HolderRecord(HOLDER, 5, 8, 100), 20.0),
        (HolderRecord(HOLDER, 5, 9, 100), 30.0 + FORMER_ORDERS_LIMIT_S),
        (HolderRecord(HOLDER, 7, 1, 100), 20.0),
    ],
    ids=["none", "known at the claim", "written after it", "of the new holder"],
)
def test_orders_of_a_former_holder_end_after_its_last_heartbeat_in_any_topic(
    newest: HolderRecord | None, expected: float
) -> None:
    former = FormerHolder(Instant(20.0), HolderRecord(HOLDER, 5, 8, 100))
    ends_at = former.orders_end_at(newest, Epoch(7), Instant(30.0))
    assert ends_at == Instant(expected)
