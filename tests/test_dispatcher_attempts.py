"""A non-idempotent request is granted once, and two members remember it."""

from tamarackmount.ids import MemberId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptCopy,
    AttemptResult,
    RefusalReason,
)
from tamarackmount.kernel.request_effects import DispatcherEffect
from tests.utils.build_requests import (
    M1,
    M2,
    M3,
    at,
    build_dispatcher,
    build_release,
    build_ticket_request,
    build_upstreams,
    confirm_loans,
    grants,
    messages_of,
    refusals,
)


def ask(
    dispatcher: Dispatcher, member_id: MemberId, ticket_id: str, now: float = 0
) -> list[DispatcherEffect]:
    request = build_ticket_request(ticket_id, request_id="order", idempotent=False)
    return dispatcher.ticket_requested(member_id, request, at(now))


def test_requesting_member_is_the_replica() -> None:
    dispatcher = build_dispatcher()
    assert grants(ask(dispatcher, M2, "a")) == ["a"]


def test_repeat_through_another_member_is_refused() -> None:
    dispatcher = build_dispatcher(
        members=[M1, M2, M3], upstreams=build_upstreams(slots=4)
    )
    ask(dispatcher, M2, "a")
    (refusal,) = refusals(ask(dispatcher, M3, "b"))
    assert refusal.reason is RefusalReason.ALREADY_ATTEMPTED
    dispatcher.released(M2, build_release("a"), at(0.1))
    (refusal,) = refusals(ask(dispatcher, M3, "c", now=59))
    assert refusal.reason is RefusalReason.ALREADY_ATTEMPTED


def test_queued_repeat_is_refused_when_its_turn_comes() -> None:
    dispatcher = build_dispatcher(members=[M1, M2, M3])
    blocker = build_ticket_request("blocker")
    dispatcher.ticket_requested(M2, blocker, at(0))
    ask(dispatcher, M2, "a")
    ask(dispatcher, M3, "b")
    effects = dispatcher.released(M2, build_release("blocker"), at(0.1))
    assert grants(effects) == ["a"]
    effects = dispatcher.released(M2, build_release("a"), at(0.2))
    assert grants(effects) == []
    assert refusals(effects)[0].reason is RefusalReason.ALREADY_ATTEMPTED


def test_request_may_be_tried_again_when_nothing_was_sent() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, M2, "a")
    result = AttemptResult.FAILED_BEFORE_SEND
    dispatcher.released(M2, build_release("a", result), at(0.1))
    assert grants(ask(dispatcher, M2, "b")) == ["b"]


def test_duplicate_release_does_not_forget_the_next_attempt() -> None:
    dispatcher = build_dispatcher(upstreams=build_upstreams(slots=4))
    result = AttemptResult.FAILED_BEFORE_SEND
    ask(dispatcher, M2, "a")
    dispatcher.released(M2, build_release("a", result), at(0.1))
    ask(dispatcher, M2, "b")
    dispatcher.released(M2, build_release("a", result), at(0.2))
    (refusal,) = refusals(ask(dispatcher, M2, "c"))
    assert refusal.reason is RefusalReason.ALREADY_ATTEMPTED


def test_request_of_the_owner_is_replicated_before_its_grant() -> None:
    dispatcher = build_dispatcher()
    effects = ask(dispatcher, M1, "a")
    assert grants(effects) == []
    (copy,) = messages_of(effects, AttemptCopy)
    assert effects[0].member_id == M2
    effects = dispatcher.attempt_copied(M2, copy.sequence, at(0.1))
    assert grants(effects) == []
    assert grants(confirm_loans(dispatcher, effects, now=0.1)) == ["a"]
    assert dispatcher.attempt_copied(M2, copy.sequence, at(0.1)) == []


def test_repeated_request_is_not_granted_before_the_copy_is_confirmed() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, M1, "a")
    assert ask(dispatcher, M1, "a") == []


def test_copy_goes_to_another_member_when_the_first_is_lost() -> None:
    dispatcher = build_dispatcher(members=[M1, M2, M3])
    (first,) = ask(dispatcher, M1, "a")
    left = frozenset([M1, M2, M3]) - {first.member_id}
    effects = dispatcher.set_members(left, at(0.1))
    (copy,) = messages_of(effects, AttemptCopy)
    (second_id,) = left - {M1}
    assert {effect.member_id for effect in effects} == {second_id}
    effects = dispatcher.attempt_copied(second_id, copy.sequence, at(0.2))
    assert grants(confirm_loans(dispatcher, effects, now=0.2)) == ["a"]


def test_owner_alone_refuses_as_not_durable() -> None:
    dispatcher = build_dispatcher(members=[M1])
    (refusal,) = refusals(ask(dispatcher, M1, "a"))
    assert refusal.reason is RefusalReason.NOT_DURABLE
    assert dispatcher.snapshot().lent == 0
    assert grants(
        ask(build_dispatcher(members=[M1], allow_unreplicated=True), M1, "a")
    ) == ["a"]


def test_owner_alone_refuses_at_once_while_no_slot_is_free() -> None:
    dispatcher = build_dispatcher(members=[M1])
    dispatcher.ticket_requested(M1, build_ticket_request("blocker"), at(0))
    (refusal,) = refusals(ask(dispatcher, M1, "a"))
    assert refusal.reason is RefusalReason.NOT_DURABLE


def test_owner_left_alone_before_the_confirmation_refuses_as_not_durable() -> None:
    dispatcher = build_dispatcher()
    ask(dispatcher, M1, "a")
    (refusal,) = refusals(dispatcher.set_members(frozenset([M1]), at(0.1)))
    assert refusal.reason is RefusalReason.NOT_DURABLE
    assert dispatcher.snapshot().lent == 0
    assert dispatcher.snapshot().attempts_remembered == 0


def test_attempts_of_a_lost_member_are_replicated_to_another() -> None:
    dispatcher = build_dispatcher(members=[M1, M2, M3])
    ask(dispatcher, M2, "a")
    effects = dispatcher.set_members(frozenset([M1, M3]), at(0.1))
    assert {effect.member_id for effect in effects} == {M3}
    (copy,) = messages_of(effects, AttemptCopy)
    assert [entry.request_id for entry in copy.entries] == ["order"]


def test_member_that_joins_gets_every_attempt() -> None:
    dispatcher = build_dispatcher(members=[M1, M2])
    ask(dispatcher, M2, "a")
    effects = dispatcher.set_members(frozenset([M1, M2, M3]), at(0.1))
    (copy,) = messages_of(effects, AttemptCopy)
    assert [entry.request_id for entry in copy.entries] == ["order"]
    assert {effect.member_id for effect in effects} == {M3}
