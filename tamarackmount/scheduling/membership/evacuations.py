"""Which data centres the operator has evacuated, from records and notices of them.

The operator's records are read from the store, and other nodes tell of records that
they have read. Both may be repeated or late, so the later offset of a data centre
counts. A notice can only add an evacuation to those that were read, and counts only
until the reads have passed its offset: no other node overrides the store.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Offset

MAX_NOTICE_LEAD = 100_000
"""Maximum distance of a notice's offset from what was read, in records; the operator
topic grows by a few records per hour."""

MAX_DATA_CENTRES = 1_000
"""Maximum number of data centres up to which notices of new ones count."""


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
        self._read_by_data_centre: dict[DataCentreId, EvacuationChange] = {}
        self._noticed_by_data_centre: dict[DataCentreId, EvacuationChange] = {}
        self._snapshot_end = Offset(0)
        self._position: Offset | None = None
        self._data_centres: frozenset[DataCentreId] = frozenset()

    @property
    def data_centres(self) -> frozenset[DataCentreId]:
        """The evacuated data centres."""
        return self._data_centres

    def changes(self) -> list[EvacuationChange]:
        """Return the newest read change of each data centre since the last snapshot."""
        return list(self._read_by_data_centre.values())

    def apply(
        self, data_centre: DataCentreId, offset: Offset, is_evacuated: bool
    ) -> bool:
        """Apply a record; return whether the evacuated data centres have changed.

        A record before the end of the last snapshot has no effect: the snapshot holds
        it or a later one.
        """
        known = self._read_by_data_centre.get(data_centre)
        if offset < self._snapshot_end or (known and offset <= known.offset):
            return False
        self._read_by_data_centre[data_centre] = EvacuationChange(
            data_centre, offset, is_evacuated
        )
        return self.advance_to(Offset(offset + 1))

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
        for known in self._read_by_data_centre.values():
            listed = newest_by_data_centre.get(known.data_centre)
            if known.offset >= end and (listed is None or known.offset > listed.offset):
                newest_by_data_centre[known.data_centre] = known
        self._read_by_data_centre = newest_by_data_centre
        self._snapshot_end = end
        return self.advance_to(end)

    def advance_to(self, position: Offset) -> bool:
        """Drop the notices of records before ``position``, which were all read.

        Return whether the evacuated data centres have changed.
        """
        self._position = max(self._position or position, position)
        self._noticed_by_data_centre = {
            data_centre: notice
            for data_centre, notice in self._noticed_by_data_centre.items()
            if not self._is_passed(notice) and not self._is_too_far(notice)
        }
        return self._update()

    def refusal(self, notice: EvacuationChange) -> str:
        """Return why a notice can't be right, or an empty text."""
        if self._is_too_far(notice):
            return f"offset more than {MAX_NOTICE_LEAD} records ahead"
        known = self._read_by_data_centre.keys() | self._noticed_by_data_centre.keys()
        if notice.data_centre not in known and len(known) >= MAX_DATA_CENTRES:
            return f"more than {MAX_DATA_CENTRES} data centres"
        return ""

    def apply_notice(self, notice: EvacuationChange) -> bool:
        """Apply a notice; return whether the evacuated data centres have changed.

        A withdrawal ends only an evacuation that is known from an earlier notice.
        """
        known = self._noticed_by_data_centre.get(notice.data_centre)
        is_late = known is not None and notice.offset <= known.offset
        if is_late or self._is_passed(notice) or self.refusal(notice):
            return False
        self._noticed_by_data_centre[notice.data_centre] = notice
        return self._update()

    def _is_passed(self, notice: EvacuationChange) -> bool:
        return self._position is not None and notice.offset < self._position

    def _is_too_far(self, notice: EvacuationChange) -> bool:
        position = self._position
        return position is not None and notice.offset > position + MAX_NOTICE_LEAD

    def _update(self) -> bool:
        changes = (
            *self._read_by_data_centre.values(),
            *self._noticed_by_data_centre.values(),
        )
        data_centres = frozenset(
            change.data_centre for change in changes if change.is_evacuated
        )
        has_changed = data_centres != self._data_centres
        self._data_centres = data_centres
        return has_changed
