"""Metrics and log lines about connections and their buffers."""

import logging
from collections import Counter as Counts
from collections.abc import Mapping, Sized
from typing import Any

from aioprometheus import Counter, Gauge, Registry

from tamarackmount.ids import Instant
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.connection_limit import ConnectionState
from tamarackmount.internal.refusals import Refusal
from tamarackmount.node import clock

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines of a port for the same reason, in seconds."""

EVICTED = "connection_evicted"
"""Reason of log lines about connections that were closed to admit others."""

_log = logging.getLogger(__name__)


class ConnectionMetrics:
    """Counts connections, refused requests and buffered bytes, by port."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors."""
        self._budgets_by_owner: dict[str, BufferBudget] = {}
        self._queue: Sized = ()
        self._connections_by_port: dict[str, Sized] = {}
        self._next_log_by_reason: dict[tuple[str, str], Instant] = {}
        self._not_logged: Counts[tuple[str, str]] = Counts()
        self._refusals = Counter(
            "tamarackmount_refused_requests_total",
            "Requests refused before they were complete, by port and reason.",
            registry=registry,
        )
        self._evictions = Counter(
            "tamarackmount_evicted_connections_total",
            "Connections closed to admit others, by port and what they waited for.",
            registry=registry,
        )
        self._open = Gauge(
            "tamarackmount_open_connections",
            "Open connections, by the port that accepted them.",
            registry=registry,
        )
        self._buffered = Gauge(
            "tamarackmount_buffered_bytes",
            "Bytes that connections have reserved of shared buffers, by owner.",
            registry=registry,
        )
        self._peak = Gauge(
            "tamarackmount_buffered_bytes_peak",
            "Most bytes that were reserved at once since the start.",
            registry=registry,
        )
        self._waiting = Gauge(
            "tamarackmount_connections_waiting_to_decode",
            "Connections with bytes that are costly to decode.",
            registry=registry,
        )

    def watch_buffers(self, owner: str, budget: BufferBudget) -> None:
        """Report what the connections of ``owner`` have reserved of ``budget``."""
        self._budgets_by_owner[owner] = budget

    def watch_queue(self, queue: Sized) -> None:
        """Report the length of the queue of connections that wait to decode."""
        self._queue = queue

    def watch_port(self, port: str, connections: Sized) -> None:
        """Report the number of connections of a port."""
        self._connections_by_port[port] = connections

    def record_refusal(self, port: str, refusal: Refusal) -> None:
        """Count and log a refused request."""
        reason = refusal.reason.value
        self._refusals.inc({"port": port, "reason": reason})
        extra = {
            "status": refusal.status,
            "value": refusal.value,
            "bound": refusal.bound,
        }
        message = "request refused before it was complete"
        self._log_sometimes(port, reason, message, extra)

    def record_eviction(self, port: str, state: ConnectionState, limit: int) -> None:
        """Count and log a connection that was closed to admit another one."""
        self._evictions.inc({"port": port, "state": state.value})
        extra = {"state": state.value, "value": limit + 1, "bound": limit}
        message = "connection closed as too many are open"
        self._log_sometimes(port, EVICTED, message, extra)

    def update_gauges(self) -> None:
        """Copy the current values into the gauges."""
        for port, connections in self._connections_by_port.items():
            self._open.set({"port": port}, len(connections))
        self._waiting.set({}, len(self._queue))
        for owner, budget in self._budgets_by_owner.items():
            self._buffered.set({"owner": owner}, budget.used)
            self._peak.set({"owner": owner}, budget.peak)

    def _log_sometimes(
        self, port: str, reason: str, message: str, extra: Mapping[str, Any]
    ) -> None:
        """Log a line, unless there was one just now; its successor counts it."""
        now = clock.now()
        key = port, reason
        if now < self._next_log_by_reason.get(key, Instant(0.0)):
            self._not_logged[key] += 1
            return
        self._next_log_by_reason[key] = Instant(now + LOG_INTERVAL_S)
        not_logged = self._not_logged.pop(key, 0)
        fields = {**extra, "port": port, "reason": reason, "not_logged": not_logged}
        _log.info(message, extra=fields)


class PortMetrics:
    """What the connections of one port report."""

    def __init__(self, metrics: ConnectionMetrics, port: str) -> None:
        """Record in ``metrics`` under the name of ``port``."""
        self._metrics = metrics
        self._port = port

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a refused request."""
        self._metrics.record_refusal(self._port, refusal)

    def record_eviction(self, state: ConnectionState, limit: int) -> None:
        """Count and log a connection that was closed to admit another one."""
        self._metrics.record_eviction(self._port, state, limit)
