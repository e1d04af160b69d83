"""Sums over workers and waiting steps that forecasts of waits are made from."""

from dataclasses import dataclass, field
from typing import NamedTuple

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.model import ServiceName


class Shape(NamedTuple):
    """What decides which workers can run a step's tasks, and how many each."""

    service: ServiceName
    label: str
    amount: Resources
    max_per_worker: int


@dataclass(slots=True)
class ShapeCapacity:
    """Usable workers that could run a shape: their capacity and what is free on them.

    ``free_tasks`` and ``idle_tasks`` are how many tasks fit now, and if all were idle.
    """

    capacity: Resources = NOTHING
    free: Resources = NOTHING
    free_tasks: int = 0
    idle_tasks: int = 0


@dataclass(slots=True)
class Backlog:
    """Waiting work: the amount of its tasks, and that amount times their duration.

    ``claims`` is the amount of tasks that were not found to lack capacity, and thus may
    take what is free now.
    """

    amount: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    claims: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    work: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])

    def add_tasks(
        self, amount: Resources, count: int, task_s: float, has_claim: bool
    ) -> None:
        """Add some tasks with the same amount and duration in seconds."""
        parts = (
            amount.millicores * count,
            amount.memory_mib * count,
            amount.accelerators * count,
        )
        for index, part in enumerate(parts):
            if part:
                self.amount[index] += part
                self.work[index] += part * task_s
                if has_claim:
                    self.claims[index] += part


@dataclass(slots=True)
class Sums:
    """Sums over workers and waiting steps, as of one instant.

    Backlogs of urgent work are apart from those of all work that is placed in time.
    """

    at: Instant
    capacity_by_service: dict[ServiceName, Resources] = field(default_factory=dict)
    occupied_by_service: dict[ServiceName, Resources] = field(default_factory=dict)
    capacity_by_shape: dict[Shape, ShapeCapacity] = field(default_factory=dict)
    backlog_by_pool: dict[tuple[ServiceName, bool], Backlog] = field(
        default_factory=dict
    )
    backlog_by_workspace: dict[tuple[WorkspaceId, bool], Backlog] = field(
        default_factory=dict
    )
    backlog_by_owner: dict[tuple[ServiceName, WorkspaceId], Backlog] = field(
        default_factory=dict
    )
