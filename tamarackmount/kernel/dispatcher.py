"""Owner of a data centre's upstream slots: who waits, and who is lent which slot.

A dispatcher must not be called after its member's ownership has lapsed.
"""

from collections.abc import Collection, Mapping, Sequence

from tamarackmount.ids import (
    Epoch,
    Instant,
    MemberId,
    QueueName,
    TeamId,
    TicketId,
)
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.attempt_copies import AttemptCopies
from tamarackmount.kernel.attempt_feedback import AttemptFeedback
from tamarackmount.kernel.attempts import AttemptKey, AttemptMemory
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.dispatcher_view import (
    DispatcherCounters,
    DispatcherSnapshot,
    QueueExplanation,
    UpstreamView,
)
from tamarackmount.kernel.lending import Lending, attempt_key
from tamarackmount.kernel.line_limits import LineLimits
from tamarackmount.kernel.lines import WaitingTicket
from tamarackmount.kernel.loan_copies import LoanCopies, held_ticket
from tamarackmount.kernel.messages import (
    AttemptResult,
    HoldingsReport,
    LoanCopied,
    LoanCopy,
    MemberRun,
    RefusalReason,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.queue_board import QueueBoard, QueueRules, RequestLimits
from tamarackmount.kernel.refusals import Refusals
from tamarackmount.kernel.request_effects import (
    DispatcherEffect,
    RequestTiming,
    after_ms,
)
from tamarackmount.kernel.slots import ListedUpstream, Loan, SlotLedger
from tamarackmount.kernel.takeover import Takeover
from tamarackmount.kernel.upstream_health import UpstreamHealth


class Dispatcher:
    """Decisions of the owner for one epoch.

    ``fresh`` says that no earlier owner can exist, so nothing is quarantined.
    ``attempts`` is the member's memory of attempts, shared with its request table.
    ``previous_epoch`` is that of the owner before; its witness's report can end the
    quarantine. It does not when ``missing`` names members that may hold slots and
    can't be asked, nor while the witness doesn't know one of ``newcomers``, members'
    runs that may follow on ones that held slots. ``serve_alone`` lets non-idempotent
    requests through while no second member can remember them; otherwise they are
    refused as not durable.
    """

    def __init__(
        self,
        epoch: Epoch,
        member_id: MemberId,
        timing: RequestTiming,
        now: Instant,
        *,
        fresh: bool = False,
        attempts: AttemptMemory | None = None,
        previous_epoch: Epoch | None = None,
        missing: Collection[MemberId] = (),
        newcomers: Collection[MemberRun] = (),
        serve_alone: bool = False,
    ) -> None:
        """Take over at ``now``; see :mod:`tamarackmount.kernel.slots`."""
        self.epoch = epoch
        self.counters = DispatcherCounters()
        self._timing = timing
        self._live: frozenset[MemberId] = frozenset()
        quarantine_ms = timing.max_ticket_ms + timing.clock_margin_ms
        self._ledger = SlotLedger(None if fresh else after_ms(now, quarantine_ms))
        self._health = UpstreamHealth()
        self._board = QueueBoard()
        if attempts is None:
            attempts = AttemptMemory(timing.attempt_memory_ms)
        self._attempts = attempts
        self._copies = AttemptCopies(member_id, attempts, timing)
        self._loan_copies = LoanCopies(epoch, member_id, timing)
        self._member_id = member_id
        self._previous_epoch = previous_epoch
        self._is_missing_some = bool(missing)
        self._newcomers = frozenset(newcomers)
        self._orphans: set[TicketId] = set()
        self._told_whole = False
        self._witness_knows_all = False
        self._takeover = Takeover(epoch, timing, is_done=fresh)
        self._admission = Admission(self._board, self._ledger, self._health)
        self._ended = DeadlineHeap[TicketId]()
        self._refusals = Refusals(self._admission, self.counters)
        self._limits = LineLimits(
            self._board, self._ledger, self._admission, self._refusals
        )
        self._feedback = AttemptFeedback(
            self._ledger, self._health, attempts, self.counters
        )
        self._lending = Lending(
            epoch,
            member_id,
            timing,
            self._board,
            self._ledger,
            attempts,
            self._copies,
            self._loan_copies,
            self._refusals,
            self.counters,
            serve_alone,
        )

    def set_upstreams(
        self, upstreams: Sequence[ListedUpstream], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the list of upstreams; a leaving one gets nothing new."""
        self._health.set_upstreams(upstreams)
        self._ledger.set_upstreams(upstreams)
        for upstream in upstreams:
            self._feedback.weigh(upstream.id)
        return self._refuse_hopeless(now) + self._dispatch(now)

    def set_queues(
        self, queues_by_name: Mapping[QueueName, QueueRules], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the queues' rules; requests of queues that are gone are refused."""
        effects: list[DispatcherEffect] = []
        for ticket in self._board.set_queues(queues_by_name):
            reason = RefusalReason.UNKNOWN_QUEUE
            effects += self._refusals.refuse(ticket, reason, now)
        return effects + self._dispatch(now)

    def set_teams(
        self, teams_by_id: Mapping[TeamId, RequestLimits], now: Instant
    ) -> list[DispatcherEffect]:
        """Replace the teams' shares and ceilings."""
        self._board.set_teams(teams_by_id)
        return self._dispatch(now)

    def set_members(
        self,
        live: frozenset[MemberId],
        now: Instant,
        runs: Collection[MemberRun] = (),
    ) -> list[DispatcherEffect]:
        """Set the live members of the data centre, this one among them.

        ``runs`` are the runs of the live members.

        A member that was restarted is to be left out once in between, as it has
        forgotten what it held and remembered.
        """
        lost = self._live - live
        joined = live - self._live
        is_first = not self._live
        self._live = live
        self._lending.set_members(live)
        effects = self._lose_members(lost, now)
        effects += self._takeover.members_joined(joined, now)
        if not is_first:
            effects += self._copy_to_joined(joined, now)
        effects += self._tell_witness(runs, lost, now)
        return effects + self._dispatch(now)

    def ticket_requested(
        self, member_id: MemberId, message: TicketRequest, now: Instant
    ) -> list[DispatcherEffect]:
        """Put a request into its line, grant it at once, or refuse it at once."""
        ticket_id = message.ticket_id
        loan = self._ledger.loan(ticket_id)
        if loan is not None:
            return self._lending.grant_again(loan, member_id)
        if ticket_id in self._ended or self._board.find(ticket_id) is not None:
            return []
        self.counters.requested += 1
        deadline = after_ms(now, message.remaining_ms)
        ticket = WaitingTicket(message, member_id, now, deadline)
        reason = self._reason_against(ticket, now)
        if reason is not None:
            return self._refusals.refuse(ticket, reason, now)
        self._board.add(ticket)
        return self._dispatch(now) + self._limits.shed(message.queue, now)

    def released(
        self, member_id: MemberId, message: TicketRelease, now: Instant
    ) -> list[DispatcherEffect]:
        """Take a slot back and learn from how the attempt went."""
        loan = self._ledger.loan(message.ticket_id)
        if loan is None or loan.member_id != member_id:
            return []
        self._feedback.learn(loan, message, now)
        stays_lent = (
            message.result is AttemptResult.FAILED_AFTER_SEND
            and not self._timing.disconnect_frees_slot
        )
        if not stays_lent:
            self._ended.set(loan.ticket_id, loan.ends_at)
            self._lending.take_back(loan)
        return self._dispatch(now)

    def withdrawn(
        self, member_id: MemberId, message: TicketWithdrawal, now: Instant
    ) -> list[DispatcherEffect]:
        """Drop a waiting ticket; one that was granted is released by its member."""
        ticket = self._board.remove(message.ticket_id)
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
        if not self._lending.awaits_copy(loan):
            return []
        self._ended.set(loan.ticket_id, loan.ends_at)
        self._lending.undo(loan)
        return self._dispatch(now)

    def attempt_copied(
        self, member_id: MemberId, sequence: int, now: Instant
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for a second member to remember them."""
        copied = self._copies.copied(member_id, sequence, now)
        return self._lending.copied(copied, now)

    def loan_copied(
        self, member_id: MemberId, message: LoanCopied, now: Instant
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for the witness to know of the loans."""
        released = self._loan_copies.copied(member_id, message)
        return self._lending.witnessed(released) + self._dispatch(now)

    def unattended(self, now: Instant) -> LoanCopy:
        """Return the loans that no live member but this one can report."""
        return LoanCopy(
            epoch=self.epoch,
            sequence=0,
            loans=[held_ticket(loan, now) for loan in self._unattended_loans()],
            ended=[],
            runs=self._loan_copies.runs,
            is_whole=self._knows_all_loans(),
        )

    def holdings_reported(
        self, member_id: MemberId, report: HoldingsReport, now: Instant
    ) -> list[DispatcherEffect]:
        """Take over what a member holds and remembers."""
        if report.epoch != self.epoch:
            return []
        self._attempts.take_copies(report.attempts, now)
        for entry in report.attempts:
            key = AttemptKey(entry.team_id, entry.request_id)
            self._copies.held_by(key, member_id, now)
        if not self._takeover.reported(member_id):
            return []
        if report.witnessed_epoch == self._previous_epoch:
            known = self._newcomers <= frozenset(report.witnessed_runs)
            self._witness_knows_all = self._witness_knows_all or known
        for held in report.tickets:
            self._lending.adopt(member_id, held, now)
            if held.holder not in ("", member_id):
                # The holder's present run, if there is one, can't report it.
                self._orphans.add(held.ticket_id)
        if not self._takeover.is_done:
            return []
        return self._finish_takeover(now)

    def tick(self, now: Instant) -> list[DispatcherEffect]:
        """Act on every deadline that is over."""
        self._attempts.tick(now)
        self._ended.pop_due(now)
        effects = self._expire_loans(now)
        effects += self._limits.refuse_expired(now)
        for upstream_id in self._health.tick(now):
            self._feedback.weigh(upstream_id)
        effects += self._takeover.tick(now)
        effects += self._copies.tick(now)
        effects += self._tell_whole(now)
        effects += self._loan_copies.tick(now)
        return effects + self._dispatch(now)

    def explain(self, queue: QueueName) -> QueueExplanation | None:
        """Return why requests of a queue wait; ``None`` for an unknown queue."""
        rules = self._board.rules(queue)
        if rules is None:
            return None
        line = self._board.line(queue)
        waiting_by_team = line.waiting_by_team()
        head = next(line.heads(), None)
        return QueueExplanation(
            queue=queue,
            service=rules.service,
            policy=rules.policy,
            waiting_by_team=waiting_by_team,
            running_by_team=self._board.running_by_team(queue),
            teams_at_ceiling=frozenset(filter(self._board.at_ceiling, waiting_by_team)),
            next_team=None if head is None else head.request.team_id,
            usable_slots=self._ledger.usable_slots(rules.service),
            wait_ms=self._admission.wait_ms(queue),
            quarantined_until=self._ledger.quarantined_until,
            collecting_holdings=not self._takeover.is_done,
        )

    def snapshot(self) -> DispatcherSnapshot:
        """Return the dispatcher's state."""
        upstreams_by_id = {
            upstream_id: UpstreamView(
                slots=count,
                health=self._health.state(upstream_id),
                service_s=self._health.service_s(upstream_id),
            )
            for upstream_id, count in self._ledger.counts().items()
        }
        return DispatcherSnapshot(
            epoch=self.epoch,
            waiting=self._board.waiting,
            lent=self._ledger.lent,
            attempts_remembered=len(self._attempts),
            copies_pending=self._copies.pending,
            collecting_holdings=not self._takeover.is_done,
            quarantined_until=self._ledger.quarantined_until,
            upstreams_by_id=upstreams_by_id,
        )

    def _reason_against(
        self, ticket: WaitingTicket, now: Instant
    ) -> RefusalReason | None:
        request = ticket.request
        if not request.idempotent and self._attempts.knows(attempt_key(request)):
            return RefusalReason.ALREADY_ATTEMPTED
        reason = self._admission.reason_against(ticket, now)
        if reason is not None or not self._takeover.is_done:
            return reason
        return RefusalReason.NO_UPSTREAM if self._limits.is_hopeless(ticket) else None

    def _dispatch(self, now: Instant) -> list[DispatcherEffect]:
        if not self._takeover.is_done:
            return []
        return self._lending.dispatch(now)

    def _lose_members(
        self, lost: frozenset[MemberId], now: Instant
    ) -> list[DispatcherEffect]:
        effects: list[DispatcherEffect] = []
        was_done = self._takeover.is_done
        if lost and not was_done:
            # What it held can't be learned any more.
            self._is_missing_some = True
        self._orphans |= {
            loan.ticket_id for loan in self._ledger.loans() if loan.member_id in lost
        }
        self._board.remove_of(lost)
        for member_id in sorted(lost):
            self._takeover.member_lost(member_id)
            for key in self._copies.lost(member_id):
                effects += self._lending.copy_elsewhere(key, now)
        if self._takeover.is_done and not was_done:
            effects += self._finish_takeover(now)
        return effects

    def _copy_to_joined(
        self, joined: frozenset[MemberId], now: Instant
    ) -> list[DispatcherEffect]:
        effects: list[DispatcherEffect] = []
        for member_id in sorted(joined):
            effects += self._copies.send_all(
                self._attempts.remembered(), member_id, now
            )
        return effects

    def _knows_all_loans(self) -> bool:
        return self._takeover.is_done and self._ledger.quarantined_until is None

    def _unattended_loans(self) -> list[Loan]:
        attended = self._live - {self._member_id}
        return [
            loan
            for loan in self._ledger.loans()
            if loan.member_id not in attended or loan.ticket_id in self._orphans
        ]

    def _tell_witness(
        self, runs: Collection[MemberRun], lost: frozenset[MemberId], now: Instant
    ) -> list[DispatcherEffect]:
        """Choose a witness, or tell the present one of what changed."""
        runs_changed = self._loan_copies.set_runs(runs)
        if self._loan_copies.choose(self._live):
            self._told_whole = False
            if self._loan_copies.witness is None:
                return self._lending.witnessed(self._loan_copies.release_all())
            return self._tell_whole(now)
        loans = [loan for loan in self._ledger.loans() if loan.member_id in lost]
        if not loans and not runs_changed:
            return []
        return list(self._loan_copies.tell(loans, now))

    def _tell_whole(self, now: Instant) -> list[DispatcherEffect]:
        """Tell a new witness of all loans, once they are all known here."""
        if self._told_whole or self._loan_copies.witness is None:
            return []
        self._told_whole = self._knows_all_loans()
        loans = self._unattended_loans()
        return list(self._loan_copies.tell(loans, now, is_whole=self._told_whole))

    def _finish_takeover(self, now: Instant) -> list[DispatcherEffect]:
        """Start lending; copy what only this member remembers."""
        effects: list[DispatcherEffect] = []
        if self._witness_knows_all and not self._is_missing_some:
            self._ledger.end_quarantine()
        for key in self._attempts.remembered():
            if not self._copies.has_holder(key):
                effects += self._lending.copy_elsewhere(key, now)
        return effects + self._refuse_hopeless(now) + self._dispatch(now)

    def _refuse_hopeless(self, now: Instant) -> list[DispatcherEffect]:
        if not self._takeover.is_done:
            return []
        return self._limits.refuse_hopeless(now)

    def _expire_loans(self, now: Instant) -> list[DispatcherEffect]:
        effects: list[DispatcherEffect] = []
        for loan in self._ledger.tick(now):
            self._orphans.discard(loan.ticket_id)
            self.counters.loans_expired += 1
            if self._lending.awaits_copy(loan) and loan.attempt is not None:
                self._attempts.not_sent(loan.attempt, loan.ticket_id)
                reason = RefusalReason.NOT_DURABLE
                effects += self._refusals.refuse_loan(loan, reason, now)
            self._lending.ended(loan)
        return effects
