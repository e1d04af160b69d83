"""Appends that are stored exactly once, and only until the next holder writes."""

import logging
import secrets
from typing import Any

from twisted.internet.defer import Deferred, DeferredLock
from twisted.internet.task import deferLater

from tamarackmount.ids import Epoch, Instant, Offset
from tamarackmount.node.adaptive_timeout import MIN_TIMEOUT_S, AdaptiveTimeout
from tamarackmount.node.hedged_append import HedgedAppend
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    KeyedRecord,
    OutOfSequence,
    Producer,
    Store,
    StoreError,
    StoreErrorKind,
    Topic,
)

RETRY_DELAY_S = 0.15
"""Delay before the first retry of an append that was refused or not sent
(``NOT_APPLIED``), in seconds. An append without an answer is retried at once."""

MAX_RETRY_DELAY_S = 0.5
"""Maximum delay before such a retry, in seconds. Refused calls are billed too."""

AWAY_AFTER_S = 1.6
"""Time without a response to appends after which the store counts as unavailable, in
seconds. A slow store answers in 0.6 s, and callers wait 3 s."""

PRODUCER_NAME = "holder"
"""Producer name that all holders share, so that a new holder fences former ones."""

MAX_FIRST_SEQUENCE = 2**31
"""Exclusive upper bound of the first sequence number: large enough that those of
two claims differ."""

_log = logging.getLogger(__name__)


class FencedLog:
    """Appends to one topic under one holder's epoch, with sequence numbers.

    The first number is random, because the store treats an append with the same epoch
    and number as a repetition, whoever sends it.
    """

    def __init__(self, reactor: Any, store: Store, topic: Topic, epoch: Epoch) -> None:
        """Write to ``topic`` under ``epoch``."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._turns = DeferredLock()
        self._sequence = secrets.randbelow(MAX_FIRST_SEQUENCE)
        self._timeout = AdaptiveTimeout()
        self._is_available = True
        self._last_response_at = Instant(reactor.seconds())
        self._retry_delay_s = RETRY_DELAY_S

    @property
    def max_append_bytes(self) -> int:
        """The maximum size of the records of one append, in bytes."""
        return self._store.max_append_bytes

    @property
    def max_record_bytes(self) -> int:
        """The maximum size of one record, in bytes."""
        return self._store.max_record_bytes

    @property
    def is_store_available(self) -> bool:
        """Whether the store accepts appends, judging by the most recent ones.

        A slow store misses a few answers. A call that was refused or could not be sent
        says that it is away.
        """
        return self._is_available

    @property
    def is_quick(self) -> bool:
        """Whether appends are answered at once, judging by the most recent ones."""
        return self._is_available and self._timeout.seconds() <= MIN_TIMEOUT_S

    async def try_append(
        self, rows: list[KeyedRecord], expected_end: Offset | None = None
    ) -> AppendResult:
        """Append once under the next sequence number.

        With ``expected_end``, the store accepts the rows only if the topic ends there.
        After ``OUTCOME_UNKNOWN``, call this again with the same rows; they are stored
        once.
        """
        producer = Producer(PRODUCER_NAME, self._epoch, self._sequence)
        started_at = self._reactor.seconds()
        if self._is_idle_since_response(started_at):
            self._last_response_at = started_at

        async def call(deadline: Instant) -> AppendResult:
            result = await self._store.append(
                self._topic, rows, deadline, expected_end, producer
            )
            if _is_repetition(result, producer.sequence):
                # The offsets were in a lost response; -1 means unknown.
                return Appended(Offset(-1), Offset(-1))
            return result

        hedged = HedgedAppend(self._reactor, call)
        result = await hedged.run(self._timeout.seconds())
        if is_outcome_unknown(result):
            self._timeout.record_timeout()
        else:
            self._timeout.record_response(hedged.answered_in_s)
        if isinstance(result, Appended):
            self._sequence += 1
            self._retry_delay_s = RETRY_DELAY_S
        self._update_availability(result)
        return result

    async def append(
        self, rows: list[KeyedRecord], expected_end: Offset | None = None
    ) -> AppendResult:
        """Append, with retries, until the store accepts or finally rejects the rows.

        Such appends are made in turn: two at once would have one sequence number, and
        the store would take the second one for a repetition of the first.
        """
        async with self._turns:
            while True:
                result = await self.try_append(rows, expected_end)
                if not isinstance(result, StoreError):
                    return result
                if not is_outcome_unknown(result):
                    await self.wait_backoff()

    def _is_idle_since_response(self, now: Instant) -> bool:
        """Tell whether no append has been pending since the last response.

        Such idle time does not count as silence of the store.
        """
        return (
            self._is_available
            and self._timeout.has_no_timeout
            and now > self._last_response_at
        )

    def wait_backoff(self) -> "Deferred[None]":
        """Wait before a retry of an append that was refused or not sent.

        The delay doubles with each of them, up to ``MAX_RETRY_DELAY_S``.
        """
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
        return deferLater(self._reactor, delay_s, lambda: None)

    def _update_availability(self, result: AppendResult) -> None:
        error = result if isinstance(result, StoreError) else None
        if error is None and not self._is_available:
            _log.info("store takes appends again", extra={"topic": self._topic})
        now = self._reactor.seconds()
        if error is None:
            self._last_response_at = now
        is_slow = (
            is_outcome_unknown(result) and now <= self._last_response_at + AWAY_AFTER_S
        )
        is_available = error is None or is_slow
        if error is not None and self._is_available and not is_available:
            extra = {"topic": self._topic, "reason": error.detail}
            _log.warning("append failed", extra=extra)
        self._is_available = is_available


def is_outcome_unknown(result: AppendResult) -> bool:
    """Tell whether an append may have taken effect or may still take effect."""
    return (
        isinstance(result, StoreError) and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
    )


def _is_repetition(result: AppendResult, sequence: int) -> bool:
    # The store returns the sequence number that it expects next. If that is the one
    # after this append's, the append was stored before.
    return (
        isinstance(result, OutOfSequence) and result.expected_sequence == sequence + 1
    )
