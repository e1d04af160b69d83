"""Appends that count once and only while no later holder writes."""

import logging
import secrets
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tamarackmount.ids import Epoch, Instant, Offset
from tamarackmount.node.adaptive_timeout import AdaptiveTimeout
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

RETRY_S = 0.15
"""Pause after a first refused append, in seconds."""

MAX_RETRY_S = 0.5
"""Longest pause after refused appends in a row, in seconds: they are paid for too."""

AWAY_AFTER_S = 1.6
"""Appends without an answer for this long mean that the store is away, in seconds; a
slow one answers in 0.6 s, and callers wait 3 s."""

PRODUCER_NAME = "holder"
"""Name under which all holders write, so that a later one fences those before."""

MAX_FIRST_SEQUENCE = 2**31
"""Bound of the first append's number: large enough that those of two claims differ."""

_log = logging.getLogger(__name__)


class FencedLog:
    """One topic as one holder writes it: numbered appends under its epoch.

    The first number is drawn, since the store takes an append with the same epoch and
    number for a repetition, whoever sends it.
    """

    def __init__(self, reactor: Any, store: Store, topic: Topic, epoch: Epoch) -> None:
        """Write to ``topic`` under ``epoch``."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._sequence = secrets.randbelow(MAX_FIRST_SEQUENCE)
        self._timeout = AdaptiveTimeout()
        self._is_well = True
        self._answered_at = Instant(reactor.seconds())
        self._retry_s = RETRY_S

    @property
    def is_store_available(self) -> bool:
        """Whether the store takes appends, as far as the last ones tell."""
        return self._is_well

    async def try_append(
        self, rows: list[KeyedRecord], at: Offset | None = None
    ) -> AppendResult:
        """Append under the next number, if the topic ends ``at``.

        Repeated after ``UNKNOWN`` with the same rows, it counts once.
        """
        producer = Producer(PRODUCER_NAME, self._epoch, self._sequence)
        begun = self._reactor.seconds()
        if self._is_idle_since_answer(begun):
            self._answered_at = begun
        deadline = Instant(begun + self._timeout.seconds())
        result = await self._store.append(self._topic, rows, deadline, at, producer)
        if _is_repetition(result, self._sequence):
            result = Appended(Offset(-1), Offset(-1))
        if is_outcome_unknown(result):
            self._timeout.record_timeout()
        else:
            self._timeout.record_response(self._reactor.seconds() - begun)
        if isinstance(result, Appended):
            self._sequence += 1
            self._retry_s = RETRY_S
        self._note(result)
        return result

    async def append(
        self, rows: list[KeyedRecord], at: Offset | None = None
    ) -> AppendResult:
        """Append until the store has taken it, or never will."""
        while True:
            result = await self.try_append(rows, at)
            if not isinstance(result, StoreError):
                return result
            if not is_outcome_unknown(result):
                await self.wait_backoff()

    def _is_idle_since_answer(self, now: Instant) -> bool:
        """Tell whether the last append was answered: time without any says nothing."""
        return (
            self._is_well and self._timeout.has_no_timeout and now > self._answered_at
        )

    def wait_backoff(self) -> "Deferred[None]":
        """Wait before a refused append is made again, longer each time."""
        pause_s = self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * pause_s)
        return deferLater(self._reactor, pause_s, lambda: None)

    def _note(self, result: AppendResult) -> None:
        error = result if isinstance(result, StoreError) else None
        if error is None and not self._is_well:
            _log.info("store takes appends again", extra={"topic": self._topic})
        now = self._reactor.seconds()
        if error is None:
            self._answered_at = now
        # A slow store misses a few answers; a refusal says that it is away.
        is_slow = is_outcome_unknown(result) and now <= self._answered_at + AWAY_AFTER_S
        is_well = error is None or is_slow
        if error is not None and self._is_well and not is_well:
            extra = {"topic": self._topic, "reason": error.detail}
            _log.warning("append failed", extra=extra)
        self._is_well = is_well


def is_outcome_unknown(result: AppendResult) -> bool:
    """Tell whether an append may have taken effect or may still do so."""
    return (
        isinstance(result, StoreError) and result.kind is StoreErrorKind.OUTCOME_UNKNOWN
    )


def _is_repetition(result: AppendResult, sequence: int) -> bool:
    # The store names the number that it expects next: ours was taken before.
    return (
        isinstance(result, OutOfSequence) and result.expected_sequence == sequence + 1
    )
