"""What the HTTP connections of a port share: limits, policy and observer."""

from typing import Any, Protocol

from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.connection_limit import ConnectionTable, EvictionObserver
from tamarackmount.internal.decode_queue import DecodeQueue
from tamarackmount.internal.refusals import Refusal


class RequestPolicy(Protocol):
    """Decides by its header whether a request can be served."""

    @property
    def max_body_bytes(self) -> int:
        """The largest body that is accepted, in bytes."""

    def refusal(self, request: BoundedRequest, path: str) -> Refusal | None:
        """Return the response if the request can't be served, whatever its body."""


class NoBodies:
    """The policy of ports whose requests have no body."""

    max_body_bytes = 0

    def refusal(self, request: BoundedRequest, path: str) -> None:  # noqa: ARG002
        """Refuse no request by its header."""
        return


class ConnectionObserver(EvictionObserver, Protocol):
    """Records refused requests and evicted connections."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal."""


class PortLimits:
    """What the connections of one port share."""

    def __init__(
        self,
        reactor: Any,
        max_connections: int,
        budget: BufferBudget,
        queue: DecodeQueue,
        policy: RequestPolicy,
        observer: ConnectionObserver,
    ) -> None:
        """Count buffers in ``budget``, decode in ``queue``; refuse by ``policy``."""
        self.reactor = reactor
        self.budget = budget
        self.queue = queue
        self.policy = policy
        self.observer = observer
        self.connections = ConnectionTable(reactor, max_connections, observer)
