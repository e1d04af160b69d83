"""Report who uses and who waits for the capacity of pools, for operators."""

from collections.abc import Sequence
from typing import Protocol

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.shares.observer import ContentionRow, Observer
from tamarackmount.scheduling.shares.shares import ShareRow

REPORT_INTERVAL_S = 1.0
"""Interval between two reports, in seconds."""


class ShareRows(Protocol):
    """Shares of workspaces in pools."""

    def share_rows(self) -> Sequence[ShareRow]:
        """Return a row for each workspace and pool with demand."""


class DrainForecasts(Protocol):
    """Forecasts of how long the work of a workspace in a pool takes to start."""

    def drain_s(self, workspace: WorkspaceId, service: ServiceName) -> float | None:
        """Return the forecast in seconds, or None if there is none."""


class ContentionReports:
    """Hands rows about contention to an observer at intervals."""

    def __init__(self, shares: ShareRows, drains: DrainForecasts) -> None:
        """Report the rows of ``shares`` with the forecasts of ``drains``."""
        self._shares = shares
        self._drains = drains
        self._next_report_at = Instant(0.0)

    def report_if_due(self, observer: Observer, now: Instant) -> None:
        """Report at most once per interval."""
        if now < self._next_report_at:
            return
        self._next_report_at = Instant(now + REPORT_INTERVAL_S)
        observer.record_contention(
            [
                ContentionRow(row, self._drains.drain_s(row.workspace, row.service))
                for row in self._shares.share_rows()
            ]
        )
