"""Sending all job records to members that missed some of them."""

from collections.abc import Iterator

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobCopy
from tamarackmount.kernel.record_replication import SendCopy

RESEND_S = 1.0
"""Time after which the unacknowledged parts are sent again, in seconds."""


class FullResync:
    """Tracks the parts of a full copy that each member has yet to acknowledge."""

    def __init__(self, epoch: Epoch, numbers: Iterator[int]) -> None:
        """Start with no copy to send; ``numbers`` are unique to this run."""
        self._epoch = epoch
        self._numbers = numbers
        self._parts_by_member: dict[MemberId, dict[int, list[str]]] = {}
        self._send_at_by_member: dict[MemberId, Instant] = {}

    def begin(self, member_id: MemberId, parts: list[list[str]], now: Instant) -> None:
        """Start to send all records to a member, in message-sized parts."""
        numbered = {next(self._numbers): part for part in parts if part}
        if not numbered:
            return
        self._parts_by_member[member_id] = numbered
        self._send_at_by_member[member_id] = now

    def acknowledged(self, member_id: MemberId, number: int) -> None:
        """Record that a member acknowledged a part."""
        parts = self._parts_by_member.get(member_id)
        if parts is None:
            return
        parts.pop(number, None)
        if not parts:
            # The member has all records; nothing is left to send to it.
            self.member_lost(member_id)

    def member_lost(self, member_id: MemberId) -> None:
        """Stop sending to a member that is lost or has acknowledged all parts."""
        self._parts_by_member.pop(member_id, None)
        self._send_at_by_member.pop(member_id, None)

    def due(self, now: Instant) -> list[SendCopy]:
        """Return the parts to send now."""
        copies = []
        for member_id, send_at in self._send_at_by_member.items():
            if now < send_at:
                continue
            self._send_at_by_member[member_id] = Instant(now + RESEND_S)
            for number, part in self._parts_by_member[member_id].items():
                copies.append(SendCopy(member_id, JobCopy(self._epoch, number, part)))
        return copies
