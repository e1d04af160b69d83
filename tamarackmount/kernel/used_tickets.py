"""Tickets of one entry VM that attempts of its requests at upstreams have used."""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import (
    Instant,
    QueueName,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
)
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import HeldTicket
from tamarackmount.kernel.request_effects import remaining_ms


@dataclass(frozen=True, slots=True)
class TicketInUse:
    """A slot that an attempt may occupy until ``deadline``."""

    ticket_id: TicketId
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    upstream_id: UpstreamId
    idempotent: bool
    deadline: Instant

    def to_held_ticket(self, now: Instant) -> HeldTicket:
        """Return the ticket as reported to a new owner, with the time rounded up."""
        return HeldTicket(
            ticket_id=self.ticket_id,
            request_id=self.request_id,
            team_id=self.team_id,
            queue=self.queue,
            upstream_id=self.upstream_id,
            idempotent=self.idempotent,
            remaining_ms=remaining_ms(self.deadline, now) + 1,
        )


class UsedTickets:
    """Tickets that must not be released as unused, and the slots still in use.

    A grant that arrives twice for a used ticket must be distinguished from a grant
    that no request waits for. So a used ticket is remembered until the owner's loan
    is certainly over.
    """

    def __init__(self) -> None:
        """Start without tickets."""
        self._used = DeadlineHeap[TicketId]()
        self._in_use_by_ticket: dict[TicketId, TicketInUse] = {}
        self._ends = DeadlineHeap[TicketId]()

    def __contains__(self, ticket_id: TicketId) -> bool:
        """Return whether the ticket was used."""
        return ticket_id in self._used

    def start(self, ticket: TicketInUse, remember_until: Instant) -> None:
        """Record that an attempt starts with the ticket."""
        self._used.set(ticket.ticket_id, remember_until)
        self._in_use_by_ticket[ticket.ticket_id] = ticket
        self._ends.set(ticket.ticket_id, ticket.deadline)

    def end(self, ticket_id: TicketId) -> None:
        """Record that the upstream no longer works on the ticket's attempt."""
        self._in_use_by_ticket.pop(ticket_id, None)
        self._ends.discard(ticket_id)

    def tick(self, now: Instant) -> None:
        """Forget tickets whose time is over."""
        self._used.pop_due(now)
        for ticket_id in self._ends.pop_due(now):
            del self._in_use_by_ticket[ticket_id]

    def in_use(self) -> Iterable[TicketInUse]:
        """Return the slots that may be in use."""
        return self._in_use_by_ticket.values()
