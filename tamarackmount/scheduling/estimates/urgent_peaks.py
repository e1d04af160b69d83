"""Observe the peak of what each workspace's urgent jobs use.

Load pattern: urgent jobs come in bursts and last a second, and workspaces differ in how
much of their ceiling these take. A fixed reserve is too small for some and wasted for
the others.
"""

from collections.abc import Mapping

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.estimates.span_peaks import SpanPeaks

PEAK_WINDOW_S = 20.0
"""Time for which a peak counts, in seconds."""


class UrgentPeaks:
    """The largest urgent use of each workspace within the last ``PEAK_WINDOW_S``."""

    def __init__(self) -> None:
        """Begin with nothing observed."""
        self._peaks_by_workspace: dict[WorkspaceId, SpanPeaks] = {}
        self._observed_since_by_workspace: dict[WorkspaceId, Instant] = {}

    def record(
        self, urgent_use_by_workspace: Mapping[WorkspaceId, Resources], now: Instant
    ) -> None:
        """Record what the urgent jobs of workspaces use now."""
        for workspace, used in urgent_use_by_workspace.items():
            self._observed_since_by_workspace.setdefault(workspace, now)
            peaks = self._peaks_by_workspace.get(workspace)
            if peaks is None:
                peaks = self._peaks_by_workspace[workspace] = SpanPeaks(PEAK_WINDOW_S)
            peaks.record(used, now)
        for workspace, peaks in list(self._peaks_by_workspace.items()):
            if peaks.peak(now) is None:
                del self._peaks_by_workspace[workspace]
                del self._observed_since_by_workspace[workspace]

    def is_representative(self, workspace: WorkspaceId, now: Instant) -> bool:
        """Tell whether urgent use was observed for a whole window without a gap."""
        since = self._observed_since_by_workspace.get(workspace)
        return since is not None and now >= since + PEAK_WINDOW_S

    def peak(self, workspace: WorkspaceId, now: Instant) -> Resources | None:
        """Return the peak of each resource, or None if no urgent use was observed."""
        peaks = self._peaks_by_workspace.get(workspace)
        return peaks.peak(now) if peaks is not None else None
