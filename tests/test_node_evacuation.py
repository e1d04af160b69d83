"""Evacuations on their way from the operator's record to the holder."""

import logging
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tamarackmount.ids import DataCentreId, Epoch, Instant, MemberId
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.metrics_text import render_metrics
from tamarackmount.node import clock
from tamarackmount.node.messages import EvacuationSeen, StoreAgeQuery
from tamarackmount.node.start_orders import MAX_STARTS_PER_WORKER, StartOrders
from tamarackmount.platform.store import OPERATOR_TOPIC, KeyedRecord
from tamarackmount.scheduling.domain.effects import StartRun, StepDown
from tamarackmount.scheduling.domain.worker_reports import (
    OrderReply,
    OrderResult,
    StartOrder,
)
from tamarackmount.scheduling.execution.run_starts import start_run
from tamarackmount.scheduling.store.job_index import JobRecords
from tests.utils.build_scheduling import (
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.memory_peers import STEP_S, MemoryFleet

ZONE = DataCentreId("kyushu-a")


class AnsweringWorkers:
    """Workers that answer start orders when the test says so."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.calls: list[Deferred[OrderReply]] = []
        self.results: list[OrderResult] = []

    def start(self, *_arguments: Any) -> "Deferred[OrderReply]":
        """Take a call."""
        self.calls.append(Deferred())
        return self.calls[-1]

    def add_reply(self, _order: StartOrder, reply: OrderReply) -> None:
        """Keep the result of an order."""
        self.results.append(reply.result)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> MemoryFleet:
    """Return three nodes that have elected the first one."""
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    assert fleet.holder() == MemberId("n0")
    return fleet


def evacuate(fleet: MemoryFleet, value: bytes = b"{}", zone: str = ZONE) -> None:
    """Write the operator's record; an empty value removes it."""
    fleet.store.put(OPERATOR_TOPIC, KeyedRecord(f"evacuate/{zone}", value))


def evacuated_at_holder(fleet: MemoryFleet) -> frozenset[DataCentreId]:
    """Return the data centres in which the holder starts nothing."""
    elections = [node._election for node in fleet.nodes_by_id.values()]
    for _ in range(50):
        for election in elections:
            if election.holder is not None:
                return election.holder.scheduler._state.evacuated_data_centres
        # The role is being handed over.
        fleet.run_for(STEP_S)
    raise AssertionError("no holder")


def test_the_holder_applies_the_record_and_its_withdrawal(
    fleet: MemoryFleet,
) -> None:
    # The data centre is the holder's own: its process goes on.
    evacuate(fleet)
    fleet.run_for(1.0)
    assert evacuated_at_holder(fleet) == {ZONE}
    evacuate(fleet, zone="kyushu-b")
    evacuate(fleet, b"")
    fleet.run_for(1.0)
    assert evacuated_at_holder(fleet) == {DataCentreId("kyushu-b")}


def test_a_value_that_is_not_readable_counts_and_is_logged(
    fleet: MemoryFleet, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO):
        evacuate(fleet, b"{not json")
        fleet.run_for(1.0)
    assert evacuated_at_holder(fleet) == {ZONE}
    messages = [record.getMessage() for record in caplog.records]
    assert "evacuation record not readable; it counts" in messages
    assert "data centre evacuated" in messages


def test_a_record_that_was_trimmed_after_its_withdrawal_counts_no_more(
    fleet: MemoryFleet,
) -> None:
    evacuate(fleet)
    fleet.run_for(1.0)
    fleet.nodes_without_store.add(MemberId("n0"))
    fleet.run_for(0.1)
    evacuate(fleet, b"")
    fleet.store.trim(OPERATOR_TOPIC)
    fleet.nodes_without_store.clear()
    fleet.run_for(3.0)
    assert not fleet.node(0)._evacuations.data_centres


def test_a_holder_that_the_store_turns_away_is_told_by_the_others(
    fleet: MemoryFleet,
) -> None:
    holder = fleet.holder()
    fleet.nodes_without_operator_topic.add(holder)
    # The read that is under way ends without an answer.
    fleet.run_for(1.5)
    if fleet.holder() != holder:
        fleet.nodes_without_operator_topic = {holder := fleet.holder()}
        fleet.run_for(0.1)
    evacuate(fleet)
    fleet.run_for(0.5)
    assert fleet.nodes_by_id[holder]._evacuations.data_centres == {ZONE}
    evacuate(fleet, b"")
    fleet.run_for(0.5)
    assert not fleet.nodes_by_id[holder]._evacuations.data_centres


def test_a_holder_that_asks_for_the_store_hears_of_evacuations_again(
    fleet: MemoryFleet,
) -> None:
    holder = fleet.holder()
    others = set(fleet.nodes_by_id) - {holder}
    fleet.nodes_without_operator_topic.add(holder)
    fleet.run_for(1.5)
    # The first notice of the others is lost.
    fleet.silent_nodes.add(holder)
    evacuate(fleet)
    fleet.run_for(0.2)
    fleet.silent_nodes.clear()
    node = fleet.nodes_by_id[holder]
    assert not node._evacuations.data_centres
    calls = node._context.peer_calls
    fleet.run(calls.call(min(others), StoreAgeQuery(calls.next_call_id()), 0.3))
    fleet.run_for(0.1)
    assert node._evacuations.data_centres == {ZONE}


def test_late_and_empty_notices_have_no_effect(fleet: MemoryFleet) -> None:
    evacuate(fleet)
    evacuate(fleet, b"")
    fleet.run_for(1.5)
    node = fleet.node(0)
    end = len(fleet.store.records(OPERATOR_TOPIC))
    for notice in (EvacuationSeen(ZONE, end - 2, True), EvacuationSeen("", end, True)):
        node.handle_message(Envelope(MemberId("n1"), notice))
    assert not node._evacuations.data_centres


def test_a_new_holder_reads_the_record_before_its_first_start(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.nodes_without_operator_topic.add(MemberId("n1"))
    # Reads that are under way end without an answer.
    fleet.run_for(2.0)
    known_at_start: list[frozenset[DataCentreId]] = []
    election: Any = fleet.node(1)._election
    original = election._set_holder

    def record(holder: Any) -> None:
        original(holder)
        if holder is not None:
            start = holder.start

            def recorded_start() -> None:
                known_at_start.append(holder.scheduler._state.evacuated_data_centres)
                start()

            monkeypatch.setattr(holder, "start", recorded_start)

    monkeypatch.setattr(election, "_set_holder", record)
    fleet.lose_silently(0)
    fleet.run_for(0.1)
    # Nobody else can tell the new holder of it.
    fleet.lose(2)
    evacuate(fleet)
    fleet.run_for(8.0)
    assert fleet.holder() == MemberId("n1")
    assert not known_at_start
    fleet.nodes_without_operator_topic.clear()
    fleet.run_for(2.0)
    assert known_at_start == [frozenset({ZONE})]


def test_a_read_that_finds_records_trimmed_did_not_reach_the_end(
    fleet: MemoryFleet,
) -> None:
    tail = fleet.node(1)._operator_tail
    tail.stop()
    fleet.run_for(2.0)
    evacuate(fleet)
    fleet.store.trim(OPERATOR_TOPIC)
    tail._is_running = True
    assert not fleet.run(tail.read_now())


def placed_starts(holder: Any, count: int) -> list[StartRun]:
    """Let a holder place the tasks of a job on a worker in ``ZONE``."""
    scheduler, now = holder.scheduler, clock.now()
    scheduler.set_registered_workers([worker_entry(data_centre=ZONE)], now)
    scheduler.poll_answered(incarnation(), worker_report(), now, now)
    scheduler.add_job(JobRecords(job(1, step(count))), now, clock.unix_ms())
    state = scheduler._state
    worker = state.workers_by_incarnation[incarnation()]
    (placed_step,) = state.jobs_by_id[job().job_id].steps_by_key.values()
    for index in range(count):
        placed_step.run_number += 1
        start_run(state, placed_step, index, worker, now)
    starts: list[StartRun] = state.unstored_starts
    state.unstored_starts = []
    assert len(starts) == count
    return starts


def test_a_queued_order_is_checked_against_the_record_when_its_turn_comes(
    fleet: MemoryFleet,
) -> None:
    (holder,) = [
        node._election.holder
        for node in fleet.nodes_by_id.values()
        if node._election.holder is not None
    ]
    workers: Any = AnsweringWorkers()
    orders = StartOrders(workers, Epoch(3), holder._may_send, workers.add_reply)
    for effect in placed_starts(holder, MAX_STARTS_PER_WORKER + 2):
        orders.send(effect)
    assert len(workers.calls) == MAX_STARTS_PER_WORKER
    # The record arrives while the other orders wait.
    holder.set_evacuated_data_centres(frozenset({ZONE}))
    for call in list(workers.calls):
        call.callback(OrderReply(OrderResult.DONE))
    assert len(workers.calls) == MAX_STARTS_PER_WORKER
    assert workers.results.count(OrderResult.NOT_SENT) == 2


def test_metrics_and_logs_tell_of_evacuated_data_centres(
    fleet: MemoryFleet, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO):
        evacuate(fleet)
        fleet.run_for(1.0)
        evacuated_at_holder(fleet)
    for node in fleet.nodes_by_id.values():
        text = render_metrics(node._context.metrics.registry).decode()
        assert "tamarackmount_evacuated_data_centres 1" in text
        assert "tamarackmount_runs_in_evacuated_data_centres 0" in text
    rows: list[Any] = [
        record
        for record in caplog.records
        if record.getMessage() == "data centre evacuated"
    ]
    offset = len(fleet.store.records(OPERATOR_TOPIC)) - 1
    assert [(row.data_centre, row.offset) for row in rows] == [(ZONE, offset)] * 3
    # The long poll that brings the record was sent a second before it at most.
    assert all(0.0 <= row.age_s <= 2.5 for row in rows)


def holder_without_operator_topic(fleet: MemoryFleet) -> MemberId:
    """Return the holder, which the operator topic is hidden from after its reads."""
    fleet.nodes_without_operator_topic.add(fleet.holder())
    fleet.run_for(1.5)
    fleet.nodes_without_operator_topic = {holder := fleet.holder()}
    fleet.run_for(1.0)
    return holder


@pytest.mark.parametrize(
    ("zone", "offset"), [(ZONE, 2**63), (ZONE, 2**40), ("z" * 256, 5), ("", 5)]
)
def test_an_absurd_notice_is_ignored_and_logged(
    fleet: MemoryFleet, caplog: pytest.LogCaptureFixture, zone: str, offset: int
) -> None:
    node = fleet.node(0)
    with caplog.at_level(logging.INFO):
        message = EvacuationSeen(zone, offset, True)
        node.handle_message(Envelope(MemberId("n1"), message))
    assert not node._evacuations.data_centres
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("evacuation notice ignored") == 1


def test_a_notice_that_cannot_be_sent_does_not_end_the_process(
    fleet: MemoryFleet,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    holder = holder_without_operator_topic(fleet)
    for node_id, node in fleet.nodes_by_id.items():
        links: Any = node._context.links
        if node_id != holder:
            send = links.send

            def failing_send(to: MemberId, message: Any, send: Any = send) -> bool:
                if isinstance(message, EvacuationSeen):
                    raise ValueError("value can't be encoded")
                return bool(send(to, message))

            monkeypatch.setattr(links, "send", failing_send)
    evacuate(fleet)
    fleet.run_for(1.0)
    assert not [row for row in caplog.records if row.levelno >= logging.CRITICAL]
    messages = [record.getMessage() for record in caplog.records]
    assert "evacuation notice not sent" in messages


def test_notices_are_sent_again_when_the_holder_changes(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    evacuate(fleet)
    fleet.run_for(1.0)
    told: list[tuple[MemberId, MemberId]] = []
    for node_id, node in fleet.nodes_by_id.items():
        links: Any = node._context.links
        send = links.send

        def recorded_send(
            to: MemberId, message: Any, sender: MemberId = node_id, send: Any = send
        ) -> bool:
            if isinstance(message, EvacuationSeen):
                told.append((sender, to))
            return bool(send(to, message))

        monkeypatch.setattr(links, "send", recorded_send)
    fleet.lose_silently(0)
    fleet.lose(0)
    fleet.run_for(8.0)
    assert fleet.holder() == MemberId("n1")
    assert (MemberId("n2"), MemberId("n1")) in told


def test_a_holder_that_stops_in_a_tick_leaves_no_count_of_runs(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    node = fleet.node(0)
    holder: Any = node._election.holder
    count = property(lambda _: 3)
    monkeypatch.setattr(type(holder.scheduler), "evacuated_run_count", count)
    metric = "tamarackmount_runs_in_evacuated_data_centres"
    registry = node._context.metrics.registry
    holder._tick()
    assert f"{metric} 3" in render_metrics(registry).decode()
    effects = [StepDown("fenced by a worker")]
    monkeypatch.setattr(holder.scheduler, "take_effects", lambda: effects)
    holder._tick()
    assert holder.is_stopped
    assert f"{metric} 0" in render_metrics(registry).decode()
