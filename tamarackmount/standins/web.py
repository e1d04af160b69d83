"""Typed view of twisted's requests, and the answers that stand-ins give."""

import json
from collections.abc import Callable
from typing import IO, Any, Protocol

from pydantic import BaseModel, ValidationError
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from tamarackmount.adapters.reactor import Timer


class WebRequest(Protocol):
    """The parts of ``twisted.web.server.Request`` that stand-ins use."""

    method: bytes
    uri: bytes
    postpath: list[bytes] | None
    args: dict[bytes, list[bytes]] | None
    content: IO[bytes] | None
    requestHeaders: Headers  # noqa: N815
    channel: Any

    def setResponseCode(self, code: int) -> None:  # noqa: N802
        """Set the status of the answer."""

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Set one header of the answer."""

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""

    def finish(self) -> None:
        """End the answer."""

    def notifyFinish(self) -> "Deferred[None]":  # noqa: N802
        """Fire when the answer is sent, or fail when the connection is lost."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once everything written is sent."""


Handler = Callable[[WebRequest], bytes | None]
"""Answers a request with a body, or with ``None`` when it answers later."""


class HandlerResource(Resource):
    """Leaf resource that hands every request to one function."""

    isLeaf = True  # noqa: N815

    def __init__(self, handler: Handler) -> None:
        """Serve requests by ``handler``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._handler = handler

    def render(self, request: WebRequest) -> bytes | int:
        """Answer one request."""
        body = self._handler(request)
        if body is None:
            return NOT_DONE_YET
        return body


def make_site(resource: Resource) -> Site:
    """Return a site that keeps no access log."""
    site: Site = Site(resource)  # type: ignore[no-untyped-call]
    site.noisy = False
    site.displayTracebacks = False
    return site


def answer_text(request: WebRequest, status: int, text: str) -> bytes:
    """Set the status and type of a JSON answer and return its bytes."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return text.encode()


def answer_json(request: WebRequest, status: int, body: object) -> bytes:
    """Answer with an object as JSON."""
    return answer_text(request, status, json.dumps(body))


def answer_model(request: WebRequest, status: int, body: BaseModel) -> bytes:
    """Answer with a model as JSON."""
    return answer_text(request, status, body.model_dump_json())


def answer_invalid(request: WebRequest, error: ValidationError) -> bytes:
    """Refuse a body that does not match its schema."""
    errors = error.errors(include_url=False, include_context=False, include_input=False)
    return answer_json(request, 400, {"error": "bad_request", "errors": errors})


def answer_not_found(request: WebRequest) -> bytes:
    """Refuse a path that is not served."""
    return answer_json(request, 404, {"error": "not_found"})


def answer_later(
    timer: Timer, delay_s: float, request: WebRequest, body: bytes
) -> bytes | None:
    """Return the body at once, or send it after a delay and return ``None``."""
    if delay_s <= 0:
        return body
    call = timer.callLater(delay_s, finish, request, body)
    on_lost(request, call.cancel)
    return None


def on_lost(request: WebRequest, callback: Callable[[], None]) -> None:
    """Call back if the connection is lost before the answer is finished."""
    request.notifyFinish().addErrback(lambda failure: callback())


def finish(request: WebRequest, body: bytes) -> None:
    """Send the body and end the answer."""
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def cut(request: WebRequest) -> None:
    """Close the request's connection without any more bytes."""
    on_lost(request, lambda: None)
    request.loseConnection()


def read_body(request: WebRequest) -> bytes:
    """Return the whole body of a request."""
    if request.content is None:
        return b""
    return request.content.read()


def segments(request: WebRequest) -> list[str]:
    """Return the parts of the request's path, decoded."""
    return [part.decode("utf-8", "replace") for part in request.postpath or []]


def argument(request: WebRequest, name: bytes) -> str | None:
    """Return a query argument."""
    values = (request.args or {}).get(name)
    if not values:
        return None
    return values[0].decode("ascii", "replace")


def header(request: WebRequest, name: bytes) -> str | None:
    """Return a header of the request."""
    values = request.requestHeaders.getRawHeaders(name)
    if not values:
        return None
    return values[0].decode("latin-1")
