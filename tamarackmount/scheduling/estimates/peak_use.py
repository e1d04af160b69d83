"""Capacity that tasks of one kind use in each pool, and its recent peak."""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.estimates.span_peaks import SpanPeaks

URGENT_PEAK_AGE_S = 10.0
"""Time for which a peak of urgent work counts, in seconds."""

LARGE_PEAK_AGE_S = 30.0
"""Time for which a peak of large tasks counts, in seconds; gangs come less often."""


@dataclass(slots=True)
class _ServiceUse:
    """What tasks use in one pool, and the peaks of that and of one task's amount."""

    use_peaks: SpanPeaks
    task_peaks: SpanPeaks
    used: Resources = NOTHING


@dataclass(slots=True)
class PeakUse:
    """What tasks of one kind use in each pool; updated as their runs start and end."""

    peak_age_s: float
    _use_by_service: dict[ServiceName, _ServiceUse] = field(default_factory=dict)

    def add(self, service: ServiceName, amount: Resources, now: Instant) -> None:
        """Add a run that starts, or that a former holder started."""
        use = self._use_by_service.get(service)
        if use is None:
            use = _ServiceUse(SpanPeaks(self.peak_age_s), SpanPeaks(self.peak_age_s))
            self._use_by_service[service] = use
        use.used = use.used + amount
        use.use_peaks.record(use.used, now)
        use.task_peaks.record(amount, now)

    def remove(self, service: ServiceName, amount: Resources) -> None:
        """Remove a run that has ended."""
        use = self._use_by_service.get(service)
        if use is not None:
            use.used = use.used - amount

    def unused_peak(
        self, service: ServiceName, now: Instant
    ) -> tuple[Resources, Resources] | None:
        """Return the recent peak less the present use, and the largest task.

        Return None if no such task has started in the last ``peak_age_s``.
        """
        use = self._use_by_service.get(service)
        if use is None:
            return None
        peak, largest_task = use.use_peaks.peak(now), use.task_peaks.peak(now)
        if peak is None or largest_task is None:
            return None
        return peak - use.used, largest_task
