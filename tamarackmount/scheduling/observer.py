"""Interface through which the scheduler reports metrics."""

from typing import Protocol


class Observer(Protocol):
    """Receiver of scheduling metrics; times are seconds from the job's acceptance."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Record the first start of a job's tasks."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Record the end of a job in the final phase ``phase``."""

    def record_run_end(self, outcome: str) -> None:
        """Record the end of a run; ``outcome`` is a value of ``RunEnd``."""


class NoObserver:
    """Observer that records nothing."""

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Ignore a job's first start."""

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Ignore a job's end."""

    def record_run_end(self, outcome: str) -> None:
        """Ignore the end of a run."""
