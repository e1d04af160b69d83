"""Messages between entry VMs.

Each class is one struct of ``internal/peer.capnp``. Times are sent as remaining
milliseconds, never as clock readings: the receiver counts from the time of arrival,
the sender from the time of sending or earlier.
"""

from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import (
    ConfigPath,
    DataCentreId,
    Epoch,
    Incarnation,
    JobId,
    MemberId,
    Offset,
    QueueName,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
)


class RefusalReason(Enum):
    """Reason why a request or job was refused."""

    NO_UPSTREAM = "noUpstream"
    LINE_FULL = "lineFull"
    DEADLINE = "deadline"
    CEILING = "ceiling"
    NO_OWNER = "noOwner"
    ALREADY_ATTEMPTED = "alreadyAttempted"
    NOT_DURABLE = "notDurable"
    DRAINING = "draining"
    HOME_UNREACHABLE = "homeUnreachable"
    BAD_KEY = "badKey"
    UNKNOWN_QUEUE = "unknownQueue"
    RETRIES_SPENT = "retriesSpent"
    UPSTREAM_FAILED = "upstreamFailed"
    CUT_OFF = "cutOff"


class AttemptResult(Enum):
    """Result of one attempt of a request at an upstream."""

    ANSWERED = "answered"
    FAILED_BEFORE_SEND = "failedBeforeSend"
    FAILED_AFTER_SEND = "failedAfterSend"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic liveness message, with the sender's view of its data centre.

    ``config_offset`` is the log offset up to which the sender applied the
    configuration; ``log_age_ms`` is how long ago it last read the log's end.
    ``leaving`` tells that the sender takes no new work, because it drains or has not
    loaded the configuration yet.
    """

    member_id: MemberId
    incarnation: Incarnation
    data_centre: DataCentreId
    sequence: int
    epoch: Epoch
    owner: MemberId
    config_offset: Offset
    log_age_ms: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask the members of a data centre to accept an owner without using the log."""

    candidate: MemberId
    incarnation: Incarnation
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Accept or reject the candidate for the epoch."""

    member_id: MemberId
    epoch: Epoch
    accepted: bool


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Request an upstream slot for one request from the owner.

    ``excluded`` are the upstreams that failed this request.
    """

    ticket_id: TicketId
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    remaining_ms: int
    excluded: list[UpstreamId] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """Lend one slot of an upstream for one request.

    The receiver counts ``remaining_ms`` from when it first sent the request.
    """

    ticket_id: TicketId
    upstream_id: UpstreamId
    epoch: Epoch
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class TicketRefusal:
    """Refuse a ticket; the request did not run with this ticket."""

    ticket_id: TicketId
    reason: RefusalReason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketRelease:
    """Return a slot, with the result and the duration of the attempt."""

    ticket_id: TicketId
    result: AttemptResult
    service_ms: int


@dataclass(frozen=True, slots=True)
class TicketWithdrawal:
    """Withdraw a ticket request; if it was granted already, the slot is released."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class HeldTicket:
    """A slot that a member holds, as reported to a new owner or a witness.

    ``holder`` is the member; if it is empty, the sender holds the slot.
    """

    ticket_id: TicketId
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    upstream_id: UpstreamId
    idempotent: bool
    remaining_ms: int
    holder: MemberId = MemberId("")


@dataclass(frozen=True, slots=True)
class MemberRun:
    """One run of a member's process."""

    member_id: MemberId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LoanCopy:
    """Loans that no live member but the owner can report, copied to its witness.

    These are the owner's own loans and those of lost members. The witness answers with
    :class:`LoanCopied`. ``is_whole`` says that ``loans`` is the complete list;
    ``ended`` are loans that have ended. ``runs`` are the runs of members that the owner
    expects to report their own loans; loans of earlier runs are included in the copies.
    """

    epoch: Epoch
    sequence: int
    loans: list[HeldTicket]
    ended: list[TicketId]
    runs: list[MemberRun]
    is_whole: bool


@dataclass(frozen=True, slots=True)
class LoanCopied:
    """Acknowledge that the sender has stored the loans of a copy."""

    epoch: Epoch
    sequence: int


class AttemptState(Enum):
    """Known state of a non-idempotent request for which an attempt was started."""

    STARTED = "started"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class AttemptEntry:
    """A non-idempotent request that may have reached an upstream.

    ``keep_ms`` is how much longer the entry must be kept.
    """

    team_id: WorkspaceId
    request_id: RequestId
    state: AttemptState
    keep_ms: int


@dataclass(frozen=True, slots=True)
class AttemptCopy:
    """Ask a member to store attempts; it answers with :class:`AttemptCopied`."""

    sequence: int
    entries: list[AttemptEntry]


@dataclass(frozen=True, slots=True)
class AttemptCopied:
    """Acknowledge that the sender has stored the attempts of a copy."""

    sequence: int


@dataclass(frozen=True, slots=True)
class HoldingsRequest:
    """Ask a member for its slots and attempts; sent by a new owner."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class HoldingsReport:
    """Slots and attempts of a member, for the owner of the epoch.

    ``tickets`` includes loans of other members that it knows as the previous owner's
    witness. ``witnessed_epoch`` is the last epoch for which it got the complete list
    of loans, or 0. ``witnessed_runs`` are the runs that the owner of that epoch
    expected to report their own loans.
    """

    epoch: Epoch
    tickets: list[HeldTicket]
    attempts: list[AttemptEntry]
    witnessed_epoch: Epoch = Epoch(0)
    witnessed_runs: list[MemberRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HttpHeader:
    """HTTP header of a forwarded request or answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request, forwarded to a member of another data centre."""

    call_id: int
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    remaining_ms: int
    method: str
    path: str
    headers: list[HttpHeader]
    body: bytes
    traceparent: str


class Outcome(Enum):
    """Outcome of a request or job, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "notRun"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ForwardedReply:
    """Outcome of a forwarded request."""

    call_id: int
    outcome: Outcome
    reason: str
    retry_after_ms: int
    status: int
    headers: list[HttpHeader]
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardsClosed:
    """Tell a member of another data centre that the sender takes no more requests.

    ``taken`` has the call ids of the receiver's forwarded requests that reached the
    sender and whose deadlines have not passed. Every other one was certainly not taken.
    The answers to those in ``taken`` were sent before, unless the sender's planned stop
    ended by its deadline. ``incarnation`` is that of the sender.
    """

    incarnation: Incarnation
    taken: list[int]


class JobAction(Enum):
    """Action of a caller's call about jobs."""

    SUBMIT = "submit"
    VIEW = "view"
    LIST = "list"
    EXPLAIN = "explain"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call about jobs, sent to the owner of a data centre.

    ``spec`` is the JSON text of the job specification for ``SUBMIT``, else empty.
    """

    call_id: int
    action: JobAction
    team_id: WorkspaceId
    job_id: JobId
    spec: str


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a job call: the HTTP status and the JSON text of the body."""

    call_id: int
    status: int
    body: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobCopy:
    """Ask a member to store job records, as JSON texts."""

    epoch: Epoch
    sequence: int
    records: list[str]


@dataclass(frozen=True, slots=True)
class JobCopied:
    """Acknowledge that the sender has stored the job records of a copy."""

    sequence: int


@dataclass(frozen=True, slots=True)
class JobsWanted:
    """Ask a member for all its job records; sent by a new owner."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsHeld:
    """Job records that the sender holds; ``more`` says that another message follows.

    ``index`` numbers the messages of one answer from 0.
    """

    epoch: Epoch
    records: list[str]
    more: bool
    index: int = 0


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """One version of a configuration document; an empty text is a deletion."""

    path: ConfigPath
    version: Offset
    text: str


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Ask a member for the configuration documents changed since ``have_offset``."""

    have_offset: Offset


@dataclass(frozen=True, slots=True)
class ConfigSync:
    """Configuration documents; versions older than the receiver's are ignored."""

    offset: Offset
    entries: list[ConfigEntry]


PeerMessage = (
    Heartbeat
    | ClaimRequest
    | ClaimReply
    | TicketRequest
    | TicketGrant
    | TicketRefusal
    | TicketRelease
    | TicketWithdrawal
    | LoanCopy
    | LoanCopied
    | AttemptCopy
    | AttemptCopied
    | HoldingsRequest
    | HoldingsReport
    | ForwardedRequest
    | ForwardedReply
    | JobCall
    | JobAnswer
    | JobCopy
    | JobCopied
    | JobsWanted
    | JobsHeld
    | ConfigWanted
    | ConfigSync
    | ForwardsClosed
)
"""Any message between members."""
