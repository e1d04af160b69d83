"""A member's memory of loans that no live member but the owner can report.

The owner's own loans, and those of members that were lost, would be unknown once
the owner is lost too. One live member, the witness, is told of them before they are
used, so that the next owner learns which slots are free and lends them at once.
"""

from dataclasses import dataclass, replace

from tamarackmount.ids import Epoch, Instant, TicketId
from tamarackmount.kernel.messages import HeldTicket, LoanCopied, LoanCopy, MemberRun
from tamarackmount.kernel.request_effects import RequestTiming, after_ms, remaining_ms


@dataclass(frozen=True, slots=True)
class _Witnessed:
    ticket: HeldTicket
    until: Instant


class LoanWitness:
    """Loans of others that one member remembers, by ticket."""

    def __init__(self, timing: RequestTiming) -> None:
        """Start without loans."""
        self._timing = timing
        self._away_until: Instant | None = None
        self._loans_by_ticket: dict[TicketId, _Witnessed] = {}
        self._fence = Epoch(0)
        self._complete_epoch = Epoch(0)
        self._runs: list[MemberRun] = []
        self._runs_sequence = 0

    def complete_epoch(self, now: Instant) -> Epoch:
        """Return the last epoch whose loans were told whole; 0 for none."""
        is_away = self._away_until is not None and now < self._away_until
        return Epoch(0) if is_away else self._complete_epoch

    def mark_suspected_lost(self, now: Instant) -> None:
        """Note that the owner may have taken this member for lost until now.

        It may have lent slots without a witness, so nothing counts as told whole
        until those loans are over.
        """
        longest_ms = self._timing.max_ticket_ms + 2 * self._timing.clock_margin_ms
        self._away_until = after_ms(now, longest_ms)

    @property
    def runs(self) -> list[MemberRun]:
        """The runs that the owner of that epoch counted on to report themselves."""
        return list(self._runs)

    def fence(self, epoch: Epoch) -> None:
        """Take no copies of earlier epochs any more."""
        self._fence = max(self._fence, epoch)

    def take(self, copy: LoanCopy, now: Instant) -> LoanCopied | None:
        """Remember a copy and confirm it; copies of earlier epochs are ignored."""
        if copy.epoch < self._fence:
            return None
        self._fence = copy.epoch
        for ticket_id in copy.ended:
            self._loans_by_ticket.pop(ticket_id, None)
        for ticket in copy.loans:
            until = after_ms(now, ticket.remaining_ms)
            self._loans_by_ticket[ticket.ticket_id] = _Witnessed(ticket, until)
        if copy.is_whole and copy.epoch > self._complete_epoch:
            self._complete_epoch = copy.epoch
            self._runs_sequence = 0
        if copy.epoch == self._complete_epoch and copy.sequence >= self._runs_sequence:
            self._runs = list(copy.runs)
            self._runs_sequence = copy.sequence
        return LoanCopied(copy.epoch, copy.sequence)

    def tickets(self, now: Instant) -> list[HeldTicket]:
        """Return the loans that may still be in use."""
        self.tick(now)
        return [
            replace(one.ticket, remaining_ms=remaining_ms(one.until, now) + 1)
            for one in self._loans_by_ticket.values()
        ]

    def tick(self, now: Instant) -> None:
        """Forget loans whose deadlines are over."""
        # The holder's clock may be slower than this one's.
        margin_ms = self._timing.clock_margin_ms
        over = [
            ticket_id
            for ticket_id, one in self._loans_by_ticket.items()
            if after_ms(one.until, margin_ms) <= now
        ]
        for ticket_id in over:
            del self._loans_by_ticket[ticket_id]
