"""Jobs, their tasks and the attempts to run them on workers."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import (
    Epoch,
    Instant,
    JobId,
    RackId,
    TaskId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.job_spec import JobKind, JobSpec, Priority
from tamarackmount.kernel.index_ranges import IndexRanges
from tamarackmount.resources import Resources

ATTEMPTS_PER_EPOCH = 1 << 20
"""Attempt numbers that each epoch reserves within one job."""


class TaskState(Enum):
    """State of a task as callers see it."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class JobState(Enum):
    """State of a job as callers see it."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


END_STATES = (
    TaskState.SUCCEEDED,
    TaskState.FAILED,
    TaskState.CANCELLED,
    TaskState.UNKNOWN,
)
"""Final states; only the restart of a gang makes a succeeded task wait again."""


class AttemptPhase(Enum):
    """Phase of an attempt, as the owner knows it."""

    AWAITING_PREEMPTION = "claiming"
    SAVING = "saving"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


TASK_STATE_BY_PHASE = {
    AttemptPhase.AWAITING_PREEMPTION: TaskState.WAITING,
    AttemptPhase.SAVING: TaskState.STARTING,
    AttemptPhase.STARTING: TaskState.STARTING,
    AttemptPhase.RUNNING: TaskState.RUNNING,
    AttemptPhase.CHECKPOINTING: TaskState.RUNNING,
    AttemptPhase.STOPPING: TaskState.RUNNING,
}
"""State that callers see for a task with an attempt in each phase."""

UNSENT_PHASES = frozenset({AttemptPhase.AWAITING_PREEMPTION, AttemptPhase.SAVING})
"""Phases before the start command was sent; no worker can know the attempt."""

ENDING_PHASES = frozenset({AttemptPhase.CHECKPOINTING, AttemptPhase.STOPPING})
"""Phases in which the owner is already ending the attempt."""

RENEWED_PHASES = frozenset({AttemptPhase.RUNNING, AttemptPhase.CHECKPOINTING})
"""Phases in which the owner renews the lease; in the others it may expire."""


class StopReason(Enum):
    """Why the owner ends an attempt."""

    NONE = "none"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    CEILING = "ceiling"
    GANG = "gang"
    JOB_FAILED = "job_failed"


class AttemptEnd(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    WORKER_RESTARTED = "worker_restarted"
    NOT_STARTED = "not_started"
    START_FAILED = "refused"
    NO_CAPACITY = "no_room"


@dataclass(slots=True)
class Attempt:
    """One try to run a task on a worker.

    ``sent_at`` is when the start command was sent; until then, when the attempt was
    created. ``lease_until`` is the time by which the attempt has ended unless a later
    sync renews its lease. ``seen_at_step`` is the step in which the worker first
    confirmed the attempt, 0 until then. ``why`` is the reason for the choice of the
    worker, which explanations show.
    """

    job: "Job"
    index: int
    number: int
    worker_id: WorkerId
    phase: AttemptPhase
    sent_at: Instant
    lease_until: Instant
    seen_at_step: int = 0
    start_answered: bool = False
    stop_reason: StopReason = StopReason.NONE
    why: str = ""
    task_id: TaskId = field(init=False)

    def __post_init__(self) -> None:
        """Set the id of the attempt's task."""
        self.task_id = task_id(self.job.id, self.index)

    @property
    def amount(self) -> Resources:
        """The resources that the job declares for each task."""
        return self.job.amount

    @property
    def is_preemptible(self) -> bool:
        """Whether urgent work may preempt the attempt."""
        return self.job.spec.idempotent and not self.job.urgent

    @property
    def ending(self) -> bool:
        """Whether the owner is already ending the attempt."""
        return self.phase in ENDING_PHASES


class Job:
    """A job and the state of each of its tasks.

    Every index is in exactly one of ``waiting``, ``backoff_until_by_index``,
    ``attempts_by_index`` and the sets of ``ended_by_state``. A job that
    ``is_quarantined`` waits until a former owner's attempts are certainly over; one
    that ``is_infeasible`` waits until the workers or the team's ceiling change.
    """

    def __init__(self, job_id: JobId, team_id: WorkspaceId, spec: JobSpec) -> None:
        """Create a job whose tasks all wait."""
        self.id = job_id
        self.team_id = team_id
        self.spec = spec
        self.amount = spec.amount()
        self.order: tuple[float, ...] = ()
        self.accepted_number = 0
        self.epoch = Epoch(0)
        self.version = 0
        self.saved_version = 0
        self.logged = False
        self.accepted = False
        self.cancelled = False
        self.failed = False
        self.is_quarantined = False
        self.is_infeasible = False
        self.ended = False
        self.gang_broken = False
        self.reason = ""
        self.why_waiting = ""
        self.waiting_since = Instant(0.0)
        self.waiting = IndexRanges([(0, spec.tasks - 1)])
        self.backoff_until_by_index: dict[int, Instant] = {}
        self.attempts_by_index: dict[int, Attempt] = {}
        self.ended_by_state = {state: IndexRanges() for state in END_STATES}
        self.failures_by_index: dict[int, int] = {}
        self.restarts_by_index: dict[int, int] = {}
        self.checkpoints_by_index: dict[int, str] = {}
        self.attempted = IndexRanges()
        self.bad_workers_by_index: dict[int, set[WorkerId]] = {}
        self.attempts_made = 0
        self.gang_failures = 0
        self.reservations = 0
        self.reserve_from = Instant(float("-inf"))
        self.next_try_at = Instant(float("-inf"))
        self.tasks_by_rack: Counter[RackId] = Counter()

    @property
    def urgent(self) -> bool:
        """Whether the job is placed before normal work."""
        return self.spec.priority is Priority.URGENT

    @property
    def is_gang(self) -> bool:
        """Whether the tasks run all at once or not at all."""
        return self.spec.kind is JobKind.GANG

    @property
    def closing(self) -> bool:
        """Whether no further task of the job may start."""
        return self.cancelled or self.failed

    def waiting_count(self) -> int:
        """Return how many tasks wait, including those in retry backoff."""
        return len(self.waiting) + len(self.backoff_until_by_index)

    def is_over(self) -> bool:
        """Return whether every task has ended."""
        return not self.attempts_by_index and self.waiting_count() == 0

    def state(self) -> JobState:
        """Return the state that callers see."""
        if not self.is_over():
            started = self.attempts_by_index or any(self.ended_by_state.values())
            return JobState.RUNNING if started else JobState.WAITING
        return self._end_state()

    def _end_state(self) -> JobState:
        if self.ended_by_state[TaskState.UNKNOWN]:
            return JobState.UNKNOWN
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed or self.ended_by_state[TaskState.FAILED]:
            return JobState.FAILED
        return JobState.SUCCEEDED

    def counts(self) -> dict[TaskState, int]:
        """Return the number of tasks in each state."""
        counts = {state: len(ended) for state, ended in self.ended_by_state.items()}
        counts[TaskState.WAITING] = self.waiting_count()
        counts[TaskState.STARTING] = 0
        counts[TaskState.RUNNING] = 0
        for attempt in self.attempts_by_index.values():
            counts[TASK_STATE_BY_PHASE[attempt.phase]] += 1
        return counts

    def next_attempt_number(self, epoch: Epoch) -> int:
        """Return a number that no other attempt of the job has in any epoch."""
        self.attempts_made += 1
        return epoch * ATTEMPTS_PER_EPOCH + self.attempts_made

    def end(self, index: int, state: TaskState) -> None:
        """Record how a task ended; the caller has taken it out of every other set."""
        self.ended_by_state[state].add(index)
        self.failures_by_index.pop(index, None)
        self.checkpoints_by_index.pop(index, None)
        self.bad_workers_by_index.pop(index, None)
        self.attempted.discard(index)

    def end_waiting(self, state: TaskState) -> None:
        """End every waiting task.

        The cost grows with the number of index ranges and of tasks in backoff. A large
        job has far fewer of these than waiting tasks.
        """
        for index in list(self.backoff_until_by_index):
            self.waiting.add(index)
        self.backoff_until_by_index.clear()
        for first, last in self.waiting.take_all():
            self.ended_by_state[state].add_range(first, last)

    def state_of(self, index: int) -> TaskState:
        """Return the state of one task."""
        attempt = self.attempts_by_index.get(index)
        if attempt is not None:
            return TASK_STATE_BY_PHASE[attempt.phase]
        for state, ended in self.ended_by_state.items():
            if index in ended:
                return state
        return TaskState.WAITING

    def live_attempts(self) -> Iterator[Attempt]:
        """Yield the attempts that are not over; callers may end them meanwhile."""
        yield from list(self.attempts_by_index.values())


def task_id(job_id: JobId, index: int) -> TaskId:
    """Return the id of a job's task."""
    return TaskId(f"{job_id}/{index}")


def split_task_id(task: TaskId) -> tuple[JobId, int] | None:
    """Return job id and index, or ``None`` if the text is not a task id."""
    job, _, index = task.rpartition("/")
    if not job or not index.isdecimal():
        return None
    return JobId(job), int(index)
