"""Calls to addresses that are no IP addresses fail at once, and start no thread."""

from typing import Any

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.selectreactor import SelectReactor

from tamarackmount.ids import Instant
from tamarackmount.node.no_resolver import NoResolver
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    HttpClient,
)


@pytest.mark.parametrize("address", ["1e308", "10.0.0.1:99999999", "worker.example:80"])
def test_a_call_to_an_odd_address_is_not_sent_and_starts_no_thread(
    address: str,
) -> None:
    # Guards against a thread for a name, which keeps a failed process from ending.
    loop: Any = SelectReactor()
    loop.installResolver(NoResolver())
    http = HttpClient(loop)
    deadline = Instant(loop.seconds() + 1.0)
    calling = ensureDeferred(http.call(Address(address), "GET", "/", deadline))
    for _ in range(5):
        loop.iterate(0)
    result: Any = calling.result
    assert isinstance(result, CallError)
    assert result.kind is CallErrorKind.NOT_SENT
    assert loop.threadpool is None
