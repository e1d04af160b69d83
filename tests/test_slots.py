"""A slot is lent once, and again only when its loan is released or over."""

from dataclasses import replace

import pytest

from tamarackmount.ids import MemberId, RequestId, TicketId, UpstreamId
from tamarackmount.kernel.slots import ListedUpstream, Loan, SlotLedger
from tests.utils.build_requests import (
    COUNTER,
    M1,
    RETAIL,
    SERVICE,
    at,
    build_upstreams,
)

U1 = UpstreamId("u1")
U2 = UpstreamId("u2")


def build_loan(
    ticket_id: str, upstream_id: UpstreamId = U1, ends_at: float = 5.0
) -> Loan:
    return Loan(
        ticket_id=TicketId(ticket_id),
        team_id=RETAIL,
        queue=COUNTER,
        upstream_id=upstream_id,
        member_id=MemberId(M1),
        request_id=RequestId(f"request-of-{ticket_id}"),
        dedup_key=None,
        lent_until=at(ends_at - 0.1),
        ends_at=at(ends_at),
    )


def build_ledger(
    count: int = 1, slots: int = 2, quarantined_until: float | None = None
) -> SlotLedger:
    until = None if quarantined_until is None else at(quarantined_until)
    ledger = SlotLedger(until)
    ledger.set_upstreams(build_upstreams(count, slots))
    return ledger


def test_upstream_is_selected_only_while_it_has_a_free_slot() -> None:
    ledger = build_ledger(slots=2)
    ledger.add_loan(build_loan("a"))
    assert ledger.select_upstream(SERVICE, ()) == U1
    ledger.add_loan(build_loan("b"))
    assert ledger.select_upstream(SERVICE, ()) is None
    ledger.remove_loan(TicketId("a"))
    assert ledger.select_upstream(SERVICE, ()) == U1


def test_loan_without_a_free_slot_fails_an_assertion() -> None:
    ledger = build_ledger(slots=1)
    ledger.add_loan(build_loan("a"))
    with pytest.raises(AssertionError):
        ledger.add_loan(build_loan("b"))


def test_slot_is_free_exactly_when_its_loan_is_over() -> None:
    ledger = build_ledger(slots=1)
    ledger.add_loan(build_loan("a", ends_at=5.0))
    assert ledger.tick(at(4.99)) == []
    assert ledger.select_upstream(SERVICE, ()) is None
    assert [loan.ticket_id for loan in ledger.tick(at(5.0))] == ["a"]
    assert ledger.select_upstream(SERVICE, ()) == U1


def test_loan_is_removed_once() -> None:
    ledger = build_ledger(slots=1)
    ledger.add_loan(build_loan("a"))
    assert ledger.remove_loan(TicketId("a")) is not None
    assert ledger.remove_loan(TicketId("a")) is None
    assert ledger.counts()[U1].lent == 0


def test_upstream_with_the_fewest_loans_is_selected() -> None:
    ledger = build_ledger(count=2)
    ledger.add_loan(build_loan("a", U1))
    assert ledger.select_upstream(SERVICE, ()) == U2


def test_faster_upstream_is_selected() -> None:
    ledger = build_ledger(count=2)
    ledger.set_service_time_and_limit(U1, 0.2, None)
    ledger.set_service_time_and_limit(U2, 0.1, None)
    assert ledger.select_upstream(SERVICE, ()) == U2


def test_excluded_upstream_is_not_selected() -> None:
    ledger = build_ledger(count=2)
    assert ledger.select_upstream(SERVICE, [U1]) == U2
    assert ledger.select_upstream(SERVICE, [U1, U2]) is None
    assert not ledger.serves(SERVICE, [U1, U2])
    assert ledger.serves(SERVICE, [U1])


def test_health_limit_bounds_the_loans() -> None:
    ledger = build_ledger(slots=4)
    ledger.set_service_time_and_limit(U1, 0.1, 1)
    ledger.add_loan(build_loan("a"))
    assert ledger.select_upstream(SERVICE, ()) is None
    assert ledger.usable_slots(SERVICE) == 1


def test_leaving_upstream_is_not_selected() -> None:
    ledger = build_ledger()
    leaving = replace(build_upstreams(slots=2)[0], leaving=True)
    ledger.set_upstreams([leaving])
    assert ledger.select_upstream(SERVICE, ()) is None
    assert not ledger.serves(SERVICE, ())


def test_loans_are_kept_while_an_upstream_is_not_listed() -> None:
    ledger = build_ledger(slots=1)
    ledger.add_loan(build_loan("a"))
    ledger.set_upstreams([])
    ledger.set_upstreams(build_upstreams(slots=1))
    assert ledger.select_upstream(SERVICE, ()) is None


def test_upstream_with_fewer_slots_gets_no_loan_until_one_is_free() -> None:
    ledger = build_ledger(slots=2)
    ledger.add_loan(build_loan("a"))
    ledger.add_loan(build_loan("b"))
    ledger.set_upstreams(build_upstreams(slots=1))
    ledger.remove_loan(TicketId("a"))
    assert ledger.select_upstream(SERVICE, ()) is None
    ledger.remove_loan(TicketId("b"))
    assert ledger.select_upstream(SERVICE, ()) == U1


def test_every_slot_is_quarantined_after_a_takeover() -> None:
    ledger = build_ledger(slots=2, quarantined_until=3.0)
    assert ledger.select_upstream(SERVICE, ()) is None
    assert ledger.counts()[U1].quarantined == 2
    ledger.tick(at(2.99))
    assert ledger.select_upstream(SERVICE, ()) is None
    ledger.tick(at(3.0))
    assert ledger.select_upstream(SERVICE, ()) == U1


def test_reported_slot_is_free_once_released_while_others_stay_quarantined() -> None:
    ledger = build_ledger(slots=2, quarantined_until=3.0)
    ledger.adopt_loan(build_loan("a"))
    assert ledger.select_upstream(SERVICE, ()) is None
    ledger.remove_loan(TicketId("a"))
    assert ledger.select_upstream(SERVICE, ()) == U1
    ledger.add_loan(build_loan("b"))
    assert ledger.select_upstream(SERVICE, ()) is None


def test_upstream_first_listed_during_the_quarantine_is_quarantined() -> None:
    ledger = SlotLedger(at(3.0))
    ledger.set_upstreams(build_upstreams())
    assert ledger.select_upstream(SERVICE, ()) is None


def test_loan_on_an_unlisted_upstream_counts_once_it_is_listed() -> None:
    ledger = SlotLedger(at(3.0))
    ledger.adopt_loan(build_loan("a", ends_at=9.0))
    ledger.set_upstreams(build_upstreams(slots=1))
    ledger.tick(at(3.0))
    assert ledger.select_upstream(SERVICE, ()) is None


def test_service_of_an_upstream_may_change() -> None:
    ledger = build_ledger(slots=1)
    ledger.set_upstreams([ListedUpstream(U1, "other", 1)])
    assert ledger.select_upstream(SERVICE, ()) is None
    assert ledger.select_upstream("other", ()) == U1
    assert ledger.usable_slots(SERVICE) == 0
