"""Placement that spreads the tasks of a job over racks."""

from tamarackmount.ids import RackId
from tamarackmount.kernel.capacity import CapacityLedger, WorkerCapacity
from tamarackmount.plugins.placement import (
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class SpreadRacks:
    """Takes a worker in the rack with the fewest tasks of the job."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the worker with the most free cores in that rack.

        Racks without a suitable worker are passed over.
        """
        if not ledger.has_capacity(request.amount):
            return None
        for rack in sorted(ledger.racks(), key=lambda rack: _tasks_in(request, rack)):
            worker = _most_free_cores(ledger, rack, request)
            if worker is not None:
                return PlacementChoice(
                    worker.id, "fits; in the rack with the fewest tasks of the job"
                )
        return any_fit(ledger, request)


def _tasks_in(request: PlacementRequest, rack: RackId) -> int:
    return request.tasks_by_rack.get(rack, 0)


def _most_free_cores(
    ledger: CapacityLedger, rack: RackId, request: PlacementRequest
) -> WorkerCapacity | None:
    amount = request.amount
    workers = [
        worker
        for worker in ledger.workers_in_rack(rack)
        if amount.fits_in(worker.free)
        and worker.id not in request.avoid
        and (amount.accelerators > 0 or not worker.has_accelerators)
    ]
    return max(workers, key=lambda worker: worker.free.millicores, default=None)


PLACEMENT_POLICIES.register("spread-racks")(SpreadRacks())
