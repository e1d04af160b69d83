"""Follows the operator's evacuations of data centres."""

import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from tamarackmount.ids import DataCentreId, Instant, Offset
from tamarackmount.platform.config import decode_evacuation
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.evacuations import EvacuationChange, Evacuations

_log = logging.getLogger(__name__)

_MESSAGE_BY_STATE = {True: "data centre evacuated", False: "data centre taken back"}


class EvacuationWatch:
    """The evacuated data centres, as far as this node knows.

    ``on_change`` is called with the changes after each of them.
    """

    def __init__(
        self,
        reactor: Any,
        read_now: Callable[[], Coroutine[Any, Any, bool]],
        caught_up_at: Callable[[], Instant | None],
        on_change: Callable[[list[EvacuationChange]], None],
    ) -> None:
        """Begin with no data centre evacuated.

        ``read_now`` reads the operator topic once, and tells whether this reached its
        end. ``caught_up_at`` returns when such a read was last sent.
        """
        self._reactor = reactor
        self.read_now = read_now
        self._caught_up_at = caught_up_at
        self._on_change = on_change
        self._evacuations = Evacuations()

    @property
    def data_centres(self) -> frozenset[DataCentreId]:
        """The evacuated data centres."""
        return self._evacuations.data_centres

    def changes(self) -> list[EvacuationChange]:
        """Return the newest known change of each data centre."""
        return self._evacuations.changes()

    def apply_notice(self, change: EvacuationChange) -> None:
        """Apply a change that another node has read."""
        if change.data_centre:
            self._apply(change.data_centre, change.offset, change.is_evacuated)

    def apply_records(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the evacuations among new records of the operator topic."""
        for record in records:
            data_centre = _read_data_centre(record)
            if data_centre is not None:
                self._apply(data_centre, record.offset, bool(record.value))

    def apply_snapshot(self, records: Sequence[KeyedRecord], end: Offset) -> None:
        """Replace the evacuations by those of a snapshot of the operator topic.

        The snapshot is complete up to the offset ``end``.
        """
        offset_by_data_centre = {
            data_centre: record.offset
            for record in records
            if record.value and (data_centre := _read_data_centre(record)) is not None
        }
        before = self.data_centres
        if self._evacuations.replace(offset_by_data_centre, end):
            changes = [
                EvacuationChange(
                    data_centre,
                    # The record of a removal that was trimmed is at an offset before
                    # the snapshot's end.
                    offset_by_data_centre.get(data_centre, Offset(end - 1)),
                    data_centre in self.data_centres,
                )
                for data_centre in sorted(before ^ self.data_centres)
            ]
            self._report(changes)

    def _apply(
        self, data_centre: DataCentreId, offset: Offset, is_evacuated: bool
    ) -> None:
        if self._evacuations.apply(data_centre, offset, is_evacuated):
            self._report([EvacuationChange(data_centre, offset, is_evacuated)])

    def _report(self, changes: list[EvacuationChange]) -> None:
        for change in changes:
            self._log_change(change)
        self._on_change(changes)

    def _log_change(self, change: EvacuationChange) -> None:
        """Log a change with its age: at most so old is the record, in seconds.

        The record was written after the last read that reached the topic's end was
        sent. Without such a read, its age is not known.
        """
        since = self._caught_up_at()
        extra = {
            "data_centre": change.data_centre,
            "offset": change.offset,
            "age_s": None
            if since is None
            else round(self._reactor.seconds() - since, 3),
        }
        _log.info(_MESSAGE_BY_STATE[change.is_evacuated], extra=extra)


def _read_data_centre(record: KeyedRecord) -> DataCentreId | None:
    evacuation = decode_evacuation(record.key, record.value)
    if evacuation is None:
        return None
    if evacuation.fault:
        extra = {
            "key": record.key,
            "offset": record.offset,
            "reason": evacuation.fault,
        }
        _log.warning("evacuation record not readable; it counts", extra=extra)
    return evacuation.data_centre
