"""Peaks of an amount that changes over time, within a recent window."""

from collections import deque
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources, componentwise_maximum

SPAN_S = 1.0
"""Length of the spans of time, in seconds, of each of which one maximum is kept."""


@dataclass(slots=True)
class SpanPeaks:
    """The largest amounts of the last ``window_s`` seconds, resource by resource.

    They are kept by spans of ``SPAN_S``, so an amount counts for up to that much longer
    than the window.
    """

    window_s: float
    _spans: deque[tuple[Instant, Resources]] = field(default_factory=deque)

    def record(self, amount: Resources, now: Instant) -> None:
        """Record the present amount; spans begin with a record."""
        if self._spans and now < self._spans[-1][0] + SPAN_S:
            began_at, peak = self._spans[-1]
            self._spans[-1] = began_at, componentwise_maximum(peak, amount)
        else:
            self._spans.append((now, amount))

    def peak(self, now: Instant) -> Resources | None:
        """Return the peak of each resource, or None if nothing was recorded lately."""
        while self._spans and self._spans[0][0] + SPAN_S + self.window_s <= now:
            self._spans.popleft()
        if not self._spans:
            return None
        peak = NOTHING
        for _, amount in self._spans:
            peak = componentwise_maximum(peak, amount)
        return peak
