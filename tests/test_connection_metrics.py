"""Refusals and evictions are counted by port, and logged at a limited rate."""

import logging
from typing import Any

import pytest

from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.connection_limit import ConnectionState
from tamarackmount.internal.refusals import too_large
from tamarackmount.node import clock
from tamarackmount.node.connection_metrics import LOG_INTERVAL_S, PortMetrics
from tamarackmount.node.metrics import NodeMetrics


@pytest.fixture
def time_s(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the time in a list, for the test to change."""
    times = [100.0]
    monkeypatch.setattr(clock, "now", lambda: times[0])
    return times


def logged(caplog: pytest.LogCaptureFixture) -> list[Any]:
    records: list[Any] = [
        record
        for record in caplog.records
        if record.name.endswith("connection_metrics")
    ]
    return records


def test_a_flood_of_refusals_flooded_the_log(
    caplog: pytest.LogCaptureFixture, time_s: list[float]
) -> None:
    caplog.set_level(logging.INFO)
    port = PortMetrics(NodeMetrics().connections, "entry")
    for _ in range(5):
        port.record_refusal(too_large(300_000, 262_144))
        port.record_eviction(ConnectionState.RECEIVING, 20)
    time_s[0] += LOG_INTERVAL_S
    port.record_refusal(too_large(400_000, 262_144))
    records = logged(caplog)
    assert [(record.reason, record.not_logged) for record in records] == [
        ("body_too_large", 0),
        ("connection_evicted", 0),
        ("body_too_large", 4),
    ]
    last = records[-1]
    assert (last.port, last.value, last.bound) == ("entry", 400_000, 262_144)


def test_what_connections_hold_was_missing_in_the_metrics() -> None:
    metrics = NodeMetrics()
    budget = BufferBudget(1_000)
    metrics.connections.watch_buffers("callers", budget)
    metrics.connections.watch_queue("ab")
    metrics.connections.watch_port("entry", "abc")
    budget.try_reserve(700)
    budget.release(200)
    port = PortMetrics(metrics.connections, "entry")
    port.record_refusal(too_large(2, 1))
    port.record_eviction(ConnectionState.IDLE, 20)
    lines = set(metrics.render().decode().splitlines())
    assert {
        'tamarackmount_open_connections{port="entry"} 3',
        'tamarackmount_buffered_bytes{owner="callers"} 500',
        'tamarackmount_buffered_bytes_peak{owner="callers"} 700',
        "tamarackmount_connections_waiting_to_decode 2",
        'tamarackmount_refused_requests_total{port="entry",reason="body_too_large"} 1',
        'tamarackmount_evicted_connections_total{port="entry",state="idle"} 1',
    } <= lines
