"""Metrics of one member, collected with aioprometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from tamarackmount.ids import QueueName
from tamarackmount.internal.inbound_links import LinkCounters
from tamarackmount.internal.metrics_text import SECONDS_BUCKETS
from tamarackmount.kernel.messages import Outcome
from tamarackmount.kernel.node import Node


class RequestMetrics:
    """Counts and response times of callers' requests."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors."""
        self._requests = Counter(
            "tamarackmount_requests_total",
            "Requests by queue and outcome.",
            registry=registry,
        )
        self._seconds = Histogram(
            "tamarackmount_request_seconds",
            "Time from arrival to the final answer, by queue.",
            registry=registry,
            buckets=SECONDS_BUCKETS,
        )

    def finished(self, queue: QueueName, outcome: Outcome, elapsed_s: float) -> None:
        """Record a request that has its final response."""
        self._requests.inc({"queue": queue, "outcome": outcome.value})
        self._seconds.observe({"queue": queue}, elapsed_s)


class MemberMetrics:
    """Gauges of one member, updated each time that the metrics are read."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors."""
        self._registry = registry
        self._gauges_by_name: dict[str, Gauge] = {}

    def update(self, node: Node, links: LinkCounters) -> None:
        """Set every gauge to its current value."""
        table = node.requests.table
        self._set("requests_waiting", "Requests without a slot.", table.waiting)
        self._set("requests_in_flight", "Requests at upstreams.", table.in_flight)
        self._set("owner", "1 if this member owns.", node.ownership.is_owner)
        self._set("jobs_held", "Job records held here.", node.jobs.record_count)
        self._set("peer_sent_bytes", "Bytes sent to peers.", links.sent_bytes)
        self._set("peer_received_bytes", "Bytes read.", links.received_bytes)
        self._set("peer_sent", "Messages sent to peers.", links.sent)
        self._set("peer_dropped", "Messages not sent.", links.dropped)
        # Connections that were closed because of an invalid message.
        self._set("peer_malformed", "Connections closed.", links.malformed)

    def _set(self, name: str, description: str, value: float) -> None:
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"tamarackmount_{name}", description, registry=self._registry)
            self._gauges_by_name[name] = gauge
        gauge.set({}, value)
