"""When a member writes a snapshot of what the log decided.

The log drops old records. A snapshot is due when half of what the log keeps was
written after the last one, so that a starting member always finds one. The members
spread their writing; the first snapshot that is read makes the others needless.
"""

import hashlib

from tamarackmount.adapters.log_schema import RecordPage
from tamarackmount.ids import Instant, MemberId, Offset, RecordId
from tamarackmount.kernel.fleet_config import FIRST_OFFSET

SNAPSHOT_AT_USED = 0.5
"""Part of the log's kept length after which a snapshot is written anew."""

MIN_KEPT_FOR_SNAPSHOT = 100
"""Kept records below which dropping is not expected."""

SPREAD_PER_MEMBER_S = 0.5
"""Time by which each member of the fleet lengthens the spread, in seconds.

A snapshot is read by the others about two polls of the log after it is due, so that
few members write one for nothing however large the fleet is.
"""


def spread_s(members: int) -> float:
    """Return the time over which so many members spread their snapshots."""
    return members * SPREAD_PER_MEMBER_S


class SnapshotSchedule:
    """Tells one member when to write a snapshot."""

    def __init__(self, member_id: MemberId, spread: float) -> None:
        """Start without having seen a snapshot; ``spread`` is in seconds."""
        self._delay_s = _part_by_hash(member_id) * spread
        self._last_applied = Offset(0)
        self._pending: RecordId | None = None
        self._due_at: Instant | None = None

    def seen(self, applied: Offset) -> None:
        """Note a snapshot read from the log."""
        self._last_applied = max(self._last_applied, applied)

    def is_due(self, page: RecordPage, now: Instant) -> bool:
        """Tell whether to write a snapshot, having read ``page`` up to the end."""
        if not self._is_needed(page):
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = Instant(now + self._delay_s)
        return now >= self._due_at

    def written(self, record_id: RecordId) -> None:
        """Note that a snapshot is on its way."""
        self._pending = record_id
        self._due_at = None

    def settled(self, record_id: RecordId) -> None:
        """Note that the fate of a record is known."""
        if record_id == self._pending:
            self._pending = None

    def _is_needed(self, page: RecordPage) -> bool:
        if self._pending is not None:
            return False
        kept = page.next_offset - page.first_offset
        since = page.next_offset - self._last_applied
        drops = page.first_offset > FIRST_OFFSET or kept >= MIN_KEPT_FOR_SNAPSHOT
        return drops and since >= kept * SNAPSHOT_AT_USED


def _part_by_hash(name: str) -> float:
    """Return a part of 1 that depends on the name alone."""
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:4], "big") / 2**32
