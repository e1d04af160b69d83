"""Forecast how long tasks take, from those that have ended.

Load pattern: callers' estimates are off by up to 90 %, and wrong ones would decide the
order in which a queue's jobs start. So a forecast weighs the estimate against what the
queue's tasks took before.
"""

import math
from dataclasses import dataclass, field

from tamarackmount.ids import QueueName
from tamarackmount.scheduling.store.journal import ForecastRecord, QueueMeans
from tamarackmount.units import MS_PER_SECOND

SMOOTHING = 0.05
"""Weight of the newest task in a queue's mean, without unit; the mean covers about the
last twenty tasks."""

ESTIMATE_EXPONENT = 0.3
"""Exponent of an estimate's ratio to its queue's mean estimate, without unit: 0 ignores
the estimate, 1 follows it wholly."""

MIN_SAMPLES = 20
"""Number of ended tasks from which on a queue's mean is good enough to judge single
runs by."""

MIN_ESTIMATE_MS = 1
"""Lower limit of estimates, in milliseconds; a logarithm needs a positive value."""


FORECAST_STORE_INTERVAL_S = 5.0
"""Minimum time between two stored forecasts, in seconds; losing the samples of that
time does little harm."""


@dataclass(slots=True)
class _Means:
    """Means of natural logarithms, of durations in seconds and of estimates in ms."""

    log_took: float
    log_estimate: float
    count: int = 1


@dataclass(slots=True)
class Forecast:
    """Forecast of task durations, by queue."""

    _means_by_queue: dict[QueueName, _Means] = field(default_factory=dict)

    def add_sample(self, queue: QueueName, estimated_ms: int, took_s: float) -> None:
        """Add the duration of a run that completed without resuming a checkpoint."""
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
        """Return the record of the forecast for the store."""
        return ForecastRecord(
            {
                queue: QueueMeans(means.log_took, means.log_estimate, means.count)
                for queue, means in self._means_by_queue.items()
            }
        )

    def restore(self, record: ForecastRecord) -> None:
        """Continue from the forecast of a former holder."""
        for queue, means in record.means_by_queue.items():
            self._means_by_queue[QueueName(queue)] = _Means(
                means.log_took, means.log_estimate, means.count
            )

    def has_enough_samples(self, queue: QueueName) -> bool:
        """Tell whether the queue's mean has enough samples to judge runs by."""
        means = self._means_by_queue.get(queue)
        return means is not None and means.count >= MIN_SAMPLES

    def estimate_s(self, queue: QueueName, estimated_ms: int) -> float:
        """Return the forecast duration of a task with this estimate, in seconds."""
        means = self._means_by_queue.get(queue)
        if means is None:
            return estimated_ms / MS_PER_SECOND
        log_estimate = math.log(max(MIN_ESTIMATE_MS, estimated_ms))
        return math.exp(
            means.log_took + ESTIMATE_EXPONENT * (log_estimate - means.log_estimate)
        )
