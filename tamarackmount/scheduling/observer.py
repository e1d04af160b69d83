"""Who counts what the scheduler decides."""

from typing import Protocol


class Observer(Protocol):
    """Counts decisions; times are seconds from the job's acceptance."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Take a job's first start."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Take a job's end."""

    def record_run_end(self, how: str) -> None:
        """Take the end of a run."""


class NoObserver:
    """Counts nothing."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Ignore a job's first start."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Ignore a job's end."""

    def record_run_end(self, how: str) -> None:
        """Ignore the end of a run."""
