"""Crowds of connections must not exhaust a node's descriptors or its memory."""

from pathlib import Path

import pytest

from tests.utils.build_hostile_requests import (
    PREFIX,
    SHORT_REQUEST,
    chunked,
    endless_headers,
    get_request,
    short_frame,
)
from tests.utils.hostile_clients import Script
from tests.utils.running_node import Limits, check_survival, running_node

CLIENTS = 400

FEW_DESCRIPTORS = Limits(memory_mib=128, file_descriptors=400)
"""Limits of a process with fewer sockets than there are clients."""

MANY_DESCRIPTORS = Limits(memory_mib=128, file_descriptors=4_100)
"""Limits of a process with enough sockets; without callers it takes about 50 MiB."""

HEADER_BYTES = 16_000
"""Size of headers that do not end, just short of what the parser takes."""

BODY_BYTES = 512 * 1024
"""Number of bytes that each client sends to a port that takes no bodies."""

CHUNK_BYTES = 65_536

PIPELINED_REQUESTS = {"entry": 8_000, "readiness": 8_000, "metrics": 200}
"""Number of requests that one client sends, by port: the answers to those of all
clients exceed the memory."""

HTTP_PORTS = ("entry", "readiness", "metrics")
INTERNAL_HTTP_PORTS = ("readiness", "metrics")
PORTS = (*HTTP_PORTS, "peers")
PATHS = {"entry": PREFIX, "readiness": "/api/readiness", "metrics": "/metrics"}


@pytest.mark.parametrize("port", PORTS)
def test_idle_connections_exhaust_the_descriptors(port: str, tmp_path: Path) -> None:
    with running_node(FEW_DESCRIPTORS, tmp_path) as (node, _):
        check_survival(node, getattr(node, port), [Script(())] * CLIENTS)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_headers_that_never_end_exhaust_the_descriptors(
    port: str, tmp_path: Path
) -> None:
    script = Script((endless_headers(PATHS[port], HEADER_BYTES),))
    with running_node(FEW_DESCRIPTORS, tmp_path) as (node, _):
        check_survival(node, getattr(node, port), [script] * CLIENTS)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_answers_that_nobody_reads_exhaust_the_memory(
    port: str, tmp_path: Path
) -> None:
    requests = SHORT_REQUEST * PIPELINED_REQUESTS[port]
    script = Script((requests,), reads=False)
    with running_node(MANY_DESCRIPTORS, tmp_path) as (node, _):
        check_survival(node, getattr(node, port), [script] * CLIENTS)


@pytest.mark.parametrize("port", INTERNAL_HTTP_PORTS)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_on_an_internal_port_exhaust_the_memory(
    is_chunked: bool, port: str, tmp_path: Path
) -> None:
    content = b"x" * BODY_BYTES
    framing = f"Content-Length: {2 * BODY_BYTES}"
    if is_chunked:
        content = chunked(content, CHUNK_BYTES)
        framing = "Transfer-Encoding: chunked"
    script = Script((get_request(PATHS[port], framing), content))
    with running_node(MANY_DESCRIPTORS, tmp_path) as (node, _):
        check_survival(node, getattr(node, port), [script] * CLIENTS)


def test_frames_that_stop_short_exhaust_the_memory(tmp_path: Path) -> None:
    script = Script((short_frame(BODY_BYTES),))
    with running_node(MANY_DESCRIPTORS, tmp_path) as (node, _):
        check_survival(node, node.peers, [script] * CLIENTS)
