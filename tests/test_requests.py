"""Request table: each request ends once, in time and with a correct outcome."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from tamarackmount.ids import Epoch, Incarnation, TicketId, UpstreamId
from tamarackmount.kernel.messages import (
    AttemptResult,
    Outcome,
    RefusalReason,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.request_effects import (
    AbortUpstream,
    Finish,
    RequestEffect,
    SendToOwner,
    SendUpstream,
)
from tamarackmount.kernel.requests import MAX_SENT_FAILURES, RequestTable
from tests.utils.build_requests import (
    M1,
    M2,
    M3,
    TIMING,
    at,
    build_grant,
    build_request,
    build_table,
)

T1 = TicketId("m1/1/1")
T2 = TicketId("m1/1/2")


def ticket_requests(effects: Sequence[RequestEffect]) -> list[TicketRequest]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToOwner) and isinstance(effect.message, TicketRequest)
    ]


def releases(effects: Sequence[RequestEffect]) -> list[TicketRelease]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToOwner) and isinstance(effect.message, TicketRelease)
    ]


def finishes(effects: Sequence[RequestEffect]) -> list[Finish]:
    return [effect for effect in effects if isinstance(effect, Finish)]


def build_running(idempotent: bool = True, deadline: float = 10.0) -> RequestTable:
    table = build_table()
    table.submit(build_request(idempotent=idempotent, deadline=deadline), at(0))
    table.granted(build_grant(), at(0.1))
    return table


def test_ticket_request_states_the_remaining_time() -> None:
    effects = build_table().submit(build_request(deadline=4), at(1))
    assert [message.remaining_ms for message in ticket_requests(effects)] == [3_000]


def test_granted_request_is_sent_with_the_earlier_deadline() -> None:
    table = build_table()
    table.submit(build_request(deadline=10), at(1))
    effects = table.granted(build_grant(remaining_ms=2_000), at(1.5))
    assert effects == [SendUpstream(1, T1, UpstreamId("u1"), at(3))]
    assert (table.waiting, table.in_flight) == (0, 1)


def test_answer_finishes_the_request_and_releases_the_slot() -> None:
    table = build_running()
    effects = table.attempt_ended(T1, AttemptResult.ANSWERED, at(0.3))
    assert finishes(effects) == [Finish(1, Outcome.ANSWERED)]
    assert releases(effects) == [TicketRelease(T1, AttemptResult.ANSWERED, 200)]
    assert (table.waiting, table.in_flight) == (0, 0)


def test_answer_for_an_ended_attempt_is_ignored() -> None:
    table = build_running()
    table.attempt_ended(T1, AttemptResult.ANSWERED, at(0.3))
    assert table.attempt_ended(T1, AttemptResult.ANSWERED, at(0.4)) == []


@pytest.mark.parametrize(
    "result", [AttemptResult.FAILED_BEFORE_SEND, AttemptResult.FAILED_AFTER_SEND]
)
def test_failed_idempotent_request_is_retried_elsewhere(result: AttemptResult) -> None:
    effects = build_running().attempt_ended(T1, result, at(0.3))
    (message,) = ticket_requests(effects)
    assert message.ticket_id == T2
    assert message.excluded == [UpstreamId("u1")]
    assert finishes(effects) == []


def test_non_idempotent_request_is_not_retried_after_its_first_byte() -> None:
    table = build_running(idempotent=False)
    effects = table.attempt_ended(T1, AttemptResult.FAILED_AFTER_SEND, at(0.3))
    assert ticket_requests(effects) == []
    assert finishes(effects) == [
        Finish(1, Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    ]


def test_non_idempotent_request_is_retried_if_nothing_was_sent() -> None:
    table = build_running(idempotent=False)
    assert len(table.dedup_table) == 1
    effects = table.attempt_ended(T1, AttemptResult.FAILED_BEFORE_SEND, at(0.3))
    assert len(ticket_requests(effects)) == 1
    assert len(table.dedup_table) == 0


def test_attempt_is_recorded_before_it_is_sent() -> None:
    table = build_running(idempotent=False)
    (entry,) = table.dedup_table.entries(at(0.1))
    assert entry.request_id == "r1"
    table.attempt_ended(T1, AttemptResult.ANSWERED, at(1))
    assert len(table.dedup_table) == 1


def test_retries_stop_when_the_budget_is_spent() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    for number in (1, 2):
        table.granted(build_grant(f"m1/1/{number}"), at(0.1))
        ticket_id = TicketId(f"m1/1/{number}")
        table.attempt_ended(ticket_id, AttemptResult.FAILED_BEFORE_SEND, at(0.2))
    table.granted(build_grant("m1/1/3"), at(0.3))
    effects = table.attempt_ended(
        TicketId("m1/1/3"), AttemptResult.FAILED_BEFORE_SEND, at(0.4)
    )
    (finish,) = finishes(effects)
    assert (finish.outcome, finish.reason) == (
        Outcome.NOT_RUN,
        RefusalReason.RETRIES_SPENT,
    )


def test_refusal_reaches_the_caller_at_once_with_retry_after() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    refusal = TicketRefusal(T1, RefusalReason.LINE_FULL, 250)
    assert table.refused(refusal, at(0.1)) == [
        Finish(1, Outcome.NOT_RUN, RefusalReason.LINE_FULL, 250)
    ]
    assert table.refused(refusal, at(0.1)) == []


def test_outcome_of_a_refusal_after_a_sent_attempt_is_unknown() -> None:
    table = build_running()
    table.attempt_ended(T1, AttemptResult.FAILED_AFTER_SEND, at(0.3))
    refusal = TicketRefusal(T2, RefusalReason.LINE_FULL, 250)
    assert table.refused(refusal, at(0.4)) == [
        Finish(1, Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED, 250)
    ]


def test_outcome_of_a_repeat_of_an_attempted_request_is_unknown() -> None:
    table = build_table()
    table.submit(build_request(idempotent=False), at(0))
    refusal = TicketRefusal(T1, RefusalReason.ALREADY_ATTEMPTED, 0)
    assert table.refused(refusal, at(0.1)) == [
        Finish(1, Outcome.UNKNOWN, RefusalReason.ALREADY_ATTEMPTED)
    ]


def test_late_refusal_of_a_running_request_is_ignored() -> None:
    refusal = TicketRefusal(T1, RefusalReason.LINE_FULL, 250)
    assert build_running().refused(refusal, at(0.2)) == []


def test_waiting_request_ends_at_its_deadline_as_not_run() -> None:
    table = build_table()
    table.submit(build_request(deadline=0.4), at(0))
    assert table.tick(at(0.39)) == []
    assert table.tick(at(0.4)) == [Finish(1, Outcome.NOT_RUN, RefusalReason.DEADLINE)]


def test_running_request_ends_at_its_deadline_as_unknown() -> None:
    effects = build_running(deadline=2).tick(at(2))
    assert effects[0] == AbortUpstream(T1)
    assert finishes(effects) == [Finish(1, Outcome.UNKNOWN, RefusalReason.DEADLINE)]
    assert len(releases(effects)) == 1


def test_attempt_past_its_loan_is_retried_within_the_deadline() -> None:
    table = build_table()
    table.submit(build_request(deadline=10), at(0))
    table.granted(build_grant(remaining_ms=2_000), at(0.1))
    effects = table.tick(at(2))
    assert AbortUpstream(T1) in effects
    assert len(ticket_requests(effects)) == 1


def test_request_past_its_deadline_is_refused_at_once() -> None:
    effects = build_table().submit(build_request(deadline=1), at(1))
    assert effects == [Finish(1, Outcome.NOT_RUN, RefusalReason.DEADLINE)]


def test_grant_for_an_unknown_ticket_is_released_unused() -> None:
    effects = build_table().granted(build_grant("m1/1/9"), at(0))
    assert releases(effects) == [
        TicketRelease(TicketId("m1/1/9"), AttemptResult.UNUSED, 0)
    ]


def test_duplicate_grant_is_ignored() -> None:
    table = build_running()
    assert table.granted(build_grant(), at(0.2)) == []


def test_duplicate_grant_of_a_used_ticket_does_not_release_it_unused() -> None:
    table = build_running(idempotent=False)
    table.attempt_ended(T1, AttemptResult.FAILED_AFTER_SEND, at(0.3))
    assert table.granted(build_grant(), at(0.4)) == []


def test_expired_grant_is_released_and_a_new_ticket_requested() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    effects = table.granted(build_grant(remaining_ms=500), at(0.5))
    assert [message.result for message in releases(effects)] == [AttemptResult.UNUSED]
    assert [message.ticket_id for message in ticket_requests(effects)] == [T2]


def test_grant_of_an_earlier_epoch_is_not_used() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    table.raise_fence(Epoch(2), at(0.1))
    table.owner_changed(M3, at(0.1))
    assert table.granted(build_grant(epoch=1), at(0.2)) == []
    assert len(table.granted(build_grant(epoch=2), at(0.3))) == 1


def test_waiting_request_is_withdrawn_when_its_caller_disconnects() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    assert table.caller_disconnected(1, at(0.1)) == [SendToOwner(TicketWithdrawal(T1))]
    assert table.caller_disconnected(1, at(0.1)) == []
    assert len(releases(table.granted(build_grant(), at(0.2)))) == 1


def test_running_attempt_keeps_its_slot_after_its_caller_disconnects() -> None:
    table = build_running()
    assert table.caller_disconnected(1, at(0.2)) == []
    effects = table.attempt_ended(T1, AttemptResult.ANSWERED, at(0.3))
    assert finishes(effects) == []
    assert len(releases(effects)) == 1
    assert table.in_flight == 0


def test_waiting_requests_keep_their_ticket_ids_with_a_new_owner() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    table.raise_fence(Epoch(2), at(1))
    (message,) = ticket_requests(table.owner_changed(M3, at(1)))
    assert message.ticket_id == T1
    effects = table.granted(build_grant(epoch=2, remaining_ms=3_000), at(2))
    assert effects == [SendUpstream(1, T1, UpstreamId("u1"), at(4))]


def test_announcement_of_the_same_owner_is_ignored() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    assert table.owner_changed(M2, at(0.1)) == []


def test_loan_counts_from_the_first_ticket_request_to_the_same_owner() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    table.owner_changed(None, at(1))
    table.owner_changed(M2, at(1.1))
    effects = table.granted(build_grant(remaining_ms=3_000), at(2))
    assert effects == [SendUpstream(1, T1, UpstreamId("u1"), at(3))]


def test_requests_are_refused_after_the_grace_period_without_an_owner() -> None:
    table = build_table()
    table.submit(build_request(1), at(0))
    table.owner_changed(None, at(1))
    assert table.submit(build_request(2), at(1.1)) == []
    assert table.tick(at(1.29)) == []
    reasons = [finish.reason for finish in finishes(table.tick(at(1.3)))]
    assert reasons == [RefusalReason.NO_OWNER, RefusalReason.NO_OWNER]
    (finish,) = finishes(table.submit(build_request(3), at(1.4)))
    assert finish.reason is RefusalReason.NO_OWNER
    assert finish.retry_after_ms > 0


def test_owner_found_within_the_grace_period_gets_ticket_requests() -> None:
    table = RequestTable(M1, Incarnation(1), TIMING)
    assert table.submit(build_request(), at(0)) == []
    assert len(ticket_requests(table.owner_changed(M2, at(0.2)))) == 1


def test_unanswered_ticket_request_is_resent_with_exponential_backoff() -> None:
    table = build_table()
    table.submit(build_request(), at(0))
    assert ticket_requests(table.tick(at(0.4))) == []
    assert len(ticket_requests(table.tick(at(0.5)))) == 1
    assert ticket_requests(table.tick(at(1.4))) == []
    assert len(ticket_requests(table.tick(at(1.5)))) == 1


def test_holdings_include_running_attempts() -> None:
    table = build_running()
    (held,) = table.holdings(at(1))
    assert (held.ticket_id, held.upstream_id) == (T1, "u1")
    assert 4_000 <= held.remaining_ms <= 4_001
    table.attempt_ended(T1, AttemptResult.ANSWERED, at(1))
    assert table.holdings(at(1)) == []


def test_holdings_include_disconnected_attempts_until_their_deadline() -> None:
    table = build_running(idempotent=False)
    table.attempt_ended(T1, AttemptResult.FAILED_AFTER_SEND, at(1))
    assert [held.ticket_id for held in table.holdings(at(1))] == [T1]
    table.tick(at(5))
    assert table.holdings(at(5)) == []


def test_holdings_exclude_disconnected_attempts_if_a_disconnect_frees_the_slot() -> (
    None
):
    table = build_table(replace(TIMING, disconnect_frees_slot=True))
    table.submit(build_request(idempotent=False), at(0))
    table.granted(build_grant(), at(0.1))
    table.attempt_ended(T1, AttemptResult.FAILED_AFTER_SEND, at(1))
    assert table.holdings(at(1)) == []


def test_a_request_broke_off_at_upstream_after_upstream() -> None:
    """Each retry may take another upstream down, while the budget is full."""
    table = build_table(replace(TIMING, retry_burst=10.0))
    table.submit(build_request(), at(0))
    effects: Sequence[RequestEffect] = []
    for number in range(1, MAX_SENT_FAILURES + 1):
        assert finishes(effects) == []
        ticket = f"m1/1/{number}"
        table.granted(build_grant(ticket, f"u{number}"), at(0.1))
        effects = table.attempt_ended(
            TicketId(ticket), AttemptResult.FAILED_AFTER_SEND, at(0.2)
        )
    assert ticket_requests(effects) == []
    assert finishes(effects) == [
        Finish(1, Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    ]
