"""Ids of tickets: the member, its run, and a number."""

from tamarackmount.ids import TicketId
from tamarackmount.kernel.messages import MemberRun


def ticket_prefix(run: MemberRun) -> str:
    """Return what the ids of a run's tickets begin with."""
    return f"{run.member_id}/{run.incarnation}/"


def is_of_run(ticket_id: TicketId, run: MemberRun) -> bool:
    """Tell whether a run of a member asked for the ticket."""
    return ticket_id.startswith(ticket_prefix(run))
