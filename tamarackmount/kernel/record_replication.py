"""Having job records held by other members and by the log.

A save succeeds as soon as one other member holds the records, or the log does, so
that at least two places have them. It is refused only when nobody can have them: no
member was ever sent a copy, and the log certainly does not have them. A copy without
an answer may have arrived all the same, so its save is tried again until somebody
holds it.
"""

from collections.abc import Iterable, Iterator
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


@dataclass(frozen=True, slots=True)
class RetryLogWrite:
    """Effect: write a save's records to the log once more."""

    token: int
    records: list[str]


@dataclass(frozen=True, slots=True)
class ReplicaLagging:
    """Effect: a member that lives did not confirm a save and needs all records."""

    member_id: MemberId


KeepingEffect = SendCopy | Saved | SaveRefused | RetryLogWrite | ReplicaLagging


@dataclass(slots=True)
class _Save:
    token: int
    number: int
    records: list[str]
    deadline: Instant
    resend_at: Instant
    record_id: RecordId
    awaits: set[MemberId] = field(default_factory=set)
    was_sent: bool = False
    held: bool = False
    log_result: WriteResult | None = None


class RecordReplication:
    """Saves of one owner that are under way."""

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
    ) -> list[KeepingEffect]:
        """Send copies of records that are also on their way to the log."""
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
        return self._send_to(save, members)

    def log_write_retried(
        self,
        token: int,
        record_id: RecordId,
        members: Iterable[MemberId],
        now: Instant,
    ) -> list[KeepingEffect]:
        """Go on with a save whose records are on their way to the log again."""
        save = self._saves_by_token.get(token)
        if save is None:
            return []
        self._tokens_by_record.pop(save.record_id, None)
        self._tokens_by_record[record_id] = token
        save.record_id = record_id
        save.log_result = None
        save.deadline = Instant(now + SAVE_TIMEOUT_S)
        save.resend_at = Instant(now + RESEND_S)
        return self._send_to(save, members)

    def copied(self, member_id: MemberId, number: int) -> list[KeepingEffect]:
        """Take in that a member holds the copy with this number."""
        token = self._tokens_by_number.get(number)
        if token is None:
            return []
        save = self._saves_by_token[token]
        save.awaits.discard(member_id)
        effects = self._hold(save, Durability.PEERS)
        return effects + self._close_if_over(save)

    def logged(self, record_id: RecordId, result: WriteResult) -> list[KeepingEffect]:
        """Take in the fate of a save's record in the log."""
        token = self._tokens_by_record.get(record_id)
        if token is None:
            return []
        save = self._saves_by_token[token]
        save.log_result = result
        effects: list[KeepingEffect] = []
        if result is WriteResult.WRITTEN:
            save.held = True
            effects.append(Saved(token, Durability.LOG))
        return effects + self._close_if_over(save)

    def member_joined(self, member_id: MemberId) -> list[KeepingEffect]:
        """Send a member that joined what nobody holds yet."""
        effects: list[KeepingEffect] = []
        for save in self._saves_by_token.values():
            if not save.held:
                effects += self._send_to(save, [member_id])
        return effects

    def member_lost(self, member_id: MemberId) -> list[KeepingEffect]:
        """Stop waiting for a member."""
        effects: list[KeepingEffect] = []
        for save in list(self._saves_by_token.values()):
            if member_id in save.awaits:
                save.awaits.discard(member_id)
                effects += self._close_if_over(save)
        return effects

    def tick(self, now: Instant) -> list[KeepingEffect]:
        """Send copies again; end the wait of saves that are out of time."""
        effects: list[KeepingEffect] = []
        for save in list(self._saves_by_token.values()):
            if now >= save.deadline:
                effects += self._time_out(save, now)
            elif now >= save.resend_at:
                save.resend_at = Instant(now + RESEND_S)
                effects += self._copies(save, save.awaits)
        return effects

    def _time_out(self, save: _Save, now: Instant) -> list[KeepingEffect]:
        behind = sorted(save.awaits) if save.held else []
        save.awaits.clear()
        effects: list[KeepingEffect] = [ReplicaLagging(name) for name in behind]
        effects += self._close_if_over(save)
        if save.token not in self._saves_by_token or save.held:
            return effects
        save.deadline = Instant(now + SAVE_TIMEOUT_S)
        return [*effects, RetryLogWrite(save.token, save.records)]

    def _hold(self, save: _Save, durability: Durability) -> list[KeepingEffect]:
        if save.held:
            return []
        save.held = True
        return [Saved(save.token, durability)]

    def _send_to(self, save: _Save, members: Iterable[MemberId]) -> list[KeepingEffect]:
        targets = set(members)
        save.awaits |= targets
        save.was_sent = save.was_sent or bool(targets)
        return self._copies(save, targets)

    def _copies(self, save: _Save, members: Iterable[MemberId]) -> list[KeepingEffect]:
        copy = JobCopy(self._epoch, save.number, save.records)
        return [SendCopy(member_id, copy) for member_id in sorted(members)]

    def _close_if_over(self, save: _Save) -> list[KeepingEffect]:
        if save.awaits or save.log_result is None:
            return []
        if save.held:
            self._close(save)
            return []
        if save.was_sent or save.log_result is not WriteResult.NOT_WRITTEN:
            return []
        self._close(save)
        return [SaveRefused(save.token)]

    def _close(self, save: _Save) -> None:
        del self._saves_by_token[save.token]
        del self._tokens_by_number[save.number]
        del self._tokens_by_record[save.record_id]
