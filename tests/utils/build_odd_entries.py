"""Entries in lists of the store that another writer may have left there."""

from typing import Any

import orjson

from tests.utils.build_platform_documents import worker_document


def nested_list(depth: int) -> bytes:
    """Return the JSON of lists in lists."""
    return b"[" * depth + b"]" * depth


def worker_text(field: str, value: bytes) -> bytes:
    """Return a worker's registration in which one field has this JSON."""
    document: dict[str, Any] = worker_document()
    document.pop(field, None)
    rest = orjson.dumps(document)[1:]
    return b"{" + orjson.dumps(field) + b":" + value + b"," + rest


ODD_IDS = (
    "",
    "\ufffd\ufffd-3",
    "m-\u20ac",
    "a b",
    "a\r\nX-Header: b",
    "x" * 240,
)
"""Ids under which a registration names no worker. The second one stands for bytes that
are no text, as the store's client reads them."""

ODD_VALUES = (
    nested_list(300),
    nested_list(990),
    nested_list(100_000),
    b"1e308",
    b"1e400",
    b"9" * 5_000,
    b"18446744073709551615",
    b"-1",
    b"null",
    b"true",
    b'"\\ud800"',
    b'"10.128.0.9:99999"',
    b'"10.128.0.9:0"',
    b'"10.128.0.9:-1"',
    b'"10.128.0.9"',
    b'"worker.example:80"',
    b'"\\u20ac:80"',
    b'"10.128.0.9\\r\\nX: 1:80"',
    b"[1]",
    b"[" + nested_list(980) + b"]",
    b'{"cpu":1e308}',
    b'{"cpu":-1}',
)
"""JSON, or what looks like it, that no field of a registration may have, but for texts
in ``TEXT_FIELDS``."""

FIELDS = (
    "state",
    "address",
    "labels",
    "capacity",
    "born",
    "service",
    "zone",
    "version",
)
"""Fields whose type is checked, but for numbers that are not used."""

TEXT_FIELDS = ("service", "zone", "version")
"""Those that may have any text."""
