"""A small HTTP/1.1 server and client over asyncio."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

MAX_HEADER_BYTES = 64 * 1024
LOST_CONNECTION = (OSError, EOFError, asyncio.IncompleteReadError, ValueError)


@dataclass
class Request:
    """A request that was read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as JSON."""
        found: dict[str, Any] = json.loads(self.body or b"{}")
        return found


@dataclass
class Answer:
    """A response; none is sent if ``is_silent``."""

    status: int = 200
    body: bytes = b"{}"
    is_silent: bool = False


Handler = Callable[[Request], Awaitable[Answer]]


def answer(status: int = 200, **fields: Any) -> Answer:
    """Return a response with a JSON body."""
    return Answer(status, json.dumps(fields).encode())


SILENCE = Answer(is_silent=True)


@dataclass
class WebServer:
    """Serves one handler on one loopback address."""

    handler: Handler
    host: str = "127.0.0.1"
    port: int = 0
    _server: Any = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; a port of 0 becomes a free one and is kept."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                response = await self.handler(request)
                if response.is_silent:
                    # A connection on which a response is lost returns nothing more.
                    await asyncio.sleep(3_600)
                writer.write(encode_answer(response))
                await writer.drain()
        except (*LOST_CONNECTION, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def encode_answer(response: Answer) -> bytes:
    """Return a response as it is sent."""
    head = (
        f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    start, headers = await read_head(reader)
    if not start:
        return None
    method, target, _ = start.split(" ", 2)
    path, _, query = target.partition("?")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, dict(parse_qsl(query)), headers, body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the header fields of a message."""
    start = (await reader.readline()).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while start:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def call(
    address: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Send one request over a new connection; the status is 0 without an answer."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    rows = {"Content-Length": str(len(data)), **(headers or {})}
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in rows.items())

    async def exchange() -> tuple[int, dict[str, Any]]:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            start, found = await read_head(reader)
            if not start:
                return 0, {}
            text = await reader.readexactly(int(found.get("content-length", "0")))
            content: dict[str, Any] = {}
            with suppress(ValueError):
                content = json.loads(text)
            return int(start.split(" ")[1]), content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (*LOST_CONNECTION, TimeoutError):
        return 0, {}
