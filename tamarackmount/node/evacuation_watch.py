"""Follows the operator's evacuations of data centres."""

import logging
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

from tamarackmount.ids import DataCentreId, Instant, Offset
from tamarackmount.platform.config import decode_evacuation
from tamarackmount.platform.store import MAX_KEY_BYTES, MAX_OFFSET, KeyedRecord
from tamarackmount.scheduling.membership.evacuations import (
    EvacuationChange,
    Evacuations,
)

MAX_LOGGED_CHARS = 64
"""Maximum number of characters of a refused name that are logged."""

_log = logging.getLogger(__name__)

_MESSAGE_BY_STATE = {True: "data centre evacuated", False: "data centre taken back"}


class EvacuationWatch:
    """The evacuated data centres, as far as this node knows.

    ``on_change`` is called after each change, with the changes that this node has read.
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
        """Return the newest change of each data centre that this node has read."""
        return self._evacuations.changes()

    def apply_notice(self, change: EvacuationChange) -> None:
        """Apply a change that another node has read, unless it can't be right."""
        reason = _fault(change) or self._evacuations.refusal(change)
        if reason:
            extra = {
                "data_centre": change.data_centre[:MAX_LOGGED_CHARS],
                "offset": change.offset,
                "reason": reason,
            }
            _log.info("evacuation notice ignored", extra=extra)
            return
        before = self.data_centres
        if self._evacuations.apply_notice(change):
            self._log_changes(before, {change.data_centre: change.offset})
            # Nodes pass on only what they have read themselves.
            self._on_change([])

    def apply_records(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the evacuations among new records of the operator topic."""
        before = self.data_centres
        changes = []
        for record in records:
            data_centre = _read_data_centre(record)
            if data_centre is not None:
                change = EvacuationChange(
                    data_centre, record.offset, bool(record.value)
                )
                self._evacuations.apply(data_centre, change.offset, change.is_evacuated)
                changes.append(change)
        if records:
            self._evacuations.advance_to(Offset(records[-1].offset + 1))
        self._log_changes(before, {row.data_centre: row.offset for row in changes})
        if changes or before != self.data_centres:
            self._on_change(changes)

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
            self._log_changes(before, offset_by_data_centre, Offset(end - 1))
            self._on_change(
                [
                    EvacuationChange(
                        data_centre,
                        # The record of a removal that was trimmed is at an offset
                        # before the snapshot's end.
                        offset_by_data_centre.get(data_centre, Offset(max(0, end - 1))),
                        data_centre in self.data_centres,
                    )
                    for data_centre in sorted(before ^ self.data_centres)
                ]
            )

    def _log_changes(
        self,
        before: frozenset[DataCentreId],
        offset_by_data_centre: Mapping[DataCentreId, Offset],
        default: Offset | None = None,
    ) -> None:
        for data_centre in sorted(before ^ self.data_centres):
            offset = offset_by_data_centre.get(data_centre, default)
            self._log_change(data_centre, offset)

    def _log_change(self, data_centre: DataCentreId, offset: Offset | None) -> None:
        """Log a change with its age: at most so old is the record, in seconds.

        The record was written after the last read that reached the topic's end was
        sent. Without such a read, its age is not known. The offset is not known for an
        evacuation that was known from a notice and that the reads do not confirm.
        """
        since = self._caught_up_at()
        extra = {
            "data_centre": data_centre,
            "offset": offset,
            "age_s": None
            if since is None
            else round(self._reactor.seconds() - since, 3),
        }
        _log.info(_MESSAGE_BY_STATE[data_centre in self.data_centres], extra=extra)


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


def _fault(change: EvacuationChange) -> str:
    """Return what is wrong with a notice on its own, or an empty text."""
    if not change.data_centre:
        return "no name"
    if len(change.data_centre.encode("utf-8", "replace")) > MAX_KEY_BYTES:
        return f"name of more than {MAX_KEY_BYTES} bytes"
    if not 0 <= change.offset <= MAX_OFFSET:
        return f"offset not from 0 to {MAX_OFFSET}"
    return ""
