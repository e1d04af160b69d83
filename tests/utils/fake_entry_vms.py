"""Scripted entry VMs that answer callers without a network."""

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
"""Returns the result of one request to an entry VM."""


def answered(request: HttpRequest) -> Result[HttpResponse, HttpFailure]:
    """Answer as an upstream would: with the request's id and body hash."""
    echo = {
        "request_id": _header(request, "Request-Id"),
        "body_sha256": hashlib.sha256(request.body).hexdigest(),
    }
    headers = (Header("Outcome", "answered"),)
    return Success(HttpResponse(200, headers, json.dumps(echo).encode()))


def crossed(request: HttpRequest) -> Result[HttpResponse, HttpFailure]:
    """Answer with the body hash of another request."""
    return answered(HttpRequest("POST", request.url, request.headers, b"other", 1.0))


def refused(outcome: str, error: str) -> Reaction:
    """Refuse with an error object."""

    def react(_: HttpRequest) -> Result[HttpResponse, HttpFailure]:
        body = json.dumps({"error": error, "outcome": outcome})
        return Success(HttpResponse(503, (Header("Outcome", outcome),), body.encode()))

    return react


def unreachable(sent: bool) -> Reaction:
    """Fail without a response; ``sent`` tells whether any byte was sent."""
    return lambda _: Failure(HttpFailure(sent, "no response"))


def _header(request: HttpRequest, name: str) -> str:
    return next(header.value for header in request.headers if header.name == name)


@dataclass(slots=True)
class FakeOpener:
    """Answers with one reaction after the other and records the requests."""

    reactions: list[Reaction]
    requests: list[HttpRequest] = field(default_factory=list)

    def send(self, request: HttpRequest) -> Deferred[Result[HttpResponse, HttpFailure]]:
        """Return the result of the next reaction, without delay."""
        self.requests.append(request)
        return succeed(self.reactions.pop(0)(request))

    def sent_ids(self) -> list[str]:
        """Return the request ids in the order of sending."""
        return [_header(request, "Request-Id") for request in self.requests]


class FakeHttp(HttpCaller):
    """Calls scripted entry VMs on a virtual clock."""

    def __init__(self, clock: Clock, opener: FakeOpener) -> None:
        """Answer all calls with the reactions of ``opener``."""
        super().__init__(IReactorTime(clock))
        self.fake_opener = opener

    def client(self, daemon: DaemonPlan, key: str) -> Client:
        """Return a client whose calls are answered by the reactions."""
        return Client(daemon.url, self.fake_opener, lambda: "token", key=key)
