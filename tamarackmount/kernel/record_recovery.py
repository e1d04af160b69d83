"""A new owner's collecting of the job records that other members hold."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import JobsHeld

COLLECT_TIMEOUT_S = 1.0
"""How long a new owner waits for live members before it begins, in seconds."""

ASK_AGAIN_S = 0.25
"""How long an answer is waited for before the member is asked again, in seconds."""


@dataclass(slots=True)
class _Answer:
    """The messages of a member's answer that arrived."""

    indexes: set[int] = field(default_factory=set)
    count: int | None = None


class RecordRecovery:
    """Which members have yet to give their records to the owner of an epoch.

    An owner may begin before all have answered; it goes on asking as long as they
    live, and takes what comes late too.
    """

    def __init__(self, epoch: Epoch, members: Iterable[MemberId], now: Instant) -> None:
        """Ask ``members`` from now on."""
        self._epoch = epoch
        self._answers_by_member = {member_id: _Answer() for member_id in members}
        self._begin_at = Instant(now + COLLECT_TIMEOUT_S)
        self._ask_at = now

    @property
    def epoch(self) -> Epoch:
        """The epoch whose owner collects."""
        return self._epoch

    def may_begin(self, now: Instant) -> bool:
        """Tell whether all have answered or the wait for them is over."""
        return not self._answers_by_member or now >= self._begin_at

    def ask(self, member_id: MemberId, now: Instant) -> None:
        """Ask a member that joined or came back."""
        self._answers_by_member[member_id] = _Answer()
        self._ask_at = now

    def lost(self, member_id: MemberId) -> None:
        """Ask a member no more."""
        self._answers_by_member.pop(member_id, None)

    def answered(self, member_id: MemberId, message: JobsHeld) -> None:
        """Take in a part of a member's answer."""
        answer = self._answers_by_member.get(member_id)
        if answer is None or message.epoch != self._epoch:
            return
        answer.indexes.add(message.index)
        if not message.more:
            answer.count = message.index + 1
        if answer.count is not None and len(answer.indexes) >= answer.count:
            del self._answers_by_member[member_id]

    def due(self, now: Instant) -> list[MemberId]:
        """Return the members to ask now."""
        if now < self._ask_at:
            return []
        self._ask_at = Instant(now + ASK_AGAIN_S)
        return sorted(self._answers_by_member)
