"""A new owner lends no slot that the previous owner may still have lent."""

from tamarackmount.ids import (
    Epoch,
    MemberId,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
)
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptCopy,
    AttemptEntry,
    AttemptState,
    HeldTicket,
    HoldingsReport,
    HoldingsRequest,
    RefusalReason,
)
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.request_queues import RequestLimits
from tests.utils.build_requests import (
    COUNTER,
    DESIGN,
    M1,
    M2,
    M3,
    RETAIL,
    at,
    build_dispatcher,
    build_release,
    build_ticket_request,
    build_upstreams,
    grants,
    messages_of,
    refusals,
)


def build_held(
    ticket_id: str, remaining_ms: int = 1_500, team_id: WorkspaceId = RETAIL
) -> HeldTicket:
    return HeldTicket(
        ticket_id=TicketId(ticket_id),
        request_id=RequestId(f"request-of-{ticket_id}"),
        team_id=team_id,
        queue=COUNTER,
        upstream_id=UpstreamId("u1"),
        idempotent=True,
        remaining_ms=remaining_ms,
    )


def report(
    dispatcher: Dispatcher,
    member_id: MemberId,
    *tickets: HeldTicket,
    attempts: list[AttemptEntry] | None = None,
    epoch: int = 1,
    now: float = 0,
) -> list[DispatcherEffect]:
    message = HoldingsReport(Epoch(epoch), list(tickets), attempts or [])
    return dispatcher.holdings_reported(member_id, message, at(now))


def build_successor(slots: int = 2) -> Dispatcher:
    return build_dispatcher(
        upstreams=build_upstreams(slots=slots), is_first_owner=False
    )


def ask(
    dispatcher: Dispatcher, ticket_id: str, remaining_ms: int = 9_000, now: float = 0
) -> list[DispatcherEffect]:
    request = build_ticket_request(ticket_id, remaining_ms=remaining_ms)
    return dispatcher.ticket_requested(M2, request, at(now))


def test_live_members_are_asked_again_until_they_report() -> None:
    dispatcher = build_successor()
    report(dispatcher, M1)
    effects = dispatcher.tick(at(0.5))
    asked = [e for e in effects if isinstance(e.message, HoldingsRequest)]
    assert [effect.member_id for effect in asked] == [M2]
    assert messages_of(effects, HoldingsRequest) == [HoldingsRequest(Epoch(1))]


def test_nothing_is_lent_before_every_live_member_reported() -> None:
    dispatcher = build_successor()
    assert ask(dispatcher, "a") == []
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old"))
    assert dispatcher.snapshot().collecting_holdings is False
    assert grants(dispatcher.released(M2, build_release("old"), at(0.1))) == ["a"]


def test_lost_member_is_not_waited_for() -> None:
    dispatcher = build_successor()
    report(dispatcher, M1)
    dispatcher.set_members(frozenset([M1]), at(0.1))
    assert dispatcher.snapshot().collecting_holdings is False


def test_unreported_slots_are_lent_after_the_longest_ticket_and_the_margin() -> None:
    dispatcher = build_successor(slots=1)
    report(dispatcher, M1)
    report(dispatcher, M2)
    assert ask(dispatcher, "a") == []
    assert grants(dispatcher.tick(at(2.09))) == []
    assert grants(dispatcher.tick(at(2.1))) == ["a"]


def test_request_due_before_the_end_of_the_quarantine_is_refused_at_once() -> None:
    dispatcher = build_successor()
    report(dispatcher, M1)
    report(dispatcher, M2)
    (refusal,) = refusals(ask(dispatcher, "a", remaining_ms=1_000, now=0.1))
    assert refusal.reason is RefusalReason.NO_UPSTREAM
    assert refusal.retry_after_ms == 2_000


def test_requests_due_in_quarantine_are_refused_once_all_members_reported() -> None:
    dispatcher = build_successor()
    assert ask(dispatcher, "a", remaining_ms=1_000) == []
    report(dispatcher, M1)
    (refusal,) = refusals(report(dispatcher, M2))
    assert refusal.ticket_id == "a"


def test_reported_ticket_keeps_its_slot_until_its_deadline() -> None:
    dispatcher = build_successor(slots=1)
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old", remaining_ms=4_000))
    ask(dispatcher, "a")
    assert grants(dispatcher.tick(at(4.09))) == []
    assert grants(dispatcher.tick(at(4.1))) == ["a"]


def test_duplicate_report_adopts_no_loan_again() -> None:
    dispatcher = build_successor(slots=2)
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old"))
    dispatcher.released(M2, build_release("old"), at(0.1))
    report(dispatcher, M2, build_held("old"), now=0.2)
    ask(dispatcher, "a", now=0.2)
    assert dispatcher.snapshot().lent == 1
    assert grants(ask(dispatcher, "b", now=0.2)) == []


def test_report_for_another_epoch_is_ignored() -> None:
    dispatcher = build_successor()
    report(dispatcher, M1)
    report(dispatcher, M2, epoch=2)
    assert dispatcher.snapshot().collecting_holdings is True


def test_late_report_adds_no_loans_but_attempts() -> None:
    dispatcher = build_successor()
    report(dispatcher, M1)
    report(dispatcher, M2)
    dispatcher.set_members(frozenset([M1, M2, M3]), at(0.1))
    entry = AttemptEntry(RETAIL, RequestId("order"), AttemptState.STARTED, 9_000)
    report(dispatcher, M3, build_held("old"), attempts=[entry], now=0.2)
    assert dispatcher.snapshot().lent == 0
    assert dispatcher.snapshot().attempts_remembered == 1


def test_reported_attempt_is_not_granted_again() -> None:
    dispatcher = build_successor()
    request = build_ticket_request(
        "a", request_id="order", idempotent=False, remaining_ms=9_000
    )
    dispatcher.ticket_requested(M1, request, at(0))
    entry = AttemptEntry(RETAIL, RequestId("order"), AttemptState.STARTED, 9_000)
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old"), attempts=[entry])
    effects = dispatcher.released(M2, build_release("old"), at(0.1))
    (refusal,) = refusals(effects)
    assert refusal.reason is RefusalReason.ALREADY_ATTEMPTED
    assert grants(effects) == []


def test_attempt_that_only_the_new_owner_remembers_is_replicated() -> None:
    dispatcher = build_successor()
    entry = AttemptEntry(RETAIL, RequestId("order"), AttemptState.STARTED, 9_000)
    report(dispatcher, M1, attempts=[entry])
    effects = report(dispatcher, M2)
    (copy,) = messages_of(effects, AttemptCopy)
    assert [entry.request_id for entry in copy.entries] == ["order"]


def test_ticket_requested_again_and_reported_is_counted_once() -> None:
    dispatcher = build_successor()
    ask(dispatcher, "old")
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old"))
    snapshot = dispatcher.snapshot()
    assert (snapshot.waiting, snapshot.lent) == (0, 1)


def build_successor_with_ceiling(ceiling: int) -> Dispatcher:
    """Return a successor whose team ``retail`` has a ceiling, with a free slot."""
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=3),
        teams_by_id={RETAIL: RequestLimits(running_requests=ceiling)},
        is_first_owner=False,
    )
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old", team_id=DESIGN))
    dispatcher.released(M2, build_release("old"), at(0.1))
    return dispatcher


def test_quarantined_slots_count_against_a_ceiling() -> None:
    dispatcher = build_successor_with_ceiling(2)
    assert ask(dispatcher, "a", now=0.1) == []
    assert grants(dispatcher.tick(at(2.1))) == ["a"]


def test_ceiling_above_the_quarantined_slots_leaves_the_rest() -> None:
    dispatcher = build_successor_with_ceiling(3)
    assert grants(ask(dispatcher, "a", now=0.1)) == ["a"]


def test_reported_requests_are_not_counted_twice_against_a_ceiling() -> None:
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=3),
        teams_by_id={RETAIL: RequestLimits(running_requests=1)},
        is_first_owner=False,
    )
    report(dispatcher, M1)
    report(dispatcher, M2, build_held("old"))
    ask(dispatcher, "a", now=0.1)
    assert grants(dispatcher.released(M2, build_release("old"), at(0.1))) == ["a"]
