"""In-memory platform store with simulated faults, for tests in virtual time."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Instant, Offset
from tamarackmount.platform.store import (
    DEFAULT_MAX_APPEND_BYTES,
    DEFAULT_MAX_RECORD_BYTES,
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
    encoded_bytes,
)

KEPT_APPEND_RESULTS = 5
"""Number of appends per producer whose results are kept.

A repeated append gets the result of the first one.
"""

LONG_POLL_STEP_S = 0.02
"""Interval at which a long poll looks for new records, in seconds."""

OUTCOME_UNKNOWN = StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "deadline passed")
NOT_APPLIED = StoreError(StoreErrorKind.NOT_APPLIED, "status 503")


@dataclass(slots=True)
class _Producer:
    epoch: int = -1
    sequence: int | None = None
    results_by_sequence: dict[int, Appended] = field(default_factory=dict)


@dataclass(slots=True)
class _Partition:
    records: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0
    idle_at: float = 0.0
    producers_by_name: dict[str, _Producer] = field(default_factory=dict)


class MemoryStore:
    """In-memory replacement of the platform's store.

    ``append_latency_s`` is the duration of one append, ``read_latency_s`` that of a
    read, in seconds. While ``is_down``, calls fail,
    and while ``is_silent``, appends get no answer and have no effect. Calls about the
    ``topics_down`` fail.
    The next ``replies_to_drop`` appends take effect but their replies are lost.
    ``append_sizes`` are the sizes of the records of each append, in bytes.
    """

    def __init__(self, clock: Clock, append_latency_s: float = 0.002) -> None:
        """Create an empty store that works without faults."""
        self._clock = clock
        self._partitions_by_topic: dict[Topic, _Partition] = {}
        self.append_latency_s = append_latency_s
        self.read_latency_s = 0.01
        self.is_down = False
        self.is_silent = False
        self.topics_down: set[Topic] = set()
        self.replies_to_drop = 0
        self.max_append_bytes = DEFAULT_MAX_APPEND_BYTES
        self.max_record_bytes = DEFAULT_MAX_RECORD_BYTES
        self.append_sizes: list[int] = []
        self.calls = 0
        self.reads_by_topic: Counter[Topic] = Counter()
        self.appends = 0

    async def append(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        deadline: Instant,
        expected_end: Offset | None = None,
        producer: Producer | None = None,
    ) -> AppendResult:
        """Append records, one call at a time.

        An append takes effect even if its deadline passes first.
        """
        self.calls += 1
        self.appends += 1
        self.append_sizes.append(sum(encoded_bytes(record) for record in records))
        if self._is_down(topic):
            return NOT_APPLIED
        if self.is_silent:
            await self._delay(deadline - self._clock.seconds())
            return OUTCOME_UNKNOWN
        partition = self._partition(topic)
        starts_at = max(partition.idle_at, self._clock.seconds())
        partition.idle_at = starts_at + self.append_latency_s
        reply_is_lost = self.replies_to_drop > 0
        self.replies_to_drop -= 1 if reply_is_lost else 0
        effect = self._delay(partition.idle_at - self._clock.seconds())
        results: list[AppendResult] = []
        effect.addCallback(
            lambda _: results.append(
                _append(partition, records, expected_end, producer)
            )
        )
        reply_at = partition.idle_at
        if reply_is_lost or reply_at > deadline:
            await self._delay(deadline - self._clock.seconds())
            return OUTCOME_UNKNOWN
        await effect
        return results[0]

    async def read(
        self, topic: Topic, start: Offset, wait_ms: int, deadline: Instant
    ) -> RecordsPage | Trimmed | StoreError:
        """Return the records from ``start`` on, after a short delay."""
        self.calls += 1
        self.reads_by_topic[topic] += 1
        latency_s = self.read_latency_s
        await self._delay(min(latency_s, max(0.0, deadline - self._clock.seconds())))
        if self._is_down(topic):
            return NOT_APPLIED
        partition = self._partition(topic)
        if start < partition.first_offset:
            return Trimmed(Offset(partition.first_offset))
        rows = partition.records[start:]
        wait_ends_at = self._clock.seconds() + wait_ms / 1_000
        while not rows and self._clock.seconds() < wait_ends_at:
            await self._delay(LONG_POLL_STEP_S)
            rows = partition.records[start:]
        end = Offset(len(partition.records))
        return RecordsPage(rows, end, Offset(start + len(rows)))

    async def read_latest(
        self, topic: Topic, after: str, deadline: Instant
    ) -> LatestRecordsPage | StoreError:
        """Return the latest record of each key in a single page."""
        self.calls += 1
        if self._is_down(topic) or deadline <= self._clock.seconds():
            return NOT_APPLIED
        partition = self._partition(topic)
        by_key = {row.key: row for row in partition.records if row.key > after}
        rows = [row for row in by_key.values() if row.value]
        return LatestRecordsPage(rows, False, Offset(len(partition.records)))

    def put(self, topic: Topic, record: KeyedRecord) -> None:
        """Write one record of another writer, regardless of faults."""
        _append(self._partition(topic), [record], None, None)

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Wait for ``seconds`` of the store's clock."""
        return self._delay(seconds)

    def records(self, topic: Topic) -> list[KeyedRecord]:
        """Return all records of a topic."""
        return list(self._partition(topic).records)

    def trim(self, topic: Topic) -> None:
        """Delete the records so far, except the latest of each key."""
        partition = self._partition(topic)
        partition.first_offset = len(partition.records)

    def _is_down(self, topic: Topic) -> bool:
        return self.is_down or topic in self.topics_down

    def _partition(self, topic: Topic) -> _Partition:
        return self._partitions_by_topic.setdefault(topic, _Partition())

    def _delay(self, seconds: float) -> "Deferred[None]":
        reactor: Any = self._clock
        return deferLater(reactor, max(0.0, seconds), lambda: None)


def _append(
    partition: _Partition,
    records: Sequence[KeyedRecord],
    expected_end: Offset | None,
    producer: Producer | None,
) -> AppendResult:
    early_result = _check_producer(partition, producer)
    if early_result is not None:
        return early_result
    end = len(partition.records)
    if expected_end is not None and expected_end != end:
        return OffsetMismatch(Offset(end))
    for number, row in enumerate(records):
        partition.records.append(KeyedRecord(row.key, row.value, Offset(end + number)))
    done = Appended(Offset(end), Offset(len(partition.records)))
    if producer is not None:
        known = partition.producers_by_name[producer.name]
        known.sequence = producer.sequence
        known.results_by_sequence[producer.sequence] = done
        for old in list(known.results_by_sequence)[:-KEPT_APPEND_RESULTS]:
            del known.results_by_sequence[old]
    return done


def _check_producer(
    partition: _Partition, producer: Producer | None
) -> AppendResult | None:
    if producer is None:
        return None
    known = partition.producers_by_name.setdefault(producer.name, _Producer())
    if producer.epoch < known.epoch:
        return Fenced()
    if producer.epoch > known.epoch:
        known.epoch = producer.epoch
        known.sequence = None
        known.results_by_sequence.clear()
    if producer.sequence in known.results_by_sequence:
        return known.results_by_sequence[producer.sequence]
    if known.sequence is not None and producer.sequence != known.sequence + 1:
        return OutOfSequence(known.sequence + 1)
    return None
