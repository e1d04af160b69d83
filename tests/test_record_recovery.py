"""Tests of the collecting of job records for a new owner."""

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobsHeld
from tamarackmount.kernel.record_recovery import (
    RECOVERY_TIMEOUT_S,
    RETRY_INTERVAL_S,
    RecordRecovery,
)

A, B = MemberId("a"), MemberId("b")
EPOCH = Epoch(4)
START = Instant(0.0)


def part(index: int, more: bool, epoch: Epoch = EPOCH) -> JobsHeld:
    return JobsHeld(epoch, [], more, index)


def test_an_owner_may_begin_once_all_have_answered() -> None:
    recovery = RecordRecovery(EPOCH, [A, B], START)
    recovery.answer_received(A, part(0, more=False))
    assert not recovery.may_begin(START)
    recovery.answer_received(B, part(0, more=False))
    assert recovery.may_begin(START)


def test_an_answer_is_complete_when_every_part_arrived_in_any_order() -> None:
    recovery = RecordRecovery(EPOCH, [A], START)
    recovery.answer_received(A, part(2, more=False))
    recovery.answer_received(A, part(0, more=True))
    assert not recovery.may_begin(START)
    recovery.answer_received(A, part(1, more=True))
    assert recovery.may_begin(START)


def test_answers_to_another_owner_do_not_count() -> None:
    recovery = RecordRecovery(EPOCH, [A], START)
    recovery.answer_received(A, part(0, more=False, epoch=Epoch(3)))
    assert not recovery.may_begin(START)


def test_members_are_asked_until_they_answer_even_after_the_time_out() -> None:
    recovery = RecordRecovery(EPOCH, [A, B], START)
    assert recovery.due(START) == [A, B]
    assert not recovery.due(START)
    recovery.member_lost(B)
    late = Instant(RECOVERY_TIMEOUT_S + RETRY_INTERVAL_S)
    assert recovery.may_begin(late)
    assert recovery.due(late) == [A]
