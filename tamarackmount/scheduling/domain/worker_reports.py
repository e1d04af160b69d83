"""Messages between the holder and workers: registrations, reports and start orders."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import DataCentreId, RackId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import (
    ServiceName,
    TaskKey,
    WorkerIncarnation,
)


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration.

    ``drain_left_ms`` is the time left to drain, from when the registration was written,
    and ``cold_remaining_ms`` that for which tasks take longer there than usual.
    """

    incarnation: WorkerIncarnation
    service: ServiceName
    address: str
    data_centre: DataCentreId
    labels: frozenset[str]
    rack: RackId
    capacity: Resources
    is_draining: bool = False
    drain_left_ms: int = 0
    cold_remaining_ms: int = 0


class RunEnd(Enum):
    """How a run ended.

    ``GANG_BROKEN`` and ``GANG_INCOMPLETE`` are ends of gang members whose gang lacked a
    member.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


WHOLE_WORK_PERCENT = 100
"""Progress of a run that has done all of its work, in percent."""


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run in a worker's report.

    ``progress_percent`` is the part of its work that is done, as a whole number; a
    serving task that is at work has ``WHOLE_WORK_PERCENT``.
    ``tail_ms_or_millicores`` is the tail latency of a serving task, and the processor
    time that any other task uses.
    """

    task: TaskKey
    run_number: int
    checkpoint: str
    progress_percent: int
    tail_ms_or_millicores: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run; ``end_number`` counts those of one worker incarnation."""

    end_number: int
    task: TaskKey
    run_number: int
    outcome: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a poll: its runs and the ends that it lists.

    ``clock_ms`` is a reading of the worker's own clock. Unless the report
    ``lists_all_ends``, more follow once those that it lists are acknowledged: a run
    that it does not list may have ended in any way.
    """

    born_unix_ms: int | None
    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    lists_all_ends: bool = True


class PollFailure(Enum):
    """Why a poll gave no report."""

    NO_ANSWER = "silent"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_life"
    UNHEALTHY = "unhealthy"


class OrderResult(Enum):
    """Result of an order.

    A ``DONE`` order was carried out, an ``UNKNOWN`` one may have been, and no other
    was. An ``UNIDENTIFIED`` one was not sent, since the incarnation that it names did
    not answer on a new connection.
    """

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
    UNIDENTIFIED = "unidentified"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderReply:
    """A worker's reply to an order.

    ``clock_ms`` is a reading of the worker's own clock, or None without one.
    """

    result: OrderResult
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run; ``lease_end_clock_ms`` is on the worker's clock."""

    incarnation: WorkerIncarnation
    task: TaskKey
    run_number: int
    text: str
    lease_end_clock_ms: int
    checkpoint: str = ""
    ticket: str = ""
