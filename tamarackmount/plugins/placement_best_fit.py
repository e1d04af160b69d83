"""Best-fit placement, which keeps accelerators free for jobs that need them."""

from collections.abc import Iterable
from itertools import islice

from tamarackmount.kernel.capacity import CapacityLedger, WorkerCapacity
from tamarackmount.plugins.placement import (
    MAX_WORKERS_EXAMINED,
    PLACEMENT_POLICIES,
    PlacementChoice,
    PlacementRequest,
    any_fit,
)


class BestFit:
    """Packs tasks onto the workers with the least free capacity."""

    def choose(
        self, ledger: CapacityLedger, request: PlacementRequest
    ) -> PlacementChoice | None:
        """Return the worker with the least free capacity on which the task fits.

        Workers without accelerators are tried first unless the task needs some. Of
        each kind, the first ``MAX_WORKERS_EXAMINED`` in order of free capacity are
        examined; if none of them is suitable, any worker with capacity is taken.
        """
        if not ledger.has_capacity(request.amount):
            return None
        if request.amount.accelerators == 0:
            plain = _first(
                ledger.tightest_without_accelerators(request.amount), request
            )
            if plain is not None:
                return PlacementChoice(plain.id, "fits; least free capacity left")
        accelerated = _first(ledger.tightest_with_accelerators(request.amount), request)
        if accelerated is not None:
            return PlacementChoice(
                accelerated.id, "fits; fewest free accelerators left"
            )
        return any_fit(ledger, request)


def _first(
    workers: Iterable[WorkerCapacity], request: PlacementRequest
) -> WorkerCapacity | None:
    for worker in islice(workers, MAX_WORKERS_EXAMINED):
        if worker.id not in request.avoid and request.amount.fits_in(worker.free):
            return worker
    return None


PLACEMENT_POLICIES.register("best-fit")(BestFit())
