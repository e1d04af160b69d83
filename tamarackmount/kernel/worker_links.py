"""The owner's view of a worker: its connection, capacity and task attempts."""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant, JobId, RackId, TaskId, WorkerId, WorkspaceId
from tamarackmount.kernel.jobs import Attempt
from tamarackmount.resources import Resources


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identity of an attempt of a task."""

    task_id: TaskId
    number: int


@dataclass(slots=True)
class OrphanedAttempt:
    """An attempt that runs on a worker but was not adopted by this owner.

    Its job is not in the table, or its task is not waiting, so that the job can't
    adopt it. Its lease is not renewed, so it ends at ``lease_until`` at the latest.
    """

    key: AttemptKey
    team_id: WorkspaceId
    amount: Resources
    lease_until: Instant


@dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """An ended attempt that the worker keeps until this version of its job is saved."""

    job_id: JobId
    version: int


@dataclass(slots=True)
class WorkerLink:
    """State of the connection to one worker.

    ``epoch_acknowledged`` is set by the first answer to a sync of this epoch.
    ``answering`` tells whether the last sync was answered, and ``failures`` counts the
    failed syncs since the last answer. ``sync_step`` is the step in which the latest
    sync was sent. ``preempting_attempt`` is the urgent attempt for which the worker is
    reserved until its victims have ended.
    """

    worker_id: WorkerId
    next_sync_at: Instant
    rack: RackId
    listed_capacity: Resources
    reported_capacity: Resources | None = None
    listed: bool = True
    leaving: bool = False
    epoch_acknowledged: bool = False
    answering: bool = False
    failures: int = 0
    sync_pending: bool = False
    sync_step: int = 0
    sync_sent_at: Instant = Instant(0.0)
    attempts_by_task: dict[TaskId, Attempt] = field(default_factory=dict)
    orphans_by_key: dict[AttemptKey, OrphanedAttempt] = field(default_factory=dict)
    unsaved_ends_by_task: dict[TaskId, UnsavedEnd] = field(default_factory=dict)
    preempting_attempt: Attempt | None = None

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent to the worker, apart from its health."""
        return (
            self.listed
            and not self.leaving
            and self.epoch_acknowledged
            and self.answering
        )

    def capacity(self) -> Resources:
        """Return the minimum of the listed and reported capacity, per resource."""
        reported = self.reported_capacity
        listed = self.listed_capacity
        if reported is None:
            return listed
        return Resources(
            min(listed.millicores, reported.millicores),
            min(listed.memory_mib, reported.memory_mib),
            min(listed.accelerators, reported.accelerators),
        )
