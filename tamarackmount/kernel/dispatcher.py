"""Dispatcher of a data centre: queues requests and lends them upstream slots.

Only the owner of the data centre runs one. It must not be called once that member's
ownership has lapsed.
"""

from collections.abc import Collection, Mapping, Sequence

from tamarackmount.ids import Epoch, Instant, MemberId, QueueName, TicketId, WorkspaceId
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.attempt_feedback import AttemptFeedback
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.dedup_replicator import DedupReplicator
from tamarackmount.kernel.dispatcher_report import explain_queue, view_upstreams
from tamarackmount.kernel.dispatcher_view import (
    DispatcherCounters,
    DispatcherSnapshot,
    QueueExplanation,
)
from tamarackmount.kernel.lending import Lending, dedup_key
from tamarackmount.kernel.loan_replicator import LoanReplicator
from tamarackmount.kernel.messages import (
    AttemptResult,
    HeldTicket,
    HoldingsReport,
    LoanCopied,
    LoanCopy,
    MemberRun,
    RefusalReason,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.queue_limits import QueueLimits
from tamarackmount.kernel.refusals import Refusals
from tamarackmount.kernel.request_dedup import DedupKey, DedupTable
from tamarackmount.kernel.request_effects import (
    DispatcherEffect,
    RequestTiming,
    after_ms,
)
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits, RequestQueues
from tamarackmount.kernel.slots import ListedUpstream, SlotLedger
from tamarackmount.kernel.takeover import Takeover
from tamarackmount.kernel.ticket_ids import is_of_run
from tamarackmount.kernel.upstream_health import UpstreamHealth
from tamarackmount.kernel.witness_reports import Predecessor, WitnessReports
from tamarackmount.kernel.witness_sync import WitnessSync

NO_PREDECESSOR = Predecessor()
"""No previous owner is known."""


class Dispatcher:
    """Decisions of the owner for one epoch.

    ``is_first_owner`` says that no former owner can exist, so nothing is quarantined.
    ``dedup_table`` is the member's dedup table, shared with its request table.
    ``predecessor`` is the previous owner, whose witness can end the quarantine by its
    report. ``allow_unreplicated`` lets non-idempotent requests through while no second
    member can remember them; otherwise they are refused as not durable.
    """

    def __init__(
        self,
        epoch: Epoch,
        member_id: MemberId,
        timing: RequestTiming,
        now: Instant,
        *,
        is_first_owner: bool = False,
        dedup_table: DedupTable | None = None,
        predecessor: Predecessor = NO_PREDECESSOR,
        allow_unreplicated: bool = False,
    ) -> None:
        """Take over at ``now``; see :mod:`tamarackmount.kernel.slots`."""
        self.epoch = epoch
        self.counters = DispatcherCounters()
        self._timing = timing
        self._live: frozenset[MemberId] = frozenset()
        quarantine_ms = timing.max_ticket_ms + timing.clock_margin_ms
        self._ledger = SlotLedger(
            None if is_first_owner else after_ms(now, quarantine_ms)
        )
        self._health = UpstreamHealth()
        self._queues = RequestQueues()
        if dedup_table is None:
            dedup_table = DedupTable(timing.attempt_memory_ms)
        self._dedup_table = dedup_table
        self._dedup_replicator = DedupReplicator(member_id, dedup_table, timing)
        self._loan_replicator = LoanReplicator(epoch, member_id, timing)
        self._member_id = member_id
        self._witness_reports = WitnessReports(predecessor)
        self._takeover = Takeover(epoch, timing, is_done=is_first_owner)
        self._admission = Admission(self._queues, self._ledger, self._health)
        # Requests for ended tickets are ignored: they were delayed or sent twice.
        self._ended = DeadlineHeap[TicketId]()
        self._refusals = Refusals(self._admission, self.counters)
        self._limits = QueueLimits(
            self._queues, self._ledger, self._admission, self._refusals
        )
        self._feedback = AttemptFeedback(
            self._ledger, self._health, dedup_table, self.counters
        )
        self._lending = Lending(
            epoch,
            member_id,
            timing,
            self._queues,
            self._ledger,
            dedup_table,
            self._dedup_replicator,
            self._loan_replicator,
            self._refusals,
            self.counters,
            allow_unreplicated,
        )
        self._witness_sync = WitnessSync(
            epoch, member_id, self._ledger, self._lending, self._loan_replicator
        )

    def set_upstreams(
        self, upstreams: Sequence[ListedUpstream], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the list of upstreams; a leaving one gets no new requests."""
        self._health.set_upstreams(upstreams)
        self._ledger.set_upstreams(upstreams)
        for upstream in upstreams:
            self._feedback.update_ledger(upstream.id)
        return self._refuse_unmeetable(now) + self._dispatch(now)

    def set_queues(
        self, queues_by_name: Mapping[QueueName, QueueRules], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the queues' rules; refuse waiting requests of removed queues."""
        effects: list[DispatcherEffect] = []
        for ticket in self._queues.set_queues(queues_by_name):
            reason = RefusalReason.UNKNOWN_QUEUE
            effects += self._refusals.refuse(ticket, reason, now)
        return effects + self._dispatch(now)

    def set_teams(
        self, teams_by_id: Mapping[WorkspaceId, RequestLimits], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the teams' shares and ceilings."""
        self._queues.set_teams(teams_by_id)
        return self._dispatch(now)

    def set_members(
        self,
        live: frozenset[MemberId],
        now: Instant,
        runs: Collection[MemberRun] = (),
    ) -> list[DispatcherEffect]:
        """Set the live members of the data centre, this one included.

        ``runs`` are the runs of the live members.

        A restarted member must be left out of one call before it is listed again,
        since it has lost its tickets and its dedup table.
        """
        if live == self._live:
            return self._update_witness(runs, now)
        lost = self._live - live
        joined = live - self._live
        is_first = not self._live
        self._live = live
        self._lending.set_members(live)
        effects = self._remove_members(lost, now)
        effects += self._takeover.members_joined(joined, now)
        if not is_first:
            effects += self._replicate_to_joined(joined, now)
        effects += self._update_witness(runs, now)
        return effects + self._dispatch(now)

    def ticket_requested(
        self, member_id: MemberId, message: TicketRequest, now: Instant
    ) -> list[DispatcherEffect]:
        """Queue a request, grant it at once, or refuse it at once."""
        ticket_id = message.ticket_id
        loan = self._ledger.loan(ticket_id)
        if loan is not None:
            return self._lending.resend_grant(loan, member_id)
        if ticket_id in self._ended or self._queues.find(ticket_id) is not None:
            return []
        self.counters.requested += 1
        deadline = after_ms(now, message.remaining_ms)
        ticket = WaitingTicket(message, member_id, now, deadline)
        reason = self._refusal_reason(ticket, now)
        if reason is not None:
            return self._refusals.refuse(ticket, reason, now)
        self._queues.add(ticket)
        return self._dispatch(now) + self._limits.shed(message.queue, now)

    def released(
        self, member_id: MemberId, message: TicketRelease, now: Instant
    ) -> list[DispatcherEffect]:
        """Record the result of an attempt and end its loan."""
        loan = self._ledger.loan(message.ticket_id)
        if loan is None or loan.member_id != member_id:
            return []
        self._feedback.record_result(loan, message, now)
        stays_lent = (
            message.result is AttemptResult.FAILED_AFTER_SEND
            and not self._timing.disconnect_frees_slot
        )
        if not stays_lent:
            self._ended.set(loan.ticket_id, loan.ends_at)
            self._takeover.ticket_released(member_id, loan.ticket_id)
            self._lending.release(loan)
        return self._dispatch(now)

    def withdrawn(
        self, member_id: MemberId, message: TicketWithdrawal, now: Instant
    ) -> list[DispatcherEffect]:
        """Remove a waiting ticket; a granted one is released by its member."""
        ticket = self._queues.remove(message.ticket_id)
        loan = self._ledger.loan(message.ticket_id)
        if ticket is None and loan is None:
            # The withdrawal may have overtaken the request.
            forget_at = after_ms(now, self._timing.max_ticket_ms)
            self._ended.set(message.ticket_id, forget_at)
            return []
        if ticket is not None:
            self._ended.set(message.ticket_id, ticket.deadline)
            return []
        if loan is None or loan.member_id != member_id:
            return []
        if not self._lending.awaits_replication(loan):
            return []
        self._ended.set(loan.ticket_id, loan.ends_at)
        self._lending.cancel(loan)
        return self._dispatch(now)

    def attempt_copied(
        self, member_id: MemberId, sequence: int, now: Instant
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for a second member to remember the attempts."""
        keys = self._dedup_replicator.acknowledged(member_id, sequence, now)
        return self._lending.dedup_copies_acknowledged(keys, now)

    def loan_copied(
        self, member_id: MemberId, message: LoanCopied, now: Instant
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for the witness to acknowledge their loans."""
        return self._witness_sync.acknowledged(member_id, message) + self._dispatch(now)

    def loans_needing_witness(self, now: Instant) -> LoanCopy:
        """Return the loans that no live member but this one can report."""
        return self._witness_sync.loans_needing_witness(
            now, all_loans_known=self._all_loans_known()
        )

    def holdings_reported(
        self, member_id: MemberId, report: HoldingsReport, now: Instant
    ) -> list[DispatcherEffect]:
        """Adopt the tickets and attempts that a member reports."""
        if report.epoch != self.epoch:
            return []
        self._dedup_table.merge(report.attempts, now)
        for entry in report.attempts:
            key = DedupKey(entry.team_id, entry.request_id)
            self._dedup_replicator.mark_replicated(key, member_id, now)
        if not self._takeover.report_received(member_id):
            return []
        self._witness_reports.add_report(report)
        for held in report.tickets:
            if not held.holder:
                self._lending.adopt_loan(member_id, held, now)
                self._takeover.ticket_reported(member_id, held.ticket_id)
        if not self._takeover.is_done:
            return []
        return self._finish_takeover(now)

    def tick(self, now: Instant) -> list[DispatcherEffect]:
        """Act on every deadline that has passed."""
        self._dedup_table.tick(now)
        self._ended.pop_due(now)
        effects = self._lending.expire(now, self._witness_sync.loan_ended)
        effects += self._limits.refuse_expired(now)
        for upstream_id in self._health.tick(now):
            self._feedback.update_ledger(upstream_id)
        effects += self._takeover.tick(now)
        effects += self._dedup_replicator.tick(now)
        effects += self._witness_sync.tick(now, all_loans_known=self._all_loans_known())
        return effects + self._dispatch(now)

    def explain(self, queue: QueueName) -> QueueExplanation | None:
        """Return why requests of a queue wait; ``None`` for an unknown queue."""
        return explain_queue(
            queue, self._queues, self._ledger, self._admission, self._takeover
        )

    def snapshot(self) -> DispatcherSnapshot:
        """Return the dispatcher's state."""
        return DispatcherSnapshot(
            epoch=self.epoch,
            waiting=self._queues.waiting,
            lent=self._ledger.lent,
            attempts_remembered=len(self._dedup_table),
            copies_pending=self._dedup_replicator.pending,
            collecting_holdings=not self._takeover.is_done,
            quarantined_until=self._ledger.quarantined_until,
            upstreams_by_id=view_upstreams(self._ledger, self._health),
        )

    def _refusal_reason(
        self, ticket: WaitingTicket, now: Instant
    ) -> RefusalReason | None:
        request = ticket.request
        if not request.idempotent and self._dedup_table.contains(dedup_key(request)):
            return RefusalReason.ALREADY_ATTEMPTED
        reason = self._admission.refusal_reason(ticket, now)
        if reason is not None or not self._takeover.is_done:
            return reason
        if not self._lending.is_durable(ticket):
            return RefusalReason.NOT_DURABLE
        return (
            RefusalReason.NO_UPSTREAM
            if self._limits.cannot_meet_deadline(ticket)
            else None
        )

    def _dispatch(self, now: Instant) -> list[DispatcherEffect]:
        if not self._takeover.is_done:
            return []
        return self._lending.dispatch(now)

    def _remove_members(
        self, lost: frozenset[MemberId], now: Instant
    ) -> list[DispatcherEffect]:
        effects: list[DispatcherEffect] = []
        was_done = self._takeover.is_done
        if lost and not was_done:
            # The tickets of a member lost before its report can no longer be learned.
            self._witness_reports.member_lost()
        self._witness_sync.members_lost(lost)
        self._queues.remove_tickets_of(lost)
        for member_id in sorted(lost):
            self._takeover.member_lost(member_id)
            for key in self._dedup_replicator.member_lost(member_id):
                effects += self._lending.replicate_elsewhere(key, now)
        if self._takeover.is_done and not was_done:
            effects += self._finish_takeover(now)
        return effects

    def _replicate_to_joined(
        self, joined: frozenset[MemberId], now: Instant
    ) -> list[DispatcherEffect]:
        effects: list[DispatcherEffect] = []
        for member_id in sorted(joined):
            effects += self._dedup_replicator.send_all(
                self._dedup_table.all_keys(), member_id, now
            )
        return effects

    def _all_loans_known(self) -> bool:
        return self._takeover.is_done and self._ledger.quarantined_until is None

    def _adopt_witnessed(self, now: Instant) -> None:
        """Adopt the witnessed loans, except those that their holders left out."""
        for held in self._witness_reports.pop_tickets():
            is_known = self._ledger.loan(held.ticket_id) is not None
            if is_known or self._is_omitted_by_holder(held):
                continue
            self._lending.adopt_loan(held.holder, held, now)
            # The holder's present run, if there is one, cannot report the loan.
            self._witness_sync.mark_unreportable(held.ticket_id)

    def _is_omitted_by_holder(self, held: HeldTicket) -> bool:
        """Return whether the run that requested the ticket reported without it.

        After its report a run uses no grant of a former owner.
        """
        if not self._takeover.reported_without(held.holder, held.ticket_id):
            return False
        return any(is_of_run(held.ticket_id, run) for run in self._loan_replicator.runs)

    def _update_witness(
        self, runs: Collection[MemberRun], now: Instant
    ) -> list[DispatcherEffect]:
        return self._witness_sync.set_members(
            self._live, runs, now, all_loans_known=self._all_loans_known()
        )

    def _finish_takeover(self, now: Instant) -> list[DispatcherEffect]:
        """Start lending; replicate the attempts that only this member remembers."""
        effects: list[DispatcherEffect] = []
        self._adopt_witnessed(now)
        runs = self._loan_replicator.runs
        reported_runs = [
            run for run in runs if self._takeover.has_reported(run.member_id)
        ]
        if self._witness_reports.is_complete(reported_runs):
            self._ledger.end_quarantine()
        for key in self._dedup_table.all_keys():
            if not self._dedup_replicator.is_replicated(key):
                effects += self._lending.replicate_elsewhere(key, now)
        return effects + self._refuse_unmeetable(now) + self._dispatch(now)

    def _refuse_unmeetable(self, now: Instant) -> list[DispatcherEffect]:
        if not self._takeover.is_done:
            return []
        return self._limits.refuse_unmeetable(now)
