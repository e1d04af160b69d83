"""Learn how far durations differ by themselves, to tell when a run is too slow.

Load pattern: durations within a step differ by two times where nothing is at fault. A
limit that is right for tasks that are alike gives many of them a needless copy.
"""

import math
from dataclasses import dataclass, field

from tamarackmount.ids import QueueName

SPREAD_MEMORY = 200.0
"""Number of runs that a queue's spread covers; those of one step are much alike."""

MIN_SPREAD_SAMPLES = 20
"""Number of runs from which on a queue's spread is good enough to judge others by."""

MAX_LOG_DEVIATION = math.log(3.0)
"""Limit of a deviation, without unit: larger ones come from faults, which the spread
has to tell from the usual."""

STANDARD_PER_MEAN_DEVIATION = math.sqrt(math.pi / 2)
"""Standard deviation per mean absolute deviation of a normal distribution."""


@dataclass(slots=True)
class _MeanDeviation:
    """Mean absolute deviation of ``count`` logarithms."""

    mean: float = 0.0
    count: int = 0

    def add(self, log_ratio: float) -> None:
        self.count += 1
        deviation = min(MAX_LOG_DEVIATION, abs(log_ratio))
        self.mean += (deviation - self.mean) / min(SPREAD_MEMORY, self.count)

    @property
    def spread(self) -> float | None:
        if self.count < MIN_SPREAD_SAMPLES:
            return None
        return self.mean * STANDARD_PER_MEAN_DEVIATION


@dataclass(slots=True)
class DurationSpread:
    """Spread of a queue's durations, as the standard deviation of their logarithms.

    The mean absolute deviation is learned, as it depends less on single slow runs.
    """

    _within_step_by_queue: dict[QueueName, _MeanDeviation] = field(default_factory=dict)
    _of_forecast_by_queue: dict[QueueName, _MeanDeviation] = field(default_factory=dict)

    def add_step_ratio(self, queue: QueueName, ratio: float) -> None:
        """Add a run's duration relative to its step's median; both on usual workers."""
        deviation = self._within_step_by_queue.setdefault(queue, _MeanDeviation())
        deviation.add(math.log(ratio))

    def add_forecast_ratio(self, queue: QueueName, ratio: float) -> None:
        """Add a run's duration relative to its forecast; both on usual workers."""
        deviation = self._of_forecast_by_queue.setdefault(queue, _MeanDeviation())
        deviation.add(math.log(ratio))

    def within_step(self, queue: QueueName) -> float | None:
        """Return the spread of durations within a step; None while little is known."""
        deviation = self._within_step_by_queue.get(queue)
        return deviation.spread if deviation is not None else None

    def of_forecast(self, queue: QueueName) -> float | None:
        """Return the spread around the forecast; None while little is known."""
        deviation = self._of_forecast_by_queue.get(queue)
        return deviation.spread if deviation is not None else None
