"""Prometheus text format of metrics, and the shared buckets of histograms."""

from aioprometheus import Registry, render

TEXT_FORMAT = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

SECONDS_BUCKETS = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
    float("inf"),
)  # fmt: skip
"""Upper bounds of the buckets of time histograms, in seconds."""


def render_metrics(registry: Registry) -> bytes:
    """Return the metrics of a registry in the Prometheus text format."""
    content, _headers = render(registry, [TEXT_FORMAT])
    return bytes(content)
