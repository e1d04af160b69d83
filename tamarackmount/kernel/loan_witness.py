"""A witness's copy of loans that no live member but the owner can report.

The owner's own loans, and those of lost members, would be unknown once the owner is
lost too. So the owner replicates them to one live member, the witness, and grants its
own loans only after that. The next owner then learns from the witness which slots are
free, and can lend them at once.
"""

from dataclasses import dataclass, replace

from tamarackmount.ids import Epoch, Instant, TicketId
from tamarackmount.kernel.messages import HeldTicket, LoanCopied, LoanCopy, MemberRun
from tamarackmount.kernel.request_effects import RequestTiming, after_ms, remaining_ms


@dataclass(frozen=True, slots=True)
class _WitnessedLoan:
    ticket: HeldTicket
    until: Instant


class LoanWitness:
    """Loans that one member stores as a witness."""

    def __init__(self, timing: RequestTiming) -> None:
        """Start without loans."""
        self._timing = timing
        self._suspected_until: Instant | None = None
        self._loans_by_ticket: dict[TicketId, _WitnessedLoan] = {}
        self._fence = Epoch(0)
        self._complete_epoch = Epoch(0)
        self._runs: list[MemberRun] = []
        self._runs_sequence = 0

    def complete_epoch(self, now: Instant) -> Epoch:
        """Return the last epoch with a complete copy of the loans; 0 for none."""
        is_suspected = self._suspected_until is not None and now < self._suspected_until
        return Epoch(0) if is_suspected else self._complete_epoch

    def mark_suspected_lost(self, now: Instant) -> None:
        """Record that the owner may have considered this member lost until now.

        Meanwhile it may have lent slots without a witness. So no copy counts as
        complete until those loans are over.
        """
        longest_ms = self._timing.max_ticket_ms + 2 * self._timing.clock_margin_ms
        self._suspected_until = after_ms(now, longest_ms)

    @property
    def runs(self) -> list[MemberRun]:
        """The runs that the owner of the complete epoch relied on to report loans."""
        return list(self._runs)

    def raise_fence(self, epoch: Epoch) -> None:
        """Ignore copies of earlier epochs from now on."""
        self._fence = max(self._fence, epoch)

    def merge(self, copy: LoanCopy, now: Instant) -> LoanCopied | None:
        """Store a copy and confirm it; ``None`` for a copy of an earlier epoch."""
        if copy.epoch < self._fence:
            return None
        self._fence = copy.epoch
        for ticket_id in copy.ended:
            self._loans_by_ticket.pop(ticket_id, None)
        for ticket in copy.loans:
            until = after_ms(now, ticket.remaining_ms)
            self._loans_by_ticket[ticket.ticket_id] = _WitnessedLoan(ticket, until)
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
            replace(
                witnessed.ticket, remaining_ms=remaining_ms(witnessed.until, now) + 1
            )
            for witnessed in self._loans_by_ticket.values()
        ]

    def tick(self, now: Instant) -> None:
        """Forget loans whose deadline plus clock margin has passed."""
        # The holder's clock may be slower than this one's.
        margin_ms = self._timing.clock_margin_ms
        expired = [
            ticket_id
            for ticket_id, witnessed in self._loans_by_ticket.items()
            if after_ms(witnessed.until, margin_ms) <= now
        ]
        for ticket_id in expired:
            del self._loans_by_ticket[ticket_id]
