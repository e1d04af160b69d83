"""The platform's store: a log of topics with partitions.

Records of topics whose name begins with ``keyed.`` carry a key, and the newest
record of each key is kept for good.
"""

import base64
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType
from urllib.parse import urlencode

import orjson

from tamarackmount.ids import Instant, Offset
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    CallResult,
    HttpClient,
    Reply,
)

Topic = NewType("Topic", str)
"""Name of a topic; the system uses partition 0 of each."""

OPERATOR_TOPIC = Topic("keyed.op")
"""What operators write: the configuration and waves of upkeep."""

WORKERS_TOPIC = Topic("keyed.servers")
"""The workers' own registrations."""

STATUS_TOPIC = Topic("keyed.status")
"""What the system tells operators."""

JSON_HEADER = "Content-Type: application/json\r\n"
"""Header line of bodies that are JSON."""

_PARTITION = 0
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


class StoreErrorKind(Enum):
    """Why a call to the store gave nothing.

    After ``NOT_APPLIED`` nothing was done. After ``OUTCOME_UNKNOWN`` an append may have
    taken effect or may still do so.
    """

    NOT_APPLIED = "refused"
    OUTCOME_UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call to the store that failed."""

    kind: StoreErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class Appended:
    """Records are stored from ``offset`` on."""

    offset: Offset
    end_offset: Offset


@dataclass(frozen=True, slots=True)
class OffsetMismatch:
    """The partition did not end where the append expected it to."""

    end_offset: Offset


@dataclass(frozen=True, slots=True)
class Fenced:
    """A producer with a higher epoch has written."""


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """The append's sequence number does not follow the last one."""

    expected_sequence: int


AppendResult = Appended | OffsetMismatch | Fenced | OutOfSequence | StoreError
"""How an append ended."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value removes the key."""

    key: str
    value: bytes
    offset: Offset = Offset(-1)


@dataclass(frozen=True, slots=True)
class RecordsPage:
    """Records read; ``end_offset`` is the offset that the next append will get."""

    records: Sequence[KeyedRecord]
    end_offset: Offset
    next_offset: Offset


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The offset asked for is gone; ``first_offset`` is the oldest one kept."""

    first_offset: Offset


@dataclass(frozen=True, slots=True)
class LatestRecordsPage:
    """A page of the newest records by key; ``has_more`` tells whether others follow."""

    records: Sequence[KeyedRecord]
    has_more: bool
    end_offset: Offset


@dataclass(frozen=True, slots=True)
class Producer:
    """Writer whose appends are fenced by epoch and numbered by sequence."""

    name: str
    epoch: int
    sequence: int


class Store:
    """Calls of the platform's store."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        """Call the store at ``address``."""
        self._http = http
        self._address = address

    async def append(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        deadline: Instant,
        expected_end: Offset | None = None,
        producer: Producer | None = None,
    ) -> AppendResult:
        """Append keyed records all or nothing, if the partition ends ``at``."""
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        if expected_end is not None:
            query["at"] = expected_end
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        target = f"/api/log-append?{urlencode(query)}"
        body = b"".join(_encode_keyed(record) for record in records)
        outcome = await self._http.call(
            self._address, "POST", target, deadline, body, _RAW_HEADER
        )
        try:
            return _append_result(outcome)
        except _MALFORMED as error:
            return _malformed(error)

    async def read(
        self,
        topic: Topic,
        start: Offset,
        wait_ms: int,
        deadline: Instant,
    ) -> RecordsPage | Trimmed | StoreError:
        """Return records from ``start`` on, waiting for one at most ``wait_ms``."""
        query = {"topic": topic, "part": _PARTITION, "from": start, "waitMs": wait_ms}
        target = f"/api/log-read?{urlencode(query)}"
        outcome = await self._http.call(self._address, "GET", target, deadline)
        try:
            if isinstance(outcome, Reply) and outcome.status == 410:
                return Trimmed(Offset(int(orjson.loads(outcome.body)["first"])))
            if not isinstance(outcome, Reply) or outcome.status != 200:
                return _error(outcome)
            return _decode_records(outcome.body, start)
        except _MALFORMED as error:
            return _malformed(error)

    async def read_latest(
        self, topic: Topic, after: str, deadline: Instant
    ) -> LatestRecordsPage | StoreError:
        """Return the page of newest records whose keys follow ``after``."""
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        if after:
            query["after"] = after
        target = f"/api/log-newest?{urlencode(query)}"
        outcome = await self._http.call(self._address, "GET", target, deadline)
        if not isinstance(outcome, Reply) or outcome.status != 200:
            return _error(outcome)
        try:
            return _decode_page(orjson.loads(outcome.body))
        except _MALFORMED as error:
            return _malformed(error)


_RAW_HEADER = "Content-Type: application/octet-stream\r\n"


def _encode_keyed(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _decode_records(body: bytes, start: Offset) -> RecordsPage:
    end, _first = _READ_HEAD.unpack_from(body)
    position = _READ_HEAD.size
    records = []
    offset = start
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(_decode_keyed(body[position : position + length], offset))
        position += length
        offset = Offset(offset + 1)
    return RecordsPage(records, Offset(end), offset)


def _decode_keyed(content: bytes, offset: Offset) -> KeyedRecord:
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, content[key_end:], offset)


_MALFORMED = (IndexError, KeyError, TypeError, ValueError, struct.error)


def _malformed(error: Exception) -> StoreError:
    """Return that an answer makes no sense; the call may have taken effect."""
    return StoreError(
        StoreErrorKind.OUTCOME_UNKNOWN, f"{type(error).__name__}: {error}"
    )


def _decode_page(page: Mapping[str, Any]) -> LatestRecordsPage:
    records = [
        KeyedRecord(
            item["key"], base64.b64decode(item["value"]), Offset(item["offset"])
        )
        for item in page["items"]
    ]
    return LatestRecordsPage(records, bool(page["more"]), Offset(int(page["end"])))


def _append_result(outcome: CallResult) -> AppendResult:
    if isinstance(outcome, CallError):
        return _error(outcome)
    if outcome.status == 200:
        answer = orjson.loads(outcome.body)
        return Appended(Offset(int(answer["offset"])), Offset(int(answer["end"])))
    if outcome.status == 412:
        return OffsetMismatch(Offset(int(orjson.loads(outcome.body)["end"])))
    if outcome.status == 409:
        answer = orjson.loads(outcome.body)
        if answer.get("reason") == "fenced":
            return Fenced()
        return OutOfSequence(int(answer.get("sequence", 0)))
    return _error(outcome)


def _error(outcome: CallResult) -> StoreError:
    if isinstance(outcome, Reply):
        return StoreError(StoreErrorKind.NOT_APPLIED, f"status {outcome.status}")
    if outcome.kind is CallErrorKind.NOT_SENT:
        return StoreError(StoreErrorKind.NOT_APPLIED, outcome.detail)
    return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, outcome.detail)
