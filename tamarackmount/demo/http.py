"""HTTP calls of the harness and its clock."""

import secrets
from typing import Protocol, cast

from returns.result import Success
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from tamarackmount.client import Client
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.http_calls import HttpRequest, HttpResponse, make_opener

CALL_TIMEOUT_SECONDS = 15.0
"""Longest wait for a whole reply, in seconds."""

TOKEN_BYTES = 8
"""Random bytes in a token that a client makes up."""


class _Clock(Protocol):
    def seconds(self) -> float: ...


class HttpCaller:
    """Calls over fresh connections, so that no reply can belong to another call."""

    def __init__(self, reactor: IReactorTime) -> None:
        """Call through ``reactor``."""
        self.reactor = reactor
        self._opener = make_opener(reactor)

    def client(self, daemon: DaemonPlan, key: str) -> Client:
        """Return a client of one entry VM."""
        return Client(daemon.url, self._opener, _make_token, key=key)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> HttpResponse | None:
        """Return a whole response, or ``None`` when none came in ``timeout`` s."""
        request = HttpRequest(method, url, (), body, timeout)
        result = await self._opener.send(request)
        return result.unwrap() if isinstance(result, Success) else None

    def now(self) -> float:
        """Return the reading of the harness's clock, in seconds."""
        return float(cast(_Clock, self.reactor).seconds())

    async def sleep(self, seconds: float) -> None:
        """Return after some seconds."""
        await deferLater(self.reactor, seconds, lambda: None)


def _make_token() -> str:
    return secrets.token_hex(TOKEN_BYTES)
