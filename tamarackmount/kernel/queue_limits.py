"""Refusal of waiting requests that exceed a limit or cannot be served in time."""

from tamarackmount.ids import Instant, QueueName
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.messages import RefusalReason
from tamarackmount.kernel.refusals import Refusals
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import SlotLedger


class QueueLimits:
    """Enforces queue lengths, and refuses requests that cannot be served in time."""

    def __init__(
        self,
        queues: RequestQueues,
        ledger: SlotLedger,
        admission: Admission,
        refusals: Refusals,
    ) -> None:
        """Enforce the limits of ``queues``."""
        self._queues = queues
        self._ledger = ledger
        self._admission = admission
        self._refusals = refusals

    def cannot_meet_deadline(self, ticket: WaitingTicket) -> bool:
        """Return whether no slot can become free before the ticket's deadline."""
        rules = self._queues.rules(ticket.request.queue)
        if rules is None:
            return True
        if not self._ledger.serves(rules.service, ticket.request.excluded):
            return True
        return self._admission.is_quarantined_past_deadline(ticket, rules.service)

    def refuse_unmeetable(self, now: Instant) -> list[DispatcherEffect]:
        """Refuse every ticket that cannot meet its deadline."""
        effects: list[DispatcherEffect] = []
        for ticket in self._queues.tickets():
            if not self.cannot_meet_deadline(ticket):
                continue
            self._queues.remove(ticket.request.ticket_id)
            reason = RefusalReason.NO_UPSTREAM
            effects += self._refusals.refuse(ticket, reason, now)
        return effects

    def shed(self, queue: QueueName, now: Instant) -> list[DispatcherEffect]:
        """Refuse requests until the queue is within its limit.

        The newest request of the team with the most waiting requests per share is
        refused first.
        """
        effects: list[DispatcherEffect] = []
        request_queue = self._queues.queue(queue)
        while len(request_queue) > request_queue.max_waiting:
            ticket = request_queue.shed_candidate()
            if ticket is None:
                raise AssertionError("a queue over its limit has no waiting ticket")
            request_queue.remove(ticket.request.ticket_id)
            effects += self._refusals.refuse(ticket, RefusalReason.LINE_FULL, now)
        return effects

    def refuse_expired(self, now: Instant) -> list[DispatcherEffect]:
        """Refuse every ticket whose deadline has passed."""
        effects: list[DispatcherEffect] = []
        for ticket in self._queues.pop_expired(now):
            at_ceiling = self._queues.at_ceiling(ticket.request.team_id)
            reason = RefusalReason.CEILING if at_ceiling else RefusalReason.DEADLINE
            effects += self._refusals.refuse(ticket, reason, now)
        return effects
