"""Whole copies of the job records, for members that missed some."""

from collections.abc import Iterator

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobCopy
from tamarackmount.kernel.record_replication import SendCopy

COPY_AGAIN_S = 1.0
"""How long a whole copy waits for its answers before it is sent again, in seconds."""


class FullResync:
    """Which parts of a whole copy each member has yet to confirm."""

    def __init__(self, epoch: Epoch, numbers: Iterator[int]) -> None:
        """Start with no member behind; ``numbers`` are unique to this run."""
        self._epoch = epoch
        self._numbers = numbers
        self._parts_by_member: dict[MemberId, dict[int, list[str]]] = {}
        self._send_at_by_member: dict[MemberId, Instant] = {}

    def begin(self, member_id: MemberId, parts: list[list[str]], now: Instant) -> None:
        """Have a member take all records, as message-sized parts."""
        numbered = {next(self._numbers): part for part in parts if part}
        if not numbered:
            return
        self._parts_by_member[member_id] = numbered
        self._send_at_by_member[member_id] = now

    def copied(self, member_id: MemberId, number: int) -> None:
        """Take in that a member holds a part."""
        parts = self._parts_by_member.get(member_id)
        if parts is None:
            return
        parts.pop(number, None)
        if not parts:
            self.lost(member_id)

    def lost(self, member_id: MemberId) -> None:
        """Give a member up."""
        self._parts_by_member.pop(member_id, None)
        self._send_at_by_member.pop(member_id, None)

    def due(self, now: Instant) -> list[SendCopy]:
        """Return the parts to send now."""
        copies = []
        for member_id, send_at in self._send_at_by_member.items():
            if now < send_at:
                continue
            self._send_at_by_member[member_id] = Instant(now + COPY_AGAIN_S)
            for number, part in self._parts_by_member[member_id].items():
                copies.append(SendCopy(member_id, JobCopy(self._epoch, number, part)))
        return copies
