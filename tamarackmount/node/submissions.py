"""Storing jobs and cancellations: through the holder, or directly from this node."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant
from tamarackmount.node.adaptive_timeout import AdaptiveTimeout
from tamarackmount.node.tasks import first_result, spawn
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    KeyedRecord,
    Store,
    StoreError,
    StoreErrorKind,
    Topic,
    encoded_bytes,
)

REPLY_MARGIN_S = 0.15
"""Time reserved for answering the caller, in seconds: for network latency of 3 ms and a
busy process."""

DIRECT_APPEND_RESERVE_S = 0.5
"""Time reserved for a direct append after the holder did not answer, in seconds: one
append to a slow store."""

MAX_MARGIN_FRACTION = 0.3
"""Largest part of the time that a caller still waits that is reserved for the answer,
without unit.

Load pattern: the store has just come back, and callers make their last try with a tenth
of a second left. The holder answers in 20 ms then.
"""

MAX_RESERVE_FRACTION = 0.5
"""Largest part of that time that is reserved for a direct append, without unit."""

MIN_APPEND_TIMEOUT_S = 0.6
"""Minimum timeout of the node's own appends, in seconds. They are the exception, and
each superfluous one delays the holder's appends to a slow store."""

MIN_RELAY_TIMEOUT_S = 1.0
"""Minimum timeout of a record sent to the holder, in seconds. With a slow store the
holder takes 0.6 to 1 s, and longer if the node appends the record itself as well."""

MAX_RELAY_TIMEOUT_S = 1.6
"""Maximum timeout of a record sent to the holder, in seconds; callers wait 3 s."""

RELAY_BACKOFF_S = 0.7
"""Time for which records are not sent to the holder after three consecutive timeouts or
replies ``unknown``, in seconds. Another node claims the role within 3 s."""

NO_STORE_RELAY_TIMEOUT_S = 0.3
"""Maximum timeout of a record sent to the holder while this node has no contact with
the store, and none with other data centres, in seconds. If the holder still reaches the
store, it answers in 20 ms; otherwise this node is cut off from both. A node that the
store only turns away waits longer, as callers can't retry after an unknown outcome."""

AWAY_RETRY_INTERVAL_S = 0.25
"""Interval between trial appends while the store counts as away, in seconds. Each
append is billed, and callers should be served soon after the store is back."""

STALLED_APPEND_S = 1.0
"""Time after which an append without an answer shows that the store is away, in
seconds, if it answers no other call either. Records that are not sent yet are rejected
then."""

MAX_RECORDS = 200
"""Maximum number of records in one append; a slow store takes longer for a larger
one."""

FAILURES_BEFORE_AWAY = 2
"""Number of consecutive failed appends after which the store counts as away."""

_log = logging.getLogger(__name__)


class StoreOutcome(Enum):
    """Whether the store has a record.

    ``UNKNOWN`` means that it may have the record now or later. ``REFUSED`` is the
    holder's decision; nothing was sent to the store.
    """

    STORED = "yes"
    NOT_STORED = "no"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreResult:
    """The outcome for a record.

    ``retry_after_s`` is set if the holder refused it. The outcome is ``UNKNOWN`` all
    the same if an earlier attempt may store it.
    """

    outcome: StoreOutcome
    retry_after_s: int = 0

    @property
    def is_refused(self) -> bool:
        """Whether the holder refused the record, which must not be appended then."""
        return self.outcome is StoreOutcome.REFUSED or self.retry_after_s > 0

    def with_outcome_unknown(self) -> "StoreResult":
        """Return this result of a record that an earlier attempt may store."""
        return StoreResult(StoreOutcome.UNKNOWN, max(1, self.retry_after_s))


NOT_STORED_RESULT = StoreResult(StoreOutcome.NOT_STORED)
"""The store does not have the record and will not get it."""

Relay = Callable[[KeyedRecord, float], Awaitable[StoreResult | None]]
"""Sends a record to the holder, with a timeout in seconds. The result is ``None`` if
the holder can't be reached, and ``UNKNOWN`` if it did not answer. A holder on this node
may answer after the timeout, which is not waited for."""


_NO_RECORD = KeyedRecord("", b"")


@dataclass(slots=True)
class _Pending:
    record: KeyedRecord
    deadline: Instant
    result: "Deferred[StoreOutcome]"
    may_be_stored: bool = False
    is_answered: bool = False

    def answer(self, outcome: StoreOutcome) -> None:
        if not self.is_answered:
            self.is_answered = True
            # It may stay in the queue for as long as an append takes.
            self.record = _NO_RECORD
            self.result.callback(outcome)

    def give_up(self) -> None:
        self.answer(
            StoreOutcome.UNKNOWN if self.may_be_stored else StoreOutcome.NOT_STORED
        )


class Submissions:
    """Stores records that may be stored more than once: the first with an id counts.

    The holder collects the records of all nodes and makes one append at a time, which
    keeps a slow store from being flooded. A node that gets no answer from the holder,
    or the answer that a record is not stored, appends the record directly. It repeats
    an append without a response until the caller's deadline.
    """

    def __init__(
        self,
        reactor: Any,
        store: Store,
        topic: Topic,
        relay: Relay,
        has_store_contact: Callable[[], bool],
        may_be_cut_off: Callable[[], bool],
    ) -> None:
        """Append to ``topic``, or send records through ``relay``.

        ``has_store_contact`` tells whether this node reaches the store, and
        ``may_be_cut_off`` whether it may lack the holder as well.
        """
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._relay = relay
        self._has_store_contact = has_store_contact
        self._may_be_cut_off = may_be_cut_off
        self._waiting: deque[_Pending] = deque()
        self._is_appending = False
        self._unanswered_since = Instant(0.0)
        self._timeout = AdaptiveTimeout(MIN_APPEND_TIMEOUT_S)
        self._relay_timeout = AdaptiveTimeout(MIN_RELAY_TIMEOUT_S, MAX_RELAY_TIMEOUT_S)
        self._relay_backoff_until = Instant(0.0)
        self._consecutive_failures = 0
        self._next_away_retry_at = Instant(0.0)

    async def store(self, record: KeyedRecord, deadline: Instant) -> StoreResult:
        """Store a record and return the outcome known by ``deadline``."""
        left_s = deadline - self._reactor.seconds()
        answer_by = Instant(
            deadline - min(REPLY_MARGIN_S, left_s * MAX_MARGIN_FRACTION)
        )
        reply = await self._store_through_holder(record, answer_by)
        if reply is not None and (
            reply.outcome is StoreOutcome.STORED or reply.is_refused
        ):
            return reply
        may_be_stored = reply is not None and reply.outcome is StoreOutcome.UNKNOWN
        if reply is not None and not may_be_stored and not self._has_store_contact():
            # The holder has no store either; an append whose outcome stays unknown
            # could not be retried by the caller.
            return NOT_STORED_RESULT
        if not self._has_store_contact():
            # Waiting would not help; another entry VM may reach the store.
            return (
                StoreResult(StoreOutcome.UNKNOWN)
                if may_be_stored
                else NOT_STORED_RESULT
            )
        if not may_be_stored and self._is_store_away():
            return NOT_STORED_RESULT
        return StoreResult(await self._store_directly(record, answer_by, may_be_stored))

    async def _store_through_holder(
        self, record: KeyedRecord, deadline: Instant
    ) -> StoreResult | None:
        """Send a record to the holder, unless its recent timeouts rule that out."""
        started_at = self._reactor.seconds()
        if started_at < self._relay_backoff_until:
            return None
        timeout_s = self._relay_timeout.seconds()
        if self._may_be_cut_off():
            timeout_s = min(timeout_s, NO_STORE_RELAY_TIMEOUT_S)
        caller_left_s = deadline - started_at
        reserve_s = min(DIRECT_APPEND_RESERVE_S, caller_left_s * MAX_RESERVE_FRACTION)
        left_s = min(timeout_s, caller_left_s - reserve_s)
        reply: StoreResult | None = None
        if left_s > 0:
            reply = await first_result(
                self._reactor,
                self._relay(record, left_s),
                left_s,
                StoreResult(StoreOutcome.UNKNOWN),
            )
        now = self._reactor.seconds()
        is_unanswered = (
            reply is not None
            and reply.outcome is StoreOutcome.UNKNOWN
            and not reply.is_refused
        )
        if is_unanswered:
            if not self._relay_timeout.has_at_most_one_timeout:
                self._relay_backoff_until = Instant(now + RELAY_BACKOFF_S)
            self._relay_timeout.record_timeout()
        elif reply is not None:
            self._relay_timeout.record_response(now - started_at)
        return reply

    def _is_store_away(self) -> bool:
        """Tell whether recent appends failed, so that another would probably fail too.

        At most once per ``AWAY_RETRY_INTERVAL_S`` the answer is no, so that the record
        at hand is a trial append: on demand only, and never while an append is in
        progress or records wait.
        """
        now = self._reactor.seconds()
        is_stalled = now > self._unanswered_since + STALLED_APPEND_S
        if self._is_appending and is_stalled and not self._has_store_contact():
            return True
        if self._consecutive_failures < FAILURES_BEFORE_AWAY:
            return False
        if now < self._next_away_retry_at or self._is_appending or self._waiting:
            return True
        self._next_away_retry_at = Instant(now + AWAY_RETRY_INTERVAL_S)
        return False

    async def _store_directly(
        self, record: KeyedRecord, deadline: Instant, may_be_stored: bool
    ) -> StoreOutcome:
        pending = _Pending(record, deadline, Deferred(), may_be_stored)
        self._waiting.append(pending)
        left_s = max(0.0, deadline - self._reactor.seconds())
        timer = self._reactor.callLater(left_s, pending.give_up)
        self._start_append()
        outcome = await pending.result
        if timer.active():
            timer.cancel()
        return outcome

    def _start_append(self) -> None:
        if self._is_appending:
            return
        batch = self._take_batch()
        if batch:
            self._is_appending = True
            spawn(self._append(batch))

    def _take_batch(self) -> list[_Pending]:
        """Remove and return the records that fit into the next append."""
        batch: list[_Pending] = []
        left_bytes = self._store.max_append_bytes
        while self._waiting and len(batch) < MAX_RECORDS:
            pending = self._waiting[0]
            if not pending.is_answered:
                left_bytes -= encoded_bytes(pending.record)
                if left_bytes < 0:
                    break
                batch.append(pending)
            self._waiting.popleft()
        return batch

    async def _append(self, batch: list[_Pending]) -> None:
        started_at = self._reactor.seconds()
        if self._timeout.has_no_timeout:
            self._unanswered_since = started_at
        deadline = Instant(started_at + self._timeout.seconds())
        records = [pending.record for pending in batch]
        certainly_unstored = [pending for pending in batch if not pending.may_be_stored]
        for pending in certainly_unstored:
            pending.may_be_stored = True
        result = await self._store.append(self._topic, records, deadline)
        self._is_appending = False
        self._record_append_result(result, started_at)
        if isinstance(result, StoreError) and result.kind is StoreErrorKind.NOT_APPLIED:
            for pending in certainly_unstored:
                pending.may_be_stored = False
        for pending in batch:
            self._resolve(pending, result)
        self._start_append()

    def _record_append_result(self, result: AppendResult, started_at: float) -> None:
        if isinstance(result, Appended):
            self._consecutive_failures = 0
            self._timeout.record_response(self._reactor.seconds() - started_at)
            return
        self._consecutive_failures += 1
        if self._consecutive_failures == 1:
            _log.info("append failed", extra={"reason": str(result)})
        if (
            isinstance(result, StoreError)
            and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
        ):
            self._timeout.record_timeout()

    def _resolve(self, pending: _Pending, result: AppendResult) -> None:
        if isinstance(result, Appended):
            pending.answer(StoreOutcome.STORED)
        elif (
            isinstance(result, StoreError)
            and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
        ):
            self._waiting.append(pending)
        else:
            pending.give_up()
