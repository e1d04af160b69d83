"""First-fit placement, a baseline to compare other policies with."""

from tamarackmount.kernel.capacity import CapacityLedger
from tamarackmount.plugins.placement import (
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class FirstFit:
    """Takes the first worker on which the task fits."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the first worker on which the task fits."""
        return any_fit(ledger, request)


PLACEMENT_POLICIES.register("first-fit")(FirstFit())
