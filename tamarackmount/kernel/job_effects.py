"""What the scheduler takes besides calls, and the effects it asks for."""

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
    """Who holds a job record."""

    PEERS = "peers"
    LOG = "log"


@dataclass(frozen=True, slots=True)
class SchedulerTiming:
    """Periods and terms of a scheduler, in seconds.

    ``command_timeout_s`` bounds how long after its sending a call can still reach
    a worker: the adapter must close the connection by then. ``record_save_s`` is
    the longest time for which the progress of a job is not saved.
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
    job_memory_s: float = 3_600.0


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """Share and ceilings of a team in this data centre; ``None`` sets no limit."""

    share: float = 1.0
    running_tasks: int | None = None
    millicores: int | None = None
    memory_mib: int | None = None
    accelerators: int | None = None


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """What a team has starting, running and stopping, and how much it has waiting."""

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
    """Send a sync; met by one ``worker_synced``, ``worker_failed`` or ``_stale``."""

    worker_id: WorkerId
    command: SyncCommand


@dataclass(frozen=True, slots=True)
class StartTask:
    """Send a start once; met by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: StartCommand


@dataclass(frozen=True, slots=True)
class StopTask:
    """Send a stop; met by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: TaskCommand


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Send a checkpoint; met by ``command_answered`` or ``command_failed``."""

    worker_id: WorkerId
    command: TaskCommand


@dataclass(frozen=True, slots=True)
class SaveRecords:
    """Have job records held; met by ``records_saved`` or ``records_refused``.

    ``urgent`` saves hold something up; others may be grouped with later ones.
    """

    token: int
    records: list[str]
    urgent: bool


@dataclass(frozen=True, slots=True)
class DropRecords:
    """Forget the records of jobs that ended long ago."""

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
"""Everything that the scheduler asks of its daemon."""
