"""Recovery of job records from the other members for a new owner."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobsHeld

RECOVERY_TIMEOUT_S = 1.0
"""Longest time that a new owner waits for live members, in seconds."""

RETRY_INTERVAL_S = 0.25
"""Time between two requests to members that have not answered, in seconds."""


@dataclass(slots=True)
class _Answer:
    """Parts of a member's answer that arrived.

    ``count`` is the number of all parts; the message that ends the answer sets it.
    """

    indexes: set[int] = field(default_factory=set)
    count: int | None = None


class RecordRecovery:
    """Tracks the members that have yet to send their records to an epoch's owner.

    The owner may start its scheduler before all have answered; it continues to send
    requests to those that are live, and accepts late answers too.
    """

    def __init__(self, epoch: Epoch, members: Iterable[MemberId], now: Instant) -> None:
        """Start with requests to ``members``."""
        self._epoch = epoch
        self._answers_by_member = {member_id: _Answer() for member_id in members}
        self._begin_at = Instant(now + RECOVERY_TIMEOUT_S)
        self._next_request_at = now

    @property
    def epoch(self) -> Epoch:
        """The epoch of the owner that recovers the records."""
        return self._epoch

    def may_begin(self, now: Instant) -> bool:
        """Return whether all members have answered or the wait has timed out."""
        return not self._answers_by_member or now >= self._begin_at

    def add_member(self, member_id: MemberId, now: Instant) -> None:
        """Request the records of a member that joined or returned."""
        self._answers_by_member[member_id] = _Answer()
        self._next_request_at = now

    def member_lost(self, member_id: MemberId) -> None:
        """Stop sending requests to a member."""
        self._answers_by_member.pop(member_id, None)

    def answer_received(self, member_id: MemberId, message: JobsHeld) -> None:
        """Record a part of a member's answer."""
        answer = self._answers_by_member.get(member_id)
        if answer is None or message.epoch != self._epoch:
            return
        answer.indexes.add(message.index)
        if not message.more:
            answer.count = message.index + 1
        if answer.count is not None and len(answer.indexes) >= answer.count:
            del self._answers_by_member[member_id]

    def due(self, now: Instant) -> list[MemberId]:
        """Return the members to send a request to now."""
        if now < self._next_request_at:
            return []
        self._next_request_at = Instant(now + RETRY_INTERVAL_S)
        return sorted(self._answers_by_member)
