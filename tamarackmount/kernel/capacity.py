"""Ledger of the capacity of one data centre's workers."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.kernel.capacity_tree import UNPLACEABLE, CapacityTree
from tamarackmount.resources import NOTHING, Resources


@dataclass(slots=True)
class WorkerCapacity:
    """One worker's capacity and what is committed of it.

    ``preemptible`` is the part committed to attempts that urgent work may displace.
    ``reserved_for`` is the job that the worker is kept for.
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
        """Return what is not committed."""
        return self.capacity - self.committed

    @property
    def placeable(self) -> bool:
        """Tell whether any job may be placed here."""
        return self.is_schedulable and self.reserved_for is None

    @property
    def accelerated(self) -> bool:
        """Tell whether the worker has accelerators."""
        return self.capacity.accelerators > 0


_UNUSED = WorkerCapacity(WorkerId(""), RackId(""), 0, NOTHING)


class OvercommitError(Exception):
    """An amount was committed that the worker has no room for."""


class CapacityLedger:
    """Capacity of all workers of a data centre, indexed for placement."""

    def __init__(self) -> None:
        """Start with no workers."""
        self.workers_by_id: dict[WorkerId, WorkerCapacity] = {}
        self.total = NOTHING
        self._grown: dict[WorkerId, None] = {}
        self.workers_by_capacity: Counter[Resources] = Counter()
        self._workers_by_index: list[WorkerCapacity] = []
        self._free_indexes: list[int] = []
        self._worker_ids_by_rack: dict[RackId, dict[WorkerId, None]] = {}
        self._free_tree = CapacityTree()
        self._preemptible_tree = CapacityTree()
        self._plain: SortedList = SortedList()
        self._accelerated: SortedList = SortedList()

    def set_listed(self, rooms: Iterable[tuple[Resources, bool]]) -> None:
        """Count the listed workers: the capacity of each and whether it stays."""
        self.total = NOTHING
        self.workers_by_capacity.clear()
        for capacity, stays in rooms:
            self.total = self.total + capacity
            if stays:
                self.workers_by_capacity[capacity] += 1

    def add(self, worker_id: WorkerId, rack: RackId, capacity: Resources) -> None:
        """Add a worker, closed; one that is known gets its rack and capacity set."""
        room = self.workers_by_id.get(worker_id)
        if room is None:
            room = WorkerCapacity(worker_id, rack, self._take_index(), capacity)
            self.workers_by_id[worker_id] = room
            self._workers_by_index[room.tree_index] = room
            self._worker_ids_by_rack.setdefault(rack, {})[worker_id] = None
            return
        if (room.rack, room.capacity) == (rack, capacity):
            return
        self._unindex(room)
        if rack != room.rack:
            del self._worker_ids_by_rack[room.rack][worker_id]
            self._worker_ids_by_rack.setdefault(rack, {})[worker_id] = None
            room.rack = rack
        room.capacity = capacity
        self._grown[worker_id] = None
        self._index(room)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker on which nothing is committed."""
        self.set_schedulable(worker_id, False)
        room = self.workers_by_id.pop(worker_id)
        self._free_indexes.append(room.tree_index)
        rack_ids = self._worker_ids_by_rack[room.rack]
        del rack_ids[worker_id]
        if not rack_ids:
            del self._worker_ids_by_rack[room.rack]

    def set_schedulable(self, worker_id: WorkerId, is_open: bool) -> bool:
        """Let work be placed on the worker, or no longer; tell if that is new."""
        room = self.workers_by_id[worker_id]
        if room.is_schedulable == is_open:
            return False
        self._unindex(room)
        room.is_schedulable = is_open
        self._grown[worker_id] = None
        self._index(room)
        return True

    def reserve(self, worker_id: WorkerId, reserved_for: JobId | None) -> None:
        """Keep the worker for one job, or for none any more."""
        room = self.workers_by_id[worker_id]
        self._unindex(room)
        room.reserved_for = reserved_for
        if reserved_for is None:
            self._grown[worker_id] = None
        else:
            self._grown.pop(worker_id, None)
        self._index(room)

    def commit(self, worker_id: WorkerId, amount: Resources, preemptible: bool) -> None:
        """Commit an amount; raises :class:`OvercommitError` without room for it."""
        room = self.workers_by_id[worker_id]
        if not amount.fits_in(room.free):
            raise OvercommitError(worker_id)
        self.adopt(worker_id, amount, preemptible)

    def adopt(self, worker_id: WorkerId, amount: Resources, preemptible: bool) -> None:
        """Commit an amount that already runs on the worker, whatever is free."""
        room = self.workers_by_id[worker_id]
        self._unindex(room)
        room.committed = room.committed + amount
        if preemptible:
            room.preemptible = room.preemptible + amount
        self._index(room)

    def release(
        self, worker_id: WorkerId, amount: Resources, preemptible: bool
    ) -> None:
        """Give back an amount whose attempt is provably over."""
        room = self.workers_by_id[worker_id]
        self._unindex(room)
        room.committed = room.committed - amount
        if preemptible:
            room.preemptible = room.preemptible - amount
        self._grown[worker_id] = None
        self._index(room)

    def take_workers_with_freed_capacity(self) -> list[WorkerCapacity]:
        """Return the workers that may have more room than at the last call."""
        rooms = [
            self.workers_by_id[one] for one in self._grown if one in self.workers_by_id
        ]
        self._grown.clear()
        return rooms

    def has_room(self, amount: Resources) -> bool:
        """Tell whether some worker can take the amount now."""
        return next(self._free_tree.slots_with(amount), None) is not None

    def first_fits(self, amount: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers with room, in the order in which they were added."""
        for slot in self._free_tree.slots_with(amount):
            yield self._workers_by_index[slot]

    def workers_fitting_after_preemption(
        self, amount: Resources
    ) -> Iterator[WorkerCapacity]:
        """Yield workers that have room once they are rid of what yields."""
        for slot in self._preemptible_tree.slots_with(amount):
            yield self._workers_by_index[slot]

    def tightest_plain(self, amount: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers without accelerators from the least sufficient free cores."""
        start = (amount.millicores, amount.memory_mib, "")
        for key in self._plain.irange(start):
            yield self.workers_by_id[key[-1]]

    def tightest_accelerated(self, amount: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers with accelerators from the fewest sufficient free ones."""
        start = (amount.accelerators, 0, 0, "")
        for key in self._accelerated.irange(start):
            yield self.workers_by_id[key[-1]]

    def racks(self) -> Iterable[RackId]:
        """Return the known racks."""
        return self._worker_ids_by_rack

    def workers_in_rack(self, rack: RackId) -> Iterator[WorkerCapacity]:
        """Yield the workers of a rack that take work."""
        for worker_id in self._worker_ids_by_rack[rack]:
            room = self.workers_by_id[worker_id]
            if room.placeable:
                yield room

    def max_tasks(self, amount: Resources) -> int:
        """Return how many tasks of a size the listed workers hold when empty."""
        return sum(
            count * tasks_that_fit(capacity, amount)
            for capacity, count in self.workers_by_capacity.items()
        )

    def _take_index(self) -> int:
        if self._free_indexes:
            return self._free_indexes.pop()
        self._workers_by_index.append(_UNUSED)
        return len(self._workers_by_index) - 1

    def _index(self, room: WorkerCapacity) -> None:
        if not room.placeable:
            self._free_tree.set(room.tree_index, UNPLACEABLE)
            self._preemptible_tree.set(room.tree_index, UNPLACEABLE)
            return
        free = room.free
        self._free_tree.set(room.tree_index, free)
        self._preemptible_tree.set(room.tree_index, free + room.preemptible)
        self._sorted_workers(room).add(_sort_key(room))

    def _unindex(self, room: WorkerCapacity) -> None:
        if room.placeable:
            self._sorted_workers(room).remove(_sort_key(room))

    def _sorted_workers(self, room: WorkerCapacity) -> SortedList:
        return self._accelerated if room.accelerated else self._plain


def tasks_that_fit(room: Resources, amount: Resources) -> int:
    """Return how many times an amount, which has cores and memory, fits in a room."""
    slots = min(
        room.millicores // amount.millicores, room.memory_mib // amount.memory_mib
    )
    if amount.accelerators:
        slots = min(slots, room.accelerators // amount.accelerators)
    return max(slots, 0)


def _sort_key(room: WorkerCapacity) -> tuple[int | str, ...]:
    free = room.free
    if room.accelerated:
        return free.accelerators, free.millicores, free.memory_mib, room.id
    return free.millicores, free.memory_mib, room.id
