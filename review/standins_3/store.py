"""The platform's store: a log of topics, as the users' PROTOCOL page has it.

Topics have one partition here. Nothing that was acknowledged is lost.
"""

import asyncio
import base64
import struct
import time
from dataclasses import dataclass, field
from typing import Any

from review.standins_3.web import SILENCE, Answer, Request, WebServer, answer

APPEND_S = 0.002
KEPT_ANSWERS = 5
READ_KILOBYTES = 1_024
MAX_ITEMS = 500
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


@dataclass
class Producer:
    """What a partition knows of one producer."""

    epoch: int = -1
    last: int | None = None
    answers: dict[int, Answer] = field(default_factory=dict)


@dataclass
class Partition:
    """The records of one topic: pairs of key and value."""

    rows: list[tuple[bytes, bytes]] = field(default_factory=list)
    producers: dict[str, Producer] = field(default_factory=dict)
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, rows: list[tuple[bytes, bytes]]) -> None:
        """Append rows and wake the readers that wait."""
        self.rows.extend(rows)
        self.grown.set()
        self.grown = asyncio.Event()


@dataclass
class Disruption:
    """What a port of the store does to calls while it is disrupted.

    Appends take ``slowness`` times as long, and so do reads. With ``is_down``, calls
    are not answered and have no effect.
    """

    slowness: float = 1.0
    is_down: bool = False


class Store:
    """Serves the store on several ports, one for each node."""

    def __init__(self) -> None:
        """Begin without records."""
        self.topics: dict[str, Partition] = {}
        self.servers: list[WebServer] = []
        self._handlers = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
        }

    async def open_port(self, disruption: Disruption) -> str:
        """Serve one more port and return its address."""

        async def handle(request: Request) -> Answer:
            handler = self._handlers.get(request.path)
            if handler is None:
                return answer(404)
            return await handler(request, disruption)

        server = WebServer(handle)
        await server.start()
        self.servers.append(server)
        return server.address

    def partition(self, topic: str) -> Partition:
        """Return the partition of a topic."""
        return self.topics.setdefault(topic, Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator and the minions do."""
        self.partition(topic).add([(key.encode(), value)])

    async def _append(self, request: Request, disruption: Disruption) -> Answer:
        if disruption.is_down:
            return SILENCE
        partition = self.partition(request.query["topic"])
        async with partition.turn:
            await asyncio.sleep(APPEND_S * disruption.slowness)
            return _apply(partition, request)

    async def _read(self, request: Request, disruption: Disruption) -> Answer:
        if disruption.is_down:
            return SILENCE
        query = request.query
        partition, start = self.partition(query["topic"]), int(query["from"])
        await asyncio.sleep(APPEND_S * disruption.slowness)
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1_000
        while len(partition.rows) <= start and time.monotonic() < ends_at:
            try:
                left_s = ends_at - time.monotonic()
                await asyncio.wait_for(partition.grown.wait(), left_s)
            except TimeoutError:
                break
        if disruption.is_down:
            return SILENCE
        limit = int(query.get("maxKilobytes", READ_KILOBYTES)) * 1_024
        body = _READ_HEAD.pack(len(partition.rows), 0)
        for key, value in partition.rows[start:]:
            body += _encode(key, value)
            if len(body) > limit:
                break
        return Answer(200, body)

    async def _newest(self, request: Request, disruption: Disruption) -> Answer:
        if disruption.is_down:
            return SILENCE
        await asyncio.sleep(APPEND_S * disruption.slowness)
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "").encode()
        newest: dict[bytes, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(partition.rows):
            newest[key] = (offset, value)
        keys = sorted(key for key, row in newest.items() if key > after and row[1])
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:MAX_ITEMS]
        ]
        more = len(keys) > MAX_ITEMS
        return answer(items=items, more=more, end=len(partition.rows))


def _apply(partition: Partition, request: Request) -> Answer:
    query = request.query
    name = query.get("producer")
    producer = partition.producers.setdefault(name, Producer()) if name else None
    if producer is not None:
        early = _check(producer, int(query["epoch"]), int(query.get("sequence", 0)))
        if early is not None:
            return early
    end = len(partition.rows)
    if "at" in query and int(query["at"]) != end:
        return answer(412, end=end)
    partition.add(_decode(request.body))
    done = answer(offset=end, end=len(partition.rows))
    if producer is not None and "sequence" in query:
        producer.last = int(query["sequence"])
        producer.answers[producer.last] = done
        for old in list(producer.answers)[:-KEPT_ANSWERS]:
            del producer.answers[old]
    return done


def _check(producer: Producer, epoch: int, sequence: int) -> Answer | None:
    """Return the answer to an append that is not to be applied, if so."""
    if epoch < producer.epoch:
        return answer(409, reason="fenced")
    if epoch > producer.epoch:
        producer.epoch, producer.last = epoch, None
        producer.answers.clear()
    if sequence in producer.answers:
        return producer.answers[sequence]
    if producer.last is not None and sequence != producer.last + 1:
        return answer(409, reason="seq", sequence=producer.last + 1)
    return None


def _encode(key: bytes, value: bytes) -> bytes:
    payload = bytes((len(key),)) + key + value
    return _LENGTH.pack(len(payload)) + payload


def _decode(body: bytes) -> list[tuple[bytes, bytes]]:
    rows: list[tuple[bytes, bytes]] = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        payload = body[position + 4 : position + 4 + length]
        key_end = 1 + payload[0]
        rows.append((payload[1:key_end], payload[key_end:]))
        position += 4 + length
    return rows


def newest_value(store: Store, topic: str, key: str) -> Any:
    """Return the newest value of a key, or None."""
    found = [
        value for name, value in store.partition(topic).rows if name == key.encode()
    ]
    return found[-1] if found else None
