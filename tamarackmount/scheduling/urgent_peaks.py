"""Observe the peak of what each workspace's urgent jobs use.

Load pattern: urgent jobs come in bursts and last a second, and workspaces differ in how
much of their ceiling these take. A fixed reserve is too small for some and wasted for
the others.
"""

from collections import deque
from collections.abc import Mapping

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import NOTHING, Resources, componentwise_maximum

PEAK_WINDOW_S = 20.0
"""Time for which a peak counts, in seconds."""

BUCKET_S = 1.0
"""Length of the spans, in seconds, of each of which one maximum is kept."""


class UrgentPeaks:
    """The largest urgent use of each workspace within the last ``PEAK_WINDOW_S``."""

    def __init__(self) -> None:
        """Begin with nothing observed."""
        self._buckets_by_workspace: dict[
            WorkspaceId, deque[tuple[Instant, Resources]]
        ] = {}
        self._observed_since_by_workspace: dict[WorkspaceId, Instant] = {}

    def record(
        self, urgent_use_by_workspace: Mapping[WorkspaceId, Resources], now: Instant
    ) -> None:
        """Record what the urgent jobs of workspaces use now."""
        for workspace, used in urgent_use_by_workspace.items():
            buckets = self._buckets_by_workspace.setdefault(workspace, deque())
            self._observed_since_by_workspace.setdefault(workspace, now)
            if buckets and now < buckets[-1][0] + BUCKET_S:
                began_at, peak = buckets[-1]
                buckets[-1] = began_at, componentwise_maximum(peak, used)
            else:
                buckets.append((now, used))
        for workspace in list(self._buckets_by_workspace):
            buckets = self._buckets_by_workspace[workspace]
            while buckets and buckets[0][0] + PEAK_WINDOW_S < now:
                buckets.popleft()
            if not buckets:
                del self._buckets_by_workspace[workspace]
                del self._observed_since_by_workspace[workspace]

    def is_representative(self, workspace: WorkspaceId, now: Instant) -> bool:
        """Tell whether urgent use was observed for a whole window without a gap."""
        since = self._observed_since_by_workspace.get(workspace)
        return since is not None and now >= since + PEAK_WINDOW_S

    def peak(self, workspace: WorkspaceId) -> Resources | None:
        """Return the peak of each resource, or None if no urgent use was observed."""
        buckets = self._buckets_by_workspace.get(workspace)
        if not buckets:
            return None
        peak = NOTHING
        for _, used in buckets:
            peak = componentwise_maximum(peak, used)
        return peak
