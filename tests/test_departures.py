"""Registrations of entry VMs that left: who is removed, when, and what heals it.

Load pattern: VMs are replaced all day, and each registration that remains is dialled
and considered as a holder and follower by every node.
"""

from collections.abc import Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.node.node_registry import NODES_TOPIC
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.membership.departures import (
    MAX_CHECK_GAP_S,
    MAX_REMOVALS,
    REMOVE_AFTER_S,
    REMOVE_ALONE_AFTER_S,
    Departures,
    RegisteredNode,
)
from tests.utils.memory_peers import MemoryFleet

DC1, DC2 = DataCentreId("dc1"), DataCentreId("dc2")
STEP_S = 10.0


def node(
    name: str, *, is_reachable: bool = True, data_centre: DataCentreId = DC1
) -> RegisteredNode:
    return RegisteredNode(MemberId(name), data_centre, is_reachable)


def removed_within(
    departures: Departures,
    nodes: Sequence[RegisteredNode],
    seconds: float,
    start: float = 0.0,
) -> list[MemberId]:
    removed: list[MemberId] = []
    for step in range(int(seconds / STEP_S) + 1):
        now = Instant(start + step * STEP_S)
        removed += departures.update(nodes, DC1, now)
    return removed


def test_a_node_that_left_is_removed_after_the_time_limit_only() -> None:
    nodes = [node("a"), node("b"), node("gone", is_reachable=False)]
    assert removed_within(Departures(), nodes, REMOVE_AFTER_S - STEP_S) == []
    assert removed_within(Departures(), nodes, REMOVE_AFTER_S) == ["gone"]


def test_a_holder_that_is_cut_off_removes_nobody() -> None:
    nodes = [node("a"), *(node(f"b{n}", is_reachable=False) for n in range(3))]
    assert removed_within(Departures(), nodes, 2 * REMOVE_ALONE_AFTER_S) == []


def test_a_data_centre_that_is_cut_off_keeps_its_registrations_for_long() -> None:
    away = [node(f"x{n}", is_reachable=False, data_centre=DC2) for n in range(2)]
    nodes = [node("a"), node("b"), *away]
    assert removed_within(Departures(), nodes, REMOVE_ALONE_AFTER_S - STEP_S) == []


def test_a_holder_that_was_paused_begins_to_observe_anew() -> None:
    # Guards against removals by what a process knew before it was suspended.
    nodes = [node("a"), node("gone", is_reachable=False)]
    departures = Departures()
    removed_within(departures, nodes, REMOVE_AFTER_S - STEP_S)
    later = REMOVE_AFTER_S + 2 * MAX_CHECK_GAP_S
    assert departures.update(nodes, DC1, Instant(later)) == []


@given(
    st.lists(st.tuples(st.lists(st.booleans(), min_size=6, max_size=6)), max_size=90)
)
def test_a_node_reached_within_the_limit_is_never_removed(
    history: list[tuple[list[bool]]],
) -> None:
    departures = Departures()
    reached_at = dict.fromkeys(range(6), 0.0)
    for step, (reachable,) in enumerate(history):
        now = step * STEP_S
        nodes = [node(f"n{n}", is_reachable=up) for n, up in enumerate(reachable)]
        reached_at.update({n: now for n, up in enumerate(reachable) if up})
        removed = departures.update(nodes, DC1, Instant(now))
        assert len(removed) <= MAX_REMOVALS
        for name in removed:
            assert now - reached_at[int(name[1:])] >= REMOVE_AFTER_S


def test_the_holder_removes_the_registration_of_a_node_that_left() -> None:
    fleet = MemoryFleet(4)
    fleet.register("left", cores=0.5)
    departed = fleet.node(0)._departed_nodes
    departed._is_holder = lambda: True
    departed.start()
    fleet.run_for(REMOVE_AFTER_S + 4 * STEP_S)
    newest = {row.key: row.value for row in fleet.store.records(NODES_TOPIC)}
    assert newest["left"] == b""
    assert all(newest[f"n{number}"] for number in range(4))


@pytest.mark.parametrize("is_trimmed", [False, True])
def test_a_live_node_whose_registration_was_removed_registers_again(
    is_trimmed: bool,
) -> None:
    fleet = MemoryFleet(4)
    fleet.run(fleet.node(3)._registry.register())
    fleet.run_for(1.0)
    fleet.store.put(NODES_TOPIC, KeyedRecord("n3", b""))
    if is_trimmed:
        fleet.store.trim(NODES_TOPIC)
    fleet.run_for(8.0)
    newest = {row.key: row.value for row in fleet.store.records(NODES_TOPIC)}
    assert newest["n3"]


def test_a_removed_node_is_not_in_use_after_records_were_trimmed() -> None:
    # Guards against a server that left and is in use again, or still, because a
    # snapshot says nothing of keys that were removed.
    fleet = MemoryFleet(4)
    fleet.register("left", cores=0.5)
    fleet.run_for(1.0)
    registry = fleet.node(0)._registry
    assert "left" in {row.node for row in registry.candidates()}
    fleet.store.put(NODES_TOPIC, KeyedRecord("left", b""))
    registry.tail._next_offset = None
    fleet.run_for(8.0)
    assert "left" not in {row.node for row in registry.candidates()}


@pytest.mark.parametrize("is_trimmed", [False, True])
def test_a_removal_that_is_read_before_the_answer_of_the_store_is_noticed(
    is_trimmed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that runs but stays unregistered."""
    fleet = MemoryFleet(4)
    registry = fleet.node(3)._registry
    store: Any = registry._context.store
    append = store.append
    answers: list[Any] = []

    async def append_slowly(*arguments: Any) -> Any:
        result = await append(*arguments)
        answers.append(result)
        if len(answers) == 1:
            # The holder's removal was under way already.
            fleet.store.put(NODES_TOPIC, KeyedRecord("n3", b""))
            if is_trimmed:
                fleet.store.trim(NODES_TOPIC)
            await fleet.store.sleep(0.8)
        return result

    monkeypatch.setattr(store, "append", append_slowly)
    ensureDeferred(registry.register())
    fleet.run_for(8.0)
    newest = {row.key: row.value for row in fleet.store.records(NODES_TOPIC)}
    assert newest["n3"]
    assert len(answers) == 2


def test_a_removal_before_the_registration_is_no_reason_to_register_again() -> None:
    fleet = MemoryFleet(4)
    registry = fleet.node(3)._registry
    fleet.store.put(NODES_TOPIC, KeyedRecord("n3", b""))
    fleet.run(registry.register())
    fleet.run_for(8.0)
    rows = [row for row in fleet.store.records(NODES_TOPIC) if row.key == "n3"]
    assert [bool(row.value) for row in rows] == [True, False, True]
