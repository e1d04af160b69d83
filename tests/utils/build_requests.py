"""Builders of test data for requests, tickets and dispatchers."""

from collections.abc import Sequence
from typing import TypeVar

from tamarackmount.ids import (
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
)
from tamarackmount.kernel.dispatcher import NO_PREDECESSOR, Dispatcher
from tamarackmount.kernel.messages import (
    AttemptResult,
    LoanCopied,
    LoanCopy,
    MemberRun,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
)
from tamarackmount.kernel.request_effects import (
    DispatcherEffect,
    NewRequest,
    RequestTiming,
)
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits
from tamarackmount.kernel.requests import RequestTable
from tamarackmount.kernel.slots import ListedUpstream
from tamarackmount.kernel.witness_reports import Predecessor

M1 = MemberId("m1")
M2 = MemberId("m2")
M3 = MemberId("m3")
COUNTER = QueueName("counter")
RETAIL = WorkspaceId("retail")
DESIGN = WorkspaceId("design")
SERVICE = "counter-service"

TIMING = RequestTiming(
    max_ticket_ms=2_000,
    clock_margin_ms=100,
    attempt_memory_ms=60_000,
    resend_ms=500,
    owner_grace_ms=300,
    retry_ratio=0.1,
    retry_burst=2.0,
)

T = TypeVar("T")


def at(seconds: float) -> Instant:
    """Return an instant."""
    return Instant(seconds)


def build_request(
    call_id: int = 1,
    *,
    request_id: str = "",
    team_id: WorkspaceId = RETAIL,
    idempotent: bool = True,
    deadline: float = 10.0,
) -> NewRequest:
    """Return a caller's request."""
    return NewRequest(
        call_id=call_id,
        request_id=RequestId(request_id or f"r{call_id}"),
        team_id=team_id,
        queue=COUNTER,
        idempotent=idempotent,
        deadline=at(deadline),
    )


def build_ticket_request(
    ticket_id: str = "t1",
    *,
    request_id: str = "",
    team_id: WorkspaceId = RETAIL,
    queue: QueueName = COUNTER,
    idempotent: bool = True,
    remaining_ms: int = 1_000,
    excluded: Sequence[str] = (),
) -> TicketRequest:
    """Return an entry VM's request for a ticket."""
    return TicketRequest(
        ticket_id=TicketId(ticket_id),
        request_id=RequestId(request_id or f"request-of-{ticket_id}"),
        team_id=team_id,
        queue=queue,
        idempotent=idempotent,
        remaining_ms=remaining_ms,
        excluded=[UpstreamId(upstream_id) for upstream_id in excluded],
    )


def build_waiting_ticket(
    ticket_id: str = "t1",
    *,
    team_id: WorkspaceId = RETAIL,
    arrived_at: float = 0.0,
    deadline: float = 10.0,
) -> WaitingTicket:
    """Return a ticket that waits at the owner."""
    request = build_ticket_request(ticket_id, team_id=team_id)
    return WaitingTicket(request, M1, at(arrived_at), at(deadline))


def build_release(
    ticket_id: str = "t1",
    result: AttemptResult = AttemptResult.ANSWERED,
    service_ms: int = 20,
) -> TicketRelease:
    """Return the release of a ticket."""
    return TicketRelease(TicketId(ticket_id), result, service_ms)


def build_upstreams(count: int = 1, slots: int = 1) -> list[ListedUpstream]:
    """Return upstreams ``u1``, ``u2`` and so on."""
    return [
        ListedUpstream(UpstreamId(f"u{number}"), SERVICE, slots)
        for number in range(1, count + 1)
    ]


def build_table(timing: RequestTiming = TIMING) -> RequestTable:
    """Return the request table of ``m1``; ``m2`` is the owner of epoch 1."""
    table = RequestTable(M1, Incarnation(1), timing)
    table.raise_fence(Epoch(1), at(0))
    table.owner_changed(M2, at(0))
    return table


def build_grant(
    ticket_id: str = "m1/1/1",
    upstream_id: str = "u1",
    *,
    epoch: int = 1,
    remaining_ms: int = 5_000,
) -> TicketGrant:
    """Return a grant of a ticket."""
    return TicketGrant(
        TicketId(ticket_id), UpstreamId(upstream_id), Epoch(epoch), remaining_ms
    )


def build_dispatcher(
    *,
    upstreams: Sequence[ListedUpstream] | None = None,
    rules: QueueRules | None = None,
    teams_by_id: dict[WorkspaceId, RequestLimits] | None = None,
    members: Sequence[MemberId] = (M1, M2),
    timing: RequestTiming = TIMING,
    is_first_owner: bool = True,
    predecessor: Predecessor = NO_PREDECESSOR,
    allow_unreplicated: bool = False,
    epoch: int = 1,
    member_id: MemberId = M1,
    runs: Sequence[MemberRun] = (),
) -> Dispatcher:
    """Return a dispatcher with one queue at time 0, by default of ``m1``."""
    dispatcher = Dispatcher(
        Epoch(epoch),
        member_id,
        timing,
        at(0),
        is_first_owner=is_first_owner,
        predecessor=predecessor,
        allow_unreplicated=allow_unreplicated,
    )
    dispatcher.set_queues({COUNTER: rules or QueueRules(SERVICE)}, at(0))
    dispatcher.set_teams(teams_by_id or {}, at(0))
    dispatcher.set_upstreams(
        build_upstreams() if upstreams is None else upstreams, at(0)
    )
    dispatcher.set_members(frozenset(members), at(0), runs)
    return dispatcher


def messages_of(effects: Sequence[DispatcherEffect], kind: type[T]) -> list[T]:
    """Return the messages of one type among the effects."""
    return [effect.message for effect in effects if isinstance(effect.message, kind)]


def acknowledge_loans(
    dispatcher: Dispatcher, effects: Sequence[DispatcherEffect], now: float
) -> list[DispatcherEffect]:
    """Acknowledge the loan copies among the effects in the name of the witness."""
    caused: list[DispatcherEffect] = []
    for effect in effects:
        if isinstance(effect.message, LoanCopy):
            acknowledgement = LoanCopied(effect.message.epoch, effect.message.sequence)
            caused += dispatcher.loan_copied(effect.member_id, acknowledgement, at(now))
    return caused


def grants(effects: Sequence[DispatcherEffect]) -> list[str]:
    """Return the ids of the granted tickets."""
    return [grant.ticket_id for grant in messages_of(effects, TicketGrant)]


def refusals(effects: Sequence[DispatcherEffect]) -> list[TicketRefusal]:
    """Return the refusals."""
    return messages_of(effects, TicketRefusal)
