"""Build requests of clients that do not behave, as bytes on the wire."""

import struct
from typing import Any

import orjson

from tamarackmount.internal.codec import MAX_MESSAGE_BYTES
from tests.utils.build_platform_documents import job_document

HOST = "host.example"
API_KEY = "k1"
PREFIX = "/stock/"

MAX_BODY_BYTES = 262_144
"""Largest body that the configuration allows, in bytes."""

MAX_STEPS = 20_000
"""Number of steps of a job with as many tasks as are allowed, one each."""

MAX_STORABLE_STEPS = 900
"""Number of steps of a job whose record is just short of the store's largest one."""

LONG_DEADLINE_MS = 600_000
"""Longest time that a caller may say to wait, in milliseconds."""


def largest_job(**changes: Any) -> bytes:
    """Return a valid job that is padded to the largest body."""
    document = {**job_document(), **changes, "padding": ""}
    missing = MAX_BODY_BYTES - len(orjson.dumps(document))
    return orjson.dumps({**document, "padding": "x" * missing})


def job_of_many_steps(steps: int) -> bytes:
    """Return a valid job of this many steps that is padded to the largest body."""
    return largest_job(steps=[{"count": 1}] * steps)


def post_head(job: int, *headers: str, deadline_ms: int = LONG_DEADLINE_MS) -> bytes:
    """Return the headers of a request that submits a job."""
    lines = (
        f"POST {PREFIX}{job:016x} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {API_KEY}",
        "Content-Type: application/json",
        f"Deadline-Remaining: {deadline_ms}",
        *headers,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def with_length(job: int, length: int) -> bytes:
    """Return the headers of a job whose body has an announced length in bytes."""
    return post_head(job, f"Content-Length: {length}")


def with_chunks(job: int) -> bytes:
    """Return the headers of a job whose body is chunked."""
    return post_head(job, "Transfer-Encoding: chunked")


def chunked(body: bytes, chunk_bytes: int) -> bytes:
    """Return a body in chunks of this size, without the one that ends it."""
    return b"".join(
        b"%x\r\n%b\r\n" % (len(chunk), chunk)
        for chunk in (
            body[start : start + chunk_bytes]
            for start in range(0, len(body), chunk_bytes)
        )
    )


LAST_CHUNK = b"0\r\n\r\n"
"""The end of a chunked body."""


def get_request(path: str, *headers: str) -> bytes:
    """Return a request for a path, with the key of a caller."""
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {API_KEY}",
        *headers,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


SHORT_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
"""A request that is much shorter than any answer."""


def endless_headers(path: str, total_bytes: int) -> bytes:
    """Return a request whose headers do not end, of this size at least."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}"]
    size = sum(len(line) + 2 for line in lines)
    while size < total_bytes:
        lines.append(f"X-Header-{len(lines)}: {'x' * 1_000}")
        size += len(lines[-1]) + 2
    return "\r\n".join(lines).encode() + b"\r\n"


def short_frame(sent_bytes: int) -> bytes:
    """Return the start of the largest message of another node."""
    return struct.pack(">I", MAX_MESSAGE_BYTES) + b"x" * sent_bytes
