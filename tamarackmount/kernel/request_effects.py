"""Inputs, timing and effects of the request half of the decision core."""

from dataclasses import dataclass

from tamarackmount.ids import (
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TeamId,
    TicketId,
    UpstreamId,
)
from tamarackmount.kernel.messages import (
    AttemptCopy,
    HoldingsRequest,
    LoanCopy,
    Outcome,
    RefusalReason,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.units import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class RequestTiming:
    """Terms and limits of the request half; times are in milliseconds.

    - ``max_ticket_ms``: longest time that a slot is lent for, so no attempt runs
      longer, and the time that a new owner quarantines slots that it knows nothing
      of.
    - ``clock_margin_ms``: most that two clocks drift apart over one ticket.
    - ``attempt_memory_ms``: time that non-idempotent attempts are remembered for.
    - ``resend_ms``: first period after which an unanswered message is sent again.
    - ``owner_grace_ms``: time that requests wait for an owner before refusal.
    - ``retry_ratio``, ``retry_burst``: retries earned per request, and their most.
    - ``disconnect_frees_slot``: whether an upstream is assumed to stop working on a
      request as soon as its connection breaks; otherwise the slot of a failed
      attempt stays lent until its deadline.
    """

    max_ticket_ms: int = 15_000
    clock_margin_ms: int = 100
    attempt_memory_ms: int = 3_600_000
    resend_ms: int = 2_000
    owner_grace_ms: int = 1_000
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    disconnect_frees_slot: bool = False


@dataclass(frozen=True, slots=True)
class NewRequest:
    """A caller's request, admitted by its entry VM.

    ``call_id`` is unique in the entry VM's process.
    """

    call_id: int
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    idempotent: bool
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SendToOwner:
    """Send a message to the owner of the data centre.

    It is dropped while there is no owner; the request table asks the next one.
    """

    message: TicketRequest | TicketRelease | TicketWithdrawal


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send the request to the upstream; no byte may be sent after ``deadline``."""

    call_id: int
    ticket_id: TicketId
    upstream_id: UpstreamId
    deadline: Instant


@dataclass(frozen=True, slots=True)
class AbortUpstream:
    """Break off an attempt; its answer is no longer wanted."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller the final outcome.

    With ``ANSWERED`` the answer of the ticket's attempt is passed on.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason | None = None
    retry_after_ms: int = 0


RequestEffect = SendToOwner | SendUpstream | AbortUpstream | Finish
"""Every effect of a :class:`RequestTable`."""


@dataclass(frozen=True, slots=True)
class SendToMember:
    """Send a message to a member of the data centre, which may be the sender."""

    member_id: MemberId
    message: TicketGrant | TicketRefusal | LoanCopy | AttemptCopy | HoldingsRequest


DispatcherEffect = SendToMember
"""Every effect of a :class:`Dispatcher`."""


def after_ms(now: Instant, milliseconds: float) -> Instant:
    """Return the instant ``milliseconds`` after ``now``."""
    return Instant(now + milliseconds / MS_PER_SECOND)


def remaining_ms(deadline: Instant, now: Instant) -> int:
    """Return the whole milliseconds until ``deadline``, rounded down, at least 0."""
    return max(0, int((deadline - now) * MS_PER_SECOND))
