"""Tests of the replication of job records to other members and the log."""

from itertools import count

from tamarackmount.ids import Epoch, Instant, MemberId, RecordId
from tamarackmount.kernel.job_effects import Durability
from tamarackmount.kernel.log_writer import WriteResult
from tamarackmount.kernel.record_replication import (
    RESEND_S,
    SAVE_TIMEOUT_S,
    RecordReplication,
    ReplicaLagging,
    ReplicationEffect,
    RetryLogWrite,
    Saved,
    SaveRefused,
    SendCopy,
)

A, B = MemberId("a"), MemberId("b")
RECORD, AGAIN = RecordId("r"), RecordId("r2")
START = Instant(0.0)
LATE = Instant(SAVE_TIMEOUT_S)


def begin_save(*members: MemberId) -> tuple[RecordReplication, int]:
    replication = RecordReplication(Epoch(1), count(70))
    effects = replication.begin(1, ["x"], RECORD, members, START)
    assert copies(effects) == sorted(members)
    return replication, 70


def copies(effects: list[ReplicationEffect]) -> list[MemberId]:
    return [effect.to for effect in effects if isinstance(effect, SendCopy)]


def test_the_confirmation_of_one_member_completes_a_save() -> None:
    replication, number = begin_save(A, B)
    assert replication.acknowledged(A, number) == [Saved(1, Durability.PEERS)]
    assert not replication.acknowledged(A, number)


def test_the_log_completes_a_save_and_members_still_get_their_copies() -> None:
    replication, _ = begin_save(A, B)
    written = replication.logged(RECORD, WriteResult.WRITTEN)
    assert written == [Saved(1, Durability.LOG)]
    assert copies(replication.tick(Instant(RESEND_S))) == [A, B]


def test_a_member_that_never_confirms_is_reported_as_lagging() -> None:
    replication, _ = begin_save(A)
    replication.logged(RECORD, WriteResult.WRITTEN)
    assert replication.tick(LATE) == [ReplicaLagging(A)]
    assert not replication.tick(Instant(2 * SAVE_TIMEOUT_S))


def test_a_save_is_refused_when_nobody_can_have_it() -> None:
    replication, _ = begin_save()
    refused = replication.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert refused == [SaveRefused(1)]


def test_a_save_is_retried_when_a_copy_may_have_arrived() -> None:
    replication, number = begin_save(A)
    assert not replication.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert not replication.member_lost(A)
    assert replication.tick(LATE) == [RetryLogWrite(1, ["x"])]
    again = replication.log_write_retried(1, AGAIN, [B], LATE)
    assert copies(again) == [B]
    assert replication.acknowledged(B, number) == [Saved(1, Durability.PEERS)]


def test_a_save_is_retried_when_the_log_may_have_it() -> None:
    replication, _ = begin_save()
    assert not replication.logged(RECORD, WriteResult.UNKNOWN)
    assert replication.tick(LATE) == [RetryLogWrite(1, ["x"])]
    replication.log_write_retried(1, AGAIN, [], LATE)
    assert replication.logged(AGAIN, WriteResult.WRITTEN) == [Saved(1, Durability.LOG)]


def test_a_member_that_joins_gets_the_saves_that_are_not_stored_yet() -> None:
    replication, number = begin_save()
    assert copies(replication.member_joined(A)) == [A]
    assert not replication.logged(RECORD, WriteResult.NOT_WRITTEN)
    assert Saved(1, Durability.PEERS) in replication.acknowledged(A, number)


def test_a_confirmation_of_an_unknown_copy_is_ignored() -> None:
    replication, number = begin_save(A)
    assert not replication.acknowledged(A, number - 1)
    assert not replication.acknowledged(A, 1)
