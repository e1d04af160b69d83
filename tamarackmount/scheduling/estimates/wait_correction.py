"""Correct forecasts of waits by how long the last jobs of a pool really waited."""

import math
from dataclasses import dataclass, field

from tamarackmount.scheduling.domain.model import ServiceName

SMOOTHING = 0.1
"""Weight of the newest job's ratio of real to forecast wait, without unit."""

ROUNDING_S = 1.0
"""Time added to both waits of a ratio, in seconds: ratios of short waits say little."""

MAX_CORRECTION = 4.0
"""Limit of the correction, without unit; its inverse is the lower limit."""

OVERDUE_FACTOR = 1.5
"""Multiple of its forecast, without unit, from which on a job that still waits counts
with the time that it has waited so far: those that start last would be left out."""


@dataclass(slots=True)
class WaitCorrection:
    """Smoothed logarithm of real to forecast waits, by pool and urgency."""

    _log_ratio_by_pool: dict[tuple[ServiceName, bool], float] = field(
        default_factory=dict
    )

    def add_sample(
        self, pool: tuple[ServiceName, bool], forecast_s: float, waited_s: float
    ) -> None:
        """Add how long a job waited, and what was forecast without correction.

        Jobs with free capacity are left out: they wait for the store and for tickets.
        """
        if forecast_s <= 0:
            return
        ratio = (waited_s + ROUNDING_S) / (forecast_s + ROUNDING_S)
        known = self._log_ratio_by_pool.get(pool, 0.0)
        changed = known + SMOOTHING * (math.log(ratio) - known)
        limit = math.log(MAX_CORRECTION)
        self._log_ratio_by_pool[pool] = min(limit, max(-limit, changed))

    def corrected_s(self, pool: tuple[ServiceName, bool], forecast_s: float) -> float:
        """Return a forecast wait with the correction, in seconds; at least 0."""
        factor = math.exp(self._log_ratio_by_pool.get(pool, 0.0))
        return max(0.0, (forecast_s + ROUNDING_S) * factor - ROUNDING_S)

    def is_overdue(
        self, pool: tuple[ServiceName, bool], forecast_s: float, waited_s: float
    ) -> bool:
        """Tell whether a job has waited far longer than the corrected forecast."""
        limit_s = OVERDUE_FACTOR * self.corrected_s(pool, forecast_s) + ROUNDING_S
        return waited_s > limit_s
