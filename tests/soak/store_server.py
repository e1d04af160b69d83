"""The platform's store over HTTP, in front of the in-memory one."""

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

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")
LONGEST_S = 40.0
POLL_S = 0.01


class StoreServer(Resource):
    """Answers calls of nodes; ``put`` writes like operators and workers do."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any) -> None:
        """Begin empty."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self.store = MemoryStore(reactor)
        self.site: Any = Site(self)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self._handlers = {
            b"/api/log-append": self._append,
            b"/api/log-read": self._read,
            b"/api/log-newest": self._newest,
        }

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of the platform's own."""
        self.store.put(Topic(topic), KeyedRecord(key, value))

    def render(self, request: Any) -> int:
        """Answer one call."""
        handler = self._handlers[request.path]
        request.notifyFinish().addErrback(lambda _: None)
        spawn(handler(request))
        return NOT_DONE_YET

    async def _append(self, request: Any) -> None:
        rows = _rows(request.content.read())
        query = _query(request)
        producer = None
        if "producer" in query:
            producer = Producer(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
        at = Offset(int(query["at"])) if "at" in query else None
        result = await self.store.append(
            Topic(query["topic"]), rows, self._deadline(), at, producer
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
            _failed(request, result)

    async def _read(self, request: Any) -> None:
        query = _query(request)
        wait_s = int(query.get("waitMs", 0)) / 1_000
        until = self._reactor.seconds() + wait_s
        topic, start = Topic(query["topic"]), Offset(int(query["from"]))
        while True:
            result = await self.store.read(topic, start, 0, self._deadline())
            is_empty = isinstance(result, RecordsPage) and not result.records
            if not is_empty or self._reactor.seconds() >= until:
                break
            await self.store.sleep(POLL_S)
        if isinstance(result, Trimmed):
            _answer(request, 410, {"first": result.first_offset})
        elif isinstance(result, StoreError):
            _failed(request, result)
        else:
            body = HEAD.pack(result.end_offset, 0) + b"".join(
                map(_packed, result.records)
            )
            _send(request, 200, body)

    async def _newest(self, request: Any) -> None:
        query = _query(request)
        result = await self.store.read_latest(
            Topic(query["topic"]), query.get("after", ""), self._deadline()
        )
        if not isinstance(result, LatestRecordsPage):
            _failed(request, result)
            return
        items = [
            {
                "key": row.key,
                "value": base64.b64encode(row.value).decode(),
                "offset": row.offset,
            }
            for row in result.records
        ]
        _answer(request, 200, {"items": items, "more": False, "end": result.end_offset})

    def _deadline(self) -> Instant:
        return Instant(self._reactor.seconds() + LONGEST_S)


def _query(request: Any) -> dict[str, str]:
    return {name.decode(): row[0].decode() for name, row in request.args.items()}


def _rows(body: bytes) -> list[KeyedRecord]:
    rows, place = [], 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        content = body[place : place + length]
        place += length
        key_end = 1 + content[0]
        rows.append(KeyedRecord(content[1:key_end].decode(), content[key_end:]))
    return rows


def _packed(row: KeyedRecord) -> bytes:
    key = row.key.encode()
    content = bytes((len(key),)) + key + row.value
    return LENGTH.pack(len(content)) + content


def _failed(request: Any, error: StoreError) -> None:
    """Refuse a call, or leave one without an answer whose answer is lost."""
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
