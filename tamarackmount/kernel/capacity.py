"""Track the free capacity of a data centre's workers and index it for placement."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.kernel.capacity_tree import UNPLACEABLE, CapacityTree
from tamarackmount.resources import NOTHING, Resources


@dataclass(slots=True)
class WorkerCapacity:
    """Capacity of one worker and the amount committed to attempts.

    ``preemptible`` is the part of ``committed`` that belongs to attempts which urgent
    jobs may preempt. ``reserved_for`` is the only job that may be placed on the
    worker, if there is one. ``tree_index`` is the worker's index in the capacity
    trees.
    """

    id: WorkerId
    rack: RackId
    tree_index: int
    capacity: Resources
    committed: Resources = NOTHING
    preemptible: Resources = NOTHING
    is_schedulable: bool = False
    reserved_for: JobId | None = None

    @property
    def free(self) -> Resources:
        """The capacity that is not committed."""
        return self.capacity - self.committed

    @property
    def is_placeable(self) -> bool:
        """Whether the worker takes work and is not reserved for one job."""
        return self.is_schedulable and self.reserved_for is None

    @property
    def has_accelerators(self) -> bool:
        """Whether the worker has accelerators."""
        return self.capacity.accelerators > 0


_UNUSED = WorkerCapacity(WorkerId(""), RackId(""), 0, NOTHING)
"""Placeholder at a new index until its worker is set."""


class OvercommitError(Exception):
    """Raised when an amount exceeds the free capacity of a worker."""


class CapacityLedger:
    """Capacity of all workers of a data centre, indexed for placement.

    ``total`` is the capacity of all listed workers, and ``worker_count_by_capacity``
    counts those that aren't leaving by their capacity.
    """

    def __init__(self) -> None:
        """Create a ledger without workers."""
        self.workers_by_id: dict[WorkerId, WorkerCapacity] = {}
        self.total = NOTHING
        self._ids_with_freed_capacity: dict[WorkerId, None] = {}
        self.worker_count_by_capacity: Counter[Resources] = Counter()
        self._workers_by_index: list[WorkerCapacity] = []
        self._free_indexes: list[int] = []
        self._worker_ids_by_rack: dict[RackId, dict[WorkerId, None]] = {}
        self._free_tree = CapacityTree()
        self._preemptible_tree = CapacityTree()
        self._without_accelerators: SortedList = SortedList()
        self._with_accelerators: SortedList = SortedList()

    def set_listed(self, workers: Iterable[tuple[Resources, bool]]) -> None:
        """Set the listed workers, each as its capacity and whether it stays listed."""
        self.total = NOTHING
        self.worker_count_by_capacity.clear()
        for capacity, stays in workers:
            self.total = self.total + capacity
            if stays:
                self.worker_count_by_capacity[capacity] += 1

    def add(self, worker_id: WorkerId, rack: RackId, capacity: Resources) -> None:
        """Add a worker as unschedulable, or update a known one's rack and capacity."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            worker = WorkerCapacity(worker_id, rack, self._take_index(), capacity)
            self.workers_by_id[worker_id] = worker
            self._workers_by_index[worker.tree_index] = worker
            self._worker_ids_by_rack.setdefault(rack, {})[worker_id] = None
            return
        if (worker.rack, worker.capacity) == (rack, capacity):
            return
        self._unindex(worker)
        if rack != worker.rack:
            del self._worker_ids_by_rack[worker.rack][worker_id]
            self._worker_ids_by_rack.setdefault(rack, {})[worker_id] = None
            worker.rack = rack
        worker.capacity = capacity
        self._ids_with_freed_capacity[worker_id] = None
        self._index(worker)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker that has nothing committed."""
        self.set_schedulable(worker_id, False)
        worker = self.workers_by_id.pop(worker_id)
        self._free_indexes.append(worker.tree_index)
        rack_ids = self._worker_ids_by_rack[worker.rack]
        del rack_ids[worker_id]
        if not rack_ids:
            del self._worker_ids_by_rack[worker.rack]

    def set_schedulable(self, worker_id: WorkerId, schedulable: bool) -> bool:
        """Set whether the worker accepts new work; return whether that changed."""
        worker = self.workers_by_id[worker_id]
        if worker.is_schedulable == schedulable:
            return False
        self._unindex(worker)
        worker.is_schedulable = schedulable
        self._ids_with_freed_capacity[worker_id] = None
        self._index(worker)
        return True

    def reserve(self, worker_id: WorkerId, reserved_for: JobId | None) -> None:
        """Reserve the worker for a job, or end its reservation if ``None`` is given."""
        worker = self.workers_by_id[worker_id]
        self._unindex(worker)
        worker.reserved_for = reserved_for
        if reserved_for is None:
            self._ids_with_freed_capacity[worker_id] = None
        else:
            self._ids_with_freed_capacity.pop(worker_id, None)
        self._index(worker)

    def commit(self, worker_id: WorkerId, amount: Resources, preemptible: bool) -> None:
        """Commit an amount.

        Raises :class:`OvercommitError` if it exceeds the worker's free capacity.
        """
        worker = self.workers_by_id[worker_id]
        if not amount.fits_in(worker.free):
            raise OvercommitError(worker_id)
        self.adopt(worker_id, amount, preemptible)

    def adopt(self, worker_id: WorkerId, amount: Resources, preemptible: bool) -> None:
        """Commit the amount of a running attempt, even beyond the free capacity."""
        worker = self.workers_by_id[worker_id]
        self._unindex(worker)
        worker.committed = worker.committed + amount
        if preemptible:
            worker.preemptible = worker.preemptible + amount
        self._index(worker)

    def release(
        self, worker_id: WorkerId, amount: Resources, preemptible: bool
    ) -> None:
        """Free the amount of an attempt that has certainly ended."""
        worker = self.workers_by_id[worker_id]
        self._unindex(worker)
        worker.committed = worker.committed - amount
        if preemptible:
            worker.preemptible = worker.preemptible - amount
        self._ids_with_freed_capacity[worker_id] = None
        self._index(worker)

    def take_workers_with_freed_capacity(self) -> list[WorkerCapacity]:
        """Return the workers that may have gained free capacity since the last call."""
        workers = [
            self.workers_by_id[worker_id]
            for worker_id in self._ids_with_freed_capacity
            if worker_id in self.workers_by_id
        ]
        self._ids_with_freed_capacity.clear()
        return workers

    def has_capacity(self, amount: Resources) -> bool:
        """Return whether the amount fits on some worker now."""
        return next(self._free_tree.indexes_fitting(amount), None) is not None

    def workers_with_capacity(self, amount: Resources) -> Iterator[WorkerCapacity]:
        """Yield the workers on which the amount fits, in the order of their index.

        That is the order in which they were added, but a new worker takes the index
        of a removed one.
        """
        for index in self._free_tree.indexes_fitting(amount):
            yield self._workers_by_index[index]

    def workers_fitting_after_preemption(
        self, amount: Resources
    ) -> Iterator[WorkerCapacity]:
        """Yield workers on which the amount fits once preemptible work is stopped."""
        for index in self._preemptible_tree.indexes_fitting(amount):
            yield self._workers_by_index[index]

    def tightest_without_accelerators(
        self, amount: Resources
    ) -> Iterator[WorkerCapacity]:
        """Yield workers without accelerators by free cores, starting at the amount.

        Memory is compared only between equal cores, so the amount may not fit.
        """
        start = (amount.millicores, amount.memory_mib, "")
        for key in self._without_accelerators.irange(start):
            yield self.workers_by_id[key[-1]]

    def tightest_with_accelerators(self, amount: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers by free accelerators, starting at the amount.

        Cores and memory may be less than the amount.
        """
        start = (amount.accelerators, 0, 0, "")
        for key in self._with_accelerators.irange(start):
            yield self.workers_by_id[key[-1]]

    def racks(self) -> Iterable[RackId]:
        """Return the racks of all workers."""
        return self._worker_ids_by_rack

    def workers_in_rack(self, rack: RackId) -> Iterator[WorkerCapacity]:
        """Yield the placeable workers of a rack."""
        for worker_id in self._worker_ids_by_rack[rack]:
            worker = self.workers_by_id[worker_id]
            if worker.is_placeable:
                yield worker

    def max_tasks(self, amount: Resources) -> int:
        """Return how many tasks of a size fit on the listed workers when empty."""
        return sum(
            count * tasks_that_fit(capacity, amount)
            for capacity, count in self.worker_count_by_capacity.items()
        )

    def _take_index(self) -> int:
        if self._free_indexes:
            return self._free_indexes.pop()
        self._workers_by_index.append(_UNUSED)
        return len(self._workers_by_index) - 1

    def _index(self, worker: WorkerCapacity) -> None:
        if not worker.is_placeable:
            self._free_tree.set(worker.tree_index, UNPLACEABLE)
            self._preemptible_tree.set(worker.tree_index, UNPLACEABLE)
            return
        free = worker.free
        self._free_tree.set(worker.tree_index, free)
        self._preemptible_tree.set(worker.tree_index, free + worker.preemptible)
        self._sorted_workers(worker).add(_sort_key(worker))

    def _unindex(self, worker: WorkerCapacity) -> None:
        if worker.is_placeable:
            self._sorted_workers(worker).remove(_sort_key(worker))

    def _sorted_workers(self, worker: WorkerCapacity) -> SortedList:
        return (
            self._with_accelerators
            if worker.has_accelerators
            else self._without_accelerators
        )


def tasks_that_fit(free: Resources, amount: Resources) -> int:
    """Return how many tasks of a size fit in the free capacity.

    The amount must have cores and memory.
    """
    count = min(
        free.millicores // amount.millicores, free.memory_mib // amount.memory_mib
    )
    if amount.accelerators:
        count = min(count, free.accelerators // amount.accelerators)
    return max(count, 0)


def _sort_key(worker: WorkerCapacity) -> tuple[int | str, ...]:
    free = worker.free
    if worker.has_accelerators:
        return free.accelerators, free.millicores, free.memory_mib, worker.id
    return free.millicores, free.memory_mib, worker.id
