"""Replication of the owner's dedup entries to other members.

Each attempt of a non-idempotent request at an upstream is recorded by the owner and by
at least one other live member. When that member is lost, the entry is copied to another
one. A member that joins gets copies of all entries.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count, islice

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import AttemptCopy
from tamarackmount.kernel.request_dedup import DedupKey, DedupTable
from tamarackmount.kernel.request_effects import RequestTiming, SendToMember, after_ms

MAX_ENTRIES_PER_COPY = 200
"""Maximum number of entries in one message."""


@dataclass(frozen=True, slots=True)
class _Outstanding:
    member_id: MemberId
    keys: tuple[DedupKey, ...]


class DedupReplicator:
    """Unacknowledged copies, and the replica of each attempt."""

    def __init__(
        self, member_id: MemberId, dedup_table: DedupTable, timing: RequestTiming
    ) -> None:
        """Start without replicas; ``member_id`` is the owner's own id."""
        self._member_id = member_id
        self._dedup_table = dedup_table
        self._timing = timing
        self._sequence = count(1)
        self._outstanding_by_sequence: dict[int, _Outstanding] = {}
        self._resend_deadlines = DeadlineHeap[int]()
        self._backlog_by_member: dict[MemberId, deque[DedupKey]] = {}
        self._batch_sequence_by_member: dict[MemberId, int] = {}
        self._replica_by_key: dict[DedupKey, MemberId] = {}
        self._replica_checks = DeadlineHeap[DedupKey]()

    @property
    def pending(self) -> int:
        """Number of entries that are not acknowledged yet."""
        outstanding = self._outstanding_by_sequence.values()
        return sum(len(copy.keys) for copy in outstanding) + sum(
            len(backlog) for backlog in self._backlog_by_member.values()
        )

    def mark_replicated(self, key: DedupKey, member_id: MemberId, now: Instant) -> None:
        """Record that a member has the attempt; ignore the owner itself."""
        if member_id == self._member_id:
            return
        self._replica_by_key[key] = member_id
        self._replica_checks.set(key, after_ms(now, self._timing.attempt_memory_ms))

    def is_replicated(self, key: DedupKey) -> bool:
        """Return whether a member other than the owner has the attempt."""
        return key in self._replica_by_key

    def send(
        self, key: DedupKey, member_id: MemberId, now: Instant
    ) -> list[SendToMember]:
        """Send one attempt to a member immediately."""
        return self._send(next(self._sequence), member_id, (key,), now)

    def send_all(
        self, keys: Iterable[DedupKey], member_id: MemberId, now: Instant
    ) -> list[SendToMember]:
        """Send attempts to a member in batches, one unacknowledged batch at a time."""
        backlog = self._backlog_by_member.setdefault(member_id, deque())
        backlog.extend(keys)
        return self._send_next_batch(member_id, now)

    def acknowledged(
        self, member_id: MemberId, sequence: int, now: Instant
    ) -> tuple[DedupKey, ...]:
        """Handle an acknowledgement; return the attempts that it covers."""
        copy = self._outstanding_by_sequence.get(sequence)
        if copy is None or copy.member_id != member_id:
            return ()
        del self._outstanding_by_sequence[sequence]
        self._resend_deadlines.discard(sequence)
        if self._batch_sequence_by_member.get(member_id) == sequence:
            del self._batch_sequence_by_member[member_id]
        known = tuple(key for key in copy.keys if self._dedup_table.contains(key))
        for key in known:
            self.mark_replicated(key, member_id, now)
        return known

    def member_lost(self, member_id: MemberId) -> list[DedupKey]:
        """Forget a lost member; return the attempts that need another replica."""
        affected = [
            key for key, replica in self._replica_by_key.items() if replica == member_id
        ]
        for key in affected:
            del self._replica_by_key[key]
            self._replica_checks.discard(key)
        affected += self._backlog_by_member.pop(member_id, ())
        self._batch_sequence_by_member.pop(member_id, None)
        for sequence, copy in list(self._outstanding_by_sequence.items()):
            if copy.member_id == member_id:
                del self._outstanding_by_sequence[sequence]
                self._resend_deadlines.discard(sequence)
                affected += copy.keys
        distinct = dict.fromkeys(affected)
        return [key for key in distinct if not self.is_replicated(key)]

    def tick(self, now: Instant) -> list[SendToMember]:
        """Resend unacknowledged copies and send the next batches."""
        effects: list[SendToMember] = []
        for sequence in self._resend_deadlines.pop_due(now):
            effects += self._transmit(sequence, now)
        for member_id in list(self._backlog_by_member):
            effects += self._send_next_batch(member_id, now)
        for key in self._replica_checks.pop_due(now):
            self._check_replica(key, now)
        return effects

    def _check_replica(self, key: DedupKey, now: Instant) -> None:
        if self._dedup_table.contains(key):
            self.mark_replicated(key, self._replica_by_key[key], now)
            return
        del self._replica_by_key[key]

    def _send_next_batch(self, member_id: MemberId, now: Instant) -> list[SendToMember]:
        if member_id in self._batch_sequence_by_member:
            return []
        backlog = self._backlog_by_member[member_id]
        if not backlog:
            del self._backlog_by_member[member_id]
            return []
        keys = tuple(islice(backlog, MAX_ENTRIES_PER_COPY))
        for _ in keys:
            backlog.popleft()
        sequence = next(self._sequence)
        self._batch_sequence_by_member[member_id] = sequence
        return self._send(sequence, member_id, keys, now)

    def _send(
        self,
        sequence: int,
        member_id: MemberId,
        keys: tuple[DedupKey, ...],
        now: Instant,
    ) -> list[SendToMember]:
        self._outstanding_by_sequence[sequence] = _Outstanding(member_id, keys)
        return self._transmit(sequence, now)

    def _transmit(self, sequence: int, now: Instant) -> list[SendToMember]:
        copy = self._outstanding_by_sequence[sequence]
        self._resend_deadlines.set(sequence, after_ms(now, self._timing.resend_ms))
        found = (self._dedup_table.entry(key, now) for key in copy.keys)
        entries = [entry for entry in found if entry is not None]
        return [SendToMember(copy.member_id, AttemptCopy(sequence, entries))]
