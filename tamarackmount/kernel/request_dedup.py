"""Deduplication of non-idempotent requests by team and request id.

A member records an attempt at an upstream before its first byte is sent and keeps the
entry until ``attempt_memory_ms`` after its last change, so that a repeat of the request
id is recognised. Entries copied from another member are never removed early: if the
attempt did not run after all, a later owner answers "outcome unknown" instead of
"not run", which is less precise but still correct.
"""

from dataclasses import dataclass

from tamarackmount.ids import Instant, RequestId, TicketId, WorkspaceId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import AttemptEntry, AttemptResult, AttemptState
from tamarackmount.kernel.request_effects import after_ms, remaining_ms

STATE_BY_RESULT = {
    AttemptResult.ANSWERED: AttemptState.ANSWERED,
    AttemptResult.FAILED_AFTER_SEND: AttemptState.STARTED,
}
"""State to record for a non-idempotent attempt that was sent, by its result."""


@dataclass(frozen=True, slots=True)
class DedupKey:
    """Key that identifies a non-idempotent request and its repeats."""

    team_id: WorkspaceId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class _Attempt:
    state: AttemptState
    ticket_id: TicketId | None
    keep_until: Instant


class DedupTable:
    """Non-idempotent attempts that one member has recorded."""

    def __init__(self, retention_ms: int) -> None:
        """Create an empty table that keeps entries for ``retention_ms``."""
        self._retention_ms = retention_ms
        self._attempts_by_key: dict[DedupKey, _Attempt] = {}
        self._expiry = DeadlineHeap[DedupKey]()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._attempts_by_key)

    def contains(self, key: DedupKey) -> bool:
        """Return whether an attempt of the request is recorded.

        If so, the request may have reached an upstream.
        """
        return key in self._attempts_by_key

    def started(self, key: DedupKey, ticket_id: TicketId, now: Instant) -> None:
        """Record that an attempt starts with the ticket."""
        self._put(
            key, AttemptState.STARTED, ticket_id, after_ms(now, self._retention_ms)
        )

    def ended(self, key: DedupKey, state: AttemptState, now: Instant) -> None:
        """Set the state of a recorded attempt; ignore a key that is not recorded."""
        attempt = self._attempts_by_key.get(key)
        if attempt is None:
            return
        self._put(key, state, attempt.ticket_id, after_ms(now, self._retention_ms))

    def not_sent(self, key: DedupKey, ticket_id: TicketId) -> None:
        """Remove the attempt of the ticket, because none of its bytes were sent."""
        attempt = self._attempts_by_key.get(key)
        if attempt is None or attempt.ticket_id != ticket_id:
            return
        del self._attempts_by_key[key]
        self._expiry.discard(key)

    def merge(self, entries: list[AttemptEntry], now: Instant) -> None:
        """Merge entries of another member, keeping the later expiry of each."""
        for entry in entries:
            key = DedupKey(entry.team_id, entry.request_id)
            self._merge_entry(key, entry.state, after_ms(now, entry.keep_ms))

    def all_keys(self) -> list[DedupKey]:
        """Return every recorded key."""
        return list(self._attempts_by_key)

    def entry(self, key: DedupKey, now: Instant) -> AttemptEntry | None:
        """Return the entry of a key as it is sent to other members."""
        attempt = self._attempts_by_key.get(key)
        if attempt is None:
            return None
        return AttemptEntry(
            key.team_id,
            key.request_id,
            attempt.state,
            remaining_ms(attempt.keep_until, now),
        )

    def entries(self, now: Instant) -> list[AttemptEntry]:
        """Return every entry as it is sent to other members."""
        entries = (self.entry(key, now) for key in self._attempts_by_key)
        return [entry for entry in entries if entry is not None]

    def tick(self, now: Instant) -> None:
        """Remove expired entries."""
        for key in self._expiry.pop_due(now):
            del self._attempts_by_key[key]

    def _merge_entry(
        self, key: DedupKey, state: AttemptState, keep_until: Instant
    ) -> None:
        known = self._attempts_by_key.get(key)
        if known is None:
            self._put(key, state, None, keep_until)
            return
        if known.state is AttemptState.ANSWERED:
            state = AttemptState.ANSWERED
        self._put(key, state, known.ticket_id, max(known.keep_until, keep_until))

    def _put(
        self,
        key: DedupKey,
        state: AttemptState,
        ticket_id: TicketId | None,
        keep_until: Instant,
    ) -> None:
        self._attempts_by_key[key] = _Attempt(state, ticket_id, keep_until)
        self._expiry.set(key, keep_until)
