"""A retiring owner reports its loans to the next owner, like a witness."""

from tamarackmount.ids import Epoch, Incarnation, MemberId, TicketId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.loan_witness import LoanWitness
from tamarackmount.kernel.messages import (
    AttemptCopy,
    HeldTicket,
    HoldingsReport,
    LoanCopy,
    MemberRun,
)
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.witness_reports import Predecessor
from tests.utils.build_requests import (
    M1,
    M2,
    M3,
    TIMING,
    at,
    build_dispatcher,
    build_release,
    build_ticket_request,
    build_upstreams,
    confirm_loans,
    grants,
    messages_of,
)

OWN = "m1/1/1"
THEIRS = "m2/1/1"


def build_retiring(slots: int = 2) -> Dispatcher:
    """Return the owner ``m1`` of epoch 1."""
    return build_dispatcher(
        upstreams=build_upstreams(slots=slots),
        runs=[MemberRun(member_id, Incarnation(1)) for member_id in (M1, M2)],
    )


def build_successor(slots: int = 2) -> Dispatcher:
    """Return the owner ``m2`` of epoch 2, the successor of ``m1``."""
    return build_dispatcher(
        upstreams=build_upstreams(slots=slots),
        is_first_owner=False,
        epoch=2,
        member_id=M2,
        runs=[MemberRun(member_id, Incarnation(1)) for member_id in (M1, M2)],
        predecessor=Predecessor(epoch=Epoch(1), owner=M1),
    )


def ask(
    dispatcher: Dispatcher, member_id: MemberId, ticket_id: str, now: float = 0
) -> list[DispatcherEffect]:
    request = build_ticket_request(ticket_id, remaining_ms=1_500)
    return dispatcher.ticket_requested(member_id, request, at(now))


def retire(dispatcher: Dispatcher) -> LoanWitness:
    """Return the loan witness of a member that was the owner."""
    witness = LoanWitness(TIMING)
    witness.merge(dispatcher.loans_needing_witness(at(0)), at(0))
    return witness


def report(
    dispatcher: Dispatcher,
    member_id: MemberId,
    *held: HeldTicket,
    witness: LoanWitness | None = None,
) -> list[DispatcherEffect]:
    witness = witness or LoanWitness(TIMING)
    message = HoldingsReport(
        epoch=Epoch(2),
        tickets=[*held, *witness.tickets(at(0))],
        attempts=[],
        witnessed_epoch=witness.complete_epoch(at(0)),
        witnessed_runs=witness.runs,
    )
    return dispatcher.holdings_reported(member_id, message, at(0))


def used(loan: HeldTicket) -> HeldTicket:
    """Return a loan as its holder reports it."""
    return HeldTicket(
        ticket_id=loan.ticket_id,
        request_id=loan.request_id,
        team_id=loan.team_id,
        queue=loan.queue,
        upstream_id=loan.upstream_id,
        idempotent=loan.idempotent,
        remaining_ms=loan.remaining_ms,
    )


def build_held(ticket_id: str, holder: MemberId) -> HeldTicket:
    """Return a loan as a witness reports it."""
    owner = build_dispatcher(members=[M1])
    ask(owner, M1, ticket_id)
    (loan,) = owner.loans_needing_witness(at(0)).loans
    return HeldTicket(
        ticket_id=TicketId(ticket_id),
        request_id=loan.request_id,
        team_id=loan.team_id,
        queue=loan.queue,
        upstream_id=loan.upstream_id,
        idempotent=True,
        remaining_ms=loan.remaining_ms,
        holder=holder,
    )


def build_witness(*loans: HeldTicket) -> LoanWitness:
    """Return a witness with a complete copy by the owner of epoch 1."""
    runs = [MemberRun(M1, Incarnation(1)), MemberRun(M2, Incarnation(1))]
    witness = LoanWitness(TIMING)
    witness.merge(LoanCopy(Epoch(1), 1, list(loans), [], runs, True), at(0))
    return witness


def test_orderly_hand_over_ends_the_quarantine() -> None:
    retiring = build_retiring()
    confirm_loans(retiring, ask(retiring, M1, OWN), now=0)
    witness = retire(retiring)
    (loan,) = witness.tickets(at(0))
    successor = build_successor()
    report(successor, M1, used(loan), witness=witness)
    report(successor, M2)
    assert successor.snapshot().quarantined_until is None
    effects = ask(successor, M1, "a")
    assert grants(effects) == ["a"]
    assert ask(successor, M1, "b") == []
    assert grants(successor.released(M1, build_release(OWN), at(0.2))) == ["b"]


def test_owner_without_loans_hands_over_every_slot() -> None:
    successor = build_successor()
    report(successor, M1, witness=retire(build_retiring()))
    report(successor, M2)
    assert grants(ask(successor, M1, "a") + ask(successor, M1, "b")) == ["a", "b"]


def test_owner_in_quarantine_hands_over_no_complete_copy() -> None:
    dispatcher = build_successor()
    assert not dispatcher.loans_needing_witness(at(0)).is_whole
    report(dispatcher, M1)
    report(dispatcher, M2)
    assert not dispatcher.loans_needing_witness(at(0)).is_whole
    assert retire(dispatcher).complete_epoch(at(0)) == 0
    dispatcher.tick(at(2.2))
    assert dispatcher.loans_needing_witness(at(2.2)).is_whole
    assert dispatcher.loans_needing_witness(at(2.2)).loans == []


def test_loan_without_a_confirmed_dedup_copy_is_not_handed_over() -> None:
    dispatcher = build_retiring()
    request = build_ticket_request(OWN, idempotent=False)
    (copy,) = messages_of(dispatcher.ticket_requested(M1, request, at(0)), AttemptCopy)
    assert copy.entries
    assert dispatcher.loans_needing_witness(at(0)).loans == []


def test_loan_unconfirmed_by_the_witness_is_not_handed_over() -> None:
    dispatcher = build_retiring()
    ask(dispatcher, M1, OWN)
    assert dispatcher.snapshot().lent == 1
    assert dispatcher.loans_needing_witness(at(0)).loans == []


def test_loan_that_its_holder_left_out_is_not_adopted() -> None:
    successor = build_successor(slots=1)
    report(successor, M1)
    report(successor, M2, witness=build_witness(build_held(OWN, M1)))
    assert successor.snapshot().lent == 0
    assert grants(ask(successor, M1, OWN)) == [OWN]
    assert successor.snapshot().lent == 1


def test_request_that_waits_for_the_reports_is_not_adopted_as_a_loan() -> None:
    successor = build_successor(slots=2)
    ask(successor, M1, OWN)
    witness = build_witness(build_held(OWN, M1), build_held("m3/1/1", M3))
    report(successor, M2, witness=witness)
    assert grants(report(successor, M1)) == [OWN]
    assert successor.snapshot().lent == 2


def test_loan_of_an_earlier_run_is_adopted_whatever_the_present_run_reports() -> None:
    successor = build_successor(slots=1)
    report(successor, M1)
    report(successor, M2, witness=build_witness(build_held("m1/0/1", M1)))
    assert successor.snapshot().lent == 1
    assert grants(ask(successor, M1, "m1/0/1")) == []
    assert successor.snapshot().lent == 1


def test_request_of_a_member_without_a_report_frees_no_loan() -> None:
    successor = build_successor(slots=2)
    runs = [MemberRun(member_id, Incarnation(1)) for member_id in (M1, M2, M3)]
    successor.set_members(frozenset([M1, M2, M3]), at(0), runs)
    ask(successor, M3, "m3/1/1")
    report(successor, M1)
    witness = build_witness(build_held("m3/1/1", M3))
    assert grants(report(successor, M2, witness=witness)) == []
    report(successor, M3)
    assert grants(ask(successor, M3, "m3/1/1", now=0.1)) == []
    assert successor.snapshot().lent == 1


def test_loan_released_before_the_last_report_is_not_adopted_again() -> None:
    successor = build_successor(slots=1)
    loan = build_held(OWN, M1)
    report(successor, M1, used(loan))
    successor.released(M1, build_release(OWN), at(0))
    report(successor, M2, witness=build_witness(loan))
    assert successor.snapshot().lent == 0


def test_quarantine_stays_when_a_run_known_to_the_witness_did_not_report() -> None:
    witness = build_witness()
    alone = build_dispatcher(
        members=[M2],
        is_first_owner=False,
        epoch=2,
        member_id=M2,
        runs=[MemberRun(member_id, Incarnation(1)) for member_id in (M2,)],
        predecessor=Predecessor(epoch=Epoch(1), owner=M3),
    )
    report(alone, M2, witness=witness)
    assert alone.snapshot().quarantined_until is not None
