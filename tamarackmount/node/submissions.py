"""Appends of entry VMs: jobs and cancels, several to a call."""

import logging
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from tamarackmount.ids import Instant
from tamarackmount.platform.store import (
    Appended,
    KeyedRecord,
    Store,
    StoreError,
    StoreFault,
    Topic,
)

APPEND_TIMEOUT_S = 0.7
"""Longest wait for the store's answer to an append, in seconds; it takes 6 ms when well
and up to 400 ms when slow."""

REPLY_MARGIN_S = 0.1
"""Time kept to answer the caller, in seconds."""

MAX_CALLS = 4
"""Appends under way at once; each takes all that waits."""

MAX_RECORDS = 200
"""Records in one append; 4 KB each stay under the store's 2 MB a call."""

_log = logging.getLogger(__name__)


class Stored(Enum):
    """Whether the store has a record; ``UNKNOWN`` may still become true."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Pending:
    record: KeyedRecord
    deadline: Instant
    result: "Deferred[Stored]"
    maybe_stored: bool = False


class Submissions:
    """Stores records whose repetition does no harm.

    An append without an answer is made again until the caller's deadline: the first
    record of an id counts.
    """

    def __init__(self, reactor: Any, store: Store, topic: Topic) -> None:
        """Append to ``topic``."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._waiting: deque[_Pending] = deque()
        self._calls = 0

    def store(self, record: KeyedRecord, deadline: Instant) -> "Deferred[Stored]":
        """Store a record by ``deadline``, as far as that can be known then."""
        result: Deferred[Stored] = Deferred()
        deadline = Instant(deadline - REPLY_MARGIN_S)
        self._waiting.append(_Pending(record, deadline, result))
        self._send()
        return result

    def _send(self) -> None:
        while self._waiting and self._calls < MAX_CALLS:
            batch = [
                self._waiting.popleft()
                for _ in range(min(len(self._waiting), MAX_RECORDS))
            ]
            self._calls += 1
            ensureDeferred(self._append(batch))

    async def _append(self, batch: list[_Pending]) -> None:
        now = self._reactor.seconds()
        last = max(pending.deadline for pending in batch)
        deadline = Instant(min(now + APPEND_TIMEOUT_S, max(last, now + REPLY_MARGIN_S)))
        records = [pending.record for pending in batch]
        result = await self._store.append(self._topic, records, deadline)
        self._calls -= 1
        for pending in batch:
            self._settle(pending, result)
        self._send()

    def _settle(self, pending: _Pending, result: object) -> None:
        if isinstance(result, Appended):
            pending.result.callback(Stored.YES)
            return
        is_unknown = (
            isinstance(result, StoreError) and result.fault is StoreFault.UNKNOWN
        )
        pending.maybe_stored = pending.maybe_stored or is_unknown
        extra = {"key": pending.record.key, "reason": str(result)}
        _log.info(
            "append not answered" if is_unknown else "append refused", extra=extra
        )
        if pending.maybe_stored and self._reactor.seconds() < pending.deadline:
            self._waiting.append(pending)
            return
        pending.result.callback(Stored.UNKNOWN if pending.maybe_stored else Stored.NO)
