"""Ledger of the capacity of one data centre's workers."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.kernel.room_tree import NO_ROOM, RoomTree
from tamarackmount.resources import NOTHING, Resources


@dataclass(slots=True)
class WorkerRoom:
    """One worker's capacity and what is committed of it.

    ``yielding`` is the part committed to attempts that urgent work may displace.
    ``holder`` is the job that the worker is kept for.
    """

    id: WorkerId
    rack: RackId
    slot: int
    capacity: Resources
    committed: Resources = NOTHING
    yielding: Resources = NOTHING
    open: bool = False
    holder: JobId | None = None

    @property
    def free(self) -> Resources:
        """Return what is not committed."""
        return self.capacity - self.committed

    @property
    def placeable(self) -> bool:
        """Tell whether any job may be placed here."""
        return self.open and self.holder is None

    @property
    def accelerated(self) -> bool:
        """Tell whether the worker has accelerators."""
        return self.capacity.accelerators > 0


_UNUSED = WorkerRoom(WorkerId(""), RackId(""), 0, NOTHING)


class OvercommitError(Exception):
    """An amount was committed that the worker has no room for."""


class CapacityLedger:
    """Capacity of all workers of a data centre, indexed for placement."""

    def __init__(self) -> None:
        """Start with no workers."""
        self.rooms_by_id: dict[WorkerId, WorkerRoom] = {}
        self.total = NOTHING
        self._grown: dict[WorkerId, None] = {}
        self.workers_by_capacity: Counter[Resources] = Counter()
        self._rooms_by_slot: list[WorkerRoom] = []
        self._empty_slots: list[int] = []
        self._room_ids_by_rack: dict[RackId, dict[WorkerId, None]] = {}
        self._free_tree = RoomTree()
        self._yield_tree = RoomTree()
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
        room = self.rooms_by_id.get(worker_id)
        if room is None:
            room = WorkerRoom(worker_id, rack, self._take_slot(), capacity)
            self.rooms_by_id[worker_id] = room
            self._rooms_by_slot[room.slot] = room
            self._room_ids_by_rack.setdefault(rack, {})[worker_id] = None
            return
        if (room.rack, room.capacity) == (rack, capacity):
            return
        self._unindex(room)
        if rack != room.rack:
            del self._room_ids_by_rack[room.rack][worker_id]
            self._room_ids_by_rack.setdefault(rack, {})[worker_id] = None
            room.rack = rack
        room.capacity = capacity
        self._grown[worker_id] = None
        self._index(room)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker on which nothing is committed."""
        self.set_open(worker_id, False)
        room = self.rooms_by_id.pop(worker_id)
        self._empty_slots.append(room.slot)
        rack_ids = self._room_ids_by_rack[room.rack]
        del rack_ids[worker_id]
        if not rack_ids:
            del self._room_ids_by_rack[room.rack]

    def set_open(self, worker_id: WorkerId, is_open: bool) -> bool:
        """Let work be placed on the worker, or no longer; tell if that is new."""
        room = self.rooms_by_id[worker_id]
        if room.open == is_open:
            return False
        self._unindex(room)
        room.open = is_open
        self._grown[worker_id] = None
        self._index(room)
        return True

    def hold(self, worker_id: WorkerId, holder: JobId | None) -> None:
        """Keep the worker for one job, or for none any more."""
        room = self.rooms_by_id[worker_id]
        self._unindex(room)
        room.holder = holder
        if holder is None:
            self._grown[worker_id] = None
        else:
            self._grown.pop(worker_id, None)
        self._index(room)

    def commit(self, worker_id: WorkerId, amount: Resources, yields: bool) -> None:
        """Commit an amount; raises :class:`OvercommitError` without room for it."""
        room = self.rooms_by_id[worker_id]
        if not amount.fits_in(room.free):
            raise OvercommitError(worker_id)
        self.adopt(worker_id, amount, yields)

    def adopt(self, worker_id: WorkerId, amount: Resources, yields: bool) -> None:
        """Commit an amount that already runs on the worker, whatever is free."""
        room = self.rooms_by_id[worker_id]
        self._unindex(room)
        room.committed = room.committed + amount
        if yields:
            room.yielding = room.yielding + amount
        self._index(room)

    def release(self, worker_id: WorkerId, amount: Resources, yields: bool) -> None:
        """Give back an amount whose attempt is provably over."""
        room = self.rooms_by_id[worker_id]
        self._unindex(room)
        room.committed = room.committed - amount
        if yields:
            room.yielding = room.yielding - amount
        self._grown[worker_id] = None
        self._index(room)

    def take_grown(self) -> list[WorkerRoom]:
        """Return the workers that may have more room than at the last call."""
        rooms = [
            self.rooms_by_id[one] for one in self._grown if one in self.rooms_by_id
        ]
        self._grown.clear()
        return rooms

    def has_room(self, amount: Resources) -> bool:
        """Tell whether some worker can take the amount now."""
        return next(self._free_tree.slots_with(amount), None) is not None

    def first_fits(self, amount: Resources) -> Iterator[WorkerRoom]:
        """Yield workers with room, in the order in which they were added."""
        for slot in self._free_tree.slots_with(amount):
            yield self._rooms_by_slot[slot]

    def yielding_rooms(self, amount: Resources) -> Iterator[WorkerRoom]:
        """Yield workers that have room once they are rid of what yields."""
        for slot in self._yield_tree.slots_with(amount):
            yield self._rooms_by_slot[slot]

    def tightest_plain(self, amount: Resources) -> Iterator[WorkerRoom]:
        """Yield workers without accelerators from the least sufficient free cores."""
        start = (amount.millicores, amount.memory_mib, "")
        for key in self._plain.irange(start):
            yield self.rooms_by_id[key[-1]]

    def tightest_accelerated(self, amount: Resources) -> Iterator[WorkerRoom]:
        """Yield workers with accelerators from the fewest sufficient free ones."""
        start = (amount.accelerators, 0, 0, "")
        for key in self._accelerated.irange(start):
            yield self.rooms_by_id[key[-1]]

    def racks(self) -> Iterable[RackId]:
        """Return the known racks."""
        return self._room_ids_by_rack

    def rooms_in(self, rack: RackId) -> Iterator[WorkerRoom]:
        """Yield the workers of a rack that take work."""
        for worker_id in self._room_ids_by_rack[rack]:
            room = self.rooms_by_id[worker_id]
            if room.placeable:
                yield room

    def whole_slots(self, amount: Resources) -> int:
        """Return how many tasks of a size the listed workers hold when empty."""
        return sum(
            count * slots_in(capacity, amount)
            for capacity, count in self.workers_by_capacity.items()
        )

    def _take_slot(self) -> int:
        if self._empty_slots:
            return self._empty_slots.pop()
        self._rooms_by_slot.append(_UNUSED)
        return len(self._rooms_by_slot) - 1

    def _index(self, room: WorkerRoom) -> None:
        if not room.placeable:
            self._free_tree.set(room.slot, NO_ROOM)
            self._yield_tree.set(room.slot, NO_ROOM)
            return
        free = room.free
        self._free_tree.set(room.slot, free)
        self._yield_tree.set(room.slot, free + room.yielding)
        self._sorted_rooms(room).add(_sort_key(room))

    def _unindex(self, room: WorkerRoom) -> None:
        if room.placeable:
            self._sorted_rooms(room).remove(_sort_key(room))

    def _sorted_rooms(self, room: WorkerRoom) -> SortedList:
        return self._accelerated if room.accelerated else self._plain


def slots_in(room: Resources, amount: Resources) -> int:
    """Return how many times an amount, which has cores and memory, fits in a room."""
    slots = min(
        room.millicores // amount.millicores, room.memory_mib // amount.memory_mib
    )
    if amount.accelerators:
        slots = min(slots, room.accelerators // amount.accelerators)
    return max(slots, 0)


def _sort_key(room: WorkerRoom) -> tuple[int | str, ...]:
    free = room.free
    if room.accelerated:
        return free.accelerators, free.millicores, free.memory_mib, room.id
    return free.millicores, free.memory_mib, room.id
