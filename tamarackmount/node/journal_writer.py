"""Writes the holder's records and callers' submissions, one append at a time."""

import logging
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.fenced_log import FencedLog, is_outcome_unknown
from tamarackmount.node.store_contact import MAX_SILENCE_S
from tamarackmount.node.submissions import (
    STALLED_APPEND_S,
    StoreOutcome,
)
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import (
    Appended,
    KeyedRecord,
    StoreError,
    encoded_bytes,
    record_bytes,
)
from tamarackmount.scheduling.contact.store_batches import Batch

_log = logging.getLogger(__name__)

BATCH_DELAY_S = 0.004
"""Delay in which records are collected before the next append, in seconds: as long as
one append takes."""

MAX_SUBMISSIONS = 200
"""Maximum number of callers' records in one append; a slow store takes longer for a
larger one."""

STALL_CHECK_INTERVAL_S = 0.1
"""Interval between two checks of an append that has no answer, in seconds."""


@dataclass(frozen=True, slots=True)
class WriterCallbacks:
    """Callbacks of the writer.

    ``take_batch`` returns the next batch, or ``None``. ``on_stored`` is called with
    each stored batch. ``on_fenced`` is called with a reason once the store rejects this
    holder's appends for good because another holder writes.
    ``store_silence_s`` returns the time since the store last answered any call of this
    node, in seconds. ``on_too_long`` is called with the kind of each record that is
    left out, as it is longer than the store takes.
    """

    take_batch: Callable[[], Batch | None]
    on_stored: Callable[[Batch], None]
    on_fenced: Callable[[str], None]
    store_silence_s: Callable[[], float]
    on_too_long: Callable[[str], None] = lambda kind: None


@dataclass(frozen=True, slots=True)
class _Submission:
    record: KeyedRecord
    result: "Deferred[StoreOutcome]"


class JournalWriter:
    """Writes to the jobs topic while this node is the holder."""

    def __init__(
        self, reactor: Any, log: FencedLog, callbacks: WriterCallbacks
    ) -> None:
        """Write to ``log``."""
        self._reactor = reactor
        self._log = log
        self._callbacks = callbacks
        self._is_writing = False
        self._is_stopped = False
        self._append_count = 0
        self._append_sent_at: Instant | None = None
        self._stall_timer: Any = None
        self._submissions: deque[_Submission] = deque()

    def start_writing(self) -> None:
        """Write pending records, unless an append is in progress."""
        if not self._is_writing and not self._is_stopped:
            self._is_writing = True
            spawn(self._write())

    def add(self, record: KeyedRecord) -> "Deferred[StoreOutcome]":
        """Store a caller's record; reject it at once while the store is unavailable."""
        result: Deferred[StoreOutcome] = Deferred()
        if self._is_stopped or self._is_store_away():
            result.callback(StoreOutcome.NOT_STORED)
            return result
        self._submissions.append(_Submission(record, result))
        self.start_writing()
        return result

    def _is_store_away(self) -> bool:
        sent_at = self._append_sent_at
        is_stalled = (
            sent_at is not None
            and self._reactor.seconds() >= sent_at + STALLED_APPEND_S
            and self._callbacks.store_silence_s() > MAX_SILENCE_S
        )
        return is_stalled or not self._log.is_store_available

    def _reject_if_stalled(self) -> None:
        """Reject what waits behind an append while the store answers nothing at all.

        A store that is only slow answers other calls meanwhile.
        """
        if self._append_sent_at is None:
            return
        if self._is_store_away():
            # What is not part of the append was certainly not stored.
            self._reject_submissions()
        self._stall_timer = self._reactor.callLater(
            STALL_CHECK_INTERVAL_S, self._reject_if_stalled
        )

    async def flush(self) -> None:
        """Write all pending records; return once they are stored or writing stops."""
        self.start_writing()
        # The append in progress may lack the newest records; the next one has them.
        await self._wait_for_appends(2)

    async def wait_for_append(self) -> None:
        """Return once the append in progress, if any, is stored."""
        await self._wait_for_appends(1)

    async def _wait_for_appends(self, count: int) -> None:
        target_count = self._append_count + count
        while self._is_writing and self._append_count < target_count:
            if self._is_stopped:
                return
            await self._sleep(BATCH_DELAY_S)

    def stop(self) -> None:
        """Stop writing and reject all waiting submissions."""
        self._is_stopped = True
        self._reject_submissions()

    async def _write(self) -> None:
        while not self._is_stopped:
            batch = self._callbacks.take_batch()
            if batch is None and not self._submissions:
                break
            records = [] if batch is None else list(batch.records)
            rows = self._storable_rows(records)
            if not await self._append_in_parts(rows):
                break
            self._append_count += 1
            if batch is not None:
                self._callbacks.on_stored(batch)
            await self._sleep(BATCH_DELAY_S)
        self._is_writing = False
        if self._is_stopped:
            self._reject_submissions()

    def _storable_rows(self, records: Sequence[tuple[str, bytes]]) -> list[KeyedRecord]:
        """Return the rows of a batch, but for those that the store would refuse.

        It would refuse the whole append each time, and nothing would be stored any
        more. The scheduler keeps records within the limit; one that is longer comes
        from an earlier version.
        """
        limit = self._log.max_record_bytes
        rows = []
        for key, value in records:
            row = KeyedRecord(key, value)
            size = record_bytes(row)
            if size <= limit:
                rows.append(row)
                continue
            extra = {"key": key, "bytes": size, "limit": limit}
            _log.error("record too long for the store, left out", extra=extra)
            self._callbacks.on_too_long(key.partition("/")[0])
        return rows

    async def _append_in_parts(self, rows: list[KeyedRecord]) -> bool:
        """Append a batch in as many appends as its size needs, submissions last.

        The records of a batch are in an order in which any prefix may be stored alone.
        """
        limit = self._log.max_append_bytes
        *first_parts, last_part = split_by_size(rows, limit)
        for part in first_parts:
            if not await self._append(part, []):
                return False
        left = limit - sum(encoded_bytes(row) for row in last_part)
        return await self._append(last_part, self._take_submissions(left))

    def _take_submissions(self, max_bytes: int) -> list[_Submission]:
        """Remove and return the submissions that fit into the next append."""
        taken: list[_Submission] = []
        while self._submissions and len(taken) < MAX_SUBMISSIONS:
            max_bytes -= encoded_bytes(self._submissions[0].record)
            if max_bytes < 0:
                break
            taken.append(self._submissions.popleft())
        return taken

    def _reject_submissions(self) -> None:
        while self._submissions:
            self._submissions.popleft().result.callback(StoreOutcome.NOT_STORED)

    async def _append(
        self, rows: list[KeyedRecord], submissions: list[_Submission]
    ) -> bool:
        """Append, with retries; return ``False`` if the writer is stopped or fenced.

        Submissions are rejected at once if the store certainly did not take them.
        """
        self._append_sent_at = Instant(self._reactor.seconds())
        self._stall_timer = self._reactor.callLater(
            STALLED_APPEND_S, self._reject_if_stalled
        )
        try:
            return await self._append_until_settled(rows, submissions)
        finally:
            self._append_sent_at = None
            if self._stall_timer.active():
                self._stall_timer.cancel()

    async def _append_until_settled(
        self, rows: list[KeyedRecord], submissions: list[_Submission]
    ) -> bool:
        may_be_stored = False
        while not self._is_stopped:
            all_rows = [*rows, *(submission.record for submission in submissions)]
            if not all_rows:
                return True
            result = await self._log.try_append(all_rows)
            if isinstance(result, Appended):
                _resolve(submissions, StoreOutcome.STORED)
                return True
            if not isinstance(result, StoreError):
                self._is_stopped = True
                _resolve(
                    submissions,
                    StoreOutcome.UNKNOWN if may_be_stored else StoreOutcome.NOT_STORED,
                )
                self._callbacks.on_fenced(str(result))
                return False
            may_be_stored = may_be_stored or is_outcome_unknown(result)
            if not may_be_stored:
                _resolve(submissions, StoreOutcome.NOT_STORED)
                submissions = []
            if not is_outcome_unknown(result):
                await self._log.wait_backoff()
        _resolve(
            submissions,
            StoreOutcome.UNKNOWN if may_be_stored else StoreOutcome.NOT_STORED,
        )
        return False

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)


def split_by_size(rows: list[KeyedRecord], max_bytes: int) -> list[list[KeyedRecord]]:
    """Split records into parts of at most ``max_bytes`` each; at least one part."""
    parts: list[list[KeyedRecord]] = [[]]
    size = 0
    for row in rows:
        row_size = encoded_bytes(row)
        if parts[-1] and size + row_size > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += row_size
    return parts


def _resolve(submissions: list[_Submission], outcome: StoreOutcome) -> None:
    for submission in submissions:
        submission.result.callback(outcome)
