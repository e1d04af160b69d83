"""State of one request in the request table of an entry VM."""

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
    """An attempt that is running at an upstream."""

    upstream_id: UpstreamId
    started_at: Instant


@dataclass(slots=True)
class RequestEntry:
    """A request that runs while ``attempt`` is set, and otherwise waits for a ticket.

    ``first_requested_at`` is when the ticket was first requested from the present
    owner. ``sent_failures`` counts the attempts that failed after a byte of them may
    have reached an upstream. ``excluded`` are the upstreams that failed this request.
    """

    submitted: NewRequest
    ticket_id: TicketId
    first_requested_at: Instant | None = None
    resend_ms: float = 0.0
    attempt: RunningAttempt | None = None
    sent_failures: int = 0
    caller_disconnected: bool = False
    excluded: list[UpstreamId] = field(default_factory=list)

    @property
    def maybe_sent(self) -> bool:
        """Whether a byte of any failed attempt may have reached an upstream."""
        return self.sent_failures > 0

    @property
    def key(self) -> DedupKey:
        """Key that identifies repeats of the request."""
        return DedupKey(self.submitted.team_id, self.submitted.request_id)

    def ticket_request(self, now: Instant) -> TicketRequest:
        """Return the message that requests a ticket as of ``now``."""
        return TicketRequest(
            ticket_id=self.ticket_id,
            request_id=self.submitted.request_id,
            team_id=self.submitted.team_id,
            queue=self.submitted.queue,
            idempotent=self.submitted.idempotent,
            remaining_ms=remaining_ms(self.submitted.deadline, now),
            excluded=list(self.excluded),
        )

    def ticket_in_use(self, grant: TicketGrant, deadline: Instant) -> TicketInUse:
        """Return the slot that a grant of this request's ticket gives."""
        return TicketInUse(
            ticket_id=grant.ticket_id,
            request_id=self.submitted.request_id,
            team_id=self.submitted.team_id,
            queue=self.submitted.queue,
            upstream_id=grant.upstream_id,
            idempotent=self.submitted.idempotent,
            deadline=deadline,
        )

    def finish_without_answer(
        self, reason: RefusalReason, retry_after_ms: int
    ) -> Finish:
        """Return the outcome of a request without an answer.

        It is ``NOT_RUN`` only if no byte of any attempt can have reached an upstream
        and no earlier attempt of the request is recorded.
        """
        call_id = self.submitted.call_id
        if reason is RefusalReason.ALREADY_ATTEMPTED:
            return Finish(call_id, Outcome.UNKNOWN, reason, retry_after_ms)
        if not self.maybe_sent:
            return Finish(call_id, Outcome.NOT_RUN, reason, retry_after_ms)
        if reason is not RefusalReason.DEADLINE:
            reason = RefusalReason.UPSTREAM_FAILED
        return Finish(call_id, Outcome.UNKNOWN, reason, retry_after_ms)
