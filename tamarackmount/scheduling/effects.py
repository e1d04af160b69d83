"""What the holder asks its tasks to do."""

from dataclasses import dataclass

from tamarackmount.ids import WorkerId
from tamarackmount.scheduling.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.worker_reports import StartOrder


@dataclass(frozen=True, slots=True)
class PollWorker:
    """Look at a worker and renew its lease; the answer is ``poll_answered``."""

    incarnation: WorkerIncarnation
    address: str
    ack_cursor: int
    lease_end_clock_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send an order to start; the answer is ``start_answered``."""

    address: str
    order: StartOrder


@dataclass(frozen=True, slots=True)
class StopRun:
    """Send an order to stop; the answer is ``stop_answered``."""

    incarnation: WorkerIncarnation
    address: str
    task: TaskKey
    run: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which workers may run a step; the answer is ``advice_answered``.

    ``expected_ms`` is how long the service takes to decide.
    """

    step: StepKey
    workers: tuple[WorkerId, ...]
    expected_ms: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Give up the scheduling: another holder has a higher token."""

    reason: str


Effect = PollWorker | StartRun | StopRun | AskAdvice | StepDown
"""Anything that the scheduler asks for."""
