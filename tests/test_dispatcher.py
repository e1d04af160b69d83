"""The owner lends each slot once, fairly, and refuses requests early."""

from dataclasses import replace

from tamarackmount.ids import QueueName, TicketId, UpstreamId, WorkspaceId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptResult,
    RefusalReason,
    TicketGrant,
    TicketWithdrawal,
)
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits
from tests.utils.build_requests import (
    COUNTER,
    DESIGN,
    M1,
    M2,
    RETAIL,
    SERVICE,
    TIMING,
    at,
    build_dispatcher,
    build_release,
    build_ticket_request,
    build_upstreams,
    grants,
    messages_of,
    refusals,
)


def ask(
    dispatcher: Dispatcher,
    ticket_id: str,
    team_id: WorkspaceId = RETAIL,
    now: float = 0,
) -> list[str]:
    request = build_ticket_request(ticket_id, team_id=team_id)
    return grants(dispatcher.ticket_requested(M2, request, at(now)))


def release(
    dispatcher: Dispatcher,
    ticket_id: str,
    result: AttemptResult = AttemptResult.ANSWERED,
    now: float = 0,
) -> list[str]:
    message = build_release(ticket_id, result)
    return grants(dispatcher.released(M2, message, at(now)))


def record_service_times(dispatcher: Dispatcher, service_ms: int = 100) -> None:
    """Release enough answered tickets for a median service time."""
    for number in range(20):
        ticket_id = f"warm-{number}"
        ask(dispatcher, ticket_id)
        dispatcher.released(M2, build_release(ticket_id, service_ms=service_ms), at(0))


def test_free_slot_is_lent_at_once() -> None:
    dispatcher = build_dispatcher()
    effects = dispatcher.ticket_requested(M2, build_ticket_request(), at(0))
    (grant,) = messages_of(effects, TicketGrant)
    assert (grant.upstream_id, grant.epoch, grant.remaining_ms) == ("u1", 1, 1_000)
    assert effects[0].member_id == M2


def test_first_in_the_queue_gets_the_released_slot() -> None:
    dispatcher = build_dispatcher()
    assert ask(dispatcher, "a") == ["a"]
    assert ask(dispatcher, "b") == []
    assert release(dispatcher, "a") == ["b"]


def test_repeated_request_gets_the_same_grant() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(slots=2))
    ask(dispatcher, "a")
    effects = dispatcher.ticket_requested(M2, build_ticket_request("a"), at(0.3))
    (grant,) = messages_of(effects, TicketGrant)
    assert grant.remaining_ms == 1_000
    assert dispatcher.snapshot().lent == 1


def test_repeated_request_is_queued_once() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    ask(dispatcher, "b")
    assert dispatcher.snapshot().waiting == 1


def test_late_request_for_an_ended_ticket_is_ignored() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    release(dispatcher, "a")
    assert ask(dispatcher, "a") == []
    assert dispatcher.snapshot().lent == 0


def test_duplicate_release_frees_one_slot() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    ask(dispatcher, "c")
    assert release(dispatcher, "a") == ["b"]
    assert release(dispatcher, "a") == []


def test_release_by_another_member_is_ignored() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    dispatcher.released(M1, build_release("a"), at(0))
    assert dispatcher.snapshot().lent == 1


def test_slot_of_a_lost_member_stays_lent_until_its_deadline_and_margin() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    dispatcher.set_members(frozenset([M1]), at(0.1))
    late = build_ticket_request("b", remaining_ms=5_000)
    dispatcher.ticket_requested(M1, late, at(0.2))
    assert grants(dispatcher.tick(at(1.09))) == []
    assert grants(dispatcher.tick(at(1.1))) == ["b"]


def test_slot_of_a_broken_attempt_stays_lent_until_its_deadline() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b", now=0.2)
    result = AttemptResult.FAILED_AFTER_SEND
    assert release(dispatcher, "a", result, now=0.3) == []
    assert grants(dispatcher.tick(at(1.1))) == ["b"]


def test_slot_of_a_broken_attempt_is_free_when_a_disconnect_frees_it() -> None:
    timing = replace(TIMING, disconnect_frees_slot=True)
    dispatcher = build_dispatcher(timing=timing)
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    result = AttemptResult.FAILED_AFTER_SEND
    assert release(dispatcher, "a", result) == ["b"]


def test_loan_is_no_longer_than_the_longest_ticket() -> None:
    dispatcher = build_dispatcher()
    request = build_ticket_request(remaining_ms=9_000)
    (grant,) = messages_of(dispatcher.ticket_requested(M2, request, at(0)), TicketGrant)
    assert grant.remaining_ms == TIMING.max_ticket_ms


def test_grant_includes_the_time_in_the_queue() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    long = build_ticket_request("b", remaining_ms=9_000)
    dispatcher.ticket_requested(M2, long, at(0))
    effects = dispatcher.released(M2, build_release("a"), at(0.5))
    (grant,) = messages_of(effects, TicketGrant)
    assert grant.remaining_ms == 500 + TIMING.max_ticket_ms


def test_withdrawn_ticket_leaves_the_queue() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    dispatcher.withdrawn(M2, TicketWithdrawal(TicketId("b")), at(0))
    assert release(dispatcher, "a") == []


def test_withdrawal_that_overtakes_its_request_counts() -> None:
    dispatcher = build_dispatcher()
    dispatcher.withdrawn(M2, TicketWithdrawal(TicketId("a")), at(0))
    assert ask(dispatcher, "a") == []
    assert dispatcher.snapshot().lent == 0


def test_withdrawal_of_a_granted_ticket_leaves_the_loan() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    dispatcher.withdrawn(M2, TicketWithdrawal(TicketId("a")), at(0))
    assert dispatcher.snapshot().lent == 1


def test_waiting_requests_of_a_lost_member_are_dropped() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    dispatcher.set_members(frozenset([M1]), at(0))
    assert dispatcher.snapshot().waiting == 0


def test_waiting_request_is_refused_at_its_deadline() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    short = build_ticket_request("b", remaining_ms=300)
    dispatcher.ticket_requested(M2, short, at(0))
    (refusal,) = refusals(dispatcher.tick(at(0.3)))
    assert refusal.reason is RefusalReason.DEADLINE


def test_unknown_queue_is_refused() -> None:
    request = build_ticket_request(queue=QueueName("other"))
    effects = build_dispatcher().ticket_requested(M2, request, at(0))
    assert refusals(effects)[0].reason is RefusalReason.UNKNOWN_QUEUE


def test_waiting_requests_of_a_removed_queue_are_refused() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    (refusal,) = refusals(dispatcher.set_queues({}, at(0)))
    assert refusal.reason is RefusalReason.UNKNOWN_QUEUE
    assert release(dispatcher, "a") == []


def test_service_without_upstream_is_refused_at_once() -> None:
    dispatcher = build_dispatcher(upstreams=[])
    effects = dispatcher.ticket_requested(M2, build_ticket_request(), at(0))
    (refusal,) = refusals(effects)
    assert refusal.reason is RefusalReason.NO_UPSTREAM
    assert refusal.retry_after_ms > 0


def test_waiting_requests_are_refused_when_the_last_upstream_leaves() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    leaving = replace(build_upstreams()[0], leaving=True)
    (refusal,) = refusals(dispatcher.set_upstreams([leaving], at(0)))
    assert (refusal.ticket_id, refusal.reason) == ("b", RefusalReason.NO_UPSTREAM)


def test_leaving_upstream_gets_no_new_requests() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(2))
    first, second = build_upstreams(2)
    dispatcher.set_upstreams([replace(first, leaving=True), second], at(0))
    effects = dispatcher.ticket_requested(M2, build_ticket_request(), at(0))
    assert messages_of(effects, TicketGrant)[0].upstream_id == "u2"


def test_retry_goes_to_another_upstream_or_is_refused() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(2))
    elsewhere = build_ticket_request("a", excluded=["u1"])
    effects = dispatcher.ticket_requested(M2, elsewhere, at(0))
    assert messages_of(effects, TicketGrant)[0].upstream_id == UpstreamId("u2")
    nowhere = build_ticket_request("b", excluded=["u1", "u2"])
    effects = dispatcher.ticket_requested(M2, nowhere, at(0))
    assert refusals(effects)[0].reason is RefusalReason.NO_UPSTREAM


def test_free_slot_that_a_retry_excludes_goes_to_another_team() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(2))
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    retry = build_ticket_request("c", excluded=["u1"])
    dispatcher.ticket_requested(M2, retry, at(0))
    ask(dispatcher, "d", DESIGN)
    assert release(dispatcher, "a") == ["d"]
    assert release(dispatcher, "b") == ["c"]


def test_team_at_its_ceiling_waits_for_its_own_releases() -> None:
    limits = RequestLimits(running_requests=1)
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=3), teams_by_id={RETAIL: limits}
    )
    assert ask(dispatcher, "a") == ["a"]
    assert ask(dispatcher, "b") == []
    assert ask(dispatcher, "c", DESIGN) == ["c"]
    assert release(dispatcher, "c") == []
    assert release(dispatcher, "a") == ["b"]


def test_raised_ceiling_applies_at_once() -> None:
    limits = RequestLimits(running_requests=1)
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=3), teams_by_id={RETAIL: limits}
    )
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    raised = {RETAIL: RequestLimits(running_requests=2)}
    assert grants(dispatcher.set_teams(raised, at(0))) == ["b"]


def test_ceiling_of_zero_refuses_at_once() -> None:
    dispatcher = build_dispatcher(
        teams_by_id={RETAIL: RequestLimits(running_requests=0)}
    )
    effects = dispatcher.ticket_requested(M2, build_ticket_request(), at(0))
    assert refusals(effects)[0].reason is RefusalReason.CEILING


def test_request_that_times_out_at_the_ceiling_is_refused_for_it() -> None:
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=3),
        teams_by_id={RETAIL: RequestLimits(running_requests=1)},
    )
    ask(dispatcher, "a")
    short = build_ticket_request("b", remaining_ms=300)
    dispatcher.ticket_requested(M2, short, at(0))
    (refusal,) = refusals(dispatcher.tick(at(0.3)))
    assert refusal.reason is RefusalReason.CEILING


def test_full_queue_refuses_the_team_with_most_waiting_for_its_share() -> None:
    dispatcher = build_dispatcher(rules=QueueRules(SERVICE, max_waiting=2))
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    ask(dispatcher, "c")
    request = build_ticket_request("d", team_id=DESIGN)
    (refusal,) = refusals(dispatcher.ticket_requested(M2, request, at(0)))
    assert (refusal.ticket_id, refusal.reason) == ("c", RefusalReason.LINE_FULL)
    request = build_ticket_request("e")
    (refusal,) = refusals(dispatcher.ticket_requested(M2, request, at(0)))
    assert refusal.ticket_id == "e"


def test_queue_of_length_zero_still_uses_free_slots() -> None:
    dispatcher = build_dispatcher(rules=QueueRules(SERVICE, max_waiting=0))
    assert ask(dispatcher, "a") == ["a"]
    effects = dispatcher.ticket_requested(M2, build_ticket_request("b"), at(0))
    assert refusals(effects)[0].reason is RefusalReason.LINE_FULL


def test_request_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    dispatcher = build_dispatcher()
    record_service_times(dispatcher, service_ms=100)
    ask(dispatcher, "a")
    for number in range(5):
        ask(dispatcher, f"b{number}")
    short = build_ticket_request("c", remaining_ms=400)
    (refusal,) = refusals(dispatcher.ticket_requested(M2, short, at(0)))
    assert refusal.reason is RefusalReason.DEADLINE
    assert refusal.retry_after_ms == 500


def test_many_requests_of_a_team_do_not_delay_another() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(slots=4))
    for number in range(100):
        ask(dispatcher, f"many-{number}", now=0)
    ask(dispatcher, "single", DESIGN, now=0.1)
    assert release(dispatcher, "many-0", now=0.2) == ["single"]


def test_slots_follow_the_shares_under_share_fairness() -> None:
    dispatcher = build_dispatcher(
        upstreams=build_upstreams(slots=8),
        rules=QueueRules(SERVICE, policy="share-fairness"),
        teams_by_id={RETAIL: RequestLimits(3.0), DESIGN: RequestLimits(1.0)},
    )
    for number in range(8):
        ask(dispatcher, f"first-{number}", RETAIL)
    for number in range(20):
        ask(dispatcher, f"r{number}", RETAIL)
        ask(dispatcher, f"d{number}", DESIGN)
    for number in range(8):
        release(dispatcher, f"first-{number}")
    explanation = dispatcher.explain(COUNTER)
    assert explanation is not None
    assert explanation.running_by_team == {RETAIL: 6, DESIGN: 2}


def test_failing_upstream_is_ejected_and_tried_again() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(2, slots=4))
    for number in range(6):
        request = build_ticket_request(f"a{number}", excluded=["u2"])
        dispatcher.ticket_requested(M2, request, at(0))
        release(dispatcher, f"a{number}", AttemptResult.FAILED_BEFORE_SEND)
    view = dispatcher.snapshot().upstreams_by_id[UpstreamId("u1")]
    assert view.slots.free == 0
    dispatcher.tick(at(2))
    view = dispatcher.snapshot().upstreams_by_id[UpstreamId("u1")]
    assert view.slots.free == 1


def test_explanation_counts_waiting_and_running_requests() -> None:
    dispatcher = build_dispatcher(
        teams_by_id={DESIGN: RequestLimits(running_requests=0)}
    )
    ask(dispatcher, "a")
    ask(dispatcher, "b")
    explanation = dispatcher.explain(COUNTER)
    assert explanation is not None
    assert explanation.waiting_by_team == {RETAIL: 1}
    assert explanation.running_by_team == {RETAIL: 1}
    assert explanation.next_team == RETAIL
    assert explanation.usable_slots == 1
    assert dispatcher.explain(QueueName("other")) is None
