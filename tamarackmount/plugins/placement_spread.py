"""Spreads the tasks of a job over racks."""

from tamarackmount.ids import RackId
from tamarackmount.kernel.capacity import CapacityLedger, WorkerCapacity
from tamarackmount.plugins.placement import (
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class SpreadRacks:
    """Takes a worker of the rack with the fewest tasks of the job."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the roomiest fitting worker of the least used rack with room."""
        if not ledger.has_room(request.amount):
            return None
        for rack in sorted(ledger.racks(), key=lambda rack: _used(request, rack)):
            room = _roomiest(ledger, rack, request)
            if room is not None:
                return PlacementChoice(room.id, "fits; rack with fewest of the job")
        return any_fit(ledger, request)


def _used(request: PlacementRequest, rack: RackId) -> int:
    return request.tasks_by_rack.get(rack, 0)


def _roomiest(
    ledger: CapacityLedger, rack: RackId, request: PlacementRequest
) -> WorkerCapacity | None:
    amount = request.amount
    rooms = [
        room
        for room in ledger.workers_in_rack(rack)
        if amount.fits_in(room.free)
        and room.id not in request.avoid
        and (amount.accelerators > 0 or not room.accelerated)
    ]
    return max(rooms, key=lambda room: room.free.millicores, default=None)


PLACEMENT_POLICIES.register("spread-racks")(SpreadRacks())
