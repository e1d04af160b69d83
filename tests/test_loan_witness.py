"""The owner grants itself a slot only after its witness has stored the loan."""

from collections.abc import Sequence

from tamarackmount.ids import Epoch, Incarnation, MemberId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.loan_witness import LoanWitness
from tamarackmount.kernel.messages import (
    HoldingsReport,
    LoanCopied,
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
    build_table,
    build_ticket_request,
    build_upstreams,
    confirm_loans,
    grants,
    messages_of,
)

BEFORE = Epoch(7)
RUN = MemberRun(M3, Incarnation(2))


def ask(
    dispatcher: Dispatcher, member_id: MemberId, ticket_id: str
) -> list[DispatcherEffect]:
    request = build_ticket_request(ticket_id, remaining_ms=1_500)
    return dispatcher.ticket_requested(member_id, request, at(0))


def report(
    dispatcher: Dispatcher,
    member_id: MemberId,
    witness: LoanWitness | None = None,
) -> list[DispatcherEffect]:
    message = HoldingsReport(
        epoch=Epoch(1),
        tickets=witness.tickets(at(0)) if witness else [],
        attempts=[],
        witnessed_epoch=witness.complete_epoch(at(0)) if witness else Epoch(0),
        witnessed_runs=witness.runs if witness else [],
    )
    return dispatcher.holdings_reported(member_id, message, at(0))


def build_successor(
    *,
    missing: Sequence[MemberId] = (),
    recent_runs: Sequence[MemberRun] = (),
    slots: int = 2,
) -> Dispatcher:
    return build_dispatcher(
        upstreams=build_upstreams(slots=slots),
        is_first_owner=False,
        predecessor=Predecessor(
            epoch=BEFORE,
            owner=M3,
            missing=frozenset(missing),
            recent_runs=frozenset(recent_runs),
        ),
    )


def build_witness(*copies: LoanCopy) -> LoanWitness:
    witness = LoanWitness(TIMING)
    for copy in copies:
        witness.merge(copy, at(0))
    return witness


def build_copy(
    dispatcher: Dispatcher, ticket_id: str, *, is_whole: bool = True
) -> LoanCopy:
    """Return a copy, sent in the earlier epoch, of an owner's own loan."""
    (copy,) = messages_of(ask(dispatcher, M1, ticket_id), LoanCopy)
    return LoanCopy(BEFORE, 1, copy.loans, [], [RUN], is_whole)


def test_loan_of_the_owner_is_granted_once_the_witness_confirms_it() -> None:
    dispatcher = build_dispatcher()
    effects = ask(dispatcher, M1, "a")
    assert grants(effects) == []
    assert {effect.member_id for effect in effects} == {M2}
    assert grants(confirm_loans(dispatcher, effects, now=0.1)) == ["a"]


def test_loan_of_another_member_needs_no_witness() -> None:
    dispatcher = build_dispatcher()
    assert grants(ask(dispatcher, M2, "a")) == ["a"]


def test_owner_alone_grants_itself_at_once() -> None:
    dispatcher = build_dispatcher(members=[M1])
    assert grants(ask(dispatcher, M1, "a")) == ["a"]


def test_unconfirmed_loan_is_granted_when_the_only_witness_is_lost() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, M1, "a")
    assert grants(dispatcher.set_members(frozenset([M1]), at(0.1))) == ["a"]


def test_unconfirmed_loan_is_sent_to_the_next_witness() -> None:
    dispatcher = build_dispatcher(members=[M1, M2, M3])
    ask(dispatcher, M1, "a")
    effects = dispatcher.set_members(frozenset([M1, M3]), at(0.1))
    assert grants(effects) == []
    assert grants(confirm_loans(dispatcher, effects, now=0.2)) == ["a"]


def test_unconfirmed_copy_is_sent_again() -> None:
    dispatcher = build_dispatcher()
    (copy,) = messages_of(ask(dispatcher, M1, "a"), LoanCopy)
    later = messages_of(dispatcher.tick(at(5)), LoanCopy)
    assert copy in later


def test_loans_of_a_lost_member_are_sent_to_the_witness() -> None:
    dispatcher = build_dispatcher(members=[M1, M2, M3])
    ask(dispatcher, M3, "a")
    effects = dispatcher.set_members(frozenset([M1, M2]), at(0.1))
    sent = [held for copy in messages_of(effects, LoanCopy) for held in copy.loans]
    assert [(held.ticket_id, held.holder) for held in sent] == [("a", M3)]


def test_end_of_a_loan_is_sent_with_the_next_copy() -> None:
    dispatcher = build_dispatcher()
    confirm_loans(dispatcher, ask(dispatcher, M1, "a"), now=0)
    dispatcher.released(M1, build_release("a"), at(0.1))
    ended = [
        ticket_id
        for copy in messages_of(dispatcher.tick(at(0.2)), LoanCopy)
        for ticket_id in copy.ended
    ]
    assert ended == ["a"]


def test_complete_copy_ends_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old"))
    successor = build_successor()
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == ["a"]
    assert grants(ask(successor, M2, "b")) == []
    assert successor.snapshot().quarantined_until is None


def test_incomplete_copy_leaves_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old", is_whole=False))
    successor = build_successor()
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == []


def test_witness_of_an_earlier_owner_leaves_the_quarantine() -> None:
    witness = build_witness(LoanCopy(Epoch(6), 1, [], [], [], is_whole=True))
    successor = build_successor()
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == []


def test_missing_member_that_may_hold_slots_leaves_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old"))
    successor = build_successor(missing=[M3])
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == []


def test_recent_run_known_to_the_witness_ends_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old"))
    successor = build_successor(recent_runs=[RUN])
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == ["a"]


def test_recent_run_unknown_to_the_witness_leaves_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old"))
    successor = build_successor(recent_runs=[MemberRun(M3, Incarnation(3))])
    report(successor, M1)
    report(successor, M2, witness)
    assert grants(ask(successor, M2, "a")) == []


def test_loan_of_an_earlier_run_is_sent_with_the_new_run() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, M2, "a")
    dispatcher.set_members(frozenset([M1]), at(0.1))
    back = frozenset([M1, M2])
    run = MemberRun(M2, Incarnation(2))
    effects = dispatcher.set_members(back, at(0.2), [run])
    sent = {
        held.ticket_id
        for copy in messages_of(effects, LoanCopy)
        for held in copy.loans
        if run in copy.runs
    }
    assert sent == {"a"}


def test_late_duplicate_copy_does_not_restore_earlier_runs() -> None:
    first = LoanCopy(BEFORE, 1, [], [], [MemberRun(M3, Incarnation(1))], True)
    witness = build_witness(first, LoanCopy(BEFORE, 2, [], [], [RUN], False), first)
    assert witness.runs == [RUN]


def test_member_lost_before_it_reported_leaves_the_quarantine() -> None:
    witness = build_witness(build_copy(build_dispatcher(), "old"))
    successor = build_successor()
    report(successor, M1, witness)
    successor.set_members(frozenset([M1]), at(0.1))
    assert grants(ask(successor, M1, "a")) == []


def test_witness_ignores_copies_of_a_replaced_owner() -> None:
    witness = build_witness(LoanCopy(BEFORE, 1, [], [], [], is_whole=True))
    witness.raise_fence(Epoch(BEFORE + 1))
    late = build_copy(build_dispatcher(), "late")
    assert witness.merge(late, at(0)) is None
    assert witness.tickets(at(0)) == []


def test_witness_confirms_forgets_and_expires_loans() -> None:
    owner = build_dispatcher(upstreams=build_upstreams(slots=4))
    first, second = build_copy(owner, "a"), build_copy(owner, "b")
    witness = LoanWitness(TIMING)
    assert witness.merge(first, at(0)) == LoanCopied(BEFORE, 1)
    witness.merge(second, at(0))
    witness.merge(LoanCopy(BEFORE, 2, [], [first.loans[0].ticket_id], [], False), at(0))
    assert [held.ticket_id for held in witness.tickets(at(0.1))] == ["b"]
    assert witness.tickets(at(60)) == []


def test_loan_is_reported_for_the_clock_margin_after_its_deadline() -> None:
    table = build_table()
    table.witness.merge(build_copy(build_dispatcher(), "a"), at(0))
    assert [held.ticket_id for held in table.witness.tickets(at(1.58))] == ["a"]
    assert table.witness.tickets(at(1.7)) == []


def test_table_that_follows_a_new_owner_ignores_copies_of_the_old_one() -> None:
    table = build_table()
    table.raise_fence(Epoch(BEFORE + 1), at(0))
    late = build_copy(build_dispatcher(), "late")
    assert table.witness.merge(late, at(0)) is None
