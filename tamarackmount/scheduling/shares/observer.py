"""Interface through which the scheduler reports metrics."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tamarackmount.scheduling.shares.shares import ShareRow


@dataclass(frozen=True, slots=True)
class ContentionRow:
    """A share, and the forecast of when its waiting work has started.

    ``drain_s`` is in seconds, None if there is no forecast.
    """

    share: ShareRow
    drain_s: float | None


class Observer(Protocol):
    """Receiver of scheduling metrics; times are seconds from the job's acceptance."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Record the first start of a job's tasks."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Record the end of a job in the final phase ``phase``."""

    def record_run_end(self, outcome: str) -> None:
        """Record the end of a run; ``outcome`` is a value of ``RunEnd``."""

    def record_worker_end(self, cause: str) -> None:
        """Record a removed worker that had runs; a value of ``WorkerEndCause``."""

    def record_lost_run(self, cause: str) -> None:
        """Record a run that its worker never reported as ended, by the same cause."""

    def record_contention(self, rows: Sequence[ContentionRow]) -> None:
        """Replace the rows about workspaces that compete for pools."""


class NoObserver:
    """Observer that records nothing."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Ignore a job's first start."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Ignore a job's end."""

    def record_run_end(self, outcome: str) -> None:
        """Ignore the end of a run."""

    def record_worker_end(self, cause: str) -> None:
        """Ignore the end of a worker."""

    def record_lost_run(self, cause: str) -> None:
        """Ignore a lost run."""

    def record_contention(self, rows: Sequence[ContentionRow]) -> None:
        """Ignore rows about contention."""
