"""What workers say of themselves, and what they are told."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import DataCentreId, RackId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.model import ServiceName, TaskKey, WorkerIncarnation


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration; ``drain_left_ms`` counts from when it was written."""

    incarnation: WorkerIncarnation
    service: ServiceName
    address: str
    data_centre: DataCentreId
    labels: frozenset[str]
    rack: RackId
    capacity: Resources
    is_draining: bool = False
    drain_left_ms: int = 0


class RunEnd(Enum):
    """How a run ended.

    ``GANG_BROKEN`` and ``GANG_INCOMPLETE`` are of gangs that lacked a member.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists; ``percent`` is the pace that it is allowed."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    tail_ms_or_millicores: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """The end ``number`` of a worker's life."""

    number: int
    task: TaskKey
    run: int
    outcome: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker runs and which ends it lists."""

    born_unix_ms: int | None
    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class PollFailure(Enum):
    """Why a look at a worker gave no report."""

    NO_ANSWER = "silent"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_life"
    UNHEALTHY = "unhealthy"


class OrderResult(Enum):
    """How an order ended; only after ``UNKNOWN`` it may have been carried out."""

    DONE = "done"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    LATE = "late"
    NO_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run; ``lease_end_clock_ms`` is on the worker's clock."""

    incarnation: WorkerIncarnation
    task: TaskKey
    run: int
    text: str
    lease_end_clock_ms: int
    checkpoint: str = ""
    ticket: str = ""
