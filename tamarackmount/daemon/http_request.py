"""Parsing of the headers of callers' requests."""

import re
import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.web.http import Request as HttpRequest

from tamarackmount.ids import KeyHash, RequestId
from tamarackmount.internal.bounded_request import header
from tamarackmount.internal.keys import hash_key
from tamarackmount.kernel.messages import HttpHeader

MAX_TIMEOUT_MS = 600_000
"""Longest timeout that a caller may ask for, in milliseconds."""

_REQUEST_ID = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
_BOOLEANS = {"true": True, "false": False}
_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"host",
        b"idempotent",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"request-id",
        b"te",
        b"timeout-ms",
        b"traceparent",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that a caller sets by the headers of a request to a queue.

    ``timeout_ms`` is ``None`` if the timeout of the queue applies.
    """

    request_id: RequestId
    idempotent: bool
    timeout_ms: int | None
    traceparent: str


def key_hash(request: HttpRequest) -> KeyHash | None:
    """Return the hash of a request's bearer key, or ``None`` if it has none."""
    scheme, _, key = header(request, "authorization").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return hash_key(key.strip())


def read_options(request: HttpRequest) -> Result[RequestOptions, str]:
    """Return the options in the headers, or a message about an invalid header."""
    request_id = header(request, "request-id") or secrets.token_hex(12)
    if not _REQUEST_ID.match(request_id):
        return Failure("Request-Id: expected 1 to 128 characters of A-Za-z0-9._:-")
    method = request.method.decode("ascii", "replace")
    default = "true" if method in _IDEMPOTENT_METHODS else "false"
    idempotent = _BOOLEANS.get((header(request, "idempotent") or default).lower())
    if idempotent is None:
        return Failure("Idempotent: expected true or false")
    timeout = header(request, "timeout-ms")
    if timeout and not _is_valid_timeout(timeout):
        return Failure(
            f"Timeout-Ms: expected a whole number from 1 to {MAX_TIMEOUT_MS} ms"
        )
    return Success(
        RequestOptions(
            request_id=RequestId(request_id),
            idempotent=idempotent,
            timeout_ms=int(timeout) if timeout else None,
            traceparent=header(request, "traceparent"),
        )
    )


def _is_valid_timeout(text: str) -> bool:
    return text.isascii() and text.isdigit() and 1 <= int(text) <= MAX_TIMEOUT_MS


def end_to_end_headers(request: HttpRequest) -> list[HttpHeader]:
    """Return the headers that are forwarded to an upstream.

    Headers that ``Connection`` lists are not forwarded.
    """
    connection_options = (
        header(request, "connection").lower().encode("latin-1").split(b",")
    )
    excluded = _NOT_FORWARDED_HEADERS | {name.strip() for name in connection_options}
    return [
        HttpHeader(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in request.requestHeaders.getAllRawHeaders()
        if name.lower() not in excluded
        for value in values
    ]
