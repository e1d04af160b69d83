"""The ports of a node, with limits on what their connections hold."""

from typing import Any

from twisted.web.resource import Resource

from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.internal.bounded_channel import channel_factory
from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.decode_queue import DecodeQueue
from tamarackmount.internal.peer_limits import PeerLimits
from tamarackmount.internal.port_limits import (
    NoBodies,
    PortLimits,
    RequestPolicy,
)
from tamarackmount.internal.receive_buffer import limit_receive_buffers
from tamarackmount.node.connection_metrics import ConnectionMetrics, PortMetrics
from tamarackmount.node.http_api import Jobs, JobsResource
from tamarackmount.node.process_limits import ProcessLimits
from tamarackmount.node.request_policy import CallerPolicy

LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; more than arrive in one
second."""


def peer_limits(
    reactor: Any, limits: ProcessLimits, metrics: ConnectionMetrics
) -> PeerLimits:
    """Return the limits of connections that other nodes opened."""
    peers = PeerLimits(
        reactor,
        limits.peer_connections,
        BufferBudget(limits.peer_buffer_bytes),
        PortMetrics(metrics, "peer"),
    )
    metrics.watch_port("peer", peers.connections)
    metrics.watch_buffers("peers", peers.budget)
    return peers


class BoundedSite(QuietSite):
    """An HTTP site whose connections have limits."""

    def __init__(self, resource: Resource, limits: PortLimits) -> None:
        """Serve ``resource`` on connections with ``limits``."""
        # The limits have the deadlines of idle connections too.
        QuietSite.__init__(
            self,
            resource,
            requestFactory=BoundedRequest,
            reactor=limits.reactor,
            timeout=None,
        )
        factory: Any = channel_factory(limits)
        self.protocol = factory  # type: ignore[method-assign]


class HttpPorts:
    """Listens for callers, for the load balancer and for readers of the metrics."""

    def __init__(
        self,
        reactor: Any,
        limits: ProcessLimits,
        jobs: Jobs,
        metrics: ConnectionMetrics,
    ) -> None:
        """Prepare the ports; nothing is opened yet."""
        self._reactor = reactor
        self._limits = limits
        self._jobs = jobs
        self._metrics = metrics
        self.budget = BufferBudget(limits.buffer_bytes)
        self._queue = DecodeQueue(reactor)
        metrics.watch_buffers("callers", self.budget)
        metrics.watch_queue(self._queue)

    def listen_for_callers(self, address: Any, resource: JobsResource) -> None:
        """Serve callers; bodies are limited by the configuration."""
        count = self._limits.entry_connections
        self._listen("entry", address, resource, count, CallerPolicy(self._jobs))

    def listen_for_checks(self, address: Any, resource: Resource) -> None:
        """Serve the checks of the load balancer."""
        count = self._limits.readiness_connections
        self._listen("readiness", address, resource, count, NoBodies())

    def listen_for_metrics(self, address: Any, resource: Resource) -> None:
        """Serve the metrics."""
        count = self._limits.metrics_connections
        self._listen("metrics", address, resource, count, NoBodies())

    def _listen(
        self,
        name: str,
        address: Any,
        resource: Resource,
        max_connections: int,
        policy: RequestPolicy,
    ) -> None:
        limits = PortLimits(
            self._reactor,
            max_connections,
            self.budget,
            self._queue,
            policy,
            PortMetrics(self._metrics, name),
        )
        self._metrics.watch_port(name, limits.connections)
        port = self._reactor.listenTCP(
            address.port,
            BoundedSite(resource, limits),
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        limit_receive_buffers(port)
