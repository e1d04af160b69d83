"""How entry VMs store jobs and cancels: through the holder, or by themselves."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant
from tamarackmount.node.adaptive_timeout import AdaptiveTimeout
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    KeyedRecord,
    Store,
    StoreError,
    StoreErrorKind,
    Topic,
)

REPLY_MARGIN_S = 0.15
"""Time kept to answer the caller, in seconds: links of 3 ms and a busy process."""

MIN_APPEND_TIME_S = 0.5
"""Time kept for the node to store by itself after the holder said nothing, in seconds:
one append to a store that is slow."""

MIN_APPEND_TIMEOUT_S = 0.6
"""Shortest wait for an answer to an append of the node's own, in seconds: they are
the exception, and with a slow store each one too many makes the holder's wait."""

MIN_RELAY_TIMEOUT_S = 1.0
"""Shortest wait for the holder's word, in seconds: with a slow store it takes 0.6 to
1 s, and a node that appends by itself then makes it take longer."""

MAX_RELAY_TIMEOUT_S = 1.6
"""Longest wait for the holder's word, in seconds: callers wait 3 s."""

RELAY_BACKOFF_S = 0.7
"""How long a holder that left two questions unanswered is not asked, in seconds;
another one claims within 3 s."""

NO_STORE_RELAY_TIMEOUT_S = 0.3
"""Longest wait for the holder's word while the store is not heard, in seconds: it may
reach the store all the same and answers in 20 ms, or the node is cut off from both."""

AWAY_RETRY_INTERVAL_S = 0.25
"""Pause between two tries while the store takes nothing, in seconds: each is paid for,
and callers should be served soon after it is back."""

MAX_RECORDS = 200
"""Records in one append; 4 KB each stay under the store's 2 MB a call."""

FAILURES_BEFORE_AWAY = 2
"""Appends in a row without an answer after which the store counts as away."""

_log = logging.getLogger(__name__)


class StoreOutcome(Enum):
    """Whether the store has a record; ``UNKNOWN`` may still become true.

    ``REFUSED`` is the holder's decision; nothing was sent to the store.
    """

    STORED = "yes"
    NOT_STORED = "no"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreResult:
    """What became of a record; ``retry_after_s`` is set when the holder refused it."""

    outcome: StoreOutcome
    retry_after_s: int = 0


NOT_STORED = StoreResult(StoreOutcome.NOT_STORED)
"""The store surely has nothing."""

Relay = Callable[[KeyedRecord, float], Awaitable[StoreResult | None]]
"""Asks the holder to store a record within seconds; nothing if it can't be asked,
``UNKNOWN`` if it did not answer."""


@dataclass(slots=True)
class _Pending:
    record: KeyedRecord
    deadline: Instant
    result: "Deferred[StoreOutcome]"
    maybe_stored: bool = False
    is_answered: bool = False

    def answer(self, stored: StoreOutcome) -> None:
        if not self.is_answered:
            self.is_answered = True
            self.result.callback(stored)

    def give_up(self) -> None:
        self.answer(
            StoreOutcome.UNKNOWN if self.maybe_stored else StoreOutcome.NOT_STORED
        )


class Submissions:
    """Stores records whose repetition does no harm: the first of an id counts.

    The holder appends for all nodes in one call at a time, so that a slow store is
    not flooded. A node without a word from the holder appends by itself. Without an
    answer an append is made again until the caller's deadline.
    """

    def __init__(
        self,
        reactor: Any,
        store: Store,
        topic: Topic,
        relay: Relay,
        hears_store: Callable[[], bool],
    ) -> None:
        """Append to ``topic``, or ``relay``; ``hears_store`` tells of late answers."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._relay = relay
        self._hears_store = hears_store
        self._waiting: deque[_Pending] = deque()
        self._is_appending = False
        self._timeout = AdaptiveTimeout(MIN_APPEND_TIMEOUT_S)
        self._relay_timeout = AdaptiveTimeout(MIN_RELAY_TIMEOUT_S, MAX_RELAY_TIMEOUT_S)
        self._no_relay_until = Instant(0.0)
        self._failures = 0
        self._try_again_at = Instant(0.0)

    async def store(self, record: KeyedRecord, deadline: Instant) -> StoreResult:
        """Store a record by ``deadline``, as far as that can be known then."""
        last = Instant(deadline - REPLY_MARGIN_S)
        told = await self._store_at_holder(record, last)
        if told is not None and told.outcome in (
            StoreOutcome.STORED,
            StoreOutcome.REFUSED,
        ):
            return told
        maybe_stored = told is not None and told.outcome is StoreOutcome.UNKNOWN
        if not self._hears_store():
            # Nothing comes of waiting; another entry VM may be better off.
            return StoreResult(StoreOutcome.UNKNOWN) if maybe_stored else NOT_STORED
        if not maybe_stored and self._is_known_away():
            return NOT_STORED
        return StoreResult(await self._store_here(record, last, maybe_stored))

    async def _store_at_holder(
        self, record: KeyedRecord, deadline: Instant
    ) -> StoreResult | None:
        """Ask the holder, unless it left the last questions unanswered."""
        begun = self._reactor.seconds()
        if begun < self._no_relay_until:
            return None
        longest_s = self._relay_timeout.seconds()
        if not self._hears_store():
            longest_s = min(longest_s, NO_STORE_RELAY_TIMEOUT_S)
        left_s = min(longest_s, deadline - MIN_APPEND_TIME_S - begun)
        told = await self._relay(record, left_s) if left_s > 0 else None
        now = self._reactor.seconds()
        if told is not None and told.outcome is StoreOutcome.UNKNOWN:
            if not self._relay_timeout.has_at_most_one_timeout:
                self._no_relay_until = Instant(now + RELAY_BACKOFF_S)
            self._relay_timeout.record_timeout()
        elif told is not None:
            self._relay_timeout.record_response(now - begun)
        return told

    def _is_known_away(self) -> bool:
        """Tell whether the store took nothing lately, so that trying is in vain.

        Now and then one caller's record is tried all the same.
        """
        if self._failures < FAILURES_BEFORE_AWAY:
            return False
        now = self._reactor.seconds()
        if now < self._try_again_at or self._is_appending or self._waiting:
            return True
        self._try_again_at = Instant(now + AWAY_RETRY_INTERVAL_S)
        return False

    async def _store_here(
        self, record: KeyedRecord, deadline: Instant, maybe_stored: bool
    ) -> StoreOutcome:
        pending = _Pending(record, deadline, Deferred(), maybe_stored)
        self._waiting.append(pending)
        left_s = max(0.0, deadline - self._reactor.seconds())
        timer = self._reactor.callLater(left_s, pending.give_up)
        self._send()
        stored = await pending.result
        if timer.active():
            timer.cancel()
        return stored

    def _send(self) -> None:
        if self._is_appending:
            return
        batch: list[_Pending] = []
        while self._waiting and len(batch) < MAX_RECORDS:
            pending = self._waiting.popleft()
            if not pending.is_answered:
                batch.append(pending)
        if batch:
            self._is_appending = True
            spawn(self._append(batch))

    async def _append(self, batch: list[_Pending]) -> None:
        begun = self._reactor.seconds()
        deadline = Instant(begun + self._timeout.seconds())
        records = [pending.record for pending in batch]
        certain = [pending for pending in batch if not pending.maybe_stored]
        for pending in certain:
            pending.maybe_stored = True
        result = await self._store.append(self._topic, records, deadline)
        self._is_appending = False
        self._note(result, begun)
        if isinstance(result, StoreError) and result.kind is StoreErrorKind.NOT_APPLIED:
            for pending in certain:
                pending.maybe_stored = False
        for pending in batch:
            self._settle(pending, result)
        self._send()

    def _note(self, result: AppendResult, begun: float) -> None:
        if isinstance(result, Appended):
            self._failures = 0
            self._timeout.record_response(self._reactor.seconds() - begun)
            return
        self._failures += 1
        if self._failures == 1:
            _log.info("append failed", extra={"reason": str(result)})
        if (
            isinstance(result, StoreError)
            and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
        ):
            self._timeout.record_timeout()

    def _settle(self, pending: _Pending, result: AppendResult) -> None:
        if isinstance(result, Appended):
            pending.answer(StoreOutcome.STORED)
        elif (
            isinstance(result, StoreError)
            and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
        ):
            self._waiting.append(pending)
        else:
            pending.give_up()
