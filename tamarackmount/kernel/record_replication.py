"""Replication of job records to other members and to the log.

A save succeeds as soon as another member or the log has the records, so that they are
stored in at least two places. It is refused only when nobody can have them: no member
was ever sent a copy, and the log certainly does not have them. A copy that was not
confirmed may have arrived nevertheless, so its save is retried until it is confirmed.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, MemberId, RecordId
from tamarackmount.kernel.job_effects import Durability
from tamarackmount.kernel.log_writer import WriteResult
from tamarackmount.kernel.messages import JobCopy

SAVE_TIMEOUT_S = 3.0
"""Longest time that a save waits for members and the log, in seconds."""

RESEND_S = 0.5
"""Time after which an unconfirmed copy is sent again, in seconds."""


@dataclass(frozen=True, slots=True)
class SendCopy:
    """Effect: send a copy to a member."""

    to: MemberId
    copy: JobCopy


@dataclass(frozen=True, slots=True)
class Saved:
    """Effect: a save is stored; one by members may be followed by one in the log."""

    token: int
    durability: Durability


@dataclass(frozen=True, slots=True)
class SaveRefused:
    """Effect: neither a member nor the log has a save, and none will get it."""

    token: int


@dataclass(frozen=True, slots=True)
class RetryLogWrite:
    """Effect: write the records of a save to the log again."""

    token: int
    records: list[str]


@dataclass(frozen=True, slots=True)
class ReplicaLagging:
    """Effect: a live member did not confirm a save and needs all records."""

    member_id: MemberId


ReplicationEffect = SendCopy | Saved | SaveRefused | RetryLogWrite | ReplicaLagging


@dataclass(slots=True)
class _Save:
    token: int
    number: int
    records: list[str]
    deadline: Instant
    resend_at: Instant
    record_id: RecordId
    unconfirmed_members: set[MemberId] = field(default_factory=set)
    is_copy_sent: bool = False
    is_stored: bool = False
    log_result: WriteResult | None = None


class RecordReplication:
    """Tracks the pending saves of one owner."""

    def __init__(self, epoch: Epoch, numbers: Iterator[int]) -> None:
        """Start without saves; ``numbers`` are unique to this run of the member."""
        self._epoch = epoch
        self._numbers = numbers
        self._saves_by_token: dict[int, _Save] = {}
        self._tokens_by_number: dict[int, int] = {}
        self._tokens_by_record: dict[RecordId, int] = {}

    def begin(
        self,
        token: int,
        records: list[str],
        record_id: RecordId,
        members: Iterable[MemberId],
        now: Instant,
    ) -> list[ReplicationEffect]:
        """Send copies of records that are also being written to the log."""
        save = _Save(
            token=token,
            number=next(self._numbers),
            records=records,
            deadline=Instant(now + SAVE_TIMEOUT_S),
            resend_at=Instant(now + RESEND_S),
            record_id=record_id,
        )
        self._saves_by_token[token] = save
        self._tokens_by_number[save.number] = token
        self._tokens_by_record[record_id] = token
        return self._send_copies(save, members)

    def log_write_retried(
        self,
        token: int,
        record_id: RecordId,
        members: Iterable[MemberId],
        now: Instant,
    ) -> list[ReplicationEffect]:
        """Continue a save whose records are being written to the log again."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        self._tokens_by_record.pop(save.record_id, None)
        self._tokens_by_record[record_id] = token
        save.record_id = record_id
        save.log_result = None
        save.deadline = Instant(now + SAVE_TIMEOUT_S)
        save.resend_at = Instant(now + RESEND_S)
        return self._send_copies(save, members)

    def acknowledged(self, member_id: MemberId, number: int) -> list[ReplicationEffect]:
        """Record that a member confirmed the copy with this number."""
        token = self._tokens_by_number.get(number)
        if token is None:
            return []
        save = self._saves_by_token[token]
        save.unconfirmed_members.discard(member_id)
        effects = self._mark_stored(save, Durability.PEERS)
        return effects + self._close_if_done(save)

    def logged(
        self, record_id: RecordId, result: WriteResult
    ) -> list[ReplicationEffect]:
        """Record the outcome of writing a save to the log."""
        token = self._tokens_by_record.get(record_id)
        if token is None:
            return []
        save = self._saves_by_token[token]
        save.log_result = result
        effects: list[ReplicationEffect] = []
        if result is WriteResult.WRITTEN:
            save.is_stored = True
            effects.append(Saved(token, Durability.LOG))
        return effects + self._close_if_done(save)

    def member_joined(self, member_id: MemberId) -> list[ReplicationEffect]:
        """Send the saves that are not stored yet to a member that joined."""
        effects: list[ReplicationEffect] = []
        for save in self._saves_by_token.values():
            if not save.is_stored:
                effects += self._send_copies(save, [member_id])
        return effects

    def member_lost(self, member_id: MemberId) -> list[ReplicationEffect]:
        """Stop waiting for a lost member's confirmations."""
        effects: list[ReplicationEffect] = []
        for save in list(self._saves_by_token.values()):
            if member_id in save.unconfirmed_members:
                save.unconfirmed_members.discard(member_id)
                effects += self._close_if_done(save)
        return effects

    def tick(self, now: Instant) -> list[ReplicationEffect]:
        """Send unconfirmed copies again; handle saves past their deadline."""
        effects: list[ReplicationEffect] = []
        for save in list(self._saves_by_token.values()):
            if now >= save.deadline:
                effects += self._time_out(save, now)
            elif now >= save.resend_at:
                save.resend_at = Instant(now + RESEND_S)
                effects += self._copy_effects(save, save.unconfirmed_members)
        return effects

    def _time_out(self, save: _Save, now: Instant) -> list[ReplicationEffect]:
        lagging = sorted(save.unconfirmed_members) if save.is_stored else []
        save.unconfirmed_members.clear()
        effects: list[ReplicationEffect] = [ReplicaLagging(name) for name in lagging]
        effects += self._close_if_done(save)
        if save.token not in self._saves_by_token or save.is_stored:
            return effects
        save.deadline = Instant(now + SAVE_TIMEOUT_S)
        return [*effects, RetryLogWrite(save.token, save.records)]

    def _mark_stored(
        self, save: _Save, durability: Durability
    ) -> list[ReplicationEffect]:
        if save.is_stored:
            return []
        save.is_stored = True
        return [Saved(save.token, durability)]

    def _send_copies(
        self, save: _Save, members: Iterable[MemberId]
    ) -> list[ReplicationEffect]:
        targets = set(members)
        save.unconfirmed_members |= targets
        save.is_copy_sent = save.is_copy_sent or bool(targets)
        return self._copy_effects(save, targets)

    def _copy_effects(
        self, save: _Save, members: Iterable[MemberId]
    ) -> list[ReplicationEffect]:
        copy = JobCopy(self._epoch, save.number, save.records)
        return [SendCopy(member_id, copy) for member_id in sorted(members)]

    def _close_if_done(self, save: _Save) -> list[ReplicationEffect]:
        if save.unconfirmed_members or save.log_result is None:
            return []
        if save.is_stored:
            self._close(save)
            return []
        if save.is_copy_sent or save.log_result is not WriteResult.NOT_WRITTEN:
            return []
        self._close(save)
        return [SaveRefused(save.token)]

    def _close(self, save: _Save) -> None:
        del self._saves_by_token[save.token]
        del self._tokens_by_number[save.number]
        del self._tokens_by_record[save.record_id]
