"""Types of the views and counters of a dispatcher for operators and metrics.

:mod:`tamarackmount.kernel.dispatcher_report` builds some of the views.
"""

from collections import Counter
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, QueueName, UpstreamId, WorkspaceId
from tamarackmount.kernel.messages import RefusalReason
from tamarackmount.kernel.slots import SlotCount
from tamarackmount.kernel.upstream_health import UpstreamHealthState


@dataclass(slots=True)
class DispatcherCounters:
    """Counts since the dispatcher was created."""

    requested: int = 0
    granted: int = 0
    answered: int = 0
    failed: int = 0
    unused: int = 0
    loans_expired: int = 0
    refused_by_reason: Counter[RefusalReason] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class QueueExplanation:
    """Why requests of one queue wait.

    ``next_team`` gets the next slot; ``None`` when no team may get one. ``wait_ms`` is
    the expected wait in milliseconds of the last request; ``None`` while unknown.
    """

    queue: QueueName
    service: str
    policy: str
    waiting_by_team: dict[WorkspaceId, int]
    running_by_team: dict[WorkspaceId, int]
    teams_at_ceiling: frozenset[WorkspaceId]
    next_team: WorkspaceId | None
    usable_slots: int
    wait_ms: int | None
    quarantined_until: Instant | None
    collecting_holdings: bool


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """One upstream's slots and health; ``service_s`` is in seconds."""

    slots: SlotCount
    health: UpstreamHealthState
    service_s: float


@dataclass(frozen=True, slots=True)
class DispatcherSnapshot:
    """State of a dispatcher."""

    epoch: Epoch
    waiting: int
    lent: int
    attempts_remembered: int
    copies_pending: int
    collecting_holdings: bool
    quarantined_until: Instant | None
    upstreams_by_id: dict[UpstreamId, UpstreamView]
