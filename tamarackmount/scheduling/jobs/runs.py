"""State of jobs, steps and runs as the holder knows it."""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import TypeVar

from tamarackmount.ids import DataCentreId, Instant, JobId, WorkerId, WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.estimates.peak_use import PeakUse
from tamarackmount.scheduling.jobs.index_ranges import IndexRanges
from tamarackmount.scheduling.jobs.step_advice import StepAdvice
from tamarackmount.scheduling.store.gang_evidence import (
    merge_members,
    split_by_member,
)
from tamarackmount.scheduling.store.journal import CrashRecord, JobProgress

T = TypeVar("T")

_log = logging.getLogger(__name__)

MAX_LISTED_TASKS = 1_000
"""Number of tasks of a job, in all occurrences, up to which its progress record lists
each task that is done. Earlier versions read only such lists; for larger jobs they
would take too long to write."""

MAX_AVOIDANCE_S = 2.0
"""Time, in seconds, for which a step waits for workers other than those on which it has
failed; the users allow 3 s without a run while there is capacity."""


class RunPhase(Enum):
    """State of a run.

    The start order of a ``STARTING`` run is not sent or not answered yet. A run is
    ``OUTCOME_UNKNOWN`` if its start order had no answer, or if a stop was wanted while
    the order was unanswered; it may start until a stop is confirmed.
    """

    STARTING = "starting"
    OUTCOME_UNKNOWN = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


class WaitReason(Enum):
    """Why a step's tasks have not started.

    ``BACKOFF`` follows a refused start, a preemption or an incomplete gang. The texts
    are kept for operators' tools.
    """

    NONE = "none"
    TAKEOVER = "a worker that may run it has not answered the new holder"
    BACKOFF = "a start was refused a moment ago"
    ORPHANED_RUN = "an earlier run of it is being stopped"
    CEILING = "its team is at its ceiling"
    NO_ELIGIBLE_WORKER = (
        "no worker is known to be allowed for it, or the permission ended"
    )
    NO_CAPACITY = "no allowed worker has room"
    HEADROOM = "free capacity of its pool is kept for other work"


@dataclass(slots=True)
class StepWaits:
    """Times that a step spent in wait reasons and that are not logged yet.

    ``seconds_by_reason`` counts until ``counted_until``; what has passed since then
    belongs to the step's present reason. That is logged if it is still the same at
    ``log_due_at``. ``last_reason`` is the last one with any time.
    """

    counted_until: Instant = Instant(0.0)
    log_due_at: Instant = Instant(inf)
    seconds_by_reason: dict[WaitReason, float] = field(default_factory=dict)
    last_reason: WaitReason = WaitReason.NONE


class Presence(Enum):
    """What a worker has told this holder of a run since its start order.

    ``UNKNOWN``: nothing. ``ABSENT``: a report that does not list it, on a poll sent
    after the order; the order may still come. ``CONFIRMED``: it answered the order, or
    reported the run.
    """

    UNKNOWN = "unknown"
    ABSENT = "absent"
    CONFIRMED = "confirmed"


@dataclass(slots=True)
class Run:
    """One start of a task on one incarnation of a worker.

    ``number`` is its run number: each new start of the task has a higher one.
    ``amount`` is the capacity that it reserves there, ``ceiling_usage`` what counts
    towards its workspace's ceiling; ``workspace_id`` is None if its job is not known. A
    run that ``is_orphaned`` is needed by no task and is being stopped. ``confirmed_at``
    is when the worker was last known to have the run, ``stopped_at`` when it confirmed
    a stop. ``listed_s`` is the longest time after its start, in seconds, at which a
    poll was sent whose report lists it. ``progress_percent`` and
    ``tail_ms_or_millicores`` are those of its newest row in a report; ``progressed_at``
    is when the former last changed. A run that ``resumed`` began from a checkpoint. One
    that ``is_adopted`` was started by a former holder: it began before ``began_at``,
    which is when this holder learned of it. It counts towards ``counted_use`` until it
    ends. ``expected_s`` is its duration forecast at its start, in seconds; 0 if it has
    none. A run ``is_ordered`` once its start order may have been sent. ``presence`` is
    what its worker itself has told of it, while ``confirmed_at`` also holds for runs
    that were read from the store.
    """

    task: TaskKey
    number: int
    incarnation: WorkerIncarnation
    amount: Resources
    ceiling_usage: Resources
    workspace_id: WorkspaceId | None
    phase: RunPhase
    began_at: Instant
    confirmed_at: Instant | None = None
    stopped_at: Instant | None = None
    stop_in_flight: bool = False
    next_stop_at: Instant = Instant(0.0)
    listed_s: float = 0.0
    progress_percent: int = 0
    progressed_at: Instant = Instant(0.0)
    tail_ms_or_millicores: int = 0
    resumed: bool = False
    is_adopted: bool = False
    is_ordered: bool = False
    is_orphaned: bool = False
    counted_use: PeakUse | None = None
    expected_s: float = 0.0
    presence: Presence = Presence.UNKNOWN


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers that are kept free for a gang or for perpetual tasks.

    ``count_by_worker`` is the number of tasks that each is kept free for, and
    ``starts_at_by_worker`` when the first of them can probably start there; members of
    a gang start together.
    """

    count_by_worker: Mapping[WorkerIncarnation, int]
    starts_at_by_worker: Mapping[WorkerIncarnation, Instant]
    planned_at: Instant

    @property
    def starts_at(self) -> Instant:
        """When all tasks can probably have started."""
        return max(self.starts_at_by_worker.values())

    @property
    def workers(self) -> AbstractSet[WorkerIncarnation]:
        """The workers that are kept free."""
        return self.count_by_worker.keys()


@dataclass(slots=True)
class StepState:
    """The tasks of one step of one occurrence of a job.

    ``pending`` are the indexes of tasks that have no run and are not done.
    ``original_runs`` are the originals beside their copies: runs of a speculative step
    that may be lost, so that their tasks start again, and the first end counts.
    ``crashes_by_index`` is the evidence that tasks crash their workers; see
    ``crash_evidence.py``. ``run_number`` is the highest run number used.
    ``failures_by_index`` is how many runs of a task have failed; those of a gang count
    for its first task, once for all members. ``failed_runs_by_index`` has the numbers
    of these runs, as an end may be reported again, also to the next holder; it lacks
    those that a holder of an earlier version has counted.
    ``handled_stragglers`` are the indexes of tasks that were stopped or copied as
    stragglers; each is treated so once only.
    ``durations_s`` are the durations, in seconds, of runs that ended well and did not
    resume from a checkpoint, divided by their workers' duration factors: those of one
    step are alike, while steps of one queue differ by several times.
    ``duration_by_worker_s`` has the same durations undivided, each with its worker, and
    none of gangs. ``failed_on`` are workers on which a task of the step
    failed or was a straggler; others are preferred, and until ``avoid_failed_on_until``
    the step waits for them. Suspects among its tasks wait until ``isolate_until`` for
    workers on which they can start apart from others. ``not_before`` delays the next
    placement after a refused start or a preemption. A step with a ``due_unix_ms`` does
    not start before then. ``reservation`` has the workers that are kept free for a
    gang or for perpetual tasks. A step that is kept from starting by reservations of
    others ignores them from ``uses_reserved_at`` on, if its pool is idle enough. A step
    ``exceeds_pool_share`` while its pool is scarce and the steps before it take all
    that its workspace is entitled to there.
    """

    key: StepKey
    spec: StepSpec
    job: "JobState"
    pending: IndexRanges
    done: IndexRanges = field(default_factory=IndexRanges)
    runs_by_index: dict[int, Run] = field(default_factory=dict)
    original_runs: list[Run] = field(default_factory=list)
    failures_by_index: dict[int, int] = field(default_factory=dict)
    failed_runs_by_index: dict[int, set[int]] = field(default_factory=dict)
    checkpoints_by_index: dict[int, str] = field(default_factory=dict)
    crashes_by_index: dict[int, list[CrashRecord]] = field(default_factory=dict)
    run_number: int = 0
    advice: StepAdvice = field(default_factory=StepAdvice)
    handled_stragglers: set[int] = field(default_factory=set)
    durations_s: list[float] = field(default_factory=list)
    duration_by_worker_s: list[tuple[WorkerIncarnation, float]] = field(
        default_factory=list
    )
    failed_on: set[WorkerId] = field(default_factory=set)
    avoid_failed_on_until: Instant = Instant(0.0)
    isolate_until: Instant = Instant(0.0)
    not_before: Instant = Instant(0.0)
    due_unix_ms: int = 0
    reservation: Reservation | None = None
    uses_reserved_at: Instant = Instant(inf)
    wait_reason: WaitReason = WaitReason.NONE
    waits: StepWaits = field(default_factory=StepWaits)
    exceeds_pool_share: bool = False

    @property
    def name(self) -> str:
        """The step's name in a progress record of its job."""
        return f"{self.key.occurrence}.{self.key.step}"

    @property
    def reserved_amount(self) -> Resources:
        """The capacity that a task reserves on a worker."""
        return self.spec.reserved_amount

    @property
    def is_done(self) -> bool:
        """Whether every task has completed."""
        return len(self.done) == self.spec.count

    @property
    def highest_failed_run(self) -> int:
        """The highest number of a run whose failure was counted; 0 if there is none."""
        runs = self.failed_runs_by_index.values()
        return max((number for numbers in runs for number in numbers), default=0)

    def count_failed_run(self, index: int, run_number: int) -> bool:
        """Count a failed run of a task; return False if it was counted before."""
        numbers = self.failed_runs_by_index.setdefault(index, set())
        if run_number in numbers:
            return False
        numbers.add(run_number)
        self.failures_by_index[index] = self.failures_by_index.get(index, 0) + 1
        return True

    @property
    def is_restart(self) -> bool:
        """Whether the step is perpetual and has run before."""
        return self.spec.perpetual and (self.run_number > 0 or self.job.is_restored)

    @property
    def allows_speculative_copy(self) -> bool:
        """Whether a task may have two runs at the same time."""
        spec = self.spec
        return spec.speculative and not (spec.gang or spec.perpetual)

    def stored_crashes(self) -> Mapping[int, list[CrashRecord]]:
        """Return the evidence as it is stored."""
        if not (self.spec.gang and self.crashes_by_index):
            return self.crashes_by_index
        return {0: merge_members(self.crashes_by_index)}

    def restore_crashes(self, index: int, crashes: list[CrashRecord]) -> None:
        """Restore the evidence that is stored under a task."""
        if not self.spec.gang:
            self.crashes_by_index[index] = list(crashes)
            return
        by_index = split_by_member(crashes, self.spec.count)
        for member, of_member in by_index.items():
            self.crashes_by_index.setdefault(member, []).extend(of_member)

    def avoid_worker(self, worker_id: WorkerId, now: Instant) -> None:
        """Prefer other workers, as a task failed or was a straggler on this one."""
        self.failed_on.add(worker_id)
        self.avoid_failed_on_until = Instant(now + MAX_AVOIDANCE_S)

    def task(self, index: int) -> TaskKey:
        """Return the key of one task."""
        return TaskKey(*self.key, index)

    def runs(self) -> list[Run]:
        """Return every run that may still be running, copies included."""
        return [*self.runs_by_index.values(), *self.original_runs]


@dataclass(slots=True)
class JobState:
    """A job that has work left, runs that may still be running or changes to store.

    ``steps_by_key`` has the steps of occurrences that have begun or will do so next:
    the holder keeps no state for each of thousands of repetitions. ``unopened`` are the
    occurrences that had none so far, and ``completed`` those of which all is done, but
    for a job that runs once. ``done_count_by_step`` is in how many occurrences each
    step is done.
    ``accepted_at`` is when the job was accepted. A job that is done by ``target_at``
    has its full value, and a smaller one if it is done by ``late_target_at``.
    ``latest_start`` and ``latest_late_start`` are when the work that is left has to
    start to be done by these; all four are forecasts. A job is ``is_over_share`` if its
    workspace submitted jobs faster than its share. Tasks are kept together in
    ``preferred_data_centre``. ``non_urgent_ceiling_fraction`` is the part of its
    workspace's ceiling that non-urgent jobs may fill, without unit, once urgent use was
    observed. ``forecast_wait_s`` is the wait that was forecast on submission, in
    seconds, until it is compared with the real one. ``is_restored`` tells jobs of a
    former holder from those submitted to this one.
    """

    accepted: AcceptedJob
    phase: JobPhase = JobPhase.QUEUED
    steps_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    unopened: IndexRanges = field(default_factory=IndexRanges)
    completed: IndexRanges = field(default_factory=IndexRanges)
    done_count_by_step: list[int] = field(default_factory=list)
    accepted_at: Instant = Instant(0.0)
    target_at: Instant = Instant(0.0)
    late_target_at: Instant = Instant(0.0)
    latest_start: Instant = Instant(0.0)
    latest_late_start: Instant = Instant(0.0)
    preferred_data_centre: DataCentreId | None = None
    non_urgent_ceiling_fraction: float | None = None
    forecast_wait_s: float | None = None
    priority: int = 0
    is_over_share: bool = False
    is_restored: bool = False
    final_unix_ms: int = 0
    failure_cause: FailureCause | None = None

    @property
    def job_id(self) -> JobId:
        """The job's id."""
        return self.accepted.job_id

    @property
    def is_done(self) -> bool:
        """Whether every step is done in every occurrence."""
        occurrences = self.accepted.spec.occurrences
        return all(done == occurrences for done in self.done_count_by_step)

    def is_step_done(self, number: int) -> bool:
        """Tell whether a step is done in every occurrence."""
        return self.done_count_by_step[number] == self.accepted.spec.occurrences

    @property
    def first_steps(self) -> list[int]:
        """The numbers of the steps that wait for no other."""
        steps = enumerate(self.accepted.spec.steps)
        return [number for number, step in steps if not step.after]

    def due_unix_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due; 0 if the job runs once, now."""
        spec = self.accepted.spec
        if not spec.repetitions:
            return 0
        return spec.first_run_unix_ms + occurrence * spec.interval_ms

    @property
    def next_occurrence(self) -> int | None:
        """The first occurrence that had no state so far, if there is one."""
        return self.unopened.first_from(0)

    def open_occurrence(self, occurrence: int) -> list[StepState]:
        """Create and return the state of an occurrence's steps."""
        self.unopened.discard(occurrence)
        steps = []
        for number, spec in enumerate(self.accepted.spec.steps):
            key = StepKey(self.job_id, occurrence, number)
            step = StepState(key, spec, self, IndexRanges.below(spec.count))
            step.due_unix_ms = self.due_unix_ms(occurrence)
            self.steps_by_key[key] = step
            steps.append(step)
        return steps

    def steps_of(self, occurrence: int) -> list[StepState]:
        """Return the steps of an occurrence that has state."""
        return [
            self.steps_by_key[StepKey(self.job_id, occurrence, number)]
            for number in range(len(self.accepted.spec.steps))
        ]

    def close_occurrence_if_done(self, occurrence: int) -> None:
        """Drop the state of an occurrence of which all is done and nothing runs."""
        if self.accepted.spec.occurrences == 1:
            return
        steps = self.steps_of(occurrence)
        if all(step.is_done and not step.runs() for step in steps):
            self.completed.add(occurrence)
            for step in steps:
                del self.steps_by_key[step.key]

    def find_step(self, key: StepKey) -> StepState | None:
        """Return a step that has state, or one whose occurrence is done."""
        step = self.steps_by_key.get(key)
        specs = self.accepted.spec.steps
        if step is not None or key.occurrence not in self.completed:
            return step
        if not 0 <= key.step < len(specs):
            return None
        spec = specs[key.step]
        return StepState(key, spec, self, IndexRanges(), IndexRanges.below(spec.count))

    def runs(self) -> Iterator[Run]:
        """Return every run that may still be running."""
        for step in self.steps_by_key.values():
            yield from step.runs()

    def progress(self) -> JobProgress:
        """Return the job's progress record for the store."""
        if self.phase.is_final:
            return JobProgress(
                phase=self.phase,
                final_unix_ms=self.final_unix_ms,
                cause=self.failure_cause.value if self.failure_cause else "",
            )
        steps = self.steps_by_key.values()
        progress = JobProgress(
            phase=self.phase,
            failures_by_task={
                f"{step.name}.{index}": count
                for step in steps
                for index, count in step.failures_by_index.items()
            },
            failed_runs_by_task={
                f"{step.name}.{index}": sorted(numbers)
                for step in steps
                for index, numbers in step.failed_runs_by_index.items()
            },
            checkpoints_by_task={
                f"{step.name}.{index}": checkpoint
                for step in steps
                for index, checkpoint in step.checkpoints_by_index.items()
                if index in step.pending
            },
            crashes_by_task={
                f"{step.name}.{index}": crashes
                for step in steps
                for index, crashes in step.stored_crashes().items()
                if crashes
            },
        )
        if self.accepted.spec.task_count <= MAX_LISTED_TASKS:
            return replace(progress, done_by_step=self._listed_done_tasks())
        return replace(
            progress,
            completed_occurrences=self.completed.ranges(),
            done_ranges_by_step={
                step.name: step.done.ranges() for step in steps if step.done
            },
        )

    def _listed_done_tasks(self) -> dict[str, list[int]]:
        """Return the tasks that are done, each by its index."""
        done_by_step = {
            f"{occurrence}.{number}": list(range(step.count))
            for occurrence in self.completed
            for number, step in enumerate(self.accepted.spec.steps)
        }
        for step in self.steps_by_key.values():
            if step.done:
                done_by_step[step.name] = list(step.done)
        return done_by_step


def make_job(
    accepted: AcceptedJob, progress: JobProgress | None, now: Instant
) -> JobState:
    """Return the state of a job, from its stored progress.

    Only those of its occurrences have state that have begun, and the next one.
    """
    spec = accepted.spec
    job = JobState(
        accepted,
        accepted_at=now,
        unopened=IndexRanges.below(spec.occurrences),
        done_count_by_step=[0] * len(spec.steps),
    )
    if progress is not None:
        job.phase = progress.phase
        _restore_done(job, progress)
        for found, index, count in _by_step(job, progress.failures_by_task):
            found.failures_by_index[index] = count
        for found, index, numbers in _by_step(job, progress.failed_runs_by_task):
            found.failed_runs_by_index[index] = set(numbers)
        for found, index, checkpoint in _by_step(job, progress.checkpoints_by_task):
            found.checkpoints_by_index[index] = checkpoint
        for found, index, crashes in _by_step(job, progress.crashes_by_task):
            found.restore_crashes(index, crashes)
    following = job.next_occurrence
    if following is not None and not job.steps_by_key:
        job.open_occurrence(following)
    return job


def _restore_done(job: JobState, progress: JobProgress) -> None:
    """Mark what is done according to a stored progress record."""
    for first, last in progress.completed_occurrences:
        _mark_completed(job, first, last)
    ranges_by_step = dict(progress.done_ranges_by_step)
    for name, indexes in progress.done_by_step.items():
        done = IndexRanges((index, index) for index in sorted(indexes))
        ranges_by_step[name] = done.ranges()
    for occurrence in _completed_in_lists(job, ranges_by_step):
        _mark_completed(job, occurrence, occurrence)
    for name, ranges in ranges_by_step.items():
        step = _find_step(job, name)
        if step is None or step.is_done:
            continue
        for first, last in ranges:
            first, last = max(first, 0), min(last, step.spec.count - 1)
            step.done.add_range(first, last)
            step.pending.discard_range(first, last)
        job.done_count_by_step[step.key.step] += step.is_done


def _mark_completed(job: JobState, first: int, last: int) -> None:
    """Mark all tasks as done of the occurrences from ``first`` to ``last``."""
    before = len(job.completed)
    first, last = max(first, 0), min(last, job.accepted.spec.occurrences - 1)
    job.completed.add_range(first, last)
    job.unopened.discard_range(first, last)
    added = len(job.completed) - before
    job.done_count_by_step = [count + added for count in job.done_count_by_step]


def _completed_in_lists(
    job: JobState, ranges_by_step: Mapping[str, list[tuple[int, int]]]
) -> list[int]:
    """Return the occurrences of a repeated job of which every step is done."""
    spec = job.accepted.spec
    if spec.occurrences == 1:
        return []
    done_steps: Counter[int] = Counter()
    for name, ranges in ranges_by_step.items():
        occurrence, _, number = name.partition(".")
        if not (occurrence.isdecimal() and number.isdecimal()):
            continue
        if int(number) < len(spec.steps):
            count = spec.steps[int(number)].count
            done_steps[int(occurrence)] += ranges == [(0, count - 1)]
    return [
        occurrence
        for occurrence, steps in done_steps.items()
        if steps == len(spec.steps) and occurrence < spec.occurrences
    ]


def _by_step(
    job: JobState, value_by_task: Mapping[str, T]
) -> Iterator[tuple[StepState, int, T]]:
    """Yield the step and the index of each key of a progress record, if known."""
    for name, value in value_by_task.items():
        step_name, _, index = name.rpartition(".")
        step = _find_step(job, step_name)
        if step is None:
            continue
        if not index.isdecimal():
            _log_unreadable(job, name)
            continue
        yield step, int(index), value


def _find_step(job: JobState, name: str) -> StepState | None:
    """Return the step with a name in a progress record, or None if there is none."""
    try:
        occurrence, number = (int(part) for part in name.split("."))
    except ValueError:
        _log_unreadable(job, name)
        return None
    if occurrence in job.unopened and 0 <= number < len(job.accepted.spec.steps):
        job.open_occurrence(occurrence)
    return job.find_step(StepKey(job.job_id, occurrence, number))


def _log_unreadable(job: JobState, name: str) -> None:
    extra = {"job": job.job_id, "key": name}
    _log.warning("task in stored progress not readable; skipped", extra=extra)
