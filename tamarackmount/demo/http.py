"""HTTP calls of the harness: each ends in a whole reply or a named failure."""

from dataclasses import dataclass
from enum import Enum
from io import BytesIO
from typing import Protocol, cast

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    PartialDownloadError,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer

CONNECT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a connection, in seconds."""

CALL_TIMEOUT_SECONDS = 15.0
"""Longest wait for a whole reply when the caller names none, in seconds."""

LOST_REPLY_ERRORS = (
    ConnectionClosed,
    PartialDownloadError,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
)
"""How twisted.web says that a connection ended before the whole reply came."""


class CallFailure(Enum):
    """Why a call ended without a whole reply."""

    NOT_CONNECTED = "not connected"
    LOST = "connection lost"
    TIMEOUT = "timeout"


class ErrorObject(BaseModel):
    """The part of an error object that the harness reads."""

    error: str


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole HTTP reply."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        values = self.headers.getRawHeaders(name)
        return values[0] if values else ""

    def error_code(self) -> str:
        """Return ``error`` of an error object, or an empty text."""
        try:
            return ErrorObject.model_validate_json(self.body).error
        except ValidationError:
            return ""


CallResult = Result[Reply, CallFailure]


def _producer(body: bytes) -> IBodyProducer:
    producer = FileBodyProducer(BytesIO(body))  # type: ignore[no-untyped-call]
    return cast(IBodyProducer, producer)


class _Clock(Protocol):
    def seconds(self) -> float: ...


class HttpCaller:
    """Calls over fresh connections, so that no reply can belong to another call."""

    def __init__(self, reactor: IReactorTime) -> None:
        """Call through ``reactor``."""
        self.reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=False)  # type: ignore[no-untyped-call]
        self._agent = Agent(  # type: ignore[no-untyped-call]
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool
        )

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> CallResult:
        """Send one request; ``timeout`` bounds the wait for the head, in seconds."""
        producer = _producer(body) if body else None
        raw_headers = Headers({name: [text] for name, text in (headers or {}).items()})
        request = self._agent.request(
            method.encode(), url.encode(), raw_headers, producer
        )
        request.addTimeout(timeout, self.reactor)
        try:
            response = await request
            content = await readBody(response).addTimeout(timeout, self.reactor)
        except ConnectError:
            return Failure(CallFailure.NOT_CONNECTED)
        except DeferredTimeoutError:
            return Failure(CallFailure.TIMEOUT)
        except LOST_REPLY_ERRORS:
            return Failure(CallFailure.LOST)
        return Success(Reply(response.code, response.headers, content))

    def now(self) -> float:
        """Return the reading of the harness's clock, in seconds."""
        return float(cast(_Clock, self.reactor).seconds())

    async def sleep(self, seconds: float) -> None:
        """Return after some seconds."""
        await deferLater(self.reactor, seconds, lambda: None)
