"""HTTP calls and the clock of the harness."""

import secrets
from typing import Protocol, cast

from returns.result import Success
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from tamarackmount.client import Client
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.http_calls import HttpRequest, HttpResponse, make_opener

CALL_TIMEOUT_S = 15.0
"""Default time limit of a call, in seconds."""

TOKEN_BYTES = 8
"""Number of random bytes in a token that a client generates."""


class _Clock(Protocol):
    def seconds(self) -> float: ...


class HttpCaller:
    """Sends each call over a new connection, so that replies can't be mixed up."""

    def __init__(self, reactor: IReactorTime) -> None:
        """Send calls and read the time through ``reactor``."""
        self.reactor = reactor
        self._opener = make_opener(reactor)

    def client(self, daemon: DaemonPlan, key: str) -> Client:
        """Return a client that calls one entry VM with a key."""
        return Client(daemon.url, self._opener, _make_token, key=key)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_S,
    ) -> HttpResponse | None:
        """Return the response, or ``None`` if it isn't complete in ``timeout`` s."""
        request = HttpRequest(method, url, (), body, timeout)
        result = await self._opener.send(request)
        return result.unwrap() if isinstance(result, Success) else None

    def now(self) -> float:
        """Return the time of the reactor's clock, in seconds."""
        return float(cast(_Clock, self.reactor).seconds())

    async def sleep(self, seconds: float) -> None:
        """Wait for some seconds."""
        await deferLater(self.reactor, seconds, lambda: None)


def _make_token() -> str:
    return secrets.token_hex(TOKEN_BYTES)
