"""Following a keyed topic of the store: a snapshot first, then new records."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tamarackmount.ids import Instant, Offset
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import (
    KeyedRecord,
    RecordsPage,
    Store,
    StoreError,
    Topic,
    Trimmed,
)

READ_TIMEOUT_MARGIN_S = 0.7
"""Time that a read may take beyond its long-poll wait, in seconds. The store answers in
4 ms; after a timeout a new connection is used."""

RETRY_DELAY_S = 0.2
"""Delay after the first failed read, in seconds."""

MAX_RETRY_DELAY_S = 0.8
"""Maximum delay after consecutive failed reads, in seconds. Refused calls are billed
too, and a configuration change has to be in force within 2 s."""

READ_LATEST_TIMEOUT_S = 2.0
"""Timeout of the read of one snapshot page, in seconds."""

_log = logging.getLogger(__name__)


class TopicTail:
    """Reads one topic and passes its records on.

    ``on_snapshot`` gets the latest record of each key at the start, and again whenever
    the store has trimmed records before they were read. ``on_records`` gets each later
    record once, in order. ``on_caught_up`` is called whenever the end of the topic is
    reached again.
    """

    def __init__(
        self,
        reactor: Any,
        store: Store,
        topic: Topic,
        on_snapshot: Callable[[Sequence[KeyedRecord]], None],
        on_records: Callable[[Sequence[KeyedRecord]], None],
        wait_ms: int,
        min_interval_s: float,
    ) -> None:
        """Read with long polls of up to ``wait_ms``.

        At least ``min_interval_s`` passes between the starts of two reads once the end
        of the topic is reached.
        """
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._wait_ms = wait_ms
        self.min_interval_s = min_interval_s
        self._next_offset: Offset | None = None
        self._is_running = False
        self._is_reachable = True
        self._is_caught_up = False
        self._retry_delay_s = RETRY_DELAY_S
        self.on_caught_up: Callable[[], None] = lambda: None
        self.caught_up_at: Instant | None = None
        self.last_contact: Instant | None = None

    @property
    def next_offset(self) -> Offset | None:
        """The offset after the last record read; ``None`` before the first read."""
        return self._next_offset

    def start(self) -> None:
        """Start reading."""
        self._is_running = True
        spawn(self._run())

    def stop(self) -> None:
        """Stop reading."""
        self._is_running = False

    async def read_now(self) -> bool:
        """Read once without waiting; tell whether this reached the end of the topic."""
        if self._next_offset is None:
            return False
        return await self._read(0) and self._is_caught_up

    async def _run(self) -> None:
        while self._is_running:
            started_at = self._reactor.seconds()
            if self._next_offset is None:
                is_read = await self._read_snapshot()
            else:
                # The first read after a snapshot does not wait: it tells at once
                # whether the snapshot is complete.
                is_read = await self._read(self._wait_ms if self._is_caught_up else 0)
            if not is_read:
                await self._sleep(self._retry_delay_s)
                self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)
                continue
            self._retry_delay_s = RETRY_DELAY_S
            left_s = started_at + self.min_interval_s - self._reactor.seconds()
            if left_s > 0 and self._is_caught_up:
                await self._sleep(left_s)

    async def _read_snapshot(self) -> bool:
        records: list[KeyedRecord] = []
        after = ""
        start: Offset | None = None
        while True:
            deadline = Instant(self._reactor.seconds() + READ_LATEST_TIMEOUT_S)
            page = await self._store.read_latest(self._topic, after, deadline)
            if not self._is_running:
                return False
            if isinstance(page, StoreError):
                self._record_failure(page)
                return False
            records.extend(page.records)
            start = page.end_offset if start is None else start
            if not page.has_more or not page.records:
                break
            after = page.last_key
        self._next_offset = start
        self._is_caught_up = False
        self._record_contact()
        self._on_snapshot(records)
        return True

    async def _read(self, wait_ms: int) -> bool:
        start = self._next_offset
        if start is None:
            return False
        sent_at = Instant(self._reactor.seconds())
        deadline = Instant(sent_at + wait_ms / 1_000 + READ_TIMEOUT_MARGIN_S)
        result = await self._store.read(self._topic, start, wait_ms, deadline)
        if not self._is_running:
            return False
        if isinstance(result, Trimmed):
            extra = {
                "topic": self._topic,
                "offset": start,
                "first": result.first_offset,
            }
            _log.info(
                "records trimmed before they were read; reading a new snapshot",
                extra=extra,
            )
            self._next_offset = None
            self._is_caught_up = False
            return True
        if isinstance(result, StoreError):
            self._record_failure(result)
            return False
        self._record_contact()
        self._deliver(result, sent_at)
        return True

    def _deliver(self, result: RecordsPage, sent_at: Instant) -> None:
        if self._next_offset is None:
            return
        # A concurrent read may have delivered the first records already.
        new_records = [row for row in result.records if row.offset >= self._next_offset]
        self._next_offset = max(self._next_offset, result.next_offset)
        if new_records:
            self._on_records(new_records)
        was_caught_up = self._is_caught_up
        self._is_caught_up = self._next_offset >= result.end_offset
        if self._is_caught_up:
            self.caught_up_at = max(self.caught_up_at or sent_at, sent_at)
            if not was_caught_up:
                self.on_caught_up()

    def _record_contact(self) -> None:
        self.last_contact = Instant(self._reactor.seconds())
        if not self._is_reachable:
            self._is_reachable = True
            _log.info("store regained", extra={"topic": self._topic})

    def _record_failure(self, error: StoreError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            extra = {"topic": self._topic, "reason": error.detail}
            _log.warning("store lost", extra=extra)

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)
