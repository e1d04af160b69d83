"""Table of the callers' requests at one entry VM.

Each request asks the owner of the data centre for a ticket, sends one attempt with
the slot that it is granted, and ends with exactly one :class:`Finish`, or with none
when its caller left.
"""

from itertools import count

from tamarackmount.ids import (
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    TicketId,
)
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.known_owner import KnownOwner
from tamarackmount.kernel.loan_witness import LoanWitness
from tamarackmount.kernel.messages import (
    AttemptResult,
    HeldTicket,
    HoldingsReport,
    MemberRun,
    Outcome,
    RefusalReason,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketWithdrawal,
)
from tamarackmount.kernel.request_dedup import STATE_BY_RESULT, DedupTable
from tamarackmount.kernel.request_effects import (
    AbortUpstream,
    Finish,
    NewRequest,
    RequestEffect,
    RequestTiming,
    SendToOwner,
    SendUpstream,
    after_ms,
)
from tamarackmount.kernel.request_entry import RequestEntry, RunningAttempt
from tamarackmount.kernel.retry_budget import RetryBudget
from tamarackmount.kernel.ticket_ids import ticket_prefix
from tamarackmount.kernel.used_tickets import UsedTickets
from tamarackmount.units import MS_PER_SECOND


class RequestTable:
    """Requests of the callers of one entry VM.

    On learning of a new owner, :meth:`fence` is called before
    :meth:`owner_changed`.
    """

    def __init__(
        self, member_id: MemberId, incarnation: Incarnation, timing: RequestTiming
    ) -> None:
        """Create an empty table of a member that knows no owner yet."""
        self._timing = timing
        self._ticket_prefix = ticket_prefix(MemberRun(member_id, incarnation))
        self._ticket_numbers = count(1)
        self._owner = KnownOwner(timing.owner_grace_ms)
        self._requests_by_call: dict[int, RequestEntry] = {}
        self._calls_by_ticket: dict[TicketId, int] = {}
        self._running: set[int] = set()
        self._deadlines = DeadlineHeap[int]()
        self._resends = DeadlineHeap[int]()
        self._used = UsedTickets()
        self._budget = RetryBudget(timing.retry_ratio, timing.retry_burst)
        self.attempts = DedupTable(timing.attempt_memory_ms)
        self.witness = LoanWitness(timing)

    @property
    def in_flight(self) -> int:
        """Number of requests that an upstream works on."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a ticket."""
        return len(self._requests_by_call) - len(self._running)

    def submit(self, request: NewRequest, now: Instant) -> list[RequestEffect]:
        """Take in a caller's request."""
        if request.deadline <= now:
            return [
                Finish(request.call_id, Outcome.NOT_RUN, RefusalReason.DEADLINE),
            ]
        self._budget.earn()
        entry = RequestEntry(request, self._next_ticket())
        self._requests_by_call[request.call_id] = entry
        self._calls_by_ticket[entry.ticket_id] = request.call_id
        self._deadlines.set(request.call_id, request.deadline)
        return self._ask(entry, now)

    def granted(self, grant: TicketGrant, now: Instant) -> list[RequestEffect]:
        """Use the slot of a grant, or give it back unused."""
        request = self._find(grant.ticket_id)
        if request is None:
            return self._give_back_unknown(grant.ticket_id)
        if request.attempt is not None or self._owner.is_stale(grant.epoch):
            return []
        if request.first_asked is None:
            return []
        lent_until = after_ms(request.first_asked, grant.remaining_ms)
        deadline = min(request.new.deadline, lent_until)
        if deadline <= now:
            release = _release(grant.ticket_id, AttemptResult.UNUSED, 0)
            return [release, *self._ask_anew(request, now)]
        return self._start(request, grant, deadline, now)

    def refused(self, refusal: TicketRefusal, now: Instant) -> list[RequestEffect]:
        """Tell the caller that its request gets no ticket."""
        request = self._find(refusal.ticket_id)
        if request is None or request.attempt is not None:
            return []
        return self._refuse(request, refusal.reason, refusal.retry_after_ms)

    def attempt_ended(
        self, ticket_id: TicketId, result: AttemptResult, now: Instant
    ) -> list[RequestEffect]:
        """Take in how an attempt ended; one that is over already is ignored."""
        request = self._find(ticket_id)
        if request is None or request.attempt is None:
            return []
        if result is AttemptResult.UNUSED:
            result = AttemptResult.FAILED_BEFORE_SEND
        attempt = request.attempt
        service_ms = round((now - attempt.started_at) * MS_PER_SECOND)
        release = _release(ticket_id, result, service_ms)
        self._remember_end(request, result, now)
        self._running.discard(request.new.call_id)
        if result is AttemptResult.ANSWERED:
            finish = Finish(request.new.call_id, Outcome.ANSWERED)
            return [release, *self._finish(request, finish)]
        request.attempt = None
        request.excluded.append(attempt.upstream_id)
        return [release, *self._retry(request, now)]

    def caller_left(self, call_id: int, now: Instant) -> list[RequestEffect]:
        """Forget the caller.

        A running attempt is left to end, as the upstream may work on after its
        connection breaks and the slot is in use until then.
        """
        request = self._requests_by_call.get(call_id)
        if request is None:
            return []
        if request.attempt is not None:
            request.caller_left = True
            return []
        self._forget(request)
        return [SendToOwner(TicketWithdrawal(request.ticket_id))]

    def fence(self, epoch: Epoch, now: Instant) -> None:
        """Ignore grants of epochs below ``epoch``; their owner is not known yet."""
        self.witness.fence(epoch)
        if not self._owner.fence(epoch, now):
            return
        for request in self._waiting_requests():
            request.first_asked = None

    def owner_changed(
        self, owner: MemberId | None, now: Instant
    ) -> list[RequestEffect]:
        """Ask the new owner for every waiting request, with the same tickets.

        Without an owner, requests wait for a short grace and are then refused.
        """
        if owner is None:
            self._owner.lost(now)
            return []
        if not self._owner.found(owner):
            return []
        effects: list[RequestEffect] = []
        for request in self._waiting_requests():
            effects += self._ask(request, now)
        return effects

    def tick(self, now: Instant) -> list[RequestEffect]:
        """Act on every deadline that is over."""
        self.attempts.tick(now)
        self._used.tick(now)
        effects: list[RequestEffect] = []
        for call_id in self._deadlines.pop_due(now):
            effects += self._deadline_over(self._requests_by_call[call_id], now)
        for call_id in self._resends.pop_due(now):
            effects += self._ask_again(self._requests_by_call[call_id], now)
        if self._owner.refuses(now):
            for request in self._waiting_requests():
                effects += self._refuse_ownerless(request)
        return effects

    def holdings(self, now: Instant) -> list[HeldTicket]:
        """Return every slot that this member may still have in use."""
        return [ticket.held(now) for ticket in self._used.in_use()]

    def report_holdings(self, epoch: Epoch, now: Instant) -> HoldingsReport:
        """Return what this member holds and remembers, for the epoch's owner.

        Nothing that an earlier owner sends is taken any more.
        """
        self.fence(epoch, now)
        return HoldingsReport(
            epoch=epoch,
            tickets=[*self.holdings(now), *self.witness.tickets(now)],
            attempts=self.attempts.entries(now),
            witnessed_epoch=self.witness.complete_epoch(now),
            witnessed_runs=self.witness.runs,
        )

    def _next_ticket(self) -> TicketId:
        return TicketId(f"{self._ticket_prefix}{next(self._ticket_numbers)}")

    def _find(self, ticket_id: TicketId) -> RequestEntry | None:
        call_id = self._calls_by_ticket.get(ticket_id)
        return None if call_id is None else self._requests_by_call[call_id]

    def _waiting_requests(self) -> list[RequestEntry]:
        return [
            request
            for request in self._requests_by_call.values()
            if request.attempt is None
        ]

    def _refuse_ownerless(self, request: RequestEntry) -> list[RequestEffect]:
        retry_after_ms = self._timing.owner_grace_ms
        return self._refuse(request, RefusalReason.NO_OWNER, retry_after_ms)

    def _ask(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        """Ask the owner for a ticket, as soon as there is one."""
        if not self._owner.is_known:
            self._owner.lost(now)
            return self._refuse_ownerless(request) if (self._owner.refuses(now)) else []
        request.resend_ms = self._timing.resend_ms
        return self._send_ask(request, now)

    def _ask_again(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        if not self._owner.is_known or request.attempt is not None:
            return []
        request.resend_ms *= 2
        return self._send_ask(request, now)

    def _send_ask(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        new = request.new
        if request.first_asked is None:
            request.first_asked = now
        self._resends.set(new.call_id, after_ms(now, request.resend_ms))
        return [SendToOwner(request.ticket_request(now))]

    def _ask_anew(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        """Ask for a fresh ticket, if the request has time left."""
        new = request.new
        if new.deadline <= now:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        del self._calls_by_ticket[request.ticket_id]
        request.ticket_id = self._next_ticket()
        request.first_asked = None
        self._calls_by_ticket[request.ticket_id] = new.call_id
        self._deadlines.set(new.call_id, new.deadline)
        return self._ask(request, now)

    def _start(
        self, request: RequestEntry, grant: TicketGrant, deadline: Instant, now: Instant
    ) -> list[RequestEffect]:
        new = request.new
        ticket = request.ticket_in_use(grant, deadline)
        loan_ms = grant.remaining_ms + 2 * self._timing.clock_margin_ms
        self._used.start(ticket, remember_until=after_ms(now, loan_ms))
        if not new.idempotent:
            self.attempts.started(request.key, grant.ticket_id, now)
        request.attempt = RunningAttempt(grant.upstream_id, now)
        self._running.add(new.call_id)
        self._deadlines.set(new.call_id, deadline)
        self._resends.discard(new.call_id)
        return [SendUpstream(new.call_id, grant.ticket_id, grant.upstream_id, deadline)]

    def _remember_end(
        self, request: RequestEntry, result: AttemptResult, now: Instant
    ) -> None:
        after_send = result is AttemptResult.FAILED_AFTER_SEND
        if after_send:
            request.sent = True
        if not after_send or self._timing.disconnect_frees_slot:
            self._used.end(request.ticket_id)
        if request.new.idempotent:
            return
        if result is AttemptResult.FAILED_BEFORE_SEND:
            self.attempts.not_sent(request.key, request.ticket_id)
            return
        self.attempts.ended(request.key, STATE_BY_RESULT[result], now)

    def _retry(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        """Try a failed request elsewhere, or tell its caller how it ended."""
        if request.caller_left:
            self._forget(request)
            return []
        if request.new.deadline <= now:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        if request.sent and not request.new.idempotent:
            return self._refuse(request, RefusalReason.UPSTREAM_FAILED, 0)
        if not self._budget.spend():
            return self._refuse(
                request, RefusalReason.RETRIES_SPENT, self._timing.owner_grace_ms
            )
        return self._ask_anew(request, now)

    def _deadline_over(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        if request.attempt is None:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        # A retry gives the request another ticket.
        ticket_id = request.ticket_id
        ended = self.attempt_ended(ticket_id, AttemptResult.FAILED_AFTER_SEND, now)
        return [AbortUpstream(ticket_id), *ended]

    def _refuse(
        self, request: RequestEntry, reason: RefusalReason, retry_after_ms: int
    ) -> list[RequestEffect]:
        finish = request.unanswered(reason, retry_after_ms)
        return self._finish(request, finish)

    def _finish(self, request: RequestEntry, finish: Finish) -> list[RequestEffect]:
        self._forget(request)
        return [] if request.caller_left else [finish]

    def _forget(self, request: RequestEntry) -> None:
        call_id = request.new.call_id
        del self._requests_by_call[call_id]
        del self._calls_by_ticket[request.ticket_id]
        self._running.discard(call_id)
        self._deadlines.discard(call_id)
        self._resends.discard(call_id)

    def _give_back_unknown(self, ticket_id: TicketId) -> list[RequestEffect]:
        # An earlier run of this member may have used its tickets.
        is_own = ticket_id.startswith(self._ticket_prefix)
        if ticket_id in self._used or not is_own:
            return []
        return [_release(ticket_id, AttemptResult.UNUSED, 0)]


def _release(
    ticket_id: TicketId, result: AttemptResult, service_ms: int
) -> SendToOwner:
    return SendToOwner(TicketRelease(ticket_id, result, service_ms))
