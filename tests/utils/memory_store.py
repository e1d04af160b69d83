"""The platform's store in memory, with its faults, for tests in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Instant, Offset
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    Fenced,
    KeyedRecord,
    LatestRecordsPage,
    OffsetMismatch,
    OutOfSequence,
    Producer,
    RecordsPage,
    StoreError,
    StoreErrorKind,
    Topic,
    Trimmed,
)

REMEMBERED_APPENDS = 5
"""Appends of a producer whose first answers are given again."""

UNKNOWN = StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "deadline passed")
REFUSED = StoreError(StoreErrorKind.NOT_APPLIED, "status 503")


@dataclass(slots=True)
class _Producer:
    epoch: int = -1
    sequence: int | None = None
    answers_by_sequence: dict[int, Appended] = field(default_factory=dict)


@dataclass(slots=True)
class _Partition:
    records: list[KeyedRecord] = field(default_factory=list)
    first: int = 0
    free_at: float = 0.0
    producers_by_name: dict[str, _Producer] = field(default_factory=dict)


class MemoryStore:
    """Answers like the platform's page says.

    ``append_latency_s`` is one append's time.
    """

    def __init__(self, clock: Clock, append_s: float = 0.002) -> None:
        """Begin empty and well."""
        self._clock = clock
        self._partitions_by_topic: dict[Topic, _Partition] = {}
        self.append_latency_s = append_s
        self.is_down = False
        self.replies_to_drop = 0
        self.calls = 0
        self.appends = 0

    async def append(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        deadline: Instant,
        expected_end: Offset | None = None,
        producer: Producer | None = None,
    ) -> AppendResult:
        """Append one call after the other; late ones take effect all the same."""
        self.calls += 1
        self.appends += 1
        if self.is_down:
            return REFUSED
        partition = self._partition(topic)
        begins = max(partition.free_at, self._clock.seconds())
        partition.free_at = begins + self.append_latency_s
        is_lost = self.replies_to_drop > 0
        self.replies_to_drop -= 1 if is_lost else 0
        effect = self._after(partition.free_at - self._clock.seconds())
        taken: list[AppendResult] = []
        effect.addCallback(
            lambda _: taken.append(_append(partition, records, expected_end, producer))
        )
        answer_at = partition.free_at
        if is_lost or answer_at > deadline:
            await self._after(deadline - self._clock.seconds())
            return UNKNOWN
        await effect
        return taken[0]

    async def read(
        self, topic: Topic, start: Offset, wait_ms: int, deadline: Instant
    ) -> RecordsPage | Trimmed | StoreError:
        """Return what there is, after a short time."""
        self.calls += 1
        await self._after(min(0.01, max(0.0, deadline - self._clock.seconds())))
        if self.is_down:
            return REFUSED
        partition = self._partition(topic)
        if start < partition.first:
            return Trimmed(Offset(partition.first))
        rows = partition.records[start:]
        if not rows and wait_ms:
            await self._after(wait_ms / 1_000)
            rows = partition.records[start:]
        end = Offset(len(partition.records))
        return RecordsPage(rows, end, Offset(start + len(rows)))

    async def read_latest(
        self, topic: Topic, after: str, deadline: Instant
    ) -> LatestRecordsPage | StoreError:
        """Return the newest record of each key, all in one page."""
        self.calls += 1
        if self.is_down or deadline <= self._clock.seconds():
            return REFUSED
        partition = self._partition(topic)
        by_key = {row.key: row for row in partition.records if row.key > after}
        rows = [row for row in by_key.values() if row.value]
        return LatestRecordsPage(rows, False, Offset(len(partition.records)))

    def put(self, topic: Topic, record: KeyedRecord) -> None:
        """Write one record of the platform's own, faults or not."""
        _append(self._partition(topic), [record], None, None)

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Wait on the store's clock."""
        return self._after(seconds)

    def records(self, topic: Topic) -> list[KeyedRecord]:
        """Return every record of a topic."""
        return list(self._partition(topic).records)

    def trim(self, topic: Topic) -> None:
        """Forget all records so far, but for the newest of each key."""
        partition = self._partition(topic)
        partition.first = len(partition.records)

    def _partition(self, topic: Topic) -> _Partition:
        return self._partitions_by_topic.setdefault(topic, _Partition())

    def _after(self, seconds: float) -> "Deferred[None]":
        reactor: Any = self._clock
        return deferLater(reactor, max(0.0, seconds), lambda: None)


def _append(
    partition: _Partition,
    records: Sequence[KeyedRecord],
    expected_end: Offset | None,
    producer: Producer | None,
) -> AppendResult:
    refusal = _refusal(partition, producer)
    if refusal is not None:
        return refusal
    end = len(partition.records)
    if expected_end is not None and expected_end != end:
        return OffsetMismatch(Offset(end))
    for number, row in enumerate(records):
        partition.records.append(KeyedRecord(row.key, row.value, Offset(end + number)))
    done = Appended(Offset(end), Offset(len(partition.records)))
    if producer is not None:
        known = partition.producers_by_name[producer.name]
        known.sequence = producer.sequence
        known.answers_by_sequence[producer.sequence] = done
        for old in list(known.answers_by_sequence)[:-REMEMBERED_APPENDS]:
            del known.answers_by_sequence[old]
    return done


def _refusal(partition: _Partition, producer: Producer | None) -> AppendResult | None:
    if producer is None:
        return None
    known = partition.producers_by_name.setdefault(producer.name, _Producer())
    if producer.epoch < known.epoch:
        return Fenced()
    if producer.epoch > known.epoch:
        known.epoch = producer.epoch
        known.sequence = None
        known.answers_by_sequence.clear()
    if producer.sequence in known.answers_by_sequence:
        return known.answers_by_sequence[producer.sequence]
    if known.sequence is not None and producer.sequence != known.sequence + 1:
        return OutOfSequence(known.sequence + 1)
    return None
