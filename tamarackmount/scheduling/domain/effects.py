"""Effects: calls that the scheduler asks the node to make."""

from dataclasses import dataclass

from tamarackmount.ids import WorkerId
from tamarackmount.scheduling.domain.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import StartOrder


@dataclass(frozen=True, slots=True)
class PollWorker:
    """Poll a worker; the answer goes to ``poll_answered``.

    The poll renews the worker's lease if it has a ``lease_end_clock_ms``.
    ``ack_cursor`` acknowledges the run ends up to this number. The worker waits up to
    ``wait_ms`` for another end before it answers. An ``is_extra`` poll is sent beside
    another one that may still wait.
    """

    incarnation: WorkerIncarnation
    address: str
    ack_cursor: int
    lease_end_clock_ms: int | None
    wait_ms: int
    is_extra: bool = False


@dataclass(frozen=True, slots=True)
class AbortCalls:
    """Abort the calls to an address that are in progress.

    They were meant for a worker incarnation that is over, and must not reach the next
    one.
    """

    address: str


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send an order to start a run; the answer goes to ``start_answered``."""

    address: str
    order: StartOrder


@dataclass(frozen=True, slots=True)
class StopRun:
    """Send an order to stop a run; the answer goes to ``stop_answered``."""

    incarnation: WorkerIncarnation
    address: str
    task: TaskKey
    run_number: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which workers may run a step; the answer goes to ``advice_answered``.

    ``expected_ms`` is the time that the advice service should take to decide.
    """

    step: StepKey
    workers: tuple[WorkerId, ...]
    expected_ms: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop being the holder: another one has a higher fencing token."""

    reason: str


Effect = PollWorker | AbortCalls | StartRun | StopRun | AskAdvice | StepDown
"""Any effect that the scheduler asks for."""
