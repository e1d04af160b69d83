"""A new owner's collecting of job records."""

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobsHeld
from tamarackmount.kernel.record_recovery import (
    ASK_AGAIN_S,
    COLLECT_TIMEOUT_S,
    RecordRecovery,
)

A, B = MemberId("a"), MemberId("b")
EPOCH = Epoch(4)
START = Instant(0.0)


def part(index: int, more: bool, epoch: Epoch = EPOCH) -> JobsHeld:
    return JobsHeld(epoch, [], more, index)


def test_it_begins_once_all_have_answered() -> None:
    collection = RecordRecovery(EPOCH, [A, B], START)
    collection.answered(A, part(0, more=False))
    assert not collection.may_begin(START)
    collection.answered(B, part(0, more=False))
    assert collection.may_begin(START)


def test_an_answer_is_whole_when_every_part_arrived_in_any_order() -> None:
    collection = RecordRecovery(EPOCH, [A], START)
    collection.answered(A, part(2, more=False))
    collection.answered(A, part(0, more=True))
    assert not collection.may_begin(START)
    collection.answered(A, part(1, more=True))
    assert collection.may_begin(START)


def test_answers_to_another_owner_do_not_count() -> None:
    collection = RecordRecovery(EPOCH, [A], START)
    collection.answered(A, part(0, more=False, epoch=Epoch(3)))
    assert not collection.may_begin(START)


def test_members_are_asked_until_they_answer_also_after_the_beginning() -> None:
    collection = RecordRecovery(EPOCH, [A, B], START)
    assert collection.due(START) == [A, B]
    assert not collection.due(START)
    collection.lost(B)
    late = Instant(COLLECT_TIMEOUT_S + ASK_AGAIN_S)
    assert collection.may_begin(late)
    assert collection.due(late) == [A]
