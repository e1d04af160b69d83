"""One version of the fleet's configuration: queues, workspaces and services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackmount.ids import KeyHash, QueueName, WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import ServiceName


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service for a queue, whose steps need its tickets.

    The service takes ``decision_ms``, and ``per_worker_ms`` more for each worker that a
    request names. A ticket is valid for ``valid_ms``. All times are milliseconds.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers submit jobs to, and how its jobs are run.

    A job should be done within ``stretch`` times its longest chain of work plus
    ``target_ms``. Priority 0 comes first. A job fails once one of its tasks has failed
    ``max_attempts`` times.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int
    is_public: bool
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace; parts of ``ceiling`` that are 0 are unlimited."""

    workspace_id: WorkspaceId
    weight: float
    ceiling: Resources


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    If it ``rejects_overload``, its workers refuse runs that exceed their capacity.
    """

    name: ServiceName
    rejects_overload: bool


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration."""

    version: int
    queues_by_name: Mapping[QueueName, Queue]
    workspaces_by_id: Mapping[WorkspaceId, Workspace]
    workspace_by_key: Mapping[KeyHash, WorkspaceId]
    services_by_name: Mapping[ServiceName, Service]
    max_body_bytes: int
    queues_by_host: Mapping[str, tuple[Queue, ...]] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``, if any."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def group_by_host(queues: Mapping[QueueName, Queue]) -> dict[str, tuple[Queue, ...]]:
    """Return the queues of each host, those with the longest prefix first."""
    by_host: dict[str, list[Queue]] = {}
    for queue in queues.values():
        by_host.setdefault(queue.host, []).append(queue)
    return {
        host: tuple(sorted(found, key=lambda queue: -len(queue.prefix)))
        for host, found in by_host.items()
    }
