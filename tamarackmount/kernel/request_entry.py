"""One request in the table of an entry VM."""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant, TicketId, UpstreamId
from tamarackmount.kernel.messages import (
    Outcome,
    RefusalReason,
    TicketGrant,
    TicketRequest,
)
from tamarackmount.kernel.request_dedup import DedupKey
from tamarackmount.kernel.request_effects import Finish, NewRequest, remaining_ms
from tamarackmount.kernel.used_tickets import TicketInUse


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that an upstream works on."""

    upstream_id: UpstreamId
    started_at: Instant


@dataclass(slots=True)
class RequestEntry:
    """A request that waits for a ticket, or runs while ``attempt`` is set.

    ``first_asked`` is when the ticket was first asked of the present owner, ``sent``
    whether a byte of any attempt may have reached an upstream.
    """

    new: NewRequest
    ticket_id: TicketId
    first_asked: Instant | None = None
    resend_ms: float = 0.0
    attempt: RunningAttempt | None = None
    sent: bool = False
    caller_left: bool = False
    excluded: list[UpstreamId] = field(default_factory=list)

    @property
    def key(self) -> DedupKey:
        """What the request is recognised by when it is repeated."""
        return DedupKey(self.new.team_id, self.new.request_id)

    def ticket_request(self, now: Instant) -> TicketRequest:
        """Return the question for a ticket as of now."""
        return TicketRequest(
            ticket_id=self.ticket_id,
            request_id=self.new.request_id,
            team_id=self.new.team_id,
            queue=self.new.queue,
            idempotent=self.new.idempotent,
            remaining_ms=remaining_ms(self.new.deadline, now),
            excluded=list(self.excluded),
        )

    def ticket_in_use(self, grant: TicketGrant, deadline: Instant) -> TicketInUse:
        """Return what is held with a grant of this request's ticket."""
        return TicketInUse(
            ticket_id=grant.ticket_id,
            request_id=self.new.request_id,
            team_id=self.new.team_id,
            queue=self.new.queue,
            upstream_id=grant.upstream_id,
            idempotent=self.new.idempotent,
            deadline=deadline,
        )

    def unanswered(self, reason: RefusalReason, retry_after_ms: int) -> Finish:
        """Return the end without an answer, truthful about what was sent."""
        call_id = self.new.call_id
        if reason is RefusalReason.ALREADY_ATTEMPTED:
            return Finish(call_id, Outcome.UNKNOWN, reason, retry_after_ms)
        if not self.sent:
            return Finish(call_id, Outcome.NOT_RUN, reason, retry_after_ms)
        if reason is not RefusalReason.DEADLINE:
            reason = RefusalReason.UPSTREAM_FAILED
        return Finish(call_id, Outcome.UNKNOWN, reason, retry_after_ms)
