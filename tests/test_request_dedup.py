"""Attempts are remembered for their time, and forgotten when nothing was sent."""

from tamarackmount.ids import RequestId, TicketId
from tamarackmount.kernel.dedup_replicator import MAX_ENTRIES_PER_COPY, DedupReplicator
from tamarackmount.kernel.messages import AttemptCopy, AttemptEntry, AttemptState
from tamarackmount.kernel.request_dedup import DedupKey, DedupTable
from tests.utils.build_requests import M1, M2, M3, RETAIL, TIMING, at

KEY = DedupKey(RETAIL, RequestId("r1"))
T1 = TicketId("t1")
T2 = TicketId("t2")


def build_memory(memory_ms: int = 10_000) -> DedupTable:
    return DedupTable(memory_ms)


def build_copies(memory: DedupTable) -> DedupReplicator:
    return DedupReplicator(M1, memory, TIMING)


def test_attempt_is_remembered_for_its_time_after_the_last_change() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    memory.ended(KEY, AttemptState.ANSWERED, at(5))
    memory.tick(at(14.9))
    assert memory.contains(KEY)
    memory.tick(at(15))
    assert not memory.contains(KEY)


def test_attempt_that_was_not_sent_is_forgotten() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    memory.not_sent(KEY, T1)
    assert not memory.contains(KEY)


def test_another_tickets_attempt_is_kept() -> None:
    memory = build_memory()
    memory.started(KEY, T2, at(0))
    memory.not_sent(KEY, T1)
    assert memory.contains(KEY)


def test_end_of_a_forgotten_attempt_changes_nothing() -> None:
    memory = build_memory()
    memory.ended(KEY, AttemptState.ANSWERED, at(0))
    assert not memory.contains(KEY)


def test_copy_is_kept_as_long_as_the_sender_says() -> None:
    memory = build_memory()
    entry = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 3_000)
    memory.merge([entry], at(1))
    assert memory.entries(at(2)) == [
        AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 2_000)
    ]
    memory.tick(at(4))
    assert not memory.contains(KEY)


def test_copy_never_shortens_or_undoes_what_is_known() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    memory.ended(KEY, AttemptState.ANSWERED, at(0))
    late = AttemptEntry(RETAIL, KEY.request_id, AttemptState.STARTED, 10)
    memory.merge([late], at(1))
    entry = memory.entry(KEY, at(1))
    assert entry is not None
    assert entry.state is AttemptState.ANSWERED
    assert entry.keep_ms == 9_000


def test_copy_is_sent_again_until_it_is_confirmed() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    copies = build_copies(memory)
    first = copies.send(KEY, M2, at(0))
    assert copies.tick(at(0.4)) == []
    again = copies.tick(at(0.5))
    assert [effect.member_id for effect in first + again] == [M2, M2]
    assert isinstance(again[0].message, AttemptCopy)
    assert copies.acknowledged(M2, again[0].message.sequence, at(0.6)) == (KEY,)
    assert copies.tick(at(5)) == []


def test_confirmation_by_another_member_counts_for_nothing() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    copies = build_copies(memory)
    copies.send(KEY, M2, at(0))
    assert copies.acknowledged(M3, 1, at(0)) == ()
    assert not copies.is_replicated(KEY)


def test_many_entries_go_out_one_message_at_a_time() -> None:
    memory = build_memory()
    keys = [
        DedupKey(RETAIL, RequestId(str(number)))
        for number in range(MAX_ENTRIES_PER_COPY + 1)
    ]
    for key in keys:
        memory.started(key, T1, at(0))
    copies = build_copies(memory)
    assert len(copies.send_all(keys, M2, at(0))) == 1
    assert copies.tick(at(0.1)) == []
    copies.acknowledged(M2, 1, at(0.1))
    second = copies.tick(at(0.2))
    assert len(second) == 1
    copies.acknowledged(M2, 2, at(0.3))
    assert copies.pending == 0
    assert all(copies.is_replicated(key) for key in keys)


def test_lost_holder_leaves_its_attempts_to_be_copied_elsewhere() -> None:
    memory = build_memory()
    memory.started(KEY, T1, at(0))
    copies = build_copies(memory)
    copies.mark_replicated(KEY, M2, at(0))
    assert copies.lost(M3) == []
    assert copies.lost(M2) == [KEY]
    assert not copies.is_replicated(KEY)
