"""Limits on the connections that other members opened."""

from typing import Any, Protocol

from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.internal.connection_limit import (
    ConnectionState,
    ConnectionTable,
    EvictionObserver,
)
from tamarackmount.internal.refusals import Refusal, RefusalReason

FRAME_TIMEOUT_S = 30.0
"""Longest time from the first to the last byte of a frame, in seconds."""

FRAME_ALLOWANCE_BYTES = 8 * 1024
"""Bytes of an incomplete frame that each connection may keep beside the shared
budget."""

DEFAULT_MAX_CONNECTIONS = 1_024
"""Limit on the connections of a port whose owner sets none."""

DEFAULT_BUFFER_BYTES = 64 * 1024 * 1024
"""Limit on the bytes of all incomplete frames if the port's owner sets none."""


class PeerObserver(EvictionObserver, Protocol):
    """Records connections that were closed for a limit."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a connection that was closed within a frame."""


class NoObserver:
    """Records nothing, for members that have no such metrics."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Ignore a connection that was closed within a frame."""

    def record_eviction(self, state: ConnectionState, limit: int) -> None:
        """Ignore a connection that was closed to admit another."""


class PeerLimits:
    """What the inbound connections of a member share."""

    def __init__(
        self,
        reactor: Any,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        budget: BufferBudget | None = None,
        observer: PeerObserver | None = None,
    ) -> None:
        """Keep incomplete frames within ``budget``."""
        self.budget = budget or BufferBudget(DEFAULT_BUFFER_BYTES)
        self.observer: PeerObserver = observer or NoObserver()
        self.connections = ConnectionTable(
            reactor,
            max_connections,
            self.observer,
            {ConnectionState.RECEIVING: FRAME_TIMEOUT_S},
        )

    def buffers_full(self, wanted: int) -> Refusal:
        """Return what to record of a frame that ``wanted`` bytes too many."""
        return Refusal(
            status=0,
            reason=RefusalReason.BUFFERS_FULL,
            value=self.budget.used + wanted,
            bound=self.budget.limit,
        )


TOO_SLOW = Refusal(status=0, reason=RefusalReason.TOO_SLOW, bound=FRAME_TIMEOUT_S)
