"""How long tasks take, learned from those that ended.

Callers' estimates are off by up to 90 %, so they are drawn towards what the queue's
tasks took before. Answers the load in which a queue's order follows wrong estimates.
"""

import math
from dataclasses import dataclass, field

from tamarackmount.ids import QueueName
from tamarackmount.scheduling.journal import ForecastRecord, QueueMeans
from tamarackmount.units import MS_PER_SECOND

SMOOTHING = 0.05
"""Weight of the newest task in a queue's mean: some twenty tasks are remembered."""

TRUST = 0.3
"""Power with which an estimate counts against its queue's mean; 1 trusts it wholly."""

MIN_SAMPLES = 20
"""Tasks after which a queue's mean is good enough to judge single runs by."""

MIN_ESTIMATE_MS = 1
"""Least estimate that is used, in milliseconds."""


FORECAST_STORE_INTERVAL_S = 5.0
"""Pause between two records of what was learned, in seconds; losing that much matters
little."""


@dataclass(slots=True)
class _Means:
    """Means of logarithms, of durations in seconds and of estimates in ms."""

    log_took: float
    log_estimate: float
    count: int = 1


@dataclass(slots=True)
class Forecast:
    """Durations by queue."""

    _means_by_queue: dict[QueueName, _Means] = field(default_factory=dict)

    def add_sample(self, queue: QueueName, estimated_ms: int, took_s: float) -> None:
        """Take the duration of a task that ended well on its first run."""
        if took_s <= 0:
            return
        log_took = math.log(took_s)
        log_estimate = math.log(max(MIN_ESTIMATE_MS, estimated_ms))
        means = self._means_by_queue.get(queue)
        if means is None:
            self._means_by_queue[queue] = _Means(log_took, log_estimate)
            return
        means.count += 1
        means.log_took += SMOOTHING * (log_took - means.log_took)
        means.log_estimate += SMOOTHING * (log_estimate - means.log_estimate)

    def to_record(self) -> ForecastRecord:
        """Return what was learned, for the store."""
        return ForecastRecord(
            {
                queue: QueueMeans(means.log_took, means.log_estimate, means.count)
                for queue, means in self._means_by_queue.items()
            }
        )

    def restore(self, record: ForecastRecord) -> None:
        """Go on from what an earlier holder has learned."""
        for queue, means in record.means_by_queue.items():
            self._means_by_queue[QueueName(queue)] = _Means(
                means.log_took, means.log_estimate, means.count
            )

    def has_enough_samples(self, queue: QueueName) -> bool:
        """Tell whether enough tasks of the queue have ended to go by."""
        means = self._means_by_queue.get(queue)
        return means is not None and means.count >= MIN_SAMPLES

    def estimate_s(self, queue: QueueName, estimated_ms: int) -> float:
        """Return how long a task with this estimate will take, in seconds."""
        means = self._means_by_queue.get(queue)
        if means is None:
            return estimated_ms / MS_PER_SECOND
        log_estimate = math.log(max(MIN_ESTIMATE_MS, estimated_ms))
        return math.exp(means.log_took + TRUST * (log_estimate - means.log_estimate))
