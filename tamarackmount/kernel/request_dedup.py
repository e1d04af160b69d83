"""Memory of non-idempotent attempts.

A member remembers an attempt from before its first byte goes out until
``attempt_memory_ms`` after its last change, so that a repeat of the request id is
recognised. Copies of another member's entries are taken in, never removed early:
a copy of an attempt that turns out not to have run makes a later owner answer
"outcome unknown" where "not run" would do, which is still true.
"""

from dataclasses import dataclass

from tamarackmount.ids import Instant, RequestId, TeamId, TicketId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import AttemptEntry, AttemptResult, AttemptState
from tamarackmount.kernel.request_effects import after_ms, remaining_ms

STATE_BY_RESULT = {
    AttemptResult.ANSWERED: AttemptState.ANSWERED,
    AttemptResult.FAILED_AFTER_SEND: AttemptState.STARTED,
}
"""What is remembered of a non-idempotent attempt once its bytes were sent."""


@dataclass(frozen=True, slots=True)
class DedupKey:
    """What a non-idempotent request is recognised by."""

    team_id: TeamId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class _Attempt:
    state: AttemptState
    ticket_id: TicketId | None
    keep_until: Instant


class DedupTable:
    """Attempts that one member remembers, by team and request id."""

    def __init__(self, memory_ms: int) -> None:
        """Create an empty memory that keeps entries for ``memory_ms``."""
        self._memory_ms = memory_ms
        self._attempts_by_key: dict[DedupKey, _Attempt] = {}
        self._expiry = DeadlineHeap[DedupKey]()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._attempts_by_key)

    def contains(self, key: DedupKey) -> bool:
        """Tell whether the request may have reached an upstream."""
        return key in self._attempts_by_key

    def started(self, key: DedupKey, ticket_id: TicketId, now: Instant) -> None:
        """Remember that the ticket lets the request through."""
        self._put(key, AttemptState.STARTED, ticket_id, after_ms(now, self._memory_ms))

    def ended(self, key: DedupKey, state: AttemptState, now: Instant) -> None:
        """Note a change of a remembered attempt; others are left unknown."""
        attempt = self._attempts_by_key.get(key)
        if attempt is None:
            return
        self._put(key, state, attempt.ticket_id, after_ms(now, self._memory_ms))

    def not_sent(self, key: DedupKey, ticket_id: TicketId) -> None:
        """Forget the ticket's attempt, as no byte of it was sent."""
        attempt = self._attempts_by_key.get(key)
        if attempt is None or attempt.ticket_id != ticket_id:
            return
        del self._attempts_by_key[key]
        self._expiry.discard(key)

    def merge(self, entries: list[AttemptEntry], now: Instant) -> None:
        """Remember another member's entries as long as either member would."""
        for entry in entries:
            key = DedupKey(entry.team_id, entry.request_id)
            self._take_copy(key, entry.state, after_ms(now, entry.keep_ms))

    def all_keys(self) -> list[DedupKey]:
        """Return every remembered key."""
        return list(self._attempts_by_key)

    def entry(self, key: DedupKey, now: Instant) -> AttemptEntry | None:
        """Return the entry of a key as it is told to other members."""
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
        """Return every entry as it is told to other members."""
        found = (self.entry(key, now) for key in self._attempts_by_key)
        return [entry for entry in found if entry is not None]

    def tick(self, now: Instant) -> None:
        """Forget entries that are past their time."""
        for key in self._expiry.pop_due(now):
            del self._attempts_by_key[key]

    def _take_copy(
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
