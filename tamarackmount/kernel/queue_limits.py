"""Refusal of waiting requests that can not or may not wait any longer."""

from tamarackmount.ids import Instant, QueueName
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.messages import RefusalReason
from tamarackmount.kernel.refusals import Refusals
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import SlotLedger


class QueueLimits:
    """Keeps lines within their length, and free of requests that wait in vain."""

    def __init__(
        self,
        board: RequestQueues,
        ledger: SlotLedger,
        admission: Admission,
        refusals: Refusals,
    ) -> None:
        """Look after the lines of ``board``."""
        self._board = board
        self._ledger = ledger
        self._admission = admission
        self._refusals = refusals

    def cannot_meet_deadline(self, ticket: WaitingTicket) -> bool:
        """Tell whether no slot can be free before the ticket's deadline."""
        rules = self._board.rules(ticket.request.queue)
        if rules is None:
            return True
        if not self._ledger.serves(rules.service, ticket.request.excluded):
            return True
        return self._admission.quarantined_past(ticket, rules.service)

    def refuse_unmeetable(self, now: Instant) -> list[DispatcherEffect]:
        """Refuse every ticket that waits in vain."""
        effects: list[DispatcherEffect] = []
        for ticket in self._board.tickets():
            if not self.cannot_meet_deadline(ticket):
                continue
            self._board.remove(ticket.request.ticket_id)
            reason = RefusalReason.NO_UPSTREAM
            effects += self._refusals.refuse(ticket, reason, now)
        return effects

    def shed(self, queue: QueueName, now: Instant) -> list[DispatcherEffect]:
        """Refuse the newest request of the most crowded team while over the limit."""
        effects: list[DispatcherEffect] = []
        line = self._board.line(queue)
        while len(line) > line.max_waiting:
            ticket = line.most_crowded()
            if ticket is None:
                raise AssertionError("a line with requests has a most crowded team")
            line.remove(ticket.request.ticket_id)
            effects += self._refusals.refuse(ticket, RefusalReason.LINE_FULL, now)
        return effects

    def refuse_expired(self, now: Instant) -> list[DispatcherEffect]:
        """Refuse every ticket whose deadline is over."""
        effects: list[DispatcherEffect] = []
        for ticket in self._board.pop_expired(now):
            at_ceiling = self._board.at_ceiling(ticket.request.team_id)
            reason = RefusalReason.CEILING if at_ceiling else RefusalReason.DEADLINE
            effects += self._refusals.refuse(ticket, reason, now)
        return effects
