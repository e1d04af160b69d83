"""Runs of tasks, and steps and jobs as the holder works on them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import DataCentreId, Instant, JobId, WorkerId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.journal import JobProgress
from tamarackmount.scheduling.model import (
    JobPhase,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.step_advice import StepAdvice


class RunPhase(Enum):
    """How far a run is.

    The order of a ``STARTING`` run is under way; that of an ``OUTCOME_UNKNOWN`` one had
    no answer and may still be carried out, until a stop is confirmed.
    """

    STARTING = "starting"
    OUTCOME_UNKNOWN = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


class WaitReason(Enum):
    """Why a step's tasks have not started."""

    NONE = "none"
    TAKEOVER = "a worker that may run it has not answered the new holder"
    BACKOFF = "a start was refused a moment ago"
    ORPHANED_RUN = "an earlier run of it is being stopped"
    CEILING = "its team is at its ceiling"
    NO_PERMITTED_WORKER = (
        "no worker is known to be allowed for it, or the permission ended"
    )
    NO_CAPACITY = "no allowed worker has room"


@dataclass(slots=True)
class Run:
    """One start of a task on one life of a worker.

    ``amount`` is the room that it takes there, ``ceiling_usage`` what counts for its
    team. A stray run is one that nobody wants, on its way to be stopped.
    ``confirmed_at`` is when the worker last was known to have it, ``stopped_at`` when
    it confirmed a stop.
    """

    task: TaskKey
    number: int
    incarnation: WorkerIncarnation
    amount: Resources
    ceiling_usage: Resources
    phase: RunPhase
    began_at: Instant
    confirmed_at: Instant | None = None
    stopped_at: Instant | None = None
    stop_in_flight: bool = False
    next_stop_at: Instant = Instant(0.0)
    percent: int = 100
    reading: int = 0
    resumed: bool = False
    is_orphaned: bool = False


@dataclass(slots=True)
class StepState:
    """The tasks of one step of one occurrence.

    ``original_runs`` are runs of a speculative step that may be lost: their tasks start
    again beside them, and the first end counts. ``straggled`` are tasks that were
    stopped or copied as stragglers, once each. ``took_s`` are durations of tasks that
    ended well on their first run: those of one step are alike, while steps of one queue
    differ by several times. ``pending`` are tasks that have no run and are not done.
    ``not_before`` delays placing after a failure to place. ``run_number`` is the
    highest one used.
    """

    key: StepKey
    spec: StepSpec
    job: "JobState"
    pending: set[int]
    done: set[int] = field(default_factory=set)
    runs_by_index: dict[int, Run] = field(default_factory=dict)
    original_runs: list[Run] = field(default_factory=list)
    failures_by_index: dict[int, int] = field(default_factory=dict)
    checkpoints_by_index: dict[int, str] = field(default_factory=dict)
    run_number: int = 0
    failed_gang_run: int = 0
    advice: StepAdvice = field(default_factory=StepAdvice)
    straggled: set[int] = field(default_factory=set)
    took_s: list[float] = field(default_factory=list)
    failed_on: set[WorkerId] = field(default_factory=set)
    not_before: Instant = Instant(0.0)
    due_unix_ms: int = 0
    wait_reason: WaitReason = WaitReason.NONE

    @property
    def reserved_amount(self) -> Resources:
        """Room that a task takes on a worker."""
        return self.spec.reserved_amount

    @property
    def is_done(self) -> bool:
        """Whether every task has ended well."""
        return len(self.done) == self.spec.count

    @property
    def allows_speculative_copy(self) -> bool:
        """Whether several runs of one task may be at work together."""
        spec = self.spec
        return spec.speculative and not (spec.gang or spec.perpetual)

    def task(self, index: int) -> TaskKey:
        """Return the name of one task."""
        return TaskKey(*self.key, index)

    def runs(self) -> list[Run]:
        """Return every run that is not surely over, copies among them."""
        return [*self.runs_by_index.values(), *self.original_runs]


@dataclass(slots=True)
class JobState:
    """A job that is not over.

    ``target_at`` and ``late_target_at`` are the instants by which it should be done to
    be worth its whole and its smaller part, ``latest_start`` and ``latest_late_start``
    those at which what is left of it has to start for that; all are forecasts.
    ``is_over_share`` jobs came faster than their team's share. Tasks are kept together
    in the data centre ``preferred_data_centre``.
    """

    accepted: AcceptedJob
    phase: JobPhase = JobPhase.QUEUED
    steps_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    submitted_at: Instant = Instant(0.0)
    target_at: Instant = Instant(0.0)
    late_target_at: Instant = Instant(0.0)
    latest_start: Instant = Instant(0.0)
    latest_late_start: Instant = Instant(0.0)
    preferred_data_centre: DataCentreId | None = None
    priority: int = 0
    is_over_share: bool = False
    is_restored: bool = False
    final_unix_ms: int = 0

    @property
    def job_id(self) -> JobId:
        """The job's id."""
        return self.accepted.job_id

    def is_step_done(self, number: int) -> bool:
        """Tell whether a step is done in every occurrence."""
        occurrences = range(self.accepted.spec.occurrences)
        return all(
            self.steps_by_key[StepKey(self.job_id, occurrence, number)].is_done
            for occurrence in occurrences
        )

    def runs(self) -> Iterator[Run]:
        """Return every run that is not surely over."""
        for step in self.steps_by_key.values():
            yield from step.runs()

    def progress(self) -> JobProgress:
        """Return what the store has to keep."""
        steps = self.steps_by_key.values()
        return JobProgress(
            phase=self.phase,
            done_by_step={
                f"{step.key.occurrence}.{step.key.step}": sorted(step.done)
                for step in steps
                if step.done and not self.phase.is_final
            },
            failures_by_task={
                f"{step.key.occurrence}.{step.key.step}.{index}": count
                for step in steps
                for index, count in step.failures_by_index.items()
                if not self.phase.is_final
            },
            checkpoints_by_task={
                f"{step.key.occurrence}.{step.key.step}.{index}": checkpoint
                for step in steps
                for index, checkpoint in step.checkpoints_by_index.items()
                if index in step.pending and not self.phase.is_final
            },
            final_unix_ms=self.final_unix_ms,
        )


def make_job(
    accepted: AcceptedJob, progress: JobProgress | None, now: Instant
) -> JobState:
    """Return a job with every step, as far as the store knows it."""
    job = JobState(accepted, submitted_at=now)
    if progress is not None:
        job.phase = progress.phase
    done_by_step = progress.done_by_step if progress is not None else {}
    failures = progress.failures_by_task if progress is not None else {}
    spec = accepted.spec
    for occurrence in range(spec.occurrences):
        due = spec.first_run_unix_ms + occurrence * spec.interval_ms
        for number, step in enumerate(spec.steps):
            key = StepKey(accepted.job_id, occurrence, number)
            done = set(done_by_step.get(f"{occurrence}.{number}", ()))
            state = StepState(key, step, job, set(range(step.count)) - done, done)
            state.due_unix_ms = due if spec.repetitions else 0
            job.steps_by_key[key] = state
    for name, count in failures.items():
        step_of, index = _find_task(job, name)
        if step_of is not None:
            step_of.failures_by_index[index] = count
    checkpoints = progress.checkpoints_by_task if progress is not None else {}
    for name, checkpoint in checkpoints.items():
        step_of, index = _find_task(job, name)
        if step_of is not None:
            step_of.checkpoints_by_index[index] = checkpoint
    return job


def _find_task(job: JobState, name: str) -> tuple[StepState | None, int]:
    """Return the step and the index that a record's key names."""
    occurrence, step, index = (int(part) for part in name.split("."))
    return job.steps_by_key.get(StepKey(job.job_id, occurrence, step)), index
