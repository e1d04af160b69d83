"""A former owner lends no slots, even if messages to the owner arrive late."""

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

DATA_CENTRE = DataCentreId("dc1")
START = Instant(0.0)
UPSTREAM = Vm(
    id="u1",
    kind=VmKind.UPSTREAM,
    data_centre=DATA_CENTRE,
    rack=RackId("r1"),
    host="127.0.0.1",
    port=1,
    service="counter",
    slots=8,
)
EPOCH = Epoch(1)
NEXT_EPOCH = Epoch(2)


def build_owner() -> RequestPart:
    membership = Membership(
        Member(M1, DATA_CENTRE),
        Incarnation(1),
        [Member(M2, DATA_CENTRE)],
        Timing(),
        START,
    )
    directory = Directory()
    directory.queues_by_name = {COUNTER: QueueDocument(service="counter")}
    part = RequestPart(
        M1, Incarnation(1), DATA_CENTRE, RequestTiming(), directory, membership
    )
    part.set_vms([UPSTREAM], START)
    taken = OwnershipTaken(EPOCH, Epoch(0), previous_owner=None, is_first=True)
    part.ownership_taken(taken, frozenset([M1, M2]), START)
    return part


def acknowledge_own_loan(part: RequestPart, *, loses_ownership: bool) -> list[Effect]:
    """Submit a request of the owner's caller; acknowledge its loan as the witness."""
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
    if loses_ownership:
        part.owner_seen(None, EPOCH, START)
    return part.peer_message(M2, LoanCopied(EPOCH, copy.sequence), START)


def grants_after(part: RequestPart, sender: MemberId) -> list[TicketGrant]:
    late_acknowledgement = part.peer_message(sender, LoanCopied(EPOCH, 1), START)
    late_request = part.peer_message(sender, build_ticket_request(), START)
    return [
        effect.message
        for effect in (*late_acknowledgement, *late_request)
        if isinstance(effect, SendPeer) and isinstance(effect.message, TicketGrant)
    ]


def test_request_of_the_owners_caller_is_sent_once_its_loan_is_acknowledged() -> None:
    (effect,) = acknowledge_own_loan(build_owner(), loses_ownership=False)
    assert isinstance(effect, CallUpstream)


def test_loan_acknowledged_after_the_loss_of_ownership_is_not_used() -> None:
    assert acknowledge_own_loan(build_owner(), loses_ownership=True) == []


def test_former_owner_lends_nothing() -> None:
    part = build_owner()
    part.owner_seen(M2, NEXT_EPOCH, START)
    assert part.dispatcher is None
    assert grants_after(part, M2) == []


def test_former_owner_reports_the_loans_it_knew_as_owner() -> None:
    part = build_owner()
    part.owner_seen(None, EPOCH, START)
    (effect,) = part.peer_message(M2, HoldingsRequest(NEXT_EPOCH), START)
    assert isinstance(effect, SendPeer)
    assert isinstance(effect.message, HoldingsReport)
    assert effect.message.witnessed_epoch == EPOCH
