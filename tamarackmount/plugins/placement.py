"""Placement policies: which worker takes the next task."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from tamarackmount.ids import RackId, WorkerId
from tamarackmount.kernel.capacity import CapacityLedger
from tamarackmount.plugins.manager import Registry
from tamarackmount.resources import Resources

LOOK_LIMIT = 32
"""Most workers that a policy compares before it takes what it has."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task to place; ``avoid`` names workers on which it failed before."""

    amount: Resources
    avoid: frozenset[WorkerId]
    tasks_by_rack: Mapping[RackId, int]


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """The chosen worker and the reason, in words for the job's owner."""

    worker_id: WorkerId
    why: str


class PlacementPolicy(Protocol):
    """Chooses a worker with room for a task."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return a worker with room, or nothing if there is none."""


PLACEMENT_POLICIES: Registry[PlacementPolicy] = Registry("placement policy")
"""Placement policies by name."""


def any_fit(
    ledger: CapacityLedger, request: PlacementRequest
) -> PlacementChoice | None:
    """Return the first worker with room, one to avoid only if there is no other."""
    last_resort = None
    for looked, room in enumerate(ledger.first_fits(request.amount)):
        if room.id not in request.avoid:
            return PlacementChoice(room.id, "fits; first with room")
        last_resort = last_resort or PlacementChoice(
            room.id, "fits; no other worker has room, though it failed here before"
        )
        if looked >= LOOK_LIMIT:
            break
    return last_resort
