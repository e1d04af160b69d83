"""Jobs, steps and tasks as callers submit them."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, NewType

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.resources import Resources

ServiceName = NewType("ServiceName", str)
"""Name of a service: a pool of workers."""

UnixMs = NewType("UnixMs", int)
"""Milliseconds since 1970 in UTC, on the clock of the process that wrote it."""

MAX_DESCRIBED_STEPS = 20
"""Maximum number of a job's steps that one log line describes."""

MAX_DESCRIPTION_CHARACTERS = 300
"""Maximum length of the description of a step, in characters."""


class StepKey(NamedTuple):
    """Key of a step in one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """Key of a task: one of the equal parts of a step."""

    job_id: JobId
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # tuple.index is of no use here

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class WorkerIncarnation(NamedTuple):
    """One process of a worker: a restart under the same id is a new incarnation.

    ``born_unix_ms`` is when it started.
    """

    worker_id: WorkerId
    born_unix_ms: int


class JobPhase(Enum):
    """Phase of a job, as callers are told it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the phase never changes again."""
        return self in _FINAL_PHASES


class FailureCause(Enum):
    """Why a job has failed: a task's attempts, or its crashes of workers."""

    ATTEMPTS = "attempts"
    WORKER_CRASHES = "worker_crashes"


_FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@dataclass(frozen=True, slots=True)
class StepSpec:
    """The tasks of a step and what they need.

    - ``amount``: the capacity for each task.
    - ``estimated_ms``: the caller's estimate of a task's duration.
    - ``after``: steps that have to be done first.
    - ``gang``: the tasks run only all together, and share a checkpoint.
    - ``same_rack``: a gang is placed in one rack if it fits on any.
    - ``label``: only workers with this label may run the tasks, unless it is empty.
    - ``rack``: workers in this rack, near the tasks' data, are preferred.
    - ``max_per_worker``: limit of tasks per worker; 0 is no limit.
    - ``saves_progress``: a run saves checkpoints, so it may be stopped and its task
      continued elsewhere.
    - ``speculative``: a task may have two runs at once, and the first end counts.
    - ``perpetual``: a task whose run ends starts again, until its job is cancelled.
    - ``image``: the image that the tasks use.
    - ``target_ms``: limit of a serving task's tail latency; 0 is no limit.
    - ``fills``: the tasks use the processor time that other tasks leave.
    - ``may_miss``: how many tasks of a perpetual step may be without a run through the
      system's own actions.
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
        """The capacity that a task reserves; filling tasks reserve no processors."""
        if not self.fills:
            return self.amount
        return Resources(0, self.amount.memory_mib, self.amount.accelerators)

    @property
    def is_preemptible(self) -> bool:
        """Whether its runs may be stopped for more urgent work."""
        return self.saves_progress and not (self.gang or self.perpetual or self.fills)


_FLAGS = ("gang", "same_rack", "saves_progress", "speculative", "perpetual", "fills")


def describe_steps(steps: Sequence[StepSpec]) -> list[str]:
    """Return a short text of each step, for logs; the last one counts those left out.

    The result is bounded, whatever the steps are.
    """
    texts = [_describe_step(step) for step in steps[:MAX_DESCRIBED_STEPS]]
    if len(steps) > MAX_DESCRIBED_STEPS:
        texts.append(f"and {len(steps) - MAX_DESCRIBED_STEPS} more")
    return texts


def _describe_step(step: StepSpec) -> str:
    """Return a short text of a step's tasks and options."""
    amount = step.amount
    options = [name for name in _FLAGS if getattr(step, name)]
    for name in ("label", "rack", "max_per_worker", "target_ms", "may_miss", "image"):
        value = getattr(step, name)
        if value:
            options.append(f"{name}={value}")
    size = f"{amount.millicores}m/{amount.memory_mib}MiB/{amount.accelerators}acc"
    text = " ".join((f"{step.count}x{size}", f"{step.estimated_ms}ms", *options))
    return text[:MAX_DESCRIPTION_CHARACTERS]


@dataclass(frozen=True, slots=True)
class JobSpec:
    """The steps of a job and their schedule; without repetitions it runs once, now.

    ``text`` is passed unchanged to each run.
    """

    text: str
    steps: tuple[StepSpec, ...]
    first_run_unix_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    @property
    def occurrences(self) -> int:
        """The number of times that the steps run."""
        return max(1, self.repetitions)

    @property
    def task_count(self) -> int:
        """The number of tasks in all occurrences."""
        return self.occurrences * sum(step.count for step in self.steps)
