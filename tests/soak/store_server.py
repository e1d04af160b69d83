"""The platform's store over HTTP, backed by the in-memory store."""

import base64
import struct
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from tamarackmount.ids import Instant, Offset
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import (
    Appended,
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
from tests.utils.memory_store import MemoryStore

LENGTH_FORMAT = struct.Struct(">I")
READ_HEADER_FORMAT = struct.Struct(">QQ")
MAX_CALL_S = 40.0
POLL_INTERVAL_S = 0.01


class StoreServer(Resource):
    """Answers calls of nodes; ``put`` writes as operators and workers do."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any) -> None:
        """Start with an empty store."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self.store = MemoryStore(reactor)
        self.site: Any = Site(self)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self._handlers = {
            b"/api/log-append": self._append,
            b"/api/log-read": self._read,
            b"/api/log-newest": self._read_latest,
        }

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record that does not come from a node."""
        self.store.put(Topic(topic), KeyedRecord(key, value))

    def render(self, request: Any) -> int:
        """Answer one call."""
        handler = self._handlers[request.path]
        request.notifyFinish().addErrback(lambda _: None)
        spawn(handler(request))
        return NOT_DONE_YET

    async def _append(self, request: Any) -> None:
        records = _decode_records(request.content.read())
        query = _query(request)
        producer = None
        if "producer" in query:
            producer = Producer(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
        expected_end = Offset(int(query["at"])) if "at" in query else None
        result = await self.store.append(
            Topic(query["topic"]), records, self._deadline(), expected_end, producer
        )
        if isinstance(result, Appended):
            _answer(request, 200, {"offset": result.offset, "end": result.end_offset})
        elif isinstance(result, OffsetMismatch):
            _answer(request, 412, {"end": result.end_offset})
        elif isinstance(result, Fenced):
            _answer(request, 409, {"reason": "fenced"})
        elif isinstance(result, OutOfSequence):
            _answer(
                request, 409, {"reason": "seq", "sequence": result.expected_sequence}
            )
        else:
            _answer_error(request, result)

    async def _read(self, request: Any) -> None:
        query = _query(request)
        wait_s = int(query.get("waitMs", 0)) / 1_000
        poll_ends_at = self._reactor.seconds() + wait_s
        topic, from_offset = Topic(query["topic"]), Offset(int(query["from"]))
        while True:
            result = await self.store.read(topic, from_offset, 0, self._deadline())
            is_empty = isinstance(result, RecordsPage) and not result.records
            if not is_empty or self._reactor.seconds() >= poll_ends_at:
                break
            await self.store.sleep(POLL_INTERVAL_S)
        if isinstance(result, Trimmed):
            _answer(request, 410, {"first": result.first_offset})
        elif isinstance(result, StoreError):
            _answer_error(request, result)
        else:
            body = READ_HEADER_FORMAT.pack(result.end_offset, 0) + b"".join(
                map(_encode_record, result.records)
            )
            _send(request, 200, body)

    async def _read_latest(self, request: Any) -> None:
        query = _query(request)
        result = await self.store.read_latest(
            Topic(query["topic"]), query.get("after", ""), self._deadline()
        )
        if not isinstance(result, LatestRecordsPage):
            _answer_error(request, result)
            return
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in result.records
        ]
        _answer(request, 200, {"items": items, "more": False, "end": result.end_offset})

    def _deadline(self) -> Instant:
        return Instant(self._reactor.seconds() + MAX_CALL_S)


def _query(request: Any) -> dict[str, str]:
    return {name.decode(): values[0].decode() for name, values in request.args.items()}


def _decode_records(body: bytes) -> list[KeyedRecord]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH_FORMAT.unpack_from(body, position)
        position += LENGTH_FORMAT.size
        content = body[position : position + length]
        position += length
        key_end = 1 + content[0]
        records.append(KeyedRecord(content[1:key_end].decode(), content[key_end:]))
    return records


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return LENGTH_FORMAT.pack(len(content)) + content


def _answer_error(request: Any, error: StoreError) -> None:
    """Refuse a call that was not applied; send no answer if the outcome is unknown."""
    if error.kind is StoreErrorKind.NOT_APPLIED:
        _answer(request, 503, {})


def _answer(request: Any, status: int, body: dict[str, Any]) -> None:
    _send(request, status, orjson.dumps(body))


def _send(request: Any, status: int, body: bytes) -> None:
    if getattr(request, "_disconnected", False) or request.channel is None:
        return
    request.setResponseCode(status)
    request.write(body)
    request.finish()
