"""Capacity that tasks of one kind use in each pool, and its recent peak."""

from collections import deque
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources, componentwise_maximum
from tamarackmount.scheduling.model import ServiceName

URGENT_PEAK_AGE_S = 10.0
"""Time for which a peak of urgent work counts, in seconds."""

LARGE_PEAK_AGE_S = 30.0
"""Time for which a peak of large tasks counts, in seconds; gangs come less often."""

SPAN_S = 1.0
"""Length of the spans of time whose peaks are kept, in seconds."""


@dataclass(slots=True)
class _Span:
    """Peak of use, and the largest task, in a span of time."""

    began_at: Instant
    peak: Resources
    largest_task: Resources


@dataclass(slots=True)
class _PoolUse:
    used: Resources = NOTHING
    spans: deque[_Span] = field(default_factory=deque)


@dataclass(slots=True)
class PeakUse:
    """What tasks of one kind use in each pool; updated as their runs start and end."""

    peak_age_s: float
    _use_by_service: dict[ServiceName, _PoolUse] = field(default_factory=dict)

    def add(self, service: ServiceName, amount: Resources, now: Instant) -> None:
        """Add a run that starts, or that a former holder started."""
        use = self._use_by_service.setdefault(service, _PoolUse())
        use.used = use.used + amount
        spans = use.spans
        if not spans or now >= spans[-1].began_at + SPAN_S:
            spans.append(_Span(now, use.used, amount))
        spans[-1].peak = componentwise_maximum(spans[-1].peak, use.used)
        spans[-1].largest_task = componentwise_maximum(spans[-1].largest_task, amount)

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
        spans = use.spans
        while spans and spans[0].began_at + SPAN_S + self.peak_age_s <= now:
            spans.popleft()
        if not spans:
            return None
        peak, largest_task = NOTHING, NOTHING
        for span in spans:
            peak = componentwise_maximum(peak, span.peak)
            largest_task = componentwise_maximum(largest_task, span.largest_task)
        return peak - use.used, largest_task
