"""Typed view of Twisted's requests and helpers that respond to them."""

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
        """Set the status code of the response."""

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Set one header of the response."""

    def write(self, data: bytes) -> None:
        """Send part of the response's body."""

    def finish(self) -> None:
        """End the response."""

    def notifyFinish(self) -> "Deferred[None]":  # noqa: N802
        """Fire when the response is sent, or fail when the connection is lost."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once everything written is sent."""


Handler = Callable[[WebRequest], bytes | None]
"""Returns the body of a response, or ``None`` if the request is answered later."""


class HandlerResource(Resource):
    """Leaf resource that passes every request to one function."""

    isLeaf = True  # noqa: N815

    def __init__(self, handler: Handler) -> None:
        """Answer requests with ``handler``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._handler = handler

    def render(self, request: WebRequest) -> bytes | int:
        """Answer one request."""
        body = self._handler(request)
        if body is None:
            return NOT_DONE_YET
        return body


def make_site(resource: Resource) -> Site:
    """Return a site without an access log and without tracebacks in responses."""
    site: Site = Site(resource)  # type: ignore[no-untyped-call]
    site.noisy = False
    site.displayTracebacks = False
    return site


def answer_json_text(request: WebRequest, status: int, text: str) -> bytes:
    """Set the status and the JSON content type; return a JSON text as the body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return text.encode()


def answer_json(request: WebRequest, status: int, body: object) -> bytes:
    """Set the status and return an object as JSON."""
    return answer_json_text(request, status, json.dumps(body))


def answer_model(request: WebRequest, status: int, body: BaseModel) -> bytes:
    """Set the status and return a model as JSON."""
    return answer_json_text(request, status, body.model_dump_json())


def answer_invalid(request: WebRequest, error: ValidationError) -> bytes:
    """Reject input that does not match its schema, with status 400."""
    errors = error.errors(include_url=False, include_context=False, include_input=False)
    return answer_json(request, 400, {"error": "bad_request", "errors": errors})


def answer_not_found(request: WebRequest) -> bytes:
    """Reject a path that is not served, with status 404."""
    return answer_json(request, 404, {"error": "not_found"})


def answer_after_delay(
    timer: Timer, delay_s: float, request: WebRequest, body: bytes
) -> bytes | None:
    """Return the body at once, or send it after a delay and return ``None``."""
    if delay_s <= 0:
        return body
    call = timer.callLater(delay_s, finish, request, body)
    on_connection_lost(request, call.cancel)
    return None


def on_connection_lost(request: WebRequest, callback: Callable[[], None]) -> None:
    """Call ``callback`` if the connection is lost before the response is finished."""
    request.notifyFinish().addErrback(lambda failure: callback())


def finish(request: WebRequest, body: bytes) -> None:
    """Send the body and end the response."""
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def close_connection(request: WebRequest) -> None:
    """Close the connection of a request without finishing its response."""
    on_connection_lost(request, lambda: None)
    request.loseConnection()


def read_body(request: WebRequest) -> bytes:
    """Return the whole body of a request."""
    if request.content is None:
        return b""
    return request.content.read()


def path_segments(request: WebRequest) -> list[str]:
    """Return the decoded segments of the request's path."""
    return [part.decode("utf-8", "replace") for part in request.postpath or []]


def query_argument(request: WebRequest, name: bytes) -> str | None:
    """Return the first value of a query argument, or ``None``."""
    values = (request.args or {}).get(name)
    if not values:
        return None
    return values[0].decode("ascii", "replace")


def request_header(request: WebRequest, name: bytes) -> str | None:
    """Return the first value of a request header, or ``None``."""
    values = request.requestHeaders.getRawHeaders(name)
    if not values:
        return None
    return values[0].decode("latin-1")
