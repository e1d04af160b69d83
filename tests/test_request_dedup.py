"""Dedup entries: retention, merging, and replication to other members."""

from tamarackmount.ids import RequestId, TicketId
from tamarackmount.kernel.dedup_replicator import MAX_ENTRIES_PER_COPY, DedupReplicator
from tamarackmount.kernel.messages import AttemptCopy, AttemptEntry, AttemptState
from tamarackmount.kernel.request_dedup import DedupKey, DedupTable
from tests.utils.build_requests import M1, M2, M3, RETAIL, TIMING, at

KEY = DedupKey(RETAIL, RequestId("r1"))
T1 = TicketId("t1")
T2 = TicketId("t2")


def build_table(retention_ms: int = 10_000) -> DedupTable:
    return DedupTable(retention_ms)


def build_replicator(table: DedupTable) -> DedupReplicator:
    return DedupReplicator(M1, table, TIMING)


def test_attempt_is_kept_for_the_retention_time_after_its_last_change() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.ended(KEY, AttemptState.ANSWERED, at(5))
    table.tick(at(14.9))
    assert table.contains(KEY)
    table.tick(at(15))
    assert not table.contains(KEY)


def test_attempt_that_was_not_sent_is_removed() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.not_sent(KEY, T1)
    assert not table.contains(KEY)


def test_another_tickets_attempt_is_kept() -> None:
    table = build_table()
    table.started(KEY, T2, at(0))
    table.not_sent(KEY, T1)
    assert table.contains(KEY)


def test_end_of_an_unknown_attempt_is_ignored() -> None:
    table = build_table()
    table.ended(KEY, AttemptState.ANSWERED, at(0))
    assert not table.contains(KEY)


def test_merged_entry_is_kept_for_the_time_it_states() -> None:
    table = build_table()
    entry = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 3_000)
    table.merge([entry], at(1))
    assert table.entries(at(2)) == [
        AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 2_000)
    ]
    table.tick(at(4))
    assert not table.contains(KEY)


def test_merge_never_shortens_retention_or_reverts_a_state() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.ended(KEY, AttemptState.ANSWERED, at(0))
    older = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 10)
    table.merge([older], at(1))
    entry = table.entry(KEY, at(1))
    assert entry is not None
    assert entry.state is AttemptState.ANSWERED
    assert entry.keep_ms == 9_000


def test_copy_is_resent_until_it_is_acknowledged() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    first = replicator.send(KEY, M2, at(0))
    assert replicator.tick(at(0.4)) == []
    resent = replicator.tick(at(0.5))
    assert [effect.member_id for effect in first + resent] == [M2, M2]
    assert isinstance(resent[0].message, AttemptCopy)
    assert replicator.acknowledged(M2, resent[0].message.sequence, at(0.6)) == (KEY,)
    assert replicator.tick(at(5)) == []


def test_acknowledgement_by_another_member_is_ignored() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    replicator.send(KEY, M2, at(0))
    assert replicator.acknowledged(M3, 1, at(0)) == ()
    assert not replicator.is_replicated(KEY)


def test_entries_are_sent_in_batches_one_at_a_time() -> None:
    table = build_table()
    keys = [
        DedupKey(RETAIL, RequestId(str(number)))
        for number in range(MAX_ENTRIES_PER_COPY + 1)
    ]
    for key in keys:
        table.started(key, T1, at(0))
    replicator = build_replicator(table)
    assert len(replicator.send_all(keys, M2, at(0))) == 1
    assert replicator.tick(at(0.1)) == []
    replicator.acknowledged(M2, 1, at(0.1))
    second = replicator.tick(at(0.2))
    assert len(second) == 1
    replicator.acknowledged(M2, 2, at(0.3))
    assert replicator.pending == 0
    assert all(replicator.is_replicated(key) for key in keys)


def test_loss_of_a_replica_returns_its_attempts() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    replicator.mark_replicated(KEY, M2, at(0))
    assert replicator.member_lost(M3) == []
    assert replicator.member_lost(M2) == [KEY]
    assert not replicator.is_replicated(KEY)
