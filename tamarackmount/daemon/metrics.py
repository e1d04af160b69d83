"""Metrics of one member, in the Prometheus text format by aioprometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from tamarackmount.ids import QueueName
from tamarackmount.kernel.messages import Outcome

TEXT_FORMAT = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

REQUEST_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
    float("inf"),
)  # fmt: skip
"""Upper bounds of the request time histogram, in seconds."""


class RequestMetrics:
    """Counts and times of callers' requests."""

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
            buckets=REQUEST_BUCKETS_S,
        )

    def finished(self, queue: QueueName, outcome: Outcome, elapsed_s: float) -> None:
        """Count a request that has its final answer."""
        self._requests.inc({"queue": queue, "outcome": outcome.value})
        self._seconds.observe({"queue": queue}, elapsed_s)


class MemberMetrics:
    """Gauges that are set whenever the metrics are read."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors."""
        self._registry = registry
        self._gauges_by_name: dict[str, Gauge] = {}

    def set(self, name: str, text: str, value: float) -> None:
        """Set the gauge ``name`` (without prefix), described by ``text``."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"tamarackmount_{name}", text, registry=self._registry)
            self._gauges_by_name[name] = gauge
        gauge.set({}, value)


def render_metrics(registry: Registry) -> bytes:
    """Return the registry in the text format."""
    content, _headers = render(registry, [TEXT_FORMAT])
    return bytes(content)
