"""How much of a process's memory and descriptors each kind of connection may use."""

from dataclasses import dataclass

from tamarackmount.internal.bounded_channel import CONNECTION_ALLOWANCE_BYTES
from tamarackmount.internal.receive_buffer import RECEIVE_BUFFER_BYTES
from tamarackmount.node.served_requests import RequestKind
from tamarackmount.platform.boot import BootSettings

RESERVED_DESCRIPTORS = 200
"""Number of descriptors that the platform reserves for files."""

BUFFER_MEMORY_DIVISOR = 8
"""Part of the memory, as a divisor, that buffers of connections share."""

PEER_MEMORY_DIVISOR = 16
"""Part of the memory, as a divisor, for incomplete messages of other nodes. They have
bytes of their own, so that callers can't keep the nodes from each other."""

CONNECTION_MEMORY_DIVISOR = 6
"""Part of the memory, as a divisor, that all entry connections take together beside
the shared buffers."""

CONNECTION_BYTES = CONNECTION_ALLOWANCE_BYTES + RECEIVE_BUFFER_BYTES + 8 * 1024
"""Memory that one connection takes beside the shared buffers, in bytes: its allowance,
what the system has received for it, and its state."""

ENTRY_DESCRIPTOR_DIVISOR = 2
"""Part of the sockets, as a divisor, for callers; the rest is for workers, the store
and other nodes."""

PEER_DESCRIPTOR_DIVISOR = 4
"""Part of the sockets, as a divisor, for connections that other nodes opened."""

MIN_CONNECTIONS = 8
"""Smallest number of connections of a port, however low the limits are."""

SERVED_DIVISOR_BY_KIND = {
    RequestKind.SUBMISSION: 2,
    RequestKind.LOOKUP: 4,
    RequestKind.CANCELLATION: 8,
    RequestKind.REFUSAL: 16,
}
"""Part of the entry connections, as a divisor, whose requests are served at once, by
kind. The parts leave some connections for new callers."""

INTERNAL_CONNECTIONS = 16
"""Number of connections of the readiness port, and of the metrics port; each has one or
two clients."""


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits on what the connections of one process hold.

    ``buffer_bytes`` is shared by all HTTP connections, and ``peer_buffer_bytes`` by
    those of other nodes; the others are numbers of open connections of a port.
    """

    buffer_bytes: int
    peer_buffer_bytes: int
    entry_connections: int
    peer_connections: int
    readiness_connections: int = INTERNAL_CONNECTIONS
    metrics_connections: int = INTERNAL_CONNECTIONS

    @property
    def served_by_kind(self) -> dict[RequestKind, int]:
        """The number of callers' requests that are served at once, by kind."""
        return {
            kind: max(1, self.entry_connections // divisor)
            for kind, divisor in SERVED_DIVISOR_BY_KIND.items()
        }


def process_limits(settings: BootSettings) -> ProcessLimits:
    """Return the limits that follow from the memory and descriptors of the process."""
    reserved = RESERVED_DESCRIPTORS + 2 * INTERNAL_CONNECTIONS
    sockets = max(0, settings.file_descriptors - reserved)
    affordable = settings.memory_bytes // CONNECTION_MEMORY_DIVISOR // CONNECTION_BYTES
    entry = min(sockets // ENTRY_DESCRIPTOR_DIVISOR, affordable)
    return ProcessLimits(
        buffer_bytes=settings.memory_bytes // BUFFER_MEMORY_DIVISOR,
        peer_buffer_bytes=settings.memory_bytes // PEER_MEMORY_DIVISOR,
        entry_connections=max(MIN_CONNECTIONS, entry),
        peer_connections=max(MIN_CONNECTIONS, sockets // PEER_DESCRIPTOR_DIVISOR),
    )
