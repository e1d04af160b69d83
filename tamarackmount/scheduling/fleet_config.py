"""The fleet's configuration: queues, teams and services of one version."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackmount.ids import KeyHash, QueueName, TeamId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.model import ServiceName


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How a queue's placement policy is asked which workers may run a step.

    Times are milliseconds; a permission is valid for ``valid_ms``.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs, and how these are run.

    A job should be done within ``stretch`` times its longest chain of work and
    ``target_ms``. Priority 0 comes first.
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
class Team:
    """A team; parts of ``ceiling`` that are 0 are unlimited."""

    team_id: TeamId
    weight: float
    ceiling: Resources


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers; a worker that ``guards_room`` refuses what does not fit."""

    name: ServiceName
    guards_room: bool


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration."""

    version: int
    queues_by_name: Mapping[QueueName, Queue]
    teams_by_id: Mapping[TeamId, Team]
    team_by_key: Mapping[KeyHash, TeamId]
    services_by_name: Mapping[ServiceName, Service]
    max_body_bytes: int
    queues_by_host: Mapping[str, tuple[Queue, ...]] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` under ``host``."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def group_by_host(queues: Mapping[QueueName, Queue]) -> dict[str, tuple[Queue, ...]]:
    """Group queues by host, those with the longest prefix first."""
    by_host: dict[str, list[Queue]] = {}
    for queue in queues.values():
        by_host.setdefault(queue.host, []).append(queue)
    return {
        host: tuple(sorted(found, key=lambda queue: -len(queue.prefix)))
        for host, found in by_host.items()
    }
