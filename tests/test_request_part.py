"""An owner that retired lends nothing, whatever arrives late."""

from tamarackmount.ids import DataCentreId, Epoch, Incarnation, Instant, MemberId
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import SendPeer
from tamarackmount.kernel.membership import Member, Membership
from tamarackmount.kernel.messages import (
    HoldingsReport,
    HoldingsRequest,
    LoanCopied,
    TicketGrant,
)
from tamarackmount.kernel.ownership_effects import OwnershipTaken
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.request_part import RequestPart
from tamarackmount.kernel.timing import Timing
from tests.utils.build_requests import M1, M2, build_ticket_request

HERE = DataCentreId("dc1")
START = Instant(0.0)
MINE = Epoch(1)
NEXT = Epoch(2)


def build_owner() -> RequestPart:
    membership = Membership(
        Member(M1, HERE), Incarnation(1), [Member(M2, HERE)], Timing(), START
    )
    part = RequestPart(
        M1, Incarnation(1), HERE, RequestTiming(), Directory(), membership
    )
    taken = OwnershipTaken(MINE, Epoch(0), previous_owner=None, is_first=True)
    part.ownership_taken(taken, frozenset([M1, M2]), START)
    return part


def grants_after(part: RequestPart, sender: MemberId) -> list[TicketGrant]:
    late_copy = part.peer_message(sender, LoanCopied(MINE, 1), START)
    late_question = part.peer_message(sender, build_ticket_request(), START)
    return [
        effect.message
        for effect in (*late_copy, *late_question)
        if isinstance(effect, SendPeer) and isinstance(effect.message, TicketGrant)
    ]


def test_retired_owner_lends_nothing() -> None:
    part = build_owner()
    part.owner_seen(M2, NEXT, START)
    assert part.dispatcher is None
    assert grants_after(part, M2) == []


def test_retired_owner_reports_what_it_knew_as_owner() -> None:
    part = build_owner()
    part.owner_seen(None, MINE, START)
    (effect,) = part.peer_message(M2, HoldingsRequest(NEXT), START)
    assert isinstance(effect, SendPeer)
    assert isinstance(effect.message, HoldingsReport)
    assert effect.message.witnessed_epoch == MINE
