"""Schedule of a member's snapshots of the state that the log decided.

The log deletes old records. A snapshot is due when half of the retained records were
written after the last one, so that a starting member always finds one. The members
write at different times: they read the first snapshot, which makes their own needless.
"""

import hashlib

from tamarackmount.adapters.log_schema import RecordPage
from tamarackmount.ids import Instant, MemberId, Offset, RecordId
from tamarackmount.kernel.fleet_config import FIRST_OFFSET

SNAPSHOT_AT_FRACTION = 0.5
"""Fraction of the retained records after the last snapshot that makes one due."""

MIN_KEPT_FOR_SNAPSHOT = 100
"""Number of retained records below which the log is not expected to delete any."""

SPREAD_PER_MEMBER_S = 0.5
"""Time that each member of the fleet adds to the spread, in seconds.

The other members read a snapshot about two polls of the log after it was due, so that
few of them write a redundant one however large the fleet is.
"""


def spread_s(members: int) -> float:
    """Return the time, in seconds, over which the members spread their snapshots."""
    return members * SPREAD_PER_MEMBER_S


class SnapshotSchedule:
    """Decides when one member writes a snapshot."""

    def __init__(self, member_id: MemberId, spread: float) -> None:
        """Start without a known snapshot; ``spread`` is in seconds."""
        self._delay_s = _hash_fraction(member_id) * spread
        self._last_applied = Offset(0)
        self._pending_id: RecordId | None = None
        self._due_at: Instant | None = None

    def seen(self, applied: Offset) -> None:
        """Record a snapshot read from the log, of the records before ``applied``."""
        self._last_applied = max(self._last_applied, applied)

    def is_due(self, page: RecordPage, now: Instant) -> bool:
        """Return whether to write a snapshot, having read ``page`` up to the end."""
        if not self._is_needed(page):
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = Instant(now + self._delay_s)
        return now >= self._due_at

    def written(self, record_id: RecordId) -> None:
        """Record that a snapshot is being written."""
        self._pending_id = record_id
        self._due_at = None

    def settled(self, record_id: RecordId) -> None:
        """Record that the outcome of writing a record is known."""
        if record_id == self._pending_id:
            self._pending_id = None

    def _is_needed(self, page: RecordPage) -> bool:
        if self._pending_id is not None:
            return False
        kept = page.next_offset - page.first_offset
        written_since = page.next_offset - self._last_applied
        may_drop = page.first_offset > FIRST_OFFSET or kept >= MIN_KEPT_FOR_SNAPSHOT
        return may_drop and written_since >= kept * SNAPSHOT_AT_FRACTION


def _hash_fraction(name: str) -> float:
    """Return a number in [0, 1) that depends on the name alone."""
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:4], "big") / 2**32
