"""Having job records held by other members and by the log.

A save succeeds as soon as one other member holds the records, or the log does, so
that at least two places have them. It is refused when that can no longer happen:
no member is left to answer and the log certainly does not have them. While the
log's answer is unknown the save stays open, since the records may be there.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, MemberId, RecordId
from tamarackmount.kernel.job_effects import Durability
from tamarackmount.kernel.log_writer import WriteResult
from tamarackmount.kernel.messages import JobCopy

SAVE_TIMEOUT_S = 3.0
"""How long a save may wait for members and the log, in seconds."""

RESEND_S = 0.5
"""How long a copy waits for its answer before it is sent again, in seconds."""


@dataclass(frozen=True, slots=True)
class SendCopy:
    """Effect: send a copy to a member."""

    to: MemberId
    copy: JobCopy


@dataclass(frozen=True, slots=True)
class Saved:
    """Effect: a save is held; the log's may follow that of members."""

    token: int
    durability: Durability


@dataclass(frozen=True, slots=True)
class SaveRefused:
    """Effect: nobody holds a save, and nobody will."""

    token: int


KeepingEffect = SendCopy | Saved | SaveRefused


@dataclass(slots=True)
class _Save:
    token: int
    records: list[str]
    deadline: Instant
    resend_at: Instant
    record_id: RecordId
    awaits: set[MemberId] = field(default_factory=set)
    held_by_peer: bool = False
    log_result: WriteResult | None = None


class RecordKeeping:
    """Saves of one owner that are under way."""

    def __init__(self, epoch: Epoch) -> None:
        """Start without saves."""
        self._epoch = epoch
        self._saves_by_token: dict[int, _Save] = {}
        self._tokens_by_record: dict[RecordId, int] = {}

    def begin(
        self,
        token: int,
        records: list[str],
        record_id: RecordId,
        members: Iterable[MemberId],
        now: Instant,
    ) -> list[KeepingEffect]:
        """Send copies of records that are also on their way to the log."""
        save = _Save(
            token=token,
            records=records,
            deadline=Instant(now + SAVE_TIMEOUT_S),
            resend_at=Instant(now + RESEND_S),
            record_id=record_id,
            awaits=set(members),
        )
        self._saves_by_token[token] = save
        self._tokens_by_record[record_id] = token
        return self._copies(save)

    def copied(self, member_id: MemberId, token: int) -> list[KeepingEffect]:
        """Take in that a member holds a save's records."""
        save = self._saves_by_token.get(token)
        if save is None or member_id not in save.awaits:
            return []
        save.awaits.discard(member_id)
        if save.held_by_peer:
            return self._close_if_over(save)
        save.held_by_peer = True
        saved = Saved(token, Durability.PEERS)
        return [saved, *self._close_if_over(save)]

    def logged(self, record_id: RecordId, result: WriteResult) -> list[KeepingEffect]:
        """Take in the fate of a save's record in the log."""
        token = self._tokens_by_record.get(record_id)
        if token is None:
            return []
        save = self._saves_by_token[token]
        save.log_result = result
        if result is WriteResult.WRITTEN:
            self._close(save)
            return [Saved(token, Durability.LOG)]
        return self._close_if_over(save)

    def member_lost(self, member_id: MemberId) -> list[KeepingEffect]:
        """Stop waiting for a member."""
        effects: list[KeepingEffect] = []
        for save in list(self._saves_by_token.values()):
            if member_id in save.awaits:
                save.awaits.discard(member_id)
                effects += self._close_if_over(save)
        return effects

    def tick(self, now: Instant) -> list[KeepingEffect]:
        """Send copies again; refuse saves that are out of time."""
        effects: list[KeepingEffect] = []
        for save in list(self._saves_by_token.values()):
            if now >= save.deadline:
                save.awaits.clear()
                effects += self._close_if_over(save)
            elif now >= save.resend_at:
                save.resend_at = Instant(now + RESEND_S)
                effects += self._copies(save)
        return effects

    def _copies(self, save: _Save) -> list[KeepingEffect]:
        copy = JobCopy(self._epoch, save.token, save.records)
        return [SendCopy(member_id, copy) for member_id in sorted(save.awaits)]

    def _close_if_over(self, save: _Save) -> list[KeepingEffect]:
        if save.awaits or save.log_result is None:
            return []
        if save.held_by_peer:
            self._close(save)
            return []
        if save.log_result is WriteResult.UNKNOWN:
            return []
        self._close(save)
        return [SaveRefused(save.token)]

    def _close(self, save: _Save) -> None:
        del self._saves_by_token[save.token]
        del self._tokens_by_record[save.record_id]
