"""Metrics and log lines about connections and their buffers."""

import logging
from collections import Counter as Counts

from aioprometheus import Counter, Gauge, Registry

from tamarackmount.ids import Instant
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.refusals import Refusal, RefusalReason
from tamarackmount.node import clock

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about refusals for the same reason, in
seconds."""

_log = logging.getLogger(__name__)


class ConnectionMetrics:
    """Counts refused requests and buffered bytes."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors."""
        self._budget: BufferBudget | None = None
        self._next_log_by_reason: dict[RefusalReason, Instant] = {}
        self._unlogged: Counts[RefusalReason] = Counts()
        self._refusals = Counter(
            "tamarackmount_refused_requests_total",
            "Requests refused before they were complete, by reason.",
            registry=registry,
        )
        self._buffered = Gauge(
            "tamarackmount_buffered_bytes",
            "Bytes that connections have reserved of the shared buffers.",
            registry=registry,
        )
        self._peak = Gauge(
            "tamarackmount_buffered_bytes_peak",
            "Most bytes that were reserved at once since the start.",
            registry=registry,
        )

    def watch(self, budget: BufferBudget) -> None:
        """Report what is reserved of ``budget``."""
        self._budget = budget

    def record_refusal(self, refusal: Refusal) -> None:
        """Count a refused request; log it unless its reason was logged just now."""
        reason = refusal.reason
        self._refusals.inc({"reason": reason.value})
        now = clock.now()
        if now < self._next_log_by_reason.get(reason, Instant(0.0)):
            self._unlogged[reason] += 1
            return
        self._next_log_by_reason[reason] = Instant(now + LOG_INTERVAL_S)
        extra = {
            "reason": reason.value,
            "status": refusal.status,
            "value": refusal.value,
            "bound": refusal.bound,
            "not_logged": self._unlogged.pop(reason, 0),
        }
        _log.info("request refused before it was complete", extra=extra)

    def update_gauges(self) -> None:
        """Copy the current values into the gauges."""
        if self._budget is not None:
            self._buffered.set({}, self._budget.used)
            self._peak.set({}, self._budget.peak)
