"""Replication of loans from the owner to its witness; see ``loan_witness``."""

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
    """Return a loan as sent to a witness, with the time rounded up."""
    return HeldTicket(
        ticket_id=loan.ticket_id,
        request_id=loan.request_id,
        team_id=loan.team_id,
        queue=loan.queue,
        upstream_id=loan.upstream_id,
        idempotent=loan.dedup_key is None,
        remaining_ms=remaining_ms(loan.lent_until, now) + 1,
        holder=loan.member_id,
    )


@dataclass(frozen=True, slots=True)
class _Outstanding:
    copy: LoanCopy
    tickets: tuple[TicketId, ...]


class LoanReplicator:
    """Sends copies of loans to the witness of one owner until it acknowledges them."""

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
        self._unacknowledged: set[TicketId] = set()
        self._ended: list[TicketId] = []
        self._runs: list[MemberRun] = []

    @property
    def witness(self) -> MemberId | None:
        """The member that holds the copies; ``None`` while the owner is alone."""
        return self._witness

    @property
    def runs(self) -> list[MemberRun]:
        """The runs of members that report their own loans."""
        return list(self._runs)

    def set_runs(self, runs: Iterable[MemberRun]) -> bool:
        """Set the runs that report their own loans; return whether they changed."""
        wanted = sorted(runs, key=lambda run: run.member_id)
        changed = wanted != self._runs
        self._runs = wanted
        return changed

    def select_witness(self, live: Iterable[MemberId]) -> bool:
        """Keep a live witness or choose another; return whether it changed.

        After a change the caller has to send a complete copy of the loans.
        """
        others = sorted(set(live) - {self._member_id})
        if self._witness in others:
            return False
        self._outstanding_by_sequence.clear()
        self._resends = DeadlineHeap()
        self._ended.clear()
        self._witness = others[0] if others else None
        return True

    def is_unacknowledged(self, ticket_id: TicketId) -> bool:
        """Return whether the grant of a loan waits for the acknowledgement."""
        return ticket_id in self._unacknowledged

    def replicate_before_grant(self, loan: Loan, now: Instant) -> list[SendToMember]:
        """Replicate a loan whose grant waits for the witness to acknowledge it."""
        self._unacknowledged.add(loan.ticket_id)
        return self.replicate([loan], now)

    def replicate(
        self, loans: Sequence[Loan], now: Instant, *, is_whole: bool = False
    ) -> list[SendToMember]:
        """Send the witness loans, and the ids of those ended since the last copy."""
        if self._witness is None:
            return []
        copy = LoanCopy(
            epoch=self._epoch,
            sequence=next(self._sequence),
            loans=[held_ticket(loan, now) for loan in loans],
            ended=self._pop_ended(),
            runs=self._runs,
            is_whole=is_whole,
        )
        tickets = tuple(loan.ticket_id for loan in loans)
        self._outstanding_by_sequence[copy.sequence] = _Outstanding(copy, tickets)
        return self._send(copy, now)

    def loan_ended(self, ticket_id: TicketId) -> None:
        """Record the end of a loan; the next copy includes it."""
        self._unacknowledged.discard(ticket_id)
        self._ended.append(ticket_id)

    def acknowledged(self, member_id: MemberId, message: LoanCopied) -> list[TicketId]:
        """Record an acknowledgement; return the loans that may be granted now."""
        if member_id != self._witness or message.epoch != self._epoch:
            return []
        outstanding = self._outstanding_by_sequence.pop(message.sequence, None)
        if outstanding is None:
            return []
        self._resends.discard(message.sequence)
        return self._release(outstanding.tickets)

    def release_unacknowledged(self) -> list[TicketId]:
        """Return every unacknowledged loan, because no witness is left."""
        return self._release(list(self._unacknowledged))

    def tick(self, now: Instant) -> list[SendToMember]:
        """Resend unacknowledged copies; send the ids of ended loans."""
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
        released = [
            ticket_id for ticket_id in tickets if ticket_id in self._unacknowledged
        ]
        self._unacknowledged.difference_update(released)
        return released

    def _pop_ended(self) -> list[TicketId]:
        ended = self._ended
        self._ended = []
        return ended
