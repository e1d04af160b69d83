"""Inputs of the scheduler other than calls, and the effects it returns."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.adapters.worker_schema import (
    StartCommand,
    SyncCommand,
    TaskCommand,
)
from tamarackmount.ids import JobId, MemberId, RackId, WorkerId
from tamarackmount.kernel.messages import JobAnswer
from tamarackmount.resources import Resources


class Durability(Enum):
    """Where a job record is stored besides the owner."""

    PEERS = "peers"
    LOG = "log"


@dataclass(frozen=True, slots=True)
class SchedulerTiming:
    """Intervals and time limits of a scheduler, in seconds.

    ``command_timeout_s`` bounds how long after it was sent a call can still reach
    a worker: the adapter must close the connection by then. ``record_save_s`` is
    the longest time that progress of a job stays unsaved. ``ended_job_retention_s``
    is how long an ended job is kept.
    """

    worker_sync_s: float = 0.5
    task_lease_s: float = 4.0
    clock_margin_s: float = 0.1
    command_timeout_s: float = 1.0
    record_save_s: float = 2.0
    retry_backoff_s: float = 1.0
    reserve_after_s: float = 5.0
    reservation_s: float = 60.0
    worker_backoff_s: float = 30.0
    ended_job_retention_s: float = 3_600.0


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """Share and job ceilings of a team in one data centre; ``None``: no ceiling."""

    share: float = 1.0
    running_tasks: int | None = None
    millicores: int | None = None
    memory_mib: int | None = None
    accelerators: int | None = None


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """Resources that a team's attempts occupy, and its number of waiting tasks."""

    running_tasks: int = 0
    amount: Resources = Resources()
    waiting_tasks: int = 0


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker as the platform's VM list shows it."""

    id: WorkerId
    host: str
    port: int
    rack: RackId
    capacity: Resources
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class SyncWorker:
    """Send a sync.

    It is answered by ``worker_synced``, ``worker_failed`` or ``worker_stale``.
    """

    worker_id: WorkerId
    command: SyncCommand


@dataclass(frozen=True, slots=True)
class StartTask:
    """Send a start once; answered by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: StartCommand


@dataclass(frozen=True, slots=True)
class StopTask:
    """Send a stop; answered by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: TaskCommand


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Send a checkpoint; answered by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: TaskCommand


@dataclass(frozen=True, slots=True)
class SaveRecords:
    """Store job records; answered by ``records_saved`` or ``records_refused``.

    A start or a caller's answer waits for an ``urgent`` save. The node stores urgent
    and other saves alike.
    """

    token: int
    records: list[str]
    urgent: bool


@dataclass(frozen=True, slots=True)
class DropRecords:
    """Delete the records of ended jobs that are no longer kept."""

    job_ids: list[JobId]


@dataclass(frozen=True, slots=True)
class AnswerJob:
    """Answer a caller through the member that relayed the call."""

    origin: MemberId
    answer: JobAnswer


JobEffect = (
    SyncWorker
    | StartTask
    | StopTask
    | CheckpointTask
    | SaveRecords
    | DropRecords
    | AnswerJob
)
"""All effects that the scheduler returns."""
