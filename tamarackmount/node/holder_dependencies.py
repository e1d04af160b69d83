"""Services and settings that a holder uses."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tamarackmount.ids import MemberId
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.store import Store, Topic
from tamarackmount.platform.workers import WorkerCalls


@dataclass(frozen=True, slots=True)
class HolderDependencies:
    """Services and settings that a holder uses.

    A worker's lease lasts ``max_lease_ms`` at most and a stop ``stop_timeout_ms``.
    ``store_silence_s`` returns the time since the store last answered, in seconds.
    """

    reactor: Any
    node: MemberId
    store: Store
    topic: Topic
    workers: WorkerCalls
    advice: AdviceClient
    peer_calls: PeerCalls
    metrics: NodeMetrics
    status_retention_s: float
    stop_timeout_ms: int
    max_lease_ms: int
    store_silence_s: Callable[[], float]
