"""Batched, rate-limited writing to the log that resolves lost replies.

Records wait until an append is due and are then sent in one group. After an append
whose reply was lost, the log is read up to the end that it has after the loss: records
whose ids are found there count as written, the others are sent again under the same
ids. A record whose reply was lost may still reach the log later, so it is never
reported as not written.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant, RecordId

MAX_GROUP_RECORDS = 200
"""Most records in one append."""

GROUP_DELAY_S = 0.02
"""Time that a record waits for others to join its append, in seconds."""

BURST_S = 0.25
"""Period whose permitted appends may be sent in one burst, in seconds.

A burst always includes at least one append.
"""

RETRY_DELAY_S = 0.5
"""Time between a failed append and the next attempt, in seconds."""


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record to write; at ``deadline`` its writer stops waiting for it."""

    id: RecordId
    text: str
    deadline: Instant


class AppendResult(Enum):
    """Result of an append call, as far as known."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class WriteResult(Enum):
    """Outcome of writing one record."""

    WRITTEN = "written"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SendAppend:
    """Effect: send these records to the log in one call."""

    records: tuple[PendingRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Effect: read the log up to its current end."""


@dataclass(frozen=True, slots=True)
class RecordSettled:
    """Effect: the outcome of a record is known or its deadline has passed."""

    id: RecordId
    result: WriteResult


LogWriterEffect = SendAppend | ReadBack | RecordSettled


class _State(Enum):
    """State of the current append; ``SETTLING`` reads the log after a lost reply."""

    IDLE = "idle"
    SENDING = "sending"
    SETTLING = "settling"


class LogWriter:
    """Writes the records of one member to the log, one append at a time."""

    def __init__(self, appends_per_second: float, now: Instant) -> None:
        """Start with no records; ``appends_per_second`` limits the average rate."""
        self._rate = appends_per_second
        self._burst = max(1.0, appends_per_second * BURST_S)
        self._tokens = self._burst
        self._tokens_at = now
        self._state = _State.IDLE
        self._waiting_by_id: dict[RecordId, PendingRecord] = {}
        self._sent_by_id: dict[RecordId, PendingRecord] = {}
        self._in_doubt: set[RecordId] = set()
        self._due_at = now

    def write(
        self, records: Iterable[PendingRecord], now: Instant
    ) -> list[LogWriterEffect]:
        """Queue records; a record whose id is queued or sent already is ignored."""
        # Only the first record sets the time, or a steady stream of records would
        # delay the append forever.
        if self._state is _State.IDLE and not self._waiting_by_id:
            self._due_at = max(self._due_at, Instant(now + GROUP_DELAY_S))
        for record in records:
            if record.id not in self._sent_by_id:
                self._waiting_by_id.setdefault(record.id, record)
        return []

    def appended(self, result: AppendResult, now: Instant) -> list[LogWriterEffect]:
        """Handle the result of the append that was sent."""
        if self._state is not _State.SENDING:
            return []
        if result is AppendResult.DONE:
            return self._settle_sent()
        if result is AppendResult.NOT_DONE:
            self._requeue_sent(now)
            return []
        self._state = _State.SETTLING
        self._due_at = Instant(now + RETRY_DELAY_S)
        self._in_doubt |= set(self._sent_by_id)
        return [ReadBack()]

    def seen(self, ids: Iterable[RecordId]) -> None:
        """Stop tracking the records with these ids, which were read from the log."""
        for record_id in ids:
            self._forget(record_id)

    def read_back(self, now: Instant) -> list[LogWriterEffect]:
        """Handle that the log was read to the end that it had after a lost reply.

        Records that were not found there are queued again.
        """
        if self._state is not _State.SETTLING:
            return []
        self._requeue_sent(now)
        return []

    def tick(self, now: Instant) -> list[LogWriterEffect]:
        """Report records past their deadlines; send a group if one is due."""
        effects = self._expire(now)
        if self._state is _State.SETTLING and now >= self._due_at:
            self._due_at = Instant(now + RETRY_DELAY_S)
            effects.append(ReadBack())
        self._refill(now)
        if self._can_send(now):
            effects.append(self._send())
        return effects

    def _can_send(self, now: Instant) -> bool:
        return (
            self._state is _State.IDLE
            and bool(self._waiting_by_id)
            and now >= self._due_at
            and self._tokens >= 1.0
        )

    def _send(self) -> SendAppend:
        group = list(self._waiting_by_id.values())[:MAX_GROUP_RECORDS]
        for record in group:
            del self._waiting_by_id[record.id]
            self._sent_by_id[record.id] = record
        self._state = _State.SENDING
        self._tokens -= 1.0
        return SendAppend(tuple(group))

    def _settle_sent(self) -> list[LogWriterEffect]:
        effects: list[LogWriterEffect] = [
            RecordSettled(record_id, WriteResult.WRITTEN)
            for record_id in self._sent_by_id
        ]
        self._sent_by_id.clear()
        self._state = _State.IDLE
        return effects

    def _requeue_sent(self, now: Instant) -> None:
        self._waiting_by_id = {**self._sent_by_id, **self._waiting_by_id}
        self._sent_by_id.clear()
        self._state = _State.IDLE
        self._due_at = Instant(now + RETRY_DELAY_S)

    def _expire(self, now: Instant) -> list[LogWriterEffect]:
        effects: list[LogWriterEffect] = []
        overdue = [rec for rec in self._waiting_by_id.values() if now >= rec.deadline]
        if self._state is _State.SETTLING:
            overdue += [rec for rec in self._sent_by_id.values() if now >= rec.deadline]
        for record in overdue:
            is_in_doubt = record.id in self._in_doubt
            result = WriteResult.UNKNOWN if is_in_doubt else WriteResult.NOT_WRITTEN
            effects.append(RecordSettled(record.id, result))
            self._forget(record.id)
        return effects

    def _forget(self, record_id: RecordId) -> None:
        self._waiting_by_id.pop(record_id, None)
        self._sent_by_id.pop(record_id, None)
        self._in_doubt.discard(record_id)

    def _refill(self, now: Instant) -> None:
        refilled = (now - self._tokens_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refilled)
        self._tokens_at = now
