"""What the owner knows of its connection to one worker."""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant, JobId, RackId, TaskId, TeamId, WorkerId
from tamarackmount.kernel.jobs import Attempt
from tamarackmount.resources import Resources


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """One attempt of one task."""

    task_id: TaskId
    number: int


@dataclass(slots=True)
class OrphanedAttempt:
    """An attempt that runs on a worker and that no job of the table accounts for.

    It is not renewed; ``lease_until`` is when it is over at the latest.
    """

    key: AttemptKey
    team_id: TeamId
    amount: Resources
    lease_until: Instant


@dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """An ended attempt that the worker keeps until the job's version is saved."""

    job_id: JobId
    version: int


@dataclass(slots=True)
class WorkerLink:
    """State of the talk with one worker.

    ``epoch_acknowledged`` is set by the first answer to a sync of this epoch,
    ``answering`` while the last sync was answered; ``failures`` counts the syncs
    since the last answer. ``sync_step`` is the step in which the sync that is out, or
    was last out, was sent. ``preempting_attempt`` is the urgent attempt that the
    worker is kept for.
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
    sync_out: bool = False
    sync_step: int = 0
    sync_sent_at: Instant = Instant(0.0)
    attempts_by_task: dict[TaskId, Attempt] = field(default_factory=dict)
    orphans_by_key: dict[AttemptKey, OrphanedAttempt] = field(default_factory=dict)
    unsaved_ends_by_task: dict[TaskId, UnsavedEnd] = field(default_factory=dict)
    preempting_attempt: Attempt | None = None

    @property
    def takes_work(self) -> bool:
        """Tell whether the worker itself allows new work."""
        return (
            self.listed
            and not self.leaving
            and self.epoch_acknowledged
            and self.answering
        )

    def capacity(self) -> Resources:
        """Return the part by part smaller of the listed and reported capacity."""
        reported = self.reported_capacity
        listed = self.listed_capacity
        if reported is None:
            return listed
        return Resources(
            min(listed.millicores, reported.millicores),
            min(listed.memory_mib, reported.memory_mib),
            min(listed.accelerators, reported.accelerators),
        )
