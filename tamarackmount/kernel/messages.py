"""Messages between entry VMs.

Each class is one struct of ``internal/peer.capnp``. Times on the wire are
remaining milliseconds, never clock readings: the receiver counts from the moment
of arrival, the sender from the moment of sending or earlier.
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
    TeamId,
    TicketId,
    UpstreamId,
)


class RefusalReason(Enum):
    """Why work was refused."""

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
    """How one attempt of a request at an upstream ended."""

    ANSWERED = "answered"
    FAILED_BEFORE_SEND = "failedBeforeSend"
    FAILED_AFTER_SEND = "failedAfterSend"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life between members, with the sender's view of its data centre.

    ``config_offset`` is the log offset up to which the sender applied the
    configuration; ``log_age_ms`` is how long ago it last read the log's end.
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
    """Ask the members of a data centre to accept a new owner without the log."""

    candidate: MemberId
    incarnation: Incarnation
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Whether the sender accepts the candidate for the epoch."""

    member_id: MemberId
    epoch: Epoch
    accepted: bool


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Ask the owner for an upstream slot for one request.

    ``excluded`` names upstreams that already failed this request.
    """

    ticket_id: TicketId
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    idempotent: bool
    remaining_ms: int
    excluded: list[UpstreamId] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """Lend one slot of an upstream for one request.

    The borrower counts ``remaining_ms`` from when it sent the request.
    """

    ticket_id: TicketId
    upstream_id: UpstreamId
    epoch: Epoch
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class TicketRefusal:
    """Refuse a ticket; the request was not run on its account."""

    ticket_id: TicketId
    reason: RefusalReason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketRelease:
    """Give a slot back, with how the attempt went and how long it took."""

    ticket_id: TicketId
    result: AttemptResult
    service_ms: int


@dataclass(frozen=True, slots=True)
class TicketWithdrawal:
    """Take a waiting ticket request back; a grant already sent is released."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class HeldTicket:
    """A slot that a member holds, as it is told to a new owner or a witness.

    ``holder`` is the member; when empty, it is the sender.
    """

    ticket_id: TicketId
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    upstream_id: UpstreamId
    idempotent: bool
    remaining_ms: int
    holder: MemberId = MemberId("")


@dataclass(frozen=True, slots=True)
class MemberRun:
    """One run of a member, from its start to its end."""

    member_id: MemberId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LoanCopy:
    """Loans that no live member but the owner can report, told to its witness.

    The witness answers with :class:`LoanCopied`. ``is_whole`` says that ``loans``
    are all there are now; ``ended`` names loans that are over. ``runs`` are the
    members' runs that the owner counts on to report their own loans; loans of
    earlier runs are among those told.
    """

    epoch: Epoch
    sequence: int
    loans: list[HeldTicket]
    ended: list[TicketId]
    runs: list[MemberRun]
    is_whole: bool


@dataclass(frozen=True, slots=True)
class LoanCopied:
    """The sender remembers the loans of the copy with this number."""

    epoch: Epoch
    sequence: int


class AttemptState(Enum):
    """What is known of a non-idempotent request that was let through."""

    STARTED = "started"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class AttemptEntry:
    """A non-idempotent request that may have reached an upstream.

    ``keep_ms`` is how long the entry has still to be remembered.
    """

    team_id: TeamId
    request_id: RequestId
    state: AttemptState
    keep_ms: int


@dataclass(frozen=True, slots=True)
class AttemptCopy:
    """Ask a member to remember attempts; it answers with :class:`AttemptCopied`."""

    sequence: int
    entries: list[AttemptEntry]


@dataclass(frozen=True, slots=True)
class AttemptCopied:
    """The sender remembers the attempts of the copy with this number."""

    sequence: int


@dataclass(frozen=True, slots=True)
class HoldingsRequest:
    """A new owner asks a member what it holds and remembers."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class HoldingsReport:
    """What a member holds and remembers, for the owner of the epoch.

    ``tickets`` includes loans of others that it knows as the owner's witness;
    ``witnessed_epoch`` is the last epoch whose loans it was told whole, 0 for none;
    ``witnessed_runs`` are the runs that the owner of that epoch counted on.
    """

    epoch: Epoch
    tickets: list[HeldTicket]
    attempts: list[AttemptEntry]
    witnessed_epoch: Epoch = Epoch(0)
    witnessed_runs: list[MemberRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HttpHeader:
    """One header of a forwarded request or answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request handed to a member of another data centre."""

    call_id: int
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    idempotent: bool
    remaining_ms: int
    method: str
    path: str
    headers: list[HttpHeader]
    body: bytes
    traceparent: str


class Outcome(Enum):
    """What became of a request or job, as told to its caller."""

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


class JobAction(Enum):
    """What a caller wants done with a job."""

    SUBMIT = "submit"
    VIEW = "view"
    LIST = "list"
    EXPLAIN = "explain"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call about jobs, handed to the owner of a data centre.

    ``spec`` is the JSON text of a job specification when submitting, else empty.
    """

    call_id: int
    action: JobAction
    team_id: TeamId
    job_id: JobId
    spec: str


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a job call: an HTTP status and the JSON text of the body."""

    call_id: int
    status: int
    body: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobCopy:
    """Ask a member to hold job records, as JSON texts."""

    epoch: Epoch
    sequence: int
    records: list[str]


@dataclass(frozen=True, slots=True)
class JobCopied:
    """The sender holds the job records of the copy with this number."""

    sequence: int


@dataclass(frozen=True, slots=True)
class JobsWanted:
    """A new owner asks a member for every job record that it holds."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsHeld:
    """Job records that the sender holds; ``more`` says that others follow.

    ``index`` counts the messages of one answer from 0.
    """

    epoch: Epoch
    records: list[str]
    more: bool
    index: int = 0


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """One configuration document at a version; an empty text is a deletion."""

    path: ConfigPath
    version: Offset
    text: str


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Ask a member for every configuration document that it has."""

    have_offset: Offset


@dataclass(frozen=True, slots=True)
class ConfigSync:
    """Configuration documents, applied by version; an older one changes nothing."""

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
)
"""Every message that members send each other."""
