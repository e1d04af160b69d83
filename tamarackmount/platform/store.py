"""Client of the platform's store, a log of topics with partitions.

Records of topics whose names begin with ``keyed.`` have keys. The store trims old
records, but not the latest record of a key, unless that one has an empty value, which
deletes the key.

In appends and reads, a record is its length as four bytes, the length of its key as one
byte, the key and the value; the first length covers all that follows it. The reply to a
read begins with two offsets of eight bytes, the end of the partition and its first
offset. All numbers are big-endian.
"""

import base64
import json
import logging
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType
from urllib.parse import urlencode

import orjson

from tamarackmount.ids import Instant, Offset
from tamarackmount.platform.decoding import DECODING_ERRORS
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    CallResult,
    HttpClient,
    Reply,
)

Topic = NewType("Topic", str)
"""Name of a topic; only its partition 0 is used."""

OPERATOR_TOPIC = Topic("keyed.op")
"""Topic that operators write: the configuration and maintenance waves."""

WORKERS_TOPIC = Topic("keyed.servers")
"""Topic where workers write their registrations."""

STATUS_TOPIC = Topic("keyed.status")
"""Topic where this system writes its status for operators."""

JSON_HEADER = "Content-Type: application/json\r\n"
"""Header line of requests with a JSON body."""

DEFAULT_MAX_APPEND_BYTES = 2 * 1024 * 1024
"""Maximum size of the records of one append, in bytes, if the settings name none."""

DEFAULT_MAX_RECORD_BYTES = 256 * 1024
"""Maximum size of one record, in bytes, if the settings name none."""

MAX_KEY_BYTES = 255
"""Maximum length of a record's key, in bytes; its length is one byte."""

MAX_OFFSET = 2**63 - 1
"""Maximum offset of a record."""

_log = logging.getLogger(__name__)

_PARTITION = 0
_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class StoreErrorKind(Enum):
    """Why a call to the store failed.

    ``NOT_APPLIED`` means that the call had no effect. After ``OUTCOME_UNKNOWN``, an
    append may have taken effect or may still do so.
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
    """An append that took effect; its first record is at ``offset``."""

    offset: Offset
    end_offset: Offset


@dataclass(frozen=True, slots=True)
class OffsetMismatch:
    """The partition did not end at the offset that the append expected."""

    end_offset: Offset


@dataclass(frozen=True, slots=True)
class Fenced:
    """A producer with the same name and a higher epoch has written."""


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """The sequence number of the append does not follow the previous one."""

    expected_sequence: int


AppendResult = Appended | OffsetMismatch | Fenced | OutOfSequence | StoreError
"""How an append ended."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key.

    A record that can't be decoded has an empty key and an empty value, which mean
    nothing in any topic: it must not keep a reader from the records behind it.
    """

    key: str
    value: bytes
    offset: Offset = Offset(-1)


@dataclass(frozen=True, slots=True)
class RecordsPage:
    """Records read from a partition.

    ``end_offset`` is the offset of the next append, ``next_offset`` that of the next
    read.
    """

    records: Sequence[KeyedRecord]
    end_offset: Offset
    next_offset: Offset


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The requested offset was deleted; ``first_offset`` is the oldest one kept."""

    first_offset: Offset


@dataclass(frozen=True, slots=True)
class LatestRecordsPage:
    """A page of the latest records by key; ``has_more`` tells if more pages follow.

    The next page follows ``last_key``.
    """

    records: Sequence[KeyedRecord]
    has_more: bool
    end_offset: Offset
    last_key: str = ""


@dataclass(frozen=True, slots=True)
class Producer:
    """A writer whose appends are fenced by its epoch and numbered in sequence."""

    name: str
    epoch: int
    sequence: int


class Store:
    """Client of the platform's store."""

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        max_append_bytes: int = DEFAULT_MAX_APPEND_BYTES,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
    ) -> None:
        """Send requests to ``address``.

        The store rejects an append of more than ``max_append_bytes`` and a record of
        more than ``max_record_bytes``.
        """
        self._http = http
        self._address = address
        self.max_append_bytes = max_append_bytes
        self.max_record_bytes = max_record_bytes

    async def append(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        deadline: Instant,
        expected_end: Offset | None = None,
        producer: Producer | None = None,
    ) -> AppendResult:
        """Append all of ``records`` or none.

        If ``expected_end`` is given, append only if the partition ends there.
        """
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        if expected_end is not None:
            query["at"] = expected_end
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        target = f"/api/log-append?{urlencode(query)}"
        body = b"".join(_encode_record(record) for record in records)
        result = await self._http.call(
            self._address, "POST", target, deadline, body, _BYTES_HEADER
        )
        try:
            return _decode_append_reply(result)
        except _DECODING_ERRORS as error:
            return _malformed_reply(error)

    async def read(
        self,
        topic: Topic,
        start: Offset,
        wait_ms: int,
        deadline: Instant,
    ) -> RecordsPage | Trimmed | StoreError:
        """Return records from ``start`` on; wait up to ``wait_ms`` for the first."""
        query = {"topic": topic, "part": _PARTITION, "from": start, "waitMs": wait_ms}
        target = f"/api/log-read?{urlencode(query)}"
        result = await self._http.call(self._address, "GET", target, deadline)
        try:
            if isinstance(result, Reply) and result.status == 410:
                return Trimmed(Offset(int(orjson.loads(result.body)["first"])))
            if not isinstance(result, Reply) or result.status != 200:
                return _call_error(result)
            return _decode_records_page(result.body, start)
        except _DECODING_ERRORS as error:
            return _malformed_reply(error)

    async def read_latest(
        self, topic: Topic, after: str, deadline: Instant
    ) -> LatestRecordsPage | StoreError:
        """Return the first page of the latest records whose keys follow ``after``."""
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        if after:
            query["after"] = after
        target = f"/api/log-newest?{urlencode(query)}"
        result = await self._http.call(self._address, "GET", target, deadline)
        if not isinstance(result, Reply) or result.status != 200:
            return _call_error(result)
        try:
            return _decode_latest_page(_load_page(result.body))
        except _DECODING_ERRORS as error:
            return _malformed_reply(error)


_BYTES_HEADER = "Content-Type: application/octet-stream\r\n"


def record_bytes(record: KeyedRecord) -> int:
    """Return the size of a record as the store limits it, in bytes."""
    return 1 + len(record.key.encode()) + len(record.value)


def encoded_bytes(record: KeyedRecord) -> int:
    """Return the size of a record in an append, in bytes."""
    return _RECORD_LENGTH.size + record_bytes(record)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    payload = bytes((len(key),)) + key + record.value
    return _RECORD_LENGTH.pack(len(payload)) + payload


def _decode_records_page(body: bytes, start: Offset) -> RecordsPage:
    end, _first = _READ_HEADER.unpack_from(body)
    position = _READ_HEADER.size
    records: list[KeyedRecord] = []
    offset = start
    while position < len(body):
        payload_start = position + _RECORD_LENGTH.size
        length = int.from_bytes(body[position:payload_start], "big")
        position = payload_start + length
        if position > len(body) and records:
            # The next read begins with this record, and may get all of it.
            break
        is_whole = position <= len(body)
        payload = body[payload_start:position] if is_whole else b""
        records.append(_decode_record(payload, offset))
        offset = Offset(offset + 1)
    return RecordsPage(records, Offset(end), offset)


def _decode_record(payload: bytes, offset: Offset) -> KeyedRecord:
    key_end = 1 + payload[0] if payload else 1
    if key_end > len(payload):
        return _undecodable(offset, "empty or cut payload")
    key = payload[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, payload[key_end:], offset)


def _undecodable(offset: Offset, reason: str) -> KeyedRecord:
    extra = {"offset": offset, "reason": reason}
    _log.warning("stored record not decodable; passed over", extra=extra)
    return KeyedRecord("", b"", offset)


_DECODING_ERRORS = (*DECODING_ERRORS, struct.error)


def _malformed_reply(error: Exception) -> StoreError:
    """Return the error for a malformed reply; the call may have taken effect."""
    return StoreError(
        StoreErrorKind.OUTCOME_UNKNOWN, f"{type(error).__name__}: {error}"
    )


def _load_page(body: bytes) -> Any:
    """Return the JSON of a page, also if the key of a record is no valid text."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return json.loads(body.decode("utf-8", "replace"))


def _decode_latest_page(page: Mapping[str, Any]) -> LatestRecordsPage:
    items = page["items"]
    records = [_decode_item(item) for item in items]
    keys = [
        item["key"]
        for item in items
        if isinstance(item, dict) and _is_encodable(item.get("key"))
    ]
    has_more = bool(page["more"])
    if has_more and items and not keys:
        raise ValueError("no key that the next page follows")
    last_key = keys[-1] if keys else ""
    return LatestRecordsPage(records, has_more, Offset(int(page["end"])), last_key)


def _decode_item(item: Any) -> KeyedRecord:
    """Return a record of a snapshot; one that can't be decoded has an empty key."""
    try:
        return KeyedRecord(
            _text(item["key"]),
            base64.b64decode(_text(item["value"])),
            _offset(item["offset"]),
        )
    except _DECODING_ERRORS as error:
        return _undecodable(Offset(-1), f"{type(error).__name__}: {error}")


def _offset(value: Any) -> Offset:
    if type(value) is not int or not 0 <= value <= MAX_OFFSET:
        raise ValueError(f"offset: expected a whole number from 0 to {MAX_OFFSET}")
    return Offset(value)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, got {type(value).__name__}")
    if not _is_encodable(value):
        raise ValueError("expected a text that can be encoded")
    return value


def _is_encodable(value: Any) -> bool:
    """Tell whether a value is a text without parts of characters (surrogates)."""
    return isinstance(value, str) and not any(
        "\ud800" <= character <= "\udfff" for character in value
    )


def _decode_append_reply(result: CallResult) -> AppendResult:
    if isinstance(result, CallError):
        return _call_error(result)
    if result.status == 200:
        reply = orjson.loads(result.body)
        return Appended(Offset(int(reply["offset"])), Offset(int(reply["end"])))
    if result.status == 412:
        return OffsetMismatch(Offset(int(orjson.loads(result.body)["end"])))
    if result.status == 409:
        reply = orjson.loads(result.body)
        if reply["reason"] == "fenced":
            return Fenced()
        if reply["reason"] == "seq":
            return OutOfSequence(int(reply["sequence"]))
        raise ValueError(f"reason: expected 'fenced' or 'seq', got {reply['reason']!r}")
    return _call_error(result)


def _call_error(result: CallResult) -> StoreError:
    if isinstance(result, Reply):
        return StoreError(StoreErrorKind.NOT_APPLIED, f"status {result.status}")
    if result.kind is CallErrorKind.NOT_SENT:
        return StoreError(StoreErrorKind.NOT_APPLIED, result.detail)
    return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, result.detail)
