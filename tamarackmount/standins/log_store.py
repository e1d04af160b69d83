"""Logic of the stand-in for the platform's log service, without I/O."""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import Field
from returns.result import Failure, Result, Success

from tamarackmount.adapters.log_schema import (
    AppendReply,
    AppendRequest,
    RecordPage,
    StoredRecord,
)
from tamarackmount.ids import Instant, Offset
from tamarackmount.standins.control import BreachLog, FaultBody

FIRST_OFFSET = Offset(1)
"""Offset of the first record; 0 is never the offset of a record."""

APPEND_WINDOW_S = 1.0
"""Length of the sliding window of the append rate limit, in seconds."""


class LogMode(Enum):
    """How the service responds to calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"


class LogFaults(FaultBody):
    """Faults of the log service.

    In mode ``slow``, a call takes effect at once and its reply is delayed by
    ``delay_ms``. The next ``lose_replies`` appends take effect without a reply.
    """

    mode: LogMode = LogMode.UP
    delay_ms: int = Field(default=0, ge=0, le=600_000)
    lose_replies: int = Field(default=0, ge=0)


class LogRefusal(Enum):
    """Why a call was rejected without effect."""

    DOWN = "down"
    TOO_MANY_APPENDS = "too_many_appends"


@dataclass(frozen=True, slots=True)
class Appended:
    """An append that took effect, and whether its reply must not be sent."""

    reply: AppendReply
    reply_lost: bool


class LogStore:
    """An append-only log with retention by record count and a limit on appends."""

    def __init__(self, keep: int, max_appends_per_second: int) -> None:
        """Create an empty log that retains the last ``keep`` records."""
        # Stays empty: there are no rules to check, but `Controlled` requires it.
        self.breach_log = BreachLog()
        self.faults = LogFaults()
        self._max_appends_per_second = max_appends_per_second
        self._records: deque[StoredRecord] = deque(maxlen=keep)
        self._next_offset = FIRST_OFFSET
        self._recent_appends: deque[Instant] = deque()
        self._appends = 0
        self._appends_refused = 0
        self._replies_lost = 0

    @property
    def reply_delay_s(self) -> float:
        """Delay of each reply, in seconds."""
        if self.faults.mode is LogMode.SLOW:
            return self.faults.delay_ms / 1_000
        return 0.0

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""
        self.faults = LogFaults.model_validate_json(body)

    def append(
        self, now: Instant, request: AppendRequest
    ) -> Result[Appended, LogRefusal]:
        """Append the records as one group, or reject all of them."""
        refusal = self._refusal(now)
        if refusal is not None:
            self._appends_refused += 1
            return Failure(refusal)
        first_offset = self._next_offset
        for record in request.records:
            stored = StoredRecord(
                offset=self._next_offset, id=record.id, body=record.body
            )
            self._records.append(stored)
            self._next_offset = Offset(self._next_offset + 1)
        self._appends += 1
        self._recent_appends.append(now)
        reply = AppendReply(first_offset=first_offset)
        return Success(Appended(reply, self._consume_lost_reply()))

    def read(self, from_offset: Offset, limit: int) -> Result[RecordPage, LogRefusal]:
        """Return up to ``limit`` retained records, starting at ``from_offset``."""
        if self.faults.mode is LogMode.DOWN:
            return Failure(LogRefusal.DOWN)
        first_kept = Offset(self._next_offset - len(self._records))
        skipped = max(0, from_offset - first_kept)
        end = min(len(self._records), skipped + limit)
        page = RecordPage(
            first_offset=first_kept,
            next_offset=self._next_offset,
            records=[self._records[index] for index in range(skipped, end)],
        )
        return Success(page)

    def state(self) -> dict[str, Any]:
        """Return counters, the next offset and the current faults."""
        return {
            "appends": self._appends,
            "appends_refused": self._appends_refused,
            "records": self._next_offset - FIRST_OFFSET,
            "records_kept": len(self._records),
            "replies_lost": self._replies_lost,
            "next_offset": self._next_offset,
            "faults": self.faults.model_dump(mode="json"),
        }

    def _refusal(self, now: Instant) -> LogRefusal | None:
        if self.faults.mode is LogMode.DOWN:
            return LogRefusal.DOWN
        recent = self._recent_appends
        while recent and recent[0] <= now - APPEND_WINDOW_S:
            recent.popleft()
        if len(recent) >= self._max_appends_per_second:
            return LogRefusal.TOO_MANY_APPENDS
        return None

    def _consume_lost_reply(self) -> bool:
        if self.faults.lose_replies == 0:
            return False
        remaining = self.faults.lose_replies - 1
        self.faults = self.faults.model_copy(update={"lose_replies": remaining})
        self._replies_lost += 1
        return True
