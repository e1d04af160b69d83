"""The owner's side of telling a witness about loans; see ``loan_witness``."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import count

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import (
    HeldTicket,
    LoanCopied,
    LoanCopy,
    MemberRun,
)
from tamarackmount.kernel.request_effects import (
    RequestTiming,
    SendToMember,
    after_ms,
    remaining_ms,
)
from tamarackmount.kernel.slots import Loan


def held_ticket(loan: Loan, now: Instant) -> HeldTicket:
    """Return a loan as it is told to a witness."""
    return HeldTicket(
        ticket_id=loan.ticket_id,
        request_id=loan.request_id,
        team_id=loan.team_id,
        queue=loan.queue,
        upstream_id=loan.upstream_id,
        idempotent=loan.attempt is None,
        remaining_ms=remaining_ms(loan.lent_until, now) + 1,
        holder=loan.member_id,
    )


@dataclass(frozen=True, slots=True)
class _Outstanding:
    copy: LoanCopy
    tickets: tuple[TicketId, ...]


class LoanReplicator:
    """Copies of loans under way to the witness of one owner."""

    def __init__(
        self, epoch: Epoch, member_id: MemberId, timing: RequestTiming
    ) -> None:
        """Start without a witness."""
        self._epoch = epoch
        self._member_id = member_id
        self._timing = timing
        self._witness: MemberId | None = None
        self._sequence = count(1)
        self._outstanding_by_sequence: dict[int, _Outstanding] = {}
        self._resends = DeadlineHeap[int]()
        self._pending: set[TicketId] = set()
        self._ended: list[TicketId] = []
        self._runs: list[MemberRun] = []

    @property
    def witness(self) -> MemberId | None:
        """The member that is told; ``None`` while the owner is alone."""
        return self._witness

    @property
    def runs(self) -> list[MemberRun]:
        """The runs that report their own loans."""
        return list(self._runs)

    def set_runs(self, runs: Iterable[MemberRun]) -> bool:
        """Set the runs that report their own loans; tell if they changed."""
        wanted = sorted(runs, key=lambda run: run.member_id)
        changed = wanted != self._runs
        self._runs = wanted
        return changed

    def select_witness(self, live: Iterable[MemberId]) -> bool:
        """Keep the witness while it lives, or choose another; tell if it changed.

        The caller then sends the whole of the loans.
        """
        others = sorted(set(live) - {self._member_id})
        if self._witness in others:
            return False
        self._outstanding_by_sequence.clear()
        self._resends = DeadlineHeap()
        self._ended.clear()
        self._witness = others[0] if others else None
        return True

    def is_unconfirmed(self, ticket_id: TicketId) -> bool:
        """Tell whether a loan must not be used before the witness confirms it."""
        return ticket_id in self._pending

    def replicate_before_grant(self, loan: Loan, now: Instant) -> list[SendToMember]:
        """Tell the witness of a loan that is not to be used before it confirms."""
        self._pending.add(loan.ticket_id)
        return self.replicate([loan], now)

    def replicate(
        self, loans: Sequence[Loan], now: Instant, *, is_whole: bool = False
    ) -> list[SendToMember]:
        """Tell the witness of loans, and of those that ended since the last copy."""
        if self._witness is None:
            return []
        copy = LoanCopy(
            epoch=self._epoch,
            sequence=next(self._sequence),
            loans=[held_ticket(loan, now) for loan in loans],
            ended=self._take_ended(),
            runs=self._runs,
            is_whole=is_whole,
        )
        tickets = tuple(loan.ticket_id for loan in loans)
        self._outstanding_by_sequence[copy.sequence] = _Outstanding(copy, tickets)
        return self._send(copy, now)

    def ended(self, ticket_id: TicketId) -> None:
        """Note that a loan is over; the witness learns it with the next copy."""
        self._pending.discard(ticket_id)
        self._ended.append(ticket_id)

    def acknowledged(self, member_id: MemberId, message: LoanCopied) -> list[TicketId]:
        """Take in a confirmation; return the held loans that may be used now."""
        if member_id != self._witness or message.epoch != self._epoch:
            return []
        outstanding = self._outstanding_by_sequence.pop(message.sequence, None)
        if outstanding is None:
            return []
        self._resends.discard(message.sequence)
        return self._release(outstanding.tickets)

    def release_all(self) -> list[TicketId]:
        """Return every held loan, when there is nobody left to tell."""
        return self._release(list(self._pending))

    def tick(self, now: Instant) -> list[SendToMember]:
        """Repeat unconfirmed copies; pass on what ended."""
        effects: list[SendToMember] = []
        for sequence in self._resends.pop_due(now):
            outstanding = self._outstanding_by_sequence.get(sequence)
            if outstanding is not None:
                effects += self._send(outstanding.copy, now)
        if self._ended:
            effects += self.replicate([], now)
        return effects

    def _send(self, copy: LoanCopy, now: Instant) -> list[SendToMember]:
        if self._witness is None:
            return []
        self._resends.set(copy.sequence, after_ms(now, self._timing.resend_ms))
        return [SendToMember(self._witness, copy)]

    def _release(self, tickets: Iterable[TicketId]) -> list[TicketId]:
        released = [ticket_id for ticket_id in tickets if ticket_id in self._pending]
        self._pending.difference_update(released)
        return released

    def _take_ended(self) -> list[TicketId]:
        ended = self._ended
        self._ended = []
        return ended
