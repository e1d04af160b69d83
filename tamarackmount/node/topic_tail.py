"""Following a keyed topic of the store: first its newest records, then what comes."""

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

READ_SLACK_S = 0.7
"""How much longer than its wait a read may take, in seconds; then a new connection is
used. The store answers in 4 ms."""

RETRY_S = 0.2
"""Pause after a first failed read, in seconds."""

MAX_RETRY_S = 0.8
"""Longest pause after failed reads in a row, in seconds: refused calls are paid for
too, and a change of the configuration has to be in force in 2 s."""

NEWEST_TIMEOUT_S = 2.0
"""Longest wait for one page of newest records, in seconds."""

_log = logging.getLogger(__name__)


class TopicTail:
    """Reads one topic; ``on_records`` gets every record once, in order.

    ``on_snapshot`` gets the newest record of each key at the start, and again whenever
    records that were not read are gone.
    """

    def __init__(
        self,
        reactor: Any,
        store: Store,
        topic: Topic,
        on_snapshot: Callable[[Sequence[KeyedRecord]], None],
        on_records: Callable[[Sequence[KeyedRecord]], None],
        wait_ms: int,
        pause_s: float,
    ) -> None:
        """Wait up to ``wait_ms`` for records, and ``pause_s`` between two reads."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._wait_ms = wait_ms
        self._pause_s = pause_s
        self._next: Offset | None = None
        self._running = False
        self._is_reachable = True
        self._caught_up = False
        self._retry_s = RETRY_S
        self.caught_up_at: Instant | None = None
        self.last_contact: Instant | None = None

    @property
    def next_offset(self) -> Offset | None:
        """The offset after the last record read; nothing before the first."""
        return self._next

    def start(self) -> None:
        """Begin to read."""
        self._running = True
        spawn(self._run())

    def stop(self) -> None:
        """Read no more."""
        self._running = False

    async def read_to_end(self) -> bool:
        """Read to the end now; tell whether all records up to now were read."""
        if self._next is None:
            return False
        return await self._read(0) and self._caught_up

    async def _run(self) -> None:
        while self._running:
            begun = self._reactor.seconds()
            if self._next is None:
                is_read = await self._bootstrap()
            else:
                # The first read after a snapshot tells at once whether it was whole.
                is_read = await self._read(self._wait_ms if self._caught_up else 0)
            if not is_read:
                await self._sleep(self._retry_s)
                self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
                continue
            self._retry_s = RETRY_S
            left_s = begun + self._pause_s - self._reactor.seconds()
            if left_s > 0 and self._caught_up:
                await self._sleep(left_s)

    async def _bootstrap(self) -> bool:
        records: list[KeyedRecord] = []
        after = ""
        start: Offset | None = None
        while True:
            deadline = Instant(self._reactor.seconds() + NEWEST_TIMEOUT_S)
            page = await self._store.read_latest(self._topic, after, deadline)
            if not self._running:
                return False
            if isinstance(page, StoreError):
                self._failed(page)
                return False
            records.extend(page.records)
            start = page.end_offset if start is None else start
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._next = start
        self._caught_up = False
        self._heard()
        self._on_snapshot(records)
        return True

    async def _read(self, wait_ms: int) -> bool:
        start = self._next
        if start is None:
            return False
        sent = Instant(self._reactor.seconds())
        deadline = Instant(sent + wait_ms / 1_000 + READ_SLACK_S)
        result = await self._store.read(self._topic, start, wait_ms, deadline)
        if not self._running:
            return False
        if isinstance(result, Trimmed):
            extra = {
                "topic": self._topic,
                "offset": start,
                "first": result.first_offset,
            }
            _log.info("records gone, reading the newest", extra=extra)
            self._next = None
            return True
        if isinstance(result, StoreError):
            self._failed(result)
            return False
        self._heard()
        self._take(result, sent)
        return True

    def _take(self, result: RecordsPage, sent: Instant) -> None:
        if self._next is None:
            return
        # Another read may have delivered the first of these already.
        fresh = [row for row in result.records if row.offset >= self._next]
        self._next = max(self._next, result.next_offset)
        if fresh:
            self._on_records(fresh)
        self._caught_up = self._next >= result.end_offset
        if self._caught_up:
            self.caught_up_at = max(self.caught_up_at or sent, sent)

    def _heard(self) -> None:
        self.last_contact = Instant(self._reactor.seconds())
        if not self._is_reachable:
            self._is_reachable = True
            _log.info("store regained", extra={"topic": self._topic})

    def _failed(self, error: StoreError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            extra = {"topic": self._topic, "reason": error.detail}
            _log.warning("store lost", extra=extra)

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)
