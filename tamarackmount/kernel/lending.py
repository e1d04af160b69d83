"""Lending of upstream slots to waiting tickets, and the end of the loans."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId, UpstreamId
from tamarackmount.kernel.dedup_replicator import DedupReplicator
from tamarackmount.kernel.dispatcher_view import DispatcherCounters
from tamarackmount.kernel.loan_replicator import LoanReplicator
from tamarackmount.kernel.messages import (
    HeldTicket,
    RefusalReason,
    TicketGrant,
    TicketRequest,
)
from tamarackmount.kernel.refusals import Refusals
from tamarackmount.kernel.request_dedup import DedupKey, DedupTable
from tamarackmount.kernel.request_effects import (
    DispatcherEffect,
    RequestTiming,
    SendToMember,
    after_ms,
    remaining_ms,
)
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import Loan, SlotLedger
from tamarackmount.units import MS_PER_SECOND

MAX_TEAMS_TRIED = 8
"""Most teams whose oldest ticket is tried for the free slots of a service.

A ticket cannot use a free slot on an upstream that it excludes.
"""


@dataclass(frozen=True, slots=True)
class _Choice:
    ticket: WaitingTicket
    service: str
    upstream_id: UpstreamId


class Lending:
    """Loans of one owner.

    A non-idempotent request is granted only once two members remember it: the owner
    and the requesting member. If that is the owner itself, another member must first
    acknowledge a copy. The owner grants itself a slot only once its witness has
    acknowledged the loan.
    """

    def __init__(
        self,
        epoch: Epoch,
        member_id: MemberId,
        timing: RequestTiming,
        queues: RequestQueues,
        ledger: SlotLedger,
        dedup_table: DedupTable,
        dedup_replicator: DedupReplicator,
        loan_replicator: LoanReplicator,
        refusals: Refusals,
        counters: DispatcherCounters,
        allow_unreplicated: bool,
    ) -> None:
        """Lend on behalf of ``member_id`` under ``epoch``."""
        self._epoch = epoch
        self._member_id = member_id
        self._timing = timing
        self._queues = queues
        self._ledger = ledger
        self._dedup_table = dedup_table
        self._dedup_replicator = dedup_replicator
        self._loan_replicator = loan_replicator
        self._refusals = refusals
        self._counters = counters
        self._allow_unreplicated = allow_unreplicated
        self._live: frozenset[MemberId] = frozenset()
        self._unreplicated_by_key: dict[DedupKey, TicketId] = {}

    def set_members(self, live: frozenset[MemberId]) -> None:
        """Set the live members, to which attempts can be replicated."""
        self._live = live

    def is_durable(self, ticket: WaitingTicket) -> bool:
        """Return whether enough members can remember the request, if that is needed."""
        if ticket.request.idempotent or self._allow_unreplicated:
            return True
        if ticket.member_id != self._member_id:
            return True
        return self.select_replica(dedup_key(ticket.request)) is not None

    def select_replica(self, key: DedupKey) -> MemberId | None:
        """Return a live member other than the owner, chosen by the key."""
        others = sorted(self._live - {self._member_id})
        if not others:
            return None
        # Python's string hash differs between processes; a sum of bytes does not.
        return others[sum(key.request_id.encode()) % len(others)]

    def dispatch(self, now: Instant) -> list[DispatcherEffect]:
        """Lend free slots to waiting tickets while there are both."""
        effects: list[DispatcherEffect] = []
        self._queues.set_quarantined(self._ledger.quarantined_slots())
        for service in self._queues.services():
            self._queues.set_slots(service, self._ledger.usable_slots(service))
            while (choice := self._choose(service)) is not None:
                effects += self._lend(choice, now)
        return effects

    def resend_grant(self, loan: Loan, member_id: MemberId) -> list[DispatcherEffect]:
        """Send a grant again for a ticket that was requested again."""
        if loan.member_id != member_id or loan.granted_ms is None:
            return []
        if self.awaits_replication(loan):
            return []
        return self._send_grant(loan)

    def awaits_replication(self, loan: Loan) -> bool:
        """Return whether the grant waits for an acknowledgement by another member."""
        if self._loan_replicator.is_unacknowledged(loan.ticket_id):
            return True
        return self._awaits_dedup_copy(loan)

    def _awaits_dedup_copy(self, loan: Loan) -> bool:
        if loan.dedup_key is None:
            return False
        return self._unreplicated_by_key.get(loan.dedup_key) == loan.ticket_id

    def witness_acknowledged(
        self, tickets: Iterable[TicketId]
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for the witness to acknowledge their loans."""
        effects: list[DispatcherEffect] = []
        for ticket_id in tickets:
            loan = self._ledger.loan(ticket_id)
            if loan is not None:
                effects += self._send_grant(loan)
        return effects

    def dedup_copies_acknowledged(
        self, keys: Iterable[DedupKey], now: Instant
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for these attempts to be replicated."""
        effects: list[DispatcherEffect] = []
        for key in keys:
            ticket_id = self._unreplicated_by_key.pop(key, None)
            loan = None if ticket_id is None else self._ledger.loan(ticket_id)
            if loan is not None:
                effects += self._grant(loan, now)
        return effects

    def replicate_elsewhere(
        self, key: DedupKey, now: Instant
    ) -> list[DispatcherEffect]:
        """Replicate an attempt whose replica is lost to another member."""
        member_id = self.select_replica(key)
        if member_id is not None:
            return list(self._dedup_replicator.send_all([key], member_id, now))
        if self._allow_unreplicated:
            return self.dedup_copies_acknowledged([key], now)
        return self._refuse_unreplicated(key, now)

    def release(self, loan: Loan) -> None:
        """End a loan."""
        self._ledger.remove_loan(loan.ticket_id)
        self.loan_ended(loan)

    def loan_ended(self, loan: Loan) -> None:
        """Update the other components for a loan that the ledger has removed."""
        self._queues.loan_ended(loan.team_id, loan.queue)
        self._loan_replicator.loan_ended(loan.ticket_id)
        if self._awaits_dedup_copy(loan) and loan.dedup_key is not None:
            del self._unreplicated_by_key[loan.dedup_key]

    def cancel(self, loan: Loan) -> None:
        """End a loan whose grant was not sent or not used."""
        if loan.dedup_key is not None:
            self._dedup_table.not_sent(loan.dedup_key, loan.ticket_id)
        self.release(loan)

    def expire(
        self, now: Instant, on_expired: Callable[[TicketId], None]
    ) -> list[DispatcherEffect]:
        """End the loans that are over; refuse non-idempotent ones never granted."""
        effects: list[DispatcherEffect] = []
        for loan in self._ledger.tick(now):
            on_expired(loan.ticket_id)
            self._counters.loans_expired += 1
            if self.awaits_replication(loan) and loan.dedup_key is not None:
                self._dedup_table.not_sent(loan.dedup_key, loan.ticket_id)
                reason = RefusalReason.NOT_DURABLE
                effects += self._refusals.refuse_loan(loan, reason, now)
            self.loan_ended(loan)
        return effects

    def adopt_loan(self, member_id: MemberId, held: HeldTicket, now: Instant) -> None:
        """Add a reported loan of a former owner."""
        if self._ledger.loan(held.ticket_id) is not None:
            return
        self._queues.remove(held.ticket_id)
        key = None
        if not held.idempotent:
            key = DedupKey(held.team_id, held.request_id)
            self._dedup_table.started(key, held.ticket_id, now)
        lent_until = after_ms(now, held.remaining_ms)
        holder = held.holder or member_id
        loan = Loan(
            ticket_id=held.ticket_id,
            team_id=held.team_id,
            queue=held.queue,
            upstream_id=held.upstream_id,
            member_id=holder,
            request_id=held.request_id,
            dedup_key=key,
            lent_until=lent_until,
            ends_at=after_ms(lent_until, self._timing.clock_margin_ms),
        )
        self._ledger.adopt_loan(loan)
        self._queues.loan_adopted(held.team_id, held.queue)

    def _choose(self, service: str) -> _Choice | None:
        if not self._ledger.has_free(service):
            return None
        for ticket in islice(self._queues.heads(service), MAX_TEAMS_TRIED):
            upstream_id = self._ledger.select_upstream(service, ticket.request.excluded)
            if upstream_id is not None:
                return _Choice(ticket, service, upstream_id)
        return None

    def _lend(self, choice: _Choice, now: Instant) -> list[DispatcherEffect]:
        ticket = choice.ticket
        self._queues.remove(ticket.request.ticket_id)
        reason = self._refusal_reason(ticket, now)
        if reason is not None:
            return self._refusals.refuse(ticket, reason, now)
        loan = self._build_loan(ticket, choice.upstream_id, now)
        self._ledger.add_loan(loan)
        self._queues.loan_started(loan.team_id, loan.queue)
        if loan.dedup_key is None:
            return self._grant(loan, now)
        self._dedup_table.started(loan.dedup_key, loan.ticket_id, now)
        return self._send_durable_grant(loan, loan.dedup_key, now)

    def _refusal_reason(
        self, ticket: WaitingTicket, now: Instant
    ) -> RefusalReason | None:
        if ticket.deadline <= now:
            return RefusalReason.DEADLINE
        if ticket.request.idempotent:
            return None
        key = dedup_key(ticket.request)
        if self._dedup_table.contains(key):
            return RefusalReason.ALREADY_ATTEMPTED
        return None if self.is_durable(ticket) else RefusalReason.NOT_DURABLE

    def _build_loan(
        self, ticket: WaitingTicket, upstream_id: UpstreamId, now: Instant
    ) -> Loan:
        request = ticket.request
        lend_ms = min(remaining_ms(ticket.deadline, now), self._timing.max_ticket_ms)
        waited_ms = int((now - ticket.arrived_at) * MS_PER_SECOND)
        # The borrower counts from its request, which was sent before it arrived here.
        lent_until = after_ms(ticket.arrived_at, waited_ms + lend_ms)
        return Loan(
            ticket_id=request.ticket_id,
            team_id=request.team_id,
            queue=request.queue,
            upstream_id=upstream_id,
            member_id=ticket.member_id,
            request_id=request.request_id,
            dedup_key=None if request.idempotent else dedup_key(request),
            lent_until=lent_until,
            ends_at=after_ms(lent_until, self._timing.clock_margin_ms),
            granted_ms=waited_ms + lend_ms,
        )

    def _send_durable_grant(
        self, loan: Loan, key: DedupKey, now: Instant
    ) -> list[DispatcherEffect]:
        if loan.member_id != self._member_id:
            self._dedup_replicator.mark_replicated(key, loan.member_id, now)
            return self._grant(loan, now)
        replica = self.select_replica(key)
        if replica is None:
            return self._grant(loan, now)
        self._unreplicated_by_key[key] = loan.ticket_id
        return list(self._dedup_replicator.send(key, replica, now))

    def _grant(self, loan: Loan, now: Instant) -> list[DispatcherEffect]:
        is_own = loan.member_id == self._member_id
        if is_own and self._loan_replicator.witness is not None:
            return list(self._loan_replicator.replicate_before_grant(loan, now))
        return self._send_grant(loan)

    def _send_grant(self, loan: Loan) -> list[DispatcherEffect]:
        if loan.granted_ms is None:
            return []
        self._counters.granted += 1
        grant = TicketGrant(
            loan.ticket_id, loan.upstream_id, self._epoch, loan.granted_ms
        )
        return [SendToMember(loan.member_id, grant)]

    def _refuse_unreplicated(
        self, key: DedupKey, now: Instant
    ) -> list[DispatcherEffect]:
        ticket_id = self._unreplicated_by_key.get(key)
        loan = None if ticket_id is None else self._ledger.loan(ticket_id)
        if loan is None:
            return []
        self.cancel(loan)
        return self._refusals.refuse_loan(loan, RefusalReason.NOT_DURABLE, now)


def dedup_key(request: TicketRequest) -> DedupKey:
    """Return the key that identifies repeats of a non-idempotent request."""
    return DedupKey(request.team_id, request.request_id)
