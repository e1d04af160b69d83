"""Which data centres the operator has evacuated, from records and notices of them.

The operator's records are read from the store, and other nodes tell of records that
they have read. Both may be repeated or late, so the later offset of a data centre
counts.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Offset


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An evacuation or its withdrawal, and the offset of its record."""

    data_centre: DataCentreId
    offset: Offset
    is_evacuated: bool


class Evacuations:
    """The newest known change of each data centre."""

    def __init__(self) -> None:
        """Begin with no data centre evacuated."""
        self._newest_by_data_centre: dict[DataCentreId, EvacuationChange] = {}
        self._snapshot_end = Offset(0)
        self._data_centres: frozenset[DataCentreId] = frozenset()

    @property
    def data_centres(self) -> frozenset[DataCentreId]:
        """The evacuated data centres."""
        return self._data_centres

    def changes(self) -> list[EvacuationChange]:
        """Return the newest change of each data centre since the last snapshot."""
        return list(self._newest_by_data_centre.values())

    def apply(
        self, data_centre: DataCentreId, offset: Offset, is_evacuated: bool
    ) -> bool:
        """Apply a record; return whether the evacuated data centres have changed.

        A record before the end of the last snapshot has no effect: the snapshot holds
        it or a later one.
        """
        known = self._newest_by_data_centre.get(data_centre)
        if offset < self._snapshot_end or (known and offset <= known.offset):
            return False
        self._newest_by_data_centre[data_centre] = EvacuationChange(
            data_centre, offset, is_evacuated
        )
        return self._update()

    def replace(
        self, offset_by_data_centre: Mapping[DataCentreId, Offset], end: Offset
    ) -> bool:
        """Apply a snapshot; return whether the evacuated data centres have changed.

        ``offset_by_data_centre`` has the evacuated ones, as of the offset ``end`` of
        the topic. Changes at later offsets remain. A snapshot that is older than the
        last one has no effect.
        """
        if end < self._snapshot_end:
            return False
        newest_by_data_centre = {
            data_centre: EvacuationChange(data_centre, offset, True)
            for data_centre, offset in offset_by_data_centre.items()
        }
        for known in self._newest_by_data_centre.values():
            listed = newest_by_data_centre.get(known.data_centre)
            if known.offset >= end and (listed is None or known.offset > listed.offset):
                newest_by_data_centre[known.data_centre] = known
        self._newest_by_data_centre = newest_by_data_centre
        self._snapshot_end = end
        return self._update()

    def _update(self) -> bool:
        data_centres = frozenset(
            change.data_centre
            for change in self._newest_by_data_centre.values()
            if change.is_evacuated
        )
        has_changed = data_centres != self._data_centres
        self._data_centres = data_centres
        return has_changed
