"""The holder's appends: fenced by epoch, numbered, one at a time."""

import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from tamarackmount.ids import Epoch, Instant, MemberId, Offset
from tamarackmount.node import clock
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    KeyedRecord,
    OutOfSequence,
    Producer,
    Store,
    StoreError,
    StoreFault,
    Topic,
)
from tamarackmount.scheduling.holdership import BEAT_S
from tamarackmount.scheduling.journal import (
    HolderRecord,
    RecordKind,
    encode_record,
    record_key,
)
from tamarackmount.scheduling.scheduler import Batch

APPEND_TIMEOUT_S = 0.8
"""Longest wait for an answer, in seconds; then the append is made again under its
number, which the store recognises."""

RETRY_S = 0.15
"""Pause after a refused append, in seconds."""

GATHER_S = 0.004
"""Pause in which news gather before an append, in seconds: as long as one takes."""

PRODUCER_NAME = "holder"
"""Name under which all holders write, so that a new one fences the one before."""

_log = logging.getLogger(__name__)


MAX_FIRST_SEQUENCE = 2**31
"""Bound of the number of a claim's append: large enough that two claims differ."""


@dataclass(frozen=True, slots=True)
class Claim:
    """An accepted claim: the epoch that it began, and the number of its append."""

    epoch: Epoch
    sequence: int


async def claim(
    reactor: Any, store: Store, topic: Topic, node: MemberId, end: Offset
) -> Claim | None:
    """Claim the scheduling if the topic still ends at ``end``.

    The epoch is one more than the offset of the claim, so it rises with each claim,
    and the same append fences the writes of earlier holders. Without an answer the
    claim is repeated until it is settled. Its number is drawn, since the store takes
    an append with the same epoch and number for a repetition, whoever sends it.
    """
    epoch = Epoch(end + 1)
    record = _holder_record(HolderRecord(node, epoch, beat=0))
    sequence = secrets.randbelow(MAX_FIRST_SEQUENCE)
    producer = Producer(PRODUCER_NAME, epoch, sequence)
    while True:
        deadline = Instant(reactor.seconds() + APPEND_TIMEOUT_S)
        result = await store.append(topic, [record], deadline, end, producer)
        if isinstance(result, Appended):
            return Claim(epoch, sequence)
        if not _is_unknown(result):
            extra = {"epoch": epoch, "reason": str(result)}
            _log.info("claim refused", extra=extra)
            return None


def _holder_record(record: HolderRecord) -> KeyedRecord:
    return KeyedRecord(record_key(RecordKind.HOLDER), encode_record(record))


def _is_unknown(result: AppendResult) -> bool:
    return isinstance(result, StoreError) and result.fault is StoreFault.UNKNOWN


@dataclass(frozen=True, slots=True)
class WriterEvents:
    """What the writer asks for and tells.

    ``take_batch`` returns news or nothing; ``stored`` is told of a stored batch;
    ``fenced`` is called when another holder writes.
    """

    take_batch: Callable[[], Batch | None]
    stored: Callable[[Batch], None]
    fenced: Callable[[str], None]


class JournalWriter:
    """Writes the holder's news and its signs of life."""

    def __init__(
        self,
        reactor: Any,
        store: Store,
        topic: Topic,
        node: MemberId,
        claimed: Claim,
        events: WriterEvents,
    ) -> None:
        """Write under the epoch of a claim, after its append."""
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._record = HolderRecord(node, claimed.epoch, beat=0)
        self._sequence = claimed.sequence + 1
        self._events = events
        self._beat_at = Instant(clock.now() + BEAT_S)
        self._is_writing = False
        self._is_over = False
        self._release_wanted: Deferred[None] | None = None
        self._is_store_well = True

    def poke(self) -> None:
        """Write what there is to write, unless an append is under way."""
        if not self._is_writing and not self._is_over:
            self._is_writing = True
            ensureDeferred(self._write())

    def stop(self) -> None:
        """Write no more."""
        self._is_over = True

    def release(self) -> "Deferred[None]":
        """Write all news and that the holder stops; fires once that is stored."""
        self._release_wanted = Deferred()
        self.poke()
        return self._release_wanted

    async def _write(self) -> None:
        while not self._is_over:
            batch = self._events.take_batch()
            is_beat = clock.now() >= self._beat_at
            is_release = batch is None and self._release_wanted is not None
            if batch is None and not is_beat and not is_release:
                break
            records = [] if batch is None else list(batch.records)
            rows = [KeyedRecord(key, value) for key, value in records]
            if is_beat or is_release:
                rows.append(self._beat(is_release))
            if not await self._append(rows):
                break
            if batch is not None:
                self._events.stored(batch)
            if is_release and self._release_wanted is not None:
                self._is_over = True
                self._release_wanted.callback(None)
            await self._sleep(GATHER_S)
        self._is_writing = False

    def _beat(self, is_release: bool) -> KeyedRecord:
        record = self._record
        beat = record.beat + 1
        self._record = HolderRecord(record.node, record.epoch, beat, is_release)
        self._beat_at = Instant(clock.now() + BEAT_S)
        return _holder_record(self._record)

    async def _append(self, rows: list[KeyedRecord]) -> bool:
        """Append until that is done; false if this holder may write no more."""
        producer = Producer(PRODUCER_NAME, self._record.epoch, self._sequence)
        while not self._is_over:
            deadline = Instant(self._reactor.seconds() + APPEND_TIMEOUT_S)
            result = await self._store.append(
                self._topic, rows, deadline, None, producer
            )
            if _is_stored(result, self._sequence):
                self._sequence += 1
                self._note_store(None)
                return True
            if isinstance(result, StoreError):
                self._note_store(result)
                await self._sleep(RETRY_S)
                continue
            self._is_over = True
            self._events.fenced(str(result))
        return False

    def _note_store(self, error: StoreError | None) -> None:
        if error is None and not self._is_store_well:
            _log.info("store takes appends again")
        if error is not None and self._is_store_well:
            _log.warning("append failed", extra={"reason": error.detail})
        self._is_store_well = error is None

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)


def _is_stored(result: AppendResult, sequence: int) -> bool:
    if isinstance(result, Appended):
        return True
    # The store names the number that it expects next: ours was taken before.
    return isinstance(result, OutOfSequence) and result.expected == sequence + 1
