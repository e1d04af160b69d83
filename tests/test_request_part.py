"""An owner that retired lends nothing, whatever arrives late."""

from tamarackmount.adapters.vm_schema import Vm, VmKind
from tamarackmount.documents import QueueDocument
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    RackId,
    RequestId,
)
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import CallUpstream, Effect, SendPeer
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.membership import Member, Membership
from tamarackmount.kernel.messages import (
    HoldingsReport,
    HoldingsRequest,
    LoanCopied,
    LoanCopy,
    TicketGrant,
)
from tamarackmount.kernel.ownership_effects import OwnershipTaken
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.request_part import RequestPart
from tamarackmount.kernel.timing import Timing
from tests.utils.build_requests import COUNTER, M1, M2, RETAIL, build_ticket_request

HERE = DataCentreId("dc1")
START = Instant(0.0)
UPSTREAM = Vm(
    id="u1",
    kind=VmKind.UPSTREAM,
    data_centre=HERE,
    rack=RackId("r1"),
    host="127.0.0.1",
    port=1,
    service="counter",
    slots=8,
)
MINE = Epoch(1)
NEXT = Epoch(2)


def build_owner() -> RequestPart:
    membership = Membership(
        Member(M1, HERE), Incarnation(1), [Member(M2, HERE)], Timing(), START
    )
    directory = Directory()
    directory.queues_by_name = {COUNTER: QueueDocument(service="counter")}
    part = RequestPart(M1, Incarnation(1), HERE, RequestTiming(), directory, membership)
    part.set_vms([UPSTREAM], START)
    taken = OwnershipTaken(MINE, Epoch(0), previous_owner=None, is_first=True)
    part.ownership_taken(taken, frozenset([M1, M2]), START)
    return part


def confirm_own_loan(part: RequestPart, *, retires: bool) -> list[Effect]:
    """Let a request of the owner's own caller wait for the witness, then confirm it."""
    request = CallerRequest(
        call_id=1,
        request_id=RequestId("query"),
        team_id=RETAIL,
        queue=COUNTER,
        idempotent=True,
        deadline=Instant(5.0),
    )
    effects = part.submit(request, START)
    (copy,) = [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, LoanCopy)
    ]
    if retires:
        part.owner_seen(None, MINE, START)
    return part.peer_message(M2, LoanCopied(MINE, copy.sequence), START)


def grants_after(part: RequestPart, sender: MemberId) -> list[TicketGrant]:
    late_copy = part.peer_message(sender, LoanCopied(MINE, 1), START)
    late_question = part.peer_message(sender, build_ticket_request(), START)
    return [
        effect.message
        for effect in (*late_copy, *late_question)
        if isinstance(effect, SendPeer) and isinstance(effect.message, TicketGrant)
    ]


def test_owners_own_request_goes_out_once_its_loan_is_confirmed() -> None:
    (effect,) = confirm_own_loan(build_owner(), retires=False)
    assert isinstance(effect, CallUpstream)


def test_loan_confirmed_after_the_owner_retired_is_not_used() -> None:
    assert confirm_own_loan(build_owner(), retires=True) == []


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
