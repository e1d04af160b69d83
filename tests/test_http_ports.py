"""Each port of a node has the limits that follow from its settings."""

from typing import Any

import pytest
from twisted.web.resource import Resource

from tamarackmount.internal.addresses import Address
from tamarackmount.node.http_ports import HttpPorts, peer_limits
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.process_limits import ProcessLimits
from tamarackmount.node.readiness import ReadinessResource
from tests.utils.memory_network import MemoryNetwork

LIMITS = ProcessLimits(
    buffer_bytes=50_000,
    peer_buffer_bytes=10_000,
    entry_connections=5,
    peer_connections=4,
    readiness_connections=3,
    metrics_connections=2,
)
PORT = 8_686
BODY = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"


class StartingNode:
    """A node that has no configuration yet."""

    fleet = None
    sends_callers_away = False


class Ports:
    """The ports of a node on a network in memory."""

    def __init__(self) -> None:
        """Open nothing yet."""
        self.network = MemoryNetwork()
        self.metrics = NodeMetrics()
        node: Any = StartingNode()
        self.ports = HttpPorts(self.network, LIMITS, node, self.metrics.connections)

    def listen(self, name: str) -> None:
        """Open the port of a kind."""
        resource: Resource = ReadinessResource(lambda: True)
        listen: Any = getattr(self.ports, f"listen_for_{name}")
        listen(Address("127.0.0.1", PORT), resource)

    @property
    def lines(self) -> list[str]:
        """The lines of the metrics."""
        return self.metrics.render().decode().splitlines()


@pytest.mark.parametrize(
    ("kind", "port", "limit"),
    [("callers", "entry", 5), ("checks", "readiness", 3), ("metrics", "metrics", 2)],
)
def test_a_port_took_any_number_of_connections(
    kind: str, port: str, limit: int
) -> None:
    ports = Ports()
    ports.listen(kind)
    connections = [ports.network.connect(PORT) for _ in range(10)]
    ports.network.settle()
    assert [c.is_closed for c in connections] == [True] * (10 - limit) + [False] * limit
    assert f'tamarackmount_open_connections{{port="{port}"}} {limit}' in ports.lines


@pytest.mark.parametrize(("kind", "port"), [("checks", "readiness"), ("metrics",) * 2])
def test_a_port_without_bodies_read_one(kind: str, port: str) -> None:
    ports = Ports()
    ports.listen(kind)
    ports.network.connect(PORT).write(BODY)
    ports.network.settle()
    reason = "body_too_large"
    labels = f'{{port="{port}",reason="{reason}"}}'
    assert f"tamarackmount_refused_requests_total{labels} 1" in ports.lines


def test_callers_used_the_buffers_of_other_nodes() -> None:
    ports = Ports()
    peers = peer_limits(ports.network, LIMITS, ports.metrics.connections)
    ports.ports.budget.try_reserve(50_000)
    assert peers.budget.try_reserve(10_000)
    assert 'tamarackmount_buffered_bytes{owner="peers"} 10000' in ports.lines
