"""Records that can't be decoded, which readers get with an empty key."""

import logging

import pytest

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.node_registry import NODES_TOPIC
from tamarackmount.platform.store import OPERATOR_TOPIC, WORKERS_TOPIC, KeyedRecord
from tests.utils.memory_peers import MemoryFleet

TOPICS = (HOLDER_TOPIC, JOBS_TOPIC, NODES_TOPIC, OPERATOR_TOPIC, WORKERS_TOPIC)


def test_every_reader_ignores_records_with_an_empty_key(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a process that one undecodable record ends."""
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    for topic in TOPICS:
        fleet.store.put(topic, KeyedRecord("", b""))
    zone = DataCentreId("kyushu-b")
    fleet.store.put(OPERATOR_TOPIC, KeyedRecord(f"evacuate/{zone}", b"{}"))
    fleet.run_for(2.0)
    assert not [row for row in caplog.records if row.levelno >= logging.CRITICAL]
    for node in fleet.nodes_by_id.values():
        assert node._evacuations.data_centres == {zone}
        nodes = {row.node for row in node._registry.candidates()}
        assert nodes == {MemberId(f"n{number}") for number in range(3)}
        for tail in (node._operator_tail, node._registry.tail, node._election.tail):
            assert tail.caught_up_at is not None
            assert tail.caught_up_at > fleet.clock.seconds() - 6.0
