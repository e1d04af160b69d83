"""Placement policies, which choose the worker for a task."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from tamarackmount.ids import RackId, WorkerId
from tamarackmount.kernel.capacity import CapacityLedger
from tamarackmount.plugins.manager import Registry
from tamarackmount.resources import Resources

MAX_WORKERS_EXAMINED = 32
"""Maximum number of workers that one search for a suitable worker examines.

If the task has failed on all of them before, ``any_fit`` takes the first of them.
"""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task to place.

    ``avoid`` holds the workers on which the task has failed before, ``tasks_by_rack``
    the number of the job's tasks in each rack.
    """

    amount: Resources
    avoid: frozenset[WorkerId]
    tasks_by_rack: Mapping[RackId, int]


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """The chosen worker, and the reason as shown to the team that submitted the job."""

    worker_id: WorkerId
    why: str


class PlacementPolicy(Protocol):
    """Chooses a worker on which a task fits."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return a worker on which the task fits, or ``None`` if there is none."""


PLACEMENT_POLICIES: Registry[PlacementPolicy] = Registry("placement policy")
"""Placement policies by name."""


def any_fit(
    ledger: CapacityLedger, request: PlacementRequest
) -> PlacementChoice | None:
    """Return the first worker on which the task fits.

    A worker to avoid is returned only if all examined workers are to be avoided. Not
    all workers are examined, so another one may have capacity although the reason says
    that none has.
    """
    last_resort = None
    for examined, worker in enumerate(ledger.workers_with_capacity(request.amount)):
        if worker.id not in request.avoid:
            return PlacementChoice(worker.id, "fits; first worker with capacity")
        last_resort = last_resort or PlacementChoice(
            worker.id, "fits; failed here before, but no other worker has capacity"
        )
        if examined >= MAX_WORKERS_EXAMINED:
            break
    return last_resort
