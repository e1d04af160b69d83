"""Tell which tasks need a large part of the largest workers of their pool."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources, componentwise_maximum
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.workers.workers import WorkerState

LARGE_DIVISOR = 4
"""A task is large if it needs more than the largest worker's capacity divided by this
number, in any resource: a few smaller tasks on each worker leave it none."""

MAX_AGE_S = 1.0
"""Time for which the largest capacity of a pool is kept, in seconds."""


@dataclass(slots=True)
class LargeTasks:
    """The largest capacity in each pool, resource by resource."""

    _largest_by_service: dict[ServiceName, tuple[Instant, Resources]] = field(
        default_factory=dict
    )

    def is_large(
        self,
        service: ServiceName,
        amount: Resources,
        workers: Iterable[WorkerState],
        now: Instant,
    ) -> bool:
        """Return whether a task of this amount is large in its pool."""
        largest = self._largest(service, workers, now)
        if largest == NOTHING:
            # Right after a takeover, no worker has answered yet.
            return False
        return (
            amount.millicores * LARGE_DIVISOR > largest.millicores
            or amount.memory_mib * LARGE_DIVISOR > largest.memory_mib
            or amount.accelerators * LARGE_DIVISOR > largest.accelerators
        )

    def _largest(
        self, service: ServiceName, workers: Iterable[WorkerState], now: Instant
    ) -> Resources:
        found_at, largest = self._largest_by_service.get(service, (None, NOTHING))
        # Nothing is found while a takeover restores hundreds of runs at one instant.
        max_age_s = MAX_AGE_S if largest != NOTHING else 0.0
        if found_at is None or (now != found_at and now >= found_at + max_age_s):
            largest = NOTHING
            for worker in workers:
                if worker.entry.service == service and worker.can_start:
                    largest = componentwise_maximum(largest, worker.entry.capacity)
            self._largest_by_service[service] = (now, largest)
        return largest
