"""What a node asks its daemon to do."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.adapters.worker_schema import (
    StartCommand,
    SyncCommand,
    TaskCommand,
)
from tamarackmount.ids import (
    Epoch,
    Instant,
    MemberId,
    Offset,
    TicketId,
    UpstreamId,
    WorkerId,
)
from tamarackmount.internal.addresses import Address
from tamarackmount.kernel.log_writer import PendingRecord
from tamarackmount.kernel.messages import JobAnswer, Outcome, PeerMessage, RefusalReason


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another member; it may get lost."""

    to: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AppendToLog:
    """Append these records to the log in one call."""

    records: tuple[PendingRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from ``offset`` on, now."""

    offset: Offset


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Send a caller's request to an upstream; abort it at ``deadline``."""

    call_id: int
    ticket_id: TicketId
    upstream_id: UpstreamId
    address: Address
    deadline: Instant


@dataclass(frozen=True, slots=True)
class AbortCall:
    """Cut the connection of an attempt whose answer is no longer wanted."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Give the caller its one final outcome.

    With ``ANSWERED`` the answer of the call's last attempt goes out.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason | None
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hand a caller's request, whole, to a member of another data centre."""

    call_id: int
    to: MemberId
    deadline: Instant


WorkerCommand = SyncCommand | StartCommand | TaskCommand
"""Every command that an owner sends to workers."""


class WorkerAction(Enum):
    """Which call of the worker's interface a command is for."""

    SYNC = "sync"
    START = "start"
    STOP = "stop"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class CallWorker:
    """Send a command to a worker."""

    worker_id: WorkerId
    address: Address
    action: WorkerAction
    command: WorkerCommand


@dataclass(frozen=True, slots=True)
class FinishJobCall:
    """Answer a caller's call about jobs."""

    answer: JobAnswer


class ChangeOutcome(Enum):
    """What became of an operator's change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_CHANGED = "not_changed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FinishChange:
    """Answer an operator's change; ``version`` is the document's present one."""

    call_id: int
    outcome: ChangeOutcome
    version: Offset


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This member became or ceased to be the owner of its data centre."""

    owner: MemberId | None
    epoch: Epoch
    is_owner: bool


@dataclass(frozen=True, slots=True)
class ReportProblem:
    """Something that operators should see in the logs."""

    text: str


Effect = (
    SendPeer
    | AppendToLog
    | ReadLog
    | CallUpstream
    | AbortCall
    | FinishRequest
    | ForwardRequest
    | CallWorker
    | FinishJobCall
    | FinishChange
    | RoleChanged
    | ReportProblem
)
"""Every effect of a node."""
