"""Packs tasks tightly and keeps accelerator workers for accelerator work."""

from collections.abc import Iterable
from itertools import islice

from tamarackmount.kernel.capacity import CapacityLedger, WorkerCapacity
from tamarackmount.plugins.placement import (
    LOOK_LIMIT,
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class BestFit:
    """Takes the worker whose room is left smallest."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the tightest fit among the first workers in order of room."""
        if not ledger.has_room(request.amount):
            return None
        if request.amount.accelerators == 0:
            plain = _first(ledger.tightest_plain(request.amount), request)
            if plain is not None:
                return PlacementChoice(plain.id, "fits; least free room left")
        accelerated = _first(ledger.tightest_accelerated(request.amount), request)
        if accelerated is not None:
            return PlacementChoice(accelerated.id, "fits; fewest accelerators left")
        return any_fit(ledger, request)


def _first(
    rooms: Iterable[WorkerCapacity], request: PlacementRequest
) -> WorkerCapacity | None:
    for room in islice(rooms, LOOK_LIMIT):
        if room.id not in request.avoid and request.amount.fits_in(room.free):
            return room
    return None


PLACEMENT_POLICIES.register("best-fit")(BestFit())
