"""Tickets of one entry VM that were put to use."""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import (
    Instant,
    QueueName,
    RequestId,
    TeamId,
    TicketId,
    UpstreamId,
)
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import HeldTicket
from tamarackmount.kernel.request_effects import remaining_ms


@dataclass(frozen=True, slots=True)
class TicketInUse:
    """A slot that an attempt may occupy until ``deadline``."""

    ticket_id: TicketId
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    upstream_id: UpstreamId
    idempotent: bool
    deadline: Instant

    def held(self, now: Instant) -> HeldTicket:
        """Return the ticket as it is told to a new owner, rounded up."""
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
    """Tickets that must not be given back as unused, and the slots still in use.

    A doubled grant of a ticket that was used is told apart from a grant that nobody
    waits for, until the owner's loan is over in any case.
    """

    def __init__(self) -> None:
        """Start without any ticket."""
        self._used = DeadlineHeap[TicketId]()
        self._in_use_by_ticket: dict[TicketId, TicketInUse] = {}
        self._ends = DeadlineHeap[TicketId]()

    def __contains__(self, ticket_id: TicketId) -> bool:
        """Tell whether the ticket was used."""
        return ticket_id in self._used

    def start(self, ticket: TicketInUse, remember_until: Instant) -> None:
        """Note that an attempt starts with the ticket."""
        self._used.set(ticket.ticket_id, remember_until)
        self._in_use_by_ticket[ticket.ticket_id] = ticket
        self._ends.set(ticket.ticket_id, ticket.deadline)

    def end(self, ticket_id: TicketId) -> None:
        """Note that the upstream does not work on the attempt any more."""
        self._in_use_by_ticket.pop(ticket_id, None)
        self._ends.discard(ticket_id)

    def tick(self, now: Instant) -> None:
        """Forget what is over."""
        self._used.pop_due(now)
        for ticket_id in self._ends.pop_due(now):
            del self._in_use_by_ticket[ticket_id]

    def in_use(self) -> Iterable[TicketInUse]:
        """Return the slots that may be in use."""
        return self._in_use_by_ticket.values()
