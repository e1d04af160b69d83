"""Writing to the log in groups, within a budget, with lost replies settled.

Records wait until an append is due, then go out together. An append whose reply
was lost is settled by reading the log back: its records are looked for by their
ids in everything up to the end that the log had after the loss; only those that
are not there are written again, under the same ids. A record whose reply was lost
once may still arrive late, so it is never given up as not written.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant, RecordId

MAX_GROUP = 200
"""Largest number of records in one append."""

GROUP_DELAY_S = 0.02
"""How long a record waits for others to join its append, in seconds."""

BURST_S = 0.25
"""A member may send the appends of this long at once, at least one, in seconds."""

RETRY_DELAY_S = 0.5
"""How long a failed append waits before the next try, in seconds."""


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record on its way; ``deadline`` is when its writer gives it up."""

    id: RecordId
    text: str
    deadline: Instant


class AppendResult(Enum):
    """What is known of an append call."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class WriteResult(Enum):
    """What became of one record."""

    WRITTEN = "written"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SendAppend:
    """Effect: send these records to the log in one call."""

    records: tuple[PendingRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Effect: read the log up to its present end now."""


@dataclass(frozen=True, slots=True)
class RecordSettled:
    """Effect: a record's fate is known, or was given up at its deadline."""

    id: RecordId
    result: WriteResult


LogWriterEffect = SendAppend | ReadBack | RecordSettled


class _State(Enum):
    IDLE = "idle"
    SENDING = "sending"
    SETTLING = "settling"


class LogWriter:
    """Records of one member on their way to the log, one append at a time."""

    def __init__(self, appends_per_second: float, now: Instant) -> None:
        """Allow ``appends_per_second`` on the long run."""
        self._rate = appends_per_second
        self._burst = max(1.0, appends_per_second * BURST_S)
        self._tokens = self._burst
        self._tokens_at = now
        self._state = _State.IDLE
        self._waiting_by_id: dict[RecordId, PendingRecord] = {}
        self._sent_by_id: dict[RecordId, PendingRecord] = {}
        self._in_doubt: set[RecordId] = set()
        self._due = now

    def write(
        self, records: Iterable[PendingRecord], now: Instant
    ) -> list[LogWriterEffect]:
        """Queue records; the same id again changes nothing."""
        # Only the first record sets the time, lest a steady stream put it off.
        if self._state is _State.IDLE and not self._waiting_by_id:
            self._due = max(self._due, Instant(now + GROUP_DELAY_S))
        for record in records:
            if record.id not in self._sent_by_id:
                self._waiting_by_id.setdefault(record.id, record)
        return []

    def appended(self, result: AppendResult, now: Instant) -> list[LogWriterEffect]:
        """Take in the result of the append that was sent."""
        if self._state is not _State.SENDING:
            return []
        if result is AppendResult.DONE:
            return self._settle_sent()
        if result is AppendResult.NOT_DONE:
            self._return_sent(now)
            return []
        self._state = _State.SETTLING
        self._due = Instant(now + RETRY_DELAY_S)
        self._in_doubt |= set(self._sent_by_id)
        return [ReadBack()]

    def seen(self, ids: Iterable[RecordId]) -> None:
        """Take in the ids of records that were read from the log."""
        for record_id in ids:
            self._forget(record_id)

    def read_back(self, now: Instant) -> list[LogWriterEffect]:
        """Take in that the log was read to the end it had after the loss.

        Records that were not seen on the way go out again.
        """
        if self._state is not _State.SETTLING:
            return []
        self._return_sent(now)
        return []

    def tick(self, now: Instant) -> list[LogWriterEffect]:
        """Give up records past their deadlines; send a group when one is due."""
        effects = self._expire(now)
        if self._state is _State.SETTLING and now >= self._due:
            self._due = Instant(now + RETRY_DELAY_S)
            effects.append(ReadBack())
        self._refill(now)
        if self._can_send(now):
            effects.append(self._send())
        return effects

    def _can_send(self, now: Instant) -> bool:
        return (
            self._state is _State.IDLE
            and bool(self._waiting_by_id)
            and now >= self._due
            and self._tokens >= 1.0
        )

    def _send(self) -> SendAppend:
        group = list(self._waiting_by_id.values())[:MAX_GROUP]
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

    def _return_sent(self, now: Instant) -> None:
        self._waiting_by_id = {**self._sent_by_id, **self._waiting_by_id}
        self._sent_by_id.clear()
        self._state = _State.IDLE
        self._due = Instant(now + RETRY_DELAY_S)

    def _expire(self, now: Instant) -> list[LogWriterEffect]:
        effects: list[LogWriterEffect] = []
        late = [rec for rec in self._waiting_by_id.values() if now >= rec.deadline]
        if self._state is _State.SETTLING:
            late += [rec for rec in self._sent_by_id.values() if now >= rec.deadline]
        for record in late:
            doubtful = record.id in self._in_doubt
            result = WriteResult.UNKNOWN if doubtful else WriteResult.NOT_WRITTEN
            effects.append(RecordSettled(record.id, result))
            self._forget(record.id)
        return effects

    def _forget(self, record_id: RecordId) -> None:
        self._waiting_by_id.pop(record_id, None)
        self._sent_by_id.pop(record_id, None)
        self._in_doubt.discard(record_id)

    def _refill(self, now: Instant) -> None:
        earned = (now - self._tokens_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._tokens_at = now
