"""Job records at other members and in the log."""

from itertools import count

from tamarackmount.ids import Epoch, Instant, MemberId, RecordId
from tamarackmount.kernel.job_effects import Durability
from tamarackmount.kernel.log_writer import WriteResult
from tamarackmount.kernel.record_replication import (
    RESEND_S,
    SAVE_TIMEOUT_S,
    KeepingEffect,
    RecordReplication,
    ReplicaLagging,
    RetryLogWrite,
    Saved,
    SaveRefused,
    SendCopy,
)

A, B = MemberId("a"), MemberId("b")
RECORD, AGAIN = RecordId("r"), RecordId("r2")
START = Instant(0.0)
LATE = Instant(SAVE_TIMEOUT_S)


def begun(*members: MemberId) -> tuple[RecordReplication, int]:
    keeping = RecordReplication(Epoch(1), count(70))
    effects = keeping.begin(1, ["x"], RECORD, members, START)
    assert copies(effects) == sorted(members)
    return keeping, 70


def copies(effects: list[KeepingEffect]) -> list[MemberId]:
    return [one.to for one in effects if isinstance(one, SendCopy)]


def test_one_other_member_is_enough() -> None:
    keeping, number = begun(A, B)
    assert keeping.copied(A, number) == [Saved(1, Durability.PEERS)]
    assert not keeping.copied(A, number)


def test_the_log_is_enough_and_members_get_their_copies_all_the_same() -> None:
    keeping, _ = begun(A, B)
    written = keeping.logged(RECORD, WriteResult.WRITTEN)
    assert written == [Saved(1, Durability.LOG)]
    assert copies(keeping.tick(Instant(RESEND_S))) == [A, B]


def test_a_member_that_never_confirms_gets_everything_later() -> None:
    keeping, _ = begun(A)
    keeping.logged(RECORD, WriteResult.WRITTEN)
    assert keeping.tick(LATE) == [ReplicaLagging(A)]
    assert not keeping.tick(Instant(2 * SAVE_TIMEOUT_S))


def test_refused_when_nobody_can_have_it() -> None:
    keeping, _ = begun()
    refused = keeping.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert refused == [SaveRefused(1)]


def test_not_refused_when_a_copy_may_have_arrived() -> None:
    keeping, number = begun(A)
    assert not keeping.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert not keeping.member_lost(A)
    assert keeping.tick(LATE) == [RetryLogWrite(1, ["x"])]
    again = keeping.log_write_retried(1, AGAIN, [B], LATE)
    assert copies(again) == [B]
    assert keeping.copied(B, number) == [Saved(1, Durability.PEERS)]


def test_not_refused_when_the_log_may_have_it() -> None:
    keeping, _ = begun()
    assert not keeping.logged(RECORD, WriteResult.UNKNOWN)
    assert keeping.tick(LATE) == [RetryLogWrite(1, ["x"])]
    keeping.log_write_retried(1, AGAIN, [], LATE)
    assert keeping.logged(AGAIN, WriteResult.WRITTEN) == [Saved(1, Durability.LOG)]


def test_a_member_that_joins_can_hold_what_nobody_holds_yet() -> None:
    keeping, number = begun()
    assert copies(keeping.member_joined(A)) == [A]
    assert not keeping.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert Saved(1, Durability.PEERS) in keeping.copied(A, number)


def test_an_answer_to_a_copy_of_another_term_holds_nothing() -> None:
    keeping, number = begun(A)
    assert not keeping.copied(A, number - 1)
    assert not keeping.copied(A, 1)
