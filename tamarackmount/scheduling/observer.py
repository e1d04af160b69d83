"""Who counts what the scheduler decides."""

from typing import Protocol


class Observer(Protocol):
    """Counts decisions; times are seconds from the job's acceptance."""

    def first_start(self, queue: str, waited_s: float) -> None:
        """Take a job's first start."""

    def job_ended(self, queue: str, phase: str, age_s: float) -> None:
        """Take a job's end."""

    def run_ended(self, how: str) -> None:
        """Take the end of a run."""


class NoObserver:
    """Counts nothing."""

    def first_start(self, queue: str, waited_s: float) -> None:
        """Ignore a job's first start."""

    def job_ended(self, queue: str, phase: str, age_s: float) -> None:
        """Ignore a job's end."""

    def run_ended(self, how: str) -> None:
        """Ignore the end of a run."""
