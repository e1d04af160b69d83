"""Requests of the callers of one entry VM, from submission to the final outcome.

The table requests a ticket for each request from the owner of the data centre and
sends one attempt of the request to the upstream whose slot is granted. A request ends
with exactly one :class:`Finish`, or with none if its caller disconnected.
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

MAX_SENT_FAILURES = 3
"""Failures of an idempotent request after it was sent from which on it is not tried
again: it may take each upstream down that works on it."""


class RequestTable:
    """State machine of the requests of one entry VM.

    When a new owner becomes known, call :meth:`raise_fence`, then
    :meth:`owner_changed`.
    """

    def __init__(
        self, member_id: MemberId, incarnation: Incarnation, timing: RequestTiming
    ) -> None:
        """Create an empty table; no owner is known yet."""
        self._timing = timing
        self._ticket_prefix = ticket_prefix(MemberRun(member_id, incarnation))
        self._ticket_numbers = count(1)
        self._owner = KnownOwner(timing.owner_grace_ms)
        self._requests_by_call: dict[int, RequestEntry] = {}
        self._calls_by_ticket: dict[TicketId, int] = {}
        self._running_calls: set[int] = set()
        self._deadlines = DeadlineHeap[int]()
        self._resend_deadlines = DeadlineHeap[int]()
        self._used_tickets = UsedTickets()
        self._retry_budget = RetryBudget(timing.retry_ratio, timing.retry_burst)
        self.dedup_table = DedupTable(timing.attempt_memory_ms)
        self.witness = LoanWitness(timing)

    @property
    def in_flight(self) -> int:
        """Number of requests that are running at an upstream."""
        return len(self._running_calls)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a ticket."""
        return len(self._requests_by_call) - len(self._running_calls)

    def submit(self, request: NewRequest, now: Instant) -> list[RequestEffect]:
        """Accept a caller's request and request a ticket for it."""
        if request.deadline <= now:
            return [
                Finish(request.call_id, Outcome.NOT_RUN, RefusalReason.DEADLINE),
            ]
        self._retry_budget.earn()
        entry = RequestEntry(request, self._next_ticket())
        self._requests_by_call[request.call_id] = entry
        self._calls_by_ticket[entry.ticket_id] = request.call_id
        self._deadlines.set(request.call_id, request.deadline)
        return self._request_ticket(entry, now)

    def granted(self, grant: TicketGrant, now: Instant) -> list[RequestEffect]:
        """Start an attempt with the granted slot, or release the slot unused."""
        request = self._find_by_ticket(grant.ticket_id)
        if request is None:
            return self._release_unknown(grant.ticket_id)
        if request.attempt is not None or self._owner.is_stale(grant.epoch):
            return []
        if request.first_requested_at is None:
            # The ticket has not been requested from the present owner yet.
            return []
        loan_ends_at = after_ms(request.first_requested_at, grant.remaining_ms)
        deadline = min(request.submitted.deadline, loan_ends_at)
        if deadline <= now:
            release = _release(grant.ticket_id, AttemptResult.UNUSED, 0)
            return [release, *self._request_new_ticket(request, now)]
        return self._start_attempt(request, grant, deadline, now)

    def refused(self, refusal: TicketRefusal, now: Instant) -> list[RequestEffect]:
        """Tell the caller that its request gets no ticket."""
        request = self._find_by_ticket(refusal.ticket_id)
        if request is None or request.attempt is not None:
            return []
        return self._refuse(request, refusal.reason, refusal.retry_after_ms)

    def attempt_ended(
        self, ticket_id: TicketId, result: AttemptResult, now: Instant
    ) -> list[RequestEffect]:
        """Handle the end of an attempt; ignore an attempt that has already ended."""
        request = self._find_by_ticket(ticket_id)
        if request is None or request.attempt is None:
            return []
        if result is AttemptResult.UNUSED:
            # The daemon reports this if it no longer has the request when the attempt
            # is to be sent. No byte was sent, so the attempt is handled like one that
            # failed before sending: a dedup entry of it is removed.
            result = AttemptResult.FAILED_BEFORE_SEND
        attempt = request.attempt
        service_ms = round((now - attempt.started_at) * MS_PER_SECOND)
        release = _release(ticket_id, result, service_ms)
        self._record_end(request, result, now)
        self._running_calls.discard(request.submitted.call_id)
        if result is AttemptResult.ANSWERED:
            finish = Finish(request.submitted.call_id, Outcome.ANSWERED)
            return [release, *self._finish(request, finish)]
        request.attempt = None
        request.excluded.append(attempt.upstream_id)
        return [release, *self._retry(request, now)]

    def caller_disconnected(self, call_id: int, now: Instant) -> list[RequestEffect]:
        """Handle that the caller disconnected.

        A waiting request is withdrawn. A running attempt is not aborted, because the
        upstream may go on working after its connection breaks, and the slot is in use
        until the attempt ends.
        """
        request = self._requests_by_call.get(call_id)
        if request is None:
            return []
        if request.attempt is not None:
            request.caller_disconnected = True
            return []
        self._forget(request)
        return [SendToOwner(TicketWithdrawal(request.ticket_id))]

    def raise_fence(self, epoch: Epoch, now: Instant) -> None:
        """Ignore grants of epochs below ``epoch``, whose owner is not known yet."""
        self.witness.raise_fence(epoch)
        if not self._owner.raise_fence(epoch, now):
            return
        for request in self._waiting_requests():
            request.first_requested_at = None

    def owner_changed(
        self, owner: MemberId | None, now: Instant
    ) -> list[RequestEffect]:
        """Request tickets from the new owner for every waiting request.

        The ticket ids stay the same. Without an owner, requests wait for the grace
        period ``owner_grace_ms`` and are then refused.
        """
        if owner is None:
            self._owner.set_unknown(now)
            return []
        if not self._owner.set_owner(owner):
            return []
        effects: list[RequestEffect] = []
        for request in self._waiting_requests():
            effects += self._request_ticket(request, now)
        return effects

    def tick(self, now: Instant) -> list[RequestEffect]:
        """Handle every deadline that has passed."""
        self.dedup_table.tick(now)
        self._used_tickets.tick(now)
        effects: list[RequestEffect] = []
        for call_id in self._deadlines.pop_due(now):
            effects += self._deadline_passed(self._requests_by_call[call_id], now)
        for call_id in self._resend_deadlines.pop_due(now):
            effects += self._resend_ticket_request(self._requests_by_call[call_id], now)
        if self._owner.refuses_requests(now):
            for request in self._waiting_requests():
                effects += self._refuse_without_owner(request)
        return effects

    def holdings(self, now: Instant) -> list[HeldTicket]:
        """Return every slot that this member may still be using."""
        return [ticket.to_held_ticket(now) for ticket in self._used_tickets.in_use()]

    def report_holdings(self, epoch: Epoch, now: Instant) -> HoldingsReport:
        """Return the slots and attempts of this member for the owner of ``epoch``.

        From then on, messages of former owners are ignored.
        """
        self.raise_fence(epoch, now)
        return HoldingsReport(
            epoch=epoch,
            tickets=[*self.holdings(now), *self.witness.tickets(now)],
            attempts=self.dedup_table.entries(now),
            witnessed_epoch=self.witness.complete_epoch(now),
            witnessed_runs=self.witness.runs,
        )

    def _next_ticket(self) -> TicketId:
        return TicketId(f"{self._ticket_prefix}{next(self._ticket_numbers)}")

    def _find_by_ticket(self, ticket_id: TicketId) -> RequestEntry | None:
        call_id = self._calls_by_ticket.get(ticket_id)
        return None if call_id is None else self._requests_by_call[call_id]

    def _waiting_requests(self) -> list[RequestEntry]:
        return [
            request
            for request in self._requests_by_call.values()
            if request.attempt is None
        ]

    def _refuse_without_owner(self, request: RequestEntry) -> list[RequestEffect]:
        retry_after_ms = self._timing.owner_grace_ms
        return self._refuse(request, RefusalReason.NO_OWNER, retry_after_ms)

    def _request_ticket(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        """Request a ticket from the owner, or wait until an owner is known."""
        if not self._owner.is_known:
            self._owner.set_unknown(now)
            return (
                self._refuse_without_owner(request)
                if self._owner.refuses_requests(now)
                else []
            )
        request.resend_ms = self._timing.resend_ms
        return self._send_ticket_request(request, now)

    def _resend_ticket_request(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        if not self._owner.is_known or request.attempt is not None:
            return []
        request.resend_ms *= 2
        return self._send_ticket_request(request, now)

    def _send_ticket_request(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        submitted = request.submitted
        if request.first_requested_at is None:
            request.first_requested_at = now
        self._resend_deadlines.set(submitted.call_id, after_ms(now, request.resend_ms))
        return [SendToOwner(request.ticket_request(now))]

    def _request_new_ticket(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        """Request a ticket with a new id, if the deadline has not passed."""
        submitted = request.submitted
        if submitted.deadline <= now:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        del self._calls_by_ticket[request.ticket_id]
        request.ticket_id = self._next_ticket()
        request.first_requested_at = None
        self._calls_by_ticket[request.ticket_id] = submitted.call_id
        self._deadlines.set(submitted.call_id, submitted.deadline)
        return self._request_ticket(request, now)

    def _start_attempt(
        self, request: RequestEntry, grant: TicketGrant, deadline: Instant, now: Instant
    ) -> list[RequestEffect]:
        submitted = request.submitted
        ticket = request.ticket_in_use(grant, deadline)
        loan_ms = grant.remaining_ms + 2 * self._timing.clock_margin_ms
        self._used_tickets.start(ticket, remember_until=after_ms(now, loan_ms))
        if not submitted.idempotent:
            self.dedup_table.started(request.key, grant.ticket_id, now)
        request.attempt = RunningAttempt(grant.upstream_id, now)
        self._running_calls.add(submitted.call_id)
        self._deadlines.set(submitted.call_id, deadline)
        self._resend_deadlines.discard(submitted.call_id)
        return [
            SendUpstream(
                submitted.call_id, grant.ticket_id, grant.upstream_id, deadline
            )
        ]

    def _record_end(
        self, request: RequestEntry, result: AttemptResult, now: Instant
    ) -> None:
        failed_after_send = result is AttemptResult.FAILED_AFTER_SEND
        if failed_after_send:
            request.sent_failures += 1
        if not failed_after_send or self._timing.disconnect_frees_slot:
            self._used_tickets.end(request.ticket_id)
        if request.submitted.idempotent:
            return
        if result is AttemptResult.FAILED_BEFORE_SEND:
            self.dedup_table.not_sent(request.key, request.ticket_id)
            return
        self.dedup_table.ended(request.key, STATE_BY_RESULT[result], now)

    def _retry(self, request: RequestEntry, now: Instant) -> list[RequestEffect]:
        """Retry a failed request at another upstream, or finish it."""
        if request.caller_disconnected:
            self._forget(request)
            return []
        if request.submitted.deadline <= now:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        max_failures = MAX_SENT_FAILURES if request.submitted.idempotent else 1
        if request.sent_failures >= max_failures:
            return self._refuse(request, RefusalReason.UPSTREAM_FAILED, 0)
        if not self._retry_budget.spend():
            return self._refuse(
                request, RefusalReason.RETRIES_SPENT, self._timing.owner_grace_ms
            )
        return self._request_new_ticket(request, now)

    def _deadline_passed(
        self, request: RequestEntry, now: Instant
    ) -> list[RequestEffect]:
        if request.attempt is None:
            return self._refuse(request, RefusalReason.DEADLINE, 0)
        # Keep the id for the abort: a retry replaces the ticket of the request.
        ticket_id = request.ticket_id
        ended = self.attempt_ended(ticket_id, AttemptResult.FAILED_AFTER_SEND, now)
        return [AbortUpstream(ticket_id), *ended]

    def _refuse(
        self, request: RequestEntry, reason: RefusalReason, retry_after_ms: int
    ) -> list[RequestEffect]:
        finish = request.finish_without_answer(reason, retry_after_ms)
        return self._finish(request, finish)

    def _finish(self, request: RequestEntry, finish: Finish) -> list[RequestEffect]:
        self._forget(request)
        return [] if request.caller_disconnected else [finish]

    def _forget(self, request: RequestEntry) -> None:
        call_id = request.submitted.call_id
        del self._requests_by_call[call_id]
        del self._calls_by_ticket[request.ticket_id]
        self._running_calls.discard(call_id)
        self._deadlines.discard(call_id)
        self._resend_deadlines.discard(call_id)

    def _release_unknown(self, ticket_id: TicketId) -> list[RequestEffect]:
        # Tickets of an earlier run of this member are not released as unused, because
        # that run may have used them.
        is_own = ticket_id.startswith(self._ticket_prefix)
        if ticket_id in self._used_tickets or not is_own:
            return []
        return [_release(ticket_id, AttemptResult.UNUSED, 0)]


def _release(
    ticket_id: TicketId, result: AttemptResult, service_ms: int
) -> SendToOwner:
    return SendToOwner(TicketRelease(ticket_id, result, service_ms))
