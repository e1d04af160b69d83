"""What the tasks of one node share."""

from dataclasses import dataclass
from typing import Any

from tamarackmount.ids import MemberId, Offset
from tamarackmount.internal.links import PeerLinks
from tamarackmount.node.messages import NodeMessage
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.platform.boot import BootSettings
from tamarackmount.platform.store import Store, Topic
from tamarackmount.scheduling.fleet_config import FleetConfig
from tamarackmount.scheduling.job_index import JobIndex

JOBS_TOPIC = Topic("keyed.jobs")
"""Jobs, their cancelling and progress, and workers that were given orders."""

APPLIED_HERE = Offset(-1)
"""Offset of records that were applied before they were read back."""


@dataclass(slots=True)
class NodeContext:
    """One node's parts.

    ``fleet`` is the configuration in force, nothing before the first one.
    ``started_unix_ms`` tells this process from others on the same entry VM.
    """

    settings: BootSettings
    reactor: Any
    store: Store
    links: PeerLinks[NodeMessage]
    peer_calls: PeerCalls
    job_index: JobIndex
    metrics: NodeMetrics
    started_unix_ms: int
    fleet: FleetConfig | None = None
    is_draining: bool = False

    @property
    def node_id(self) -> MemberId:
        """This node's name."""
        return self.settings.node
