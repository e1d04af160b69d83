"""Ticket ids, made of the member id, its incarnation and a number."""

from tamarackmount.ids import TicketId
from tamarackmount.kernel.messages import MemberRun


def ticket_prefix(run: MemberRun) -> str:
    """Return the prefix of the ids of a run's tickets."""
    return f"{run.member_id}/{run.incarnation}/"


def is_of_run(ticket_id: TicketId, run: MemberRun) -> bool:
    """Return whether this run of a member requested the ticket."""
    return ticket_id.startswith(ticket_prefix(run))
