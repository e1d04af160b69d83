"""Entry VMs that answer callers from a script, without any network."""

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock

from tamarackmount.client import Client
from tamarackmount.demo.http import HttpCaller
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.http_calls import (
    Header,
    HttpFailure,
    HttpRequest,
    HttpResponse,
)

Reaction = Callable[[HttpRequest], Result[HttpResponse, HttpFailure]]
"""What an entry VM does with one request."""


def answered(request: HttpRequest) -> Result[HttpResponse, HttpFailure]:
    """Answer as an upstream would: with the request's id and body hash."""
    echo = {
        "request_id": _header(request, "Request-Id"),
        "body_sha256": hashlib.sha256(request.body).hexdigest(),
    }
    headers = (Header("Outcome", "answered"),)
    return Success(HttpResponse(200, headers, json.dumps(echo).encode()))


def crossed(request: HttpRequest) -> Result[HttpResponse, HttpFailure]:
    """Give the answer to another request."""
    return answered(HttpRequest("POST", request.url, request.headers, b"other", 1.0))


def refused(outcome: str, error: str) -> Reaction:
    """Refuse with an error object."""

    def react(_: HttpRequest) -> Result[HttpResponse, HttpFailure]:
        body = json.dumps({"error": error, "outcome": outcome})
        return Success(HttpResponse(503, (Header("Outcome", outcome),), body.encode()))

    return react


def unreachable(sent: bool) -> Reaction:
    """End without any response."""
    return lambda _: Failure(HttpFailure(sent, "no response"))


def _header(request: HttpRequest, name: str) -> str:
    return next(header.value for header in request.headers if header.name == name)


@dataclass(slots=True)
class FakeOpener:
    """Plays one reaction after the other and keeps the requests."""

    reactions: list[Reaction]
    requests: list[HttpRequest] = field(default_factory=list)

    def send(self, request: HttpRequest) -> Deferred[Result[HttpResponse, HttpFailure]]:
        """React to a request at once."""
        self.requests.append(request)
        return succeed(self.reactions.pop(0)(request))

    def sent_ids(self) -> list[str]:
        """Return the request ids in the order of sending."""
        return [_header(request, "Request-Id") for request in self.requests]


class FakeHttp(HttpCaller):
    """Calls scripted entry VMs on a virtual clock."""

    def __init__(self, clock: Clock, opener: FakeOpener) -> None:
        """Play the reactions of ``opener``."""
        super().__init__(IReactorTime(clock))
        self.fake_opener = opener

    def client(self, daemon: DaemonPlan, key: str) -> Client:
        """Return a client that reaches the script only."""
        return Client(daemon.url, self.fake_opener, lambda: "token", key=key)
