"""Plain baseline: the first worker with room, in the order of the list."""

from tamarackmount.kernel.capacity import CapacityLedger
from tamarackmount.plugins.placement import (
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class FirstFit:
    """Takes the first worker with room."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the first worker with room."""
        return any_fit(ledger, request)


PLACEMENT_POLICIES.register("first-fit")(FirstFit())
