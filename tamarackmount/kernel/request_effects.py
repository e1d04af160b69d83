"""Timing, inputs and effects of request handling in the kernel."""

from dataclasses import dataclass

from tamarackmount.ids import (
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
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
    """Durations and limits of request handling; names in ``_ms`` are milliseconds.

    - ``max_ticket_ms``: maximum duration of a loan of a slot, and so of an attempt.
      A new owner quarantines slots for this long plus ``clock_margin_ms`` if it does
      not know who uses them.
    - ``clock_margin_ms``: maximum drift between two clocks during one ticket.
    - ``attempt_memory_ms``: how long non-idempotent attempts are recorded.
    - ``resend_ms``: delay before an unanswered message is first sent again.
    - ``owner_grace_ms``: how long requests wait for an owner before they are refused.
    - ``retry_ratio``, ``retry_burst``: retries earned per request, and the maximum
      number of retries saved up.
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
    """A caller's request that its entry VM has admitted.

    ``call_id`` is unique in the process of the entry VM.
    """

    call_id: int
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SendToOwner:
    """Send a message to the owner of the data centre.

    The message is not sent while no owner is known. The request table requests waiting
    tickets again from the next owner. A release or withdrawal is not repeated: the next
    owner does not know the ticket, unless the slot was reported to it as in use before
    the release. Then the slot stays lent until the loan ends.
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
    """Abort an attempt whose answer is no longer needed."""

    ticket_id: TicketId


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the caller the final outcome.

    With ``ANSWERED``, the caller gets the upstream's answer to the attempt.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason | None = None
    retry_after_ms: int = 0


RequestEffect = SendToOwner | SendUpstream | AbortUpstream | Finish
"""Any effect of a :class:`RequestTable`."""


@dataclass(frozen=True, slots=True)
class SendToMember:
    """Send a message to a member of the data centre, which may be the sender."""

    member_id: MemberId
    message: TicketGrant | TicketRefusal | LoanCopy | AttemptCopy | HoldingsRequest


DispatcherEffect = SendToMember
"""Any effect of a :class:`Dispatcher`."""


def after_ms(now: Instant, milliseconds: float) -> Instant:
    """Return the instant ``milliseconds`` after ``now``."""
    return Instant(now + milliseconds / MS_PER_SECOND)


def remaining_ms(deadline: Instant, now: Instant) -> int:
    """Return the whole milliseconds until ``deadline``, rounded down, at least 0."""
    return max(0, int((deadline - now) * MS_PER_SECOND))
