"""Attempts are remembered for their time, and forgotten when nothing was sent."""

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


def test_attempt_is_remembered_for_its_time_after_the_last_change() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.ended(KEY, AttemptState.ANSWERED, at(5))
    table.tick(at(14.9))
    assert table.contains(KEY)
    table.tick(at(15))
    assert not table.contains(KEY)


def test_attempt_that_was_not_sent_is_forgotten() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.not_sent(KEY, T1)
    assert not table.contains(KEY)


def test_another_tickets_attempt_is_kept() -> None:
    table = build_table()
    table.started(KEY, T2, at(0))
    table.not_sent(KEY, T1)
    assert table.contains(KEY)


def test_end_of_a_forgotten_attempt_changes_nothing() -> None:
    table = build_table()
    table.ended(KEY, AttemptState.ANSWERED, at(0))
    assert not table.contains(KEY)


def test_copy_is_kept_as_long_as_the_sender_says() -> None:
    table = build_table()
    entry = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 3_000)
    table.merge([entry], at(1))
    assert table.entries(at(2)) == [
        AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 2_000)
    ]
    table.tick(at(4))
    assert not table.contains(KEY)


def test_copy_never_shortens_or_undoes_what_is_known() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    table.ended(KEY, AttemptState.ANSWERED, at(0))
    late = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 10)
    table.merge([late], at(1))
    entry = table.entry(KEY, at(1))
    assert entry is not None
    assert entry.state is AttemptState.ANSWERED
    assert entry.keep_ms == 9_000


def test_copy_is_sent_again_until_it_is_confirmed() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    first = replicator.send(KEY, M2, at(0))
    assert replicator.tick(at(0.4)) == []
    again = replicator.tick(at(0.5))
    assert [effect.member_id for effect in first + again] == [M2, M2]
    assert isinstance(again[0].message, AttemptCopy)
    assert replicator.acknowledged(M2, again[0].message.sequence, at(0.6)) == (KEY,)
    assert replicator.tick(at(5)) == []


def test_confirmation_by_another_member_counts_for_nothing() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    replicator.send(KEY, M2, at(0))
    assert replicator.acknowledged(M3, 1, at(0)) == ()
    assert not replicator.is_replicated(KEY)


def test_many_entries_go_out_one_message_at_a_time() -> None:
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


def test_lost_holder_leaves_its_attempts_to_be_copied_elsewhere() -> None:
    table = build_table()
    table.started(KEY, T1, at(0))
    replicator = build_replicator(table)
    replicator.mark_replicated(KEY, M2, at(0))
    assert replicator.lost(M3) == []
    assert replicator.lost(M2) == [KEY]
    assert not replicator.is_replicated(KEY)
