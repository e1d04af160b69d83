"""Copies of non-idempotent attempts that the owner keeps on other members.

Every attempt is remembered by the owner and one more live member. When that member
is lost, another one gets a copy; a member that joins gets copies of everything.
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
"""Most entries in one message."""


@dataclass(frozen=True, slots=True)
class _Outstanding:
    member_id: MemberId
    keys: tuple[DedupKey, ...]


class DedupReplicator:
    """Copies under way and the second holder of each attempt."""

    def __init__(
        self, member_id: MemberId, attempts: DedupTable, timing: RequestTiming
    ) -> None:
        """Start without copies; ``member_id`` is the owner itself."""
        self._member_id = member_id
        self._attempts = attempts
        self._timing = timing
        self._sequence = count(1)
        self._outstanding_by_sequence: dict[int, _Outstanding] = {}
        self._resends = DeadlineHeap[int]()
        self._backlog_by_member: dict[MemberId, deque[DedupKey]] = {}
        self._bulk_by_member: dict[MemberId, int] = {}
        self._holder_by_key: dict[DedupKey, MemberId] = {}
        self._holder_checks = DeadlineHeap[DedupKey]()

    @property
    def pending(self) -> int:
        """Number of entries that were not confirmed yet."""
        under_way = self._outstanding_by_sequence.values()
        return sum(len(copy.keys) for copy in under_way) + sum(
            len(backlog) for backlog in self._backlog_by_member.values()
        )

    def mark_replicated(self, key: DedupKey, member_id: MemberId, now: Instant) -> None:
        """Note that a member other than the owner remembers the attempt."""
        if member_id == self._member_id:
            return
        self._holder_by_key[key] = member_id
        self._holder_checks.set(key, after_ms(now, self._timing.attempt_memory_ms))

    def is_replicated(self, key: DedupKey) -> bool:
        """Tell whether another member remembers the attempt."""
        return key in self._holder_by_key

    def send(
        self, key: DedupKey, member_id: MemberId, now: Instant
    ) -> list[SendToMember]:
        """Copy one attempt to a member at once."""
        return self._send(next(self._sequence), member_id, (key,), now)

    def send_all(
        self, keys: Iterable[DedupKey], member_id: MemberId, now: Instant
    ) -> list[SendToMember]:
        """Copy attempts to a member, one message at a time."""
        backlog = self._backlog_by_member.setdefault(member_id, deque())
        backlog.extend(keys)
        return self._send_bulk(member_id, now)

    def acknowledged(
        self, member_id: MemberId, sequence: int, now: Instant
    ) -> tuple[DedupKey, ...]:
        """Note a confirmation; return the attempts that it confirms."""
        copy = self._outstanding_by_sequence.get(sequence)
        if copy is None or copy.member_id != member_id:
            return ()
        del self._outstanding_by_sequence[sequence]
        self._resends.discard(sequence)
        if self._bulk_by_member.get(member_id) == sequence:
            del self._bulk_by_member[member_id]
        known = tuple(key for key in copy.keys if self._attempts.contains(key))
        for key in known:
            self.mark_replicated(key, member_id, now)
        return known

    def lost(self, member_id: MemberId) -> list[DedupKey]:
        """Drop a lost member; return the attempts that need another holder."""
        orphans = [
            key for key, holder in self._holder_by_key.items() if holder == member_id
        ]
        for key in orphans:
            del self._holder_by_key[key]
            self._holder_checks.discard(key)
        orphans += self._backlog_by_member.pop(member_id, ())
        self._bulk_by_member.pop(member_id, None)
        for sequence, copy in list(self._outstanding_by_sequence.items()):
            if copy.member_id == member_id:
                del self._outstanding_by_sequence[sequence]
                self._resends.discard(sequence)
                orphans += copy.keys
        unheld = dict.fromkeys(orphans)
        return [key for key in unheld if not self.is_replicated(key)]

    def tick(self, now: Instant) -> list[SendToMember]:
        """Repeat unconfirmed copies and go on with the rest."""
        effects: list[SendToMember] = []
        for sequence in self._resends.pop_due(now):
            effects += self._repeat(sequence, now)
        for member_id in list(self._backlog_by_member):
            effects += self._send_bulk(member_id, now)
        for key in self._holder_checks.pop_due(now):
            self._check_holder(key, now)
        return effects

    def _check_holder(self, key: DedupKey, now: Instant) -> None:
        if self._attempts.contains(key):
            self.mark_replicated(key, self._holder_by_key[key], now)
            return
        del self._holder_by_key[key]

    def _send_bulk(self, member_id: MemberId, now: Instant) -> list[SendToMember]:
        if member_id in self._bulk_by_member:
            return []
        backlog = self._backlog_by_member[member_id]
        if not backlog:
            del self._backlog_by_member[member_id]
            return []
        keys = tuple(islice(backlog, MAX_ENTRIES_PER_COPY))
        for _ in keys:
            backlog.popleft()
        sequence = next(self._sequence)
        self._bulk_by_member[member_id] = sequence
        return self._send(sequence, member_id, keys, now)

    def _send(
        self,
        sequence: int,
        member_id: MemberId,
        keys: tuple[DedupKey, ...],
        now: Instant,
    ) -> list[SendToMember]:
        self._outstanding_by_sequence[sequence] = _Outstanding(member_id, keys)
        return self._repeat(sequence, now)

    def _repeat(self, sequence: int, now: Instant) -> list[SendToMember]:
        copy = self._outstanding_by_sequence[sequence]
        self._resends.set(sequence, after_ms(now, self._timing.resend_ms))
        found = (self._attempts.entry(key, now) for key in copy.keys)
        entries = [entry for entry in found if entry is not None]
        return [SendToMember(copy.member_id, AttemptCopy(sequence, entries))]
