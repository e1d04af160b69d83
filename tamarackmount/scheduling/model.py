"""Jobs, steps and tasks as callers hand them in."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, NewType

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.resources import Resources

ServiceName = NewType("ServiceName", str)
"""Name of a service: a pool of workers."""

UnixMs = NewType("UnixMs", int)
"""Milliseconds since 1970 in UTC, by the clock of whoever wrote it."""


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """A task: one of the equal parts of a step."""

    job_id: JobId
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # tuple.index is of no use here

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class WorkerIncarnation(NamedTuple):
    """One run of a worker: a restart under the same id is another life.

    ``born_unix_ms`` is when it started.
    """

    worker_id: WorkerId
    born_unix_ms: int


class JobPhase(Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the phase never changes again."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@dataclass(frozen=True, slots=True)
class StepSpec:
    """What the tasks of a step need.

    ``amount`` is for each task. ``estimated_ms`` is the caller's guess of a task's
    duration. ``after`` lists steps that have to be done first. ``max_per_worker``
    is 0 without a bound. ``target_ms`` bounds the tail latency of a serving task, 0
    without one. Tasks of a step that ``fills`` use processor time that others leave.
    ``may_miss`` tasks of a lasting step may be away through the system's own doing.
    """

    count: int
    amount: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: RackId = RackId("")
    max_per_worker: int = 0
    saves_progress: bool = False
    speculative: bool = False
    perpetual: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved_amount(self) -> Resources:
        """Room that a task takes on a worker; filling tasks use what is left."""
        if not self.fills:
            return self.amount
        return Resources(0, self.amount.memory_mib, self.amount.accelerators)


_FLAGS = ("gang", "same_rack", "saves_progress", "speculative", "perpetual", "fills")


def describe_step(step: StepSpec) -> str:
    """Return a step's tasks and wishes in a few words, for logs."""
    amount = step.amount
    wishes = [name for name in _FLAGS if getattr(step, name)]
    for name in ("label", "rack", "max_per_worker", "target_ms", "may_miss", "image"):
        value = getattr(step, name)
        if value:
            wishes.append(f"{name}={value}")
    size = f"{amount.millicores}m/{amount.memory_mib}MiB/{amount.accelerators}acc"
    return " ".join((f"{step.count}x{size}", f"{step.estimated_ms}ms", *wishes))


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a job consists of; a job without repetitions runs once, at once."""

    text: str
    steps: tuple[StepSpec, ...]
    first_run_unix_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repetitions)
