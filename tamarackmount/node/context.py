"""State and services that the components of one node share.

A node is the process on an entry VM, and its id, a ``MemberId``, is that of the entry
VM. Peers are the other nodes. Members are all of them, peers and the node itself.
"""

from dataclasses import dataclass
from typing import Any

from tamarackmount.ids import MemberId, Offset
from tamarackmount.internal.links import PeerLinks
from tamarackmount.node.messages import NodeMessage
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.processor_speed import ProcessorSpeed
from tamarackmount.platform.boot import BootSettings
from tamarackmount.platform.store import Store, Topic
from tamarackmount.scheduling.domain.fleet_config import FleetConfig
from tamarackmount.scheduling.store.job_index import JobIndex

JOBS_TOPIC = Topic("keyed.jobs")
"""Topic of jobs, cancellations, progress, and the workers that were given orders."""

APPLIED_HERE = Offset(-1)
"""Offset of records that this node applied before it read them back from the store."""


@dataclass(slots=True)
class NodeContext:
    """The shared parts of one node.

    ``fleet`` is the configuration in force, ``None`` before the first one is read.
    ``started_unix_ms`` distinguishes this process from others on the same entry VM.
    """

    settings: BootSettings
    reactor: Any
    store: Store
    links: PeerLinks[NodeMessage]
    peer_calls: PeerCalls
    job_index: JobIndex
    metrics: NodeMetrics
    processor_speed: ProcessorSpeed
    started_unix_ms: int
    fleet: FleetConfig | None = None
    is_draining: bool = False

    @property
    def node_id(self) -> MemberId:
        """The id of this node."""
        return self.settings.node
