"""Effects of a node, which its daemon carries out."""

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
    """Send a message to another member; delivery is not guaranteed."""

    to: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AppendToLog:
    """Append the records to the log in one call."""

    records: tuple[PendingRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from ``offset`` on without delay."""

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
    """Close the connection of an attempt whose answer is no longer needed."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Send the caller the final outcome; there is one for each request.

    With ``ANSWERED``, the caller gets the answer to the last attempt.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason | None
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Forward a caller's complete request to a member of another data centre."""

    call_id: int
    to: MemberId
    deadline: Instant


WorkerCommand = SyncCommand | StartCommand | TaskCommand
"""Any command that an owner sends to a worker."""


class WorkerAction(Enum):
    """Call of the worker's interface that carries a command."""

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
    """Outcome of an operator's change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_CHANGED = "not_changed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FinishChange:
    """Answer an operator's change; ``version`` is the document's current version."""

    call_id: int
    outcome: ChangeOutcome
    version: Offset


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Report that the known owner, or this member's ownership, changed."""

    owner: MemberId | None
    epoch: Epoch
    is_owner: bool


@dataclass(frozen=True, slots=True)
class ReportProblem:
    """Log a problem that operators should see."""

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
"""Any effect of a node."""
