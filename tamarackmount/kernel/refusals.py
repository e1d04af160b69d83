"""Refusals of ticket requests, with retry-after times."""

from tamarackmount.ids import Instant, MemberId, QueueName, TicketId
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.dispatcher_view import DispatcherCounters
from tamarackmount.kernel.messages import RefusalReason, TicketRefusal
from tamarackmount.kernel.request_effects import DispatcherEffect, SendToMember
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.slots import Loan

FINAL_REASONS = frozenset(
    {RefusalReason.ALREADY_ATTEMPTED, RefusalReason.UNKNOWN_QUEUE}
)
"""Reasons for which a retry is pointless; their retry-after time is 0."""


class Refusals:
    """Creates refusals and counts them by reason."""

    def __init__(self, admission: Admission, counters: DispatcherCounters) -> None:
        """Use the retry-after times of ``admission``."""
        self._admission = admission
        self._counters = counters

    def refuse(
        self, ticket: WaitingTicket, reason: RefusalReason, now: Instant
    ) -> list[DispatcherEffect]:
        """Refuse a ticket that is not queued, or no longer."""
        request = ticket.request
        return self._refuse(
            ticket.member_id, request.ticket_id, request.queue, reason, now
        )

    def refuse_loan(
        self, loan: Loan, reason: RefusalReason, now: Instant
    ) -> list[DispatcherEffect]:
        """Refuse the ticket of a loan whose grant has not been sent."""
        return self._refuse(loan.member_id, loan.ticket_id, loan.queue, reason, now)

    def _refuse(
        self,
        member_id: MemberId,
        ticket_id: TicketId,
        queue: QueueName,
        reason: RefusalReason,
        now: Instant,
    ) -> list[DispatcherEffect]:
        self._counters.refused_by_reason[reason] += 1
        retry_after_ms = 0
        if reason not in FINAL_REASONS:
            retry_after_ms = self._admission.retry_after_ms(queue, now)
        refusal = TicketRefusal(ticket_id, reason, retry_after_ms)
        return [SendToMember(member_id, refusal)]
