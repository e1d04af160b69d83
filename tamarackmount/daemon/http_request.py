"""What the headers of callers' requests ask for."""

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
"""Longest time that a caller may wait, in milliseconds."""

_REQUEST_ID = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
_BOOLEANS = {"true": True, "false": False}
_OWN_HEADERS = frozenset(
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
    """What the headers of a queue's request ask for.

    ``timeout_ms`` is ``None`` where the queue's own applies.
    """

    request_id: RequestId
    idempotent: bool
    timeout_ms: int | None
    traceparent: str


def key_hash(request: HttpRequest) -> KeyHash | None:
    """Return the hash of the key that came with a request."""
    scheme, _, key = header(request, "authorization").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return hash_key(key.strip())


def read_options(request: HttpRequest) -> Result[RequestOptions, str]:
    """Return what the headers ask for, or what is wrong with them."""
    request_id = header(request, "request-id") or secrets.token_hex(12)
    if not _REQUEST_ID.match(request_id):
        return Failure("Request-Id: 1 to 128 characters of A-Za-z0-9._:- expected")
    method = request.method.decode("ascii", "replace")
    default = "true" if method in _IDEMPOTENT_METHODS else "false"
    idempotent = _BOOLEANS.get((header(request, "idempotent") or default).lower())
    if idempotent is None:
        return Failure("Idempotent: true or false expected")
    timeout = header(request, "timeout-ms")
    if timeout and not _is_timeout(timeout):
        return Failure(
            f"Timeout-Ms: a whole number from 1 to {MAX_TIMEOUT_MS} expected"
        )
    return Success(
        RequestOptions(
            request_id=RequestId(request_id),
            idempotent=idempotent,
            timeout_ms=int(timeout) if timeout else None,
            traceparent=header(request, "traceparent"),
        )
    )


def _is_timeout(text: str) -> bool:
    return text.isascii() and text.isdigit() and 1 <= int(text) <= MAX_TIMEOUT_MS


def end_to_end_headers(request: HttpRequest) -> list[HttpHeader]:
    """Return the headers that go on to an upstream."""
    listed = header(request, "connection").lower().encode("latin-1").split(b",")
    left_out = _OWN_HEADERS | {name.strip() for name in listed}
    return [
        HttpHeader(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in request.requestHeaders.getAllRawHeaders()
        if name.lower() not in left_out
        for value in values
    ]
