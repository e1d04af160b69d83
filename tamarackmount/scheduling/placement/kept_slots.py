"""Slots of each pool that are kept free for tasks of one kind."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.model import ServiceName, WorkerIncarnation
from tamarackmount.scheduling.estimates.peak_use import PeakUse
from tamarackmount.scheduling.workers.free_capacity import count_fitting_tasks
from tamarackmount.scheduling.workers.workers import WorkerState

MAX_KEPT_DIVISOR = 5
"""What is kept free is at most a pool's capacity divided by this number."""

_MAX_SLOTS = 10_000
"""Limit of slots on one worker or in one pool, for tasks that need nothing."""


@dataclass(slots=True)
class _Pool:
    """Slots for tasks in one pool: those to keep free and those that are."""

    task: Resources
    needed: int
    free: int = 0
    free_by_worker: dict[WorkerIncarnation, int] = field(default_factory=dict)


class KeptSlots:
    """The slots that are kept free in one round of placement.

    Slots for a task are counted, not sums of free capacity: a few free cores on each
    worker are of no use to a larger task. A pool is counted when it is first asked for,
    and updated by the starts that follow.
    """

    def __init__(
        self, use: PeakUse, workers: Iterable[WorkerState], now: Instant
    ) -> None:
        """Begin a round; ``use`` is that of the tasks for which slots are kept."""
        self._use = use
        self._workers = workers
        self._now = now
        self._pool_by_service: dict[ServiceName, _Pool | None] = {}

    def allows(
        self, service: ServiceName, amount: Resources, chosen: Iterable[WorkerState]
    ) -> bool:
        """Return whether other tasks may start on workers, one on each.

        A worker may be listed more than once. A task that takes no slot is allowed.
        """
        pool = self._pool(service)
        if pool is None:
            return True
        free_by_worker: dict[WorkerIncarnation, Resources] = {}
        for worker in chosen:
            free = free_by_worker.get(worker.incarnation, worker.free)
            free_by_worker[worker.incarnation] = free - amount
        lost = sum(
            pool.free_by_worker.get(incarnation, 0) - _count_slots(pool.task, free)
            for incarnation, free in free_by_worker.items()
        )
        return lost <= 0 or pool.free - lost >= pool.needed

    def record_start(self, worker: WorkerState) -> None:
        """Record that a run has started on a worker."""
        pool = self._pool_by_service.get(worker.entry.service)
        if pool is None or worker.incarnation not in pool.free_by_worker:
            return
        slots = _count_slots(pool.task, worker.free)
        pool.free += slots - pool.free_by_worker[worker.incarnation]
        pool.free_by_worker[worker.incarnation] = slots

    def _pool(self, service: ServiceName) -> _Pool | None:
        """Return a pool, or None if nothing is kept free in it."""
        if service not in self._pool_by_service:
            self._pool_by_service[service] = self._count(service)
        return self._pool_by_service[service]

    def _count(self, service: ServiceName) -> _Pool | None:
        wanted = self._use.unused_peak(service, self._now)
        if wanted is None:
            return None
        unused, task = wanted
        workers = [
            worker
            for worker in self._workers
            if worker.entry.service == service and worker.can_start
        ]
        limit = sum((worker.entry.capacity for worker in workers), start=NOTHING)
        kept = Resources(
            min(unused.millicores, limit.millicores // MAX_KEPT_DIVISOR),
            min(unused.memory_mib, limit.memory_mib // MAX_KEPT_DIVISOR),
            min(unused.accelerators, limit.accelerators // MAX_KEPT_DIVISOR),
        )
        needed = _count_slots(task, kept)
        if needed <= 0:
            return None
        pool = _Pool(task, needed)
        for worker in workers:
            slots = _count_slots(task, worker.free)
            pool.free_by_worker[worker.incarnation] = slots
            pool.free += slots
        return pool


def _count_slots(task: Resources, free: Resources) -> int:
    return count_fitting_tasks(task, free, _MAX_SLOTS, 0)
