"""A simulated data centre of entry VMs in virtual time, with an unreliable network.

The clocks of the members differ in offset and rate. An execution at an upstream
occupies a slot from its first byte until it is done or its deadline has passed, even
if its connection breaks.
"""

from collections import deque
from dataclasses import dataclass

from tamarackmount.ids import Epoch, Incarnation, Instant, MemberId, TicketId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptCopied,
    AttemptCopy,
    HoldingsReport,
    HoldingsRequest,
    LoanCopied,
    LoanCopy,
    MemberRun,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.request_effects import (
    AbortUpstream,
    DispatcherEffect,
    Finish,
    RequestEffect,
    RequestTiming,
    SendToOwner,
    SendUpstream,
)
from tamarackmount.kernel.request_queues import QueueRules
from tamarackmount.kernel.requests import RequestTable
from tamarackmount.kernel.slots import ListedUpstream
from tamarackmount.kernel.witness_reports import Predecessor
from tests.utils.build_requests import (
    COUNTER,
    M1,
    M2,
    M3,
    SERVICE,
    build_upstreams,
)
from tests.utils.request_callers import (
    LIMITS_BY_TEAM,
    Call,
    Execution,
    check_attempts,
    check_call,
    check_occupancy,
)
from tests.utils.request_network import Envelope, Message, OwnerAnnouncement

MEMBERS = (M1, M2, M3)

CLOCK_BY_MEMBER = {M1: (0.0, 1.0), M2: (5_000.0, 1.004), M3: (90.0, 0.996)}
"""Offset in seconds and rate of each member's clock against the true time."""

TIMING = RequestTiming(
    max_ticket_ms=800,
    clock_margin_ms=100,
    attempt_memory_ms=600_000,
    resend_ms=300,
    owner_grace_ms=400,
    retry_ratio=0.5,
    retry_burst=5.0,
)


NEVER = float("-inf")
"""A true time before all others."""

LONGEST_LOAN_S = (TIMING.max_ticket_ms + 2 * TIMING.clock_margin_ms) / 1_000
"""Maximum time that a lost member may hold a slot, in seconds."""


@dataclass(slots=True)
class Member:
    """An entry VM; its times are true times, not readings of its clock."""

    member_id: MemberId
    table: RequestTable
    incarnation: int = 1
    is_up: bool = True
    is_paused: bool = False
    stopped_at: float = NEVER
    started_at: float = NEVER
    owner: MemberId | None = None
    known_epoch: int = 0
    dispatcher: Dispatcher | None = None


def run_of(member: Member) -> MemberRun:
    return MemberRun(member.member_id, Incarnation(member.incarnation))


class Fleet:
    """Three members, their network, two upstreams and all callers."""

    def __init__(self) -> None:
        """Start with all members running and no owner."""
        self.now = 0.0
        self.epoch = 0
        self.owner: MemberId | None = None
        self.network: list[Envelope] = []
        self.local: deque[Envelope] = deque()
        self.calls: dict[int, Call] = {}
        self.executions: list[Execution] = []
        self.upstreams: list[ListedUpstream] = [
            build_upstreams(2, slots=2)[0],
            build_upstreams(2, slots=1)[1],
        ]
        self.members = {
            member_id: Member(member_id, self.new_table(member_id, 1))
            for member_id in MEMBERS
        }

    def clock(self, member_id: MemberId, seconds: float = 0.0) -> Instant:
        """Return the reading of the member's clock ``seconds`` from now."""
        offset, rate = CLOCK_BY_MEMBER[member_id]
        return Instant(offset + rate * (self.now + seconds))

    def is_owner_unavailable(self) -> bool:
        return self.dispatching_owner() is None

    def true_time(self, member_id: MemberId, instant: Instant) -> float:
        offset, rate = CLOCK_BY_MEMBER[member_id]
        return (instant - offset) / rate

    def running(self) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if member.is_up and not member.is_paused
        ]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.executions = [
            execution
            for execution in self.executions
            if self.now < execution.deadline or execution.sent
        ]
        for member in self.running():
            self.tick(member)

    def tick(self, member: Member) -> None:
        now = self.clock(member.member_id)
        self.apply_effects(member, member.table.tick(now))
        if member.dispatcher is not None:
            self._send_effects(member, member.dispatcher.tick(now))
        self.deliver_local()

    def take_over(self, member: Member, *, is_first_owner: bool = False) -> None:
        old = None if self.owner is None else self.members[self.owner]
        if old is not None and not old.is_paused:
            self.stop_dispatching(old)
        predecessor = Predecessor(
            epoch=Epoch(self.epoch),
            owner=self.owner,
            missing=frozenset(self._recently_lost() - {self.owner}),
            recent_runs=frozenset(self._recently_started_runs()),
        )
        self.epoch += 1
        self.owner = member.member_id
        now = self.clock(member.member_id)
        dispatcher = Dispatcher(
            Epoch(self.epoch),
            member.member_id,
            TIMING,
            now,
            is_first_owner=is_first_owner,
            dedup_table=member.table.dedup_table,
            predecessor=predecessor,
        )
        member.dispatcher = dispatcher
        self._send_effects(
            member, dispatcher.set_queues({COUNTER: QueueRules(SERVICE)}, now)
        )
        self._send_effects(member, dispatcher.set_teams(LIMITS_BY_TEAM, now))
        self._send_effects(member, dispatcher.set_upstreams(self.upstreams, now))
        self.update_owner_members()
        self.announce()

    def stop_dispatching(self, member: Member) -> None:
        """Stop the member's dispatcher; keep its loans for the next owner."""
        if member.dispatcher is None:
            return
        now = self.clock(member.member_id)
        member.table.witness.merge(member.dispatcher.loans_needing_witness(now), now)
        member.dispatcher = None

    def _recently_lost(self) -> set[MemberId]:
        """Return members that stopped recently and cannot report their slots."""
        since = self.now - LONGEST_LOAN_S
        return {
            member.member_id
            for member in self.members.values()
            if not self.is_running(member.member_id) and member.stopped_at > since
        }

    def _recently_started_runs(self) -> list[MemberRun]:
        """Return recent runs; the runs before them may have held slots."""
        since = self.now - LONGEST_LOAN_S
        return [
            run_of(member) for member in self.running() if member.started_at > since
        ]

    def update_owner_members(self) -> None:
        owner = self.dispatching_owner()
        if owner is None or owner.dispatcher is None:
            return
        running = self.running()
        live = frozenset(member.member_id for member in running)
        now = self.clock(owner.member_id)
        runs = [run_of(member) for member in running]
        self._send_effects(owner, owner.dispatcher.set_members(live, now, runs))
        self.deliver_local()

    def announce(self) -> None:
        if self.owner is None:
            return
        announcement = OwnerAnnouncement(Epoch(self.epoch), self.owner)
        for member_id in self.members:
            self._send(self.owner, member_id, announcement)
        self.deliver_local()

    def deliverable(self) -> list[Envelope]:
        return [
            envelope for envelope in self.network if self.is_running(envelope.target)
        ]

    def deliver(self, envelope: Envelope) -> None:
        member = self.members[envelope.target]
        self._to_table(member, envelope)
        self._to_replicas(member, envelope)
        if member.dispatcher is not None:
            self._to_dispatcher(member, member.dispatcher, envelope)
        self.deliver_local()

    def _to_table(self, member: Member, envelope: Envelope) -> None:
        table = member.table
        now = self.clock(member.member_id)
        match envelope.message:
            case TicketGrant() as grant:
                self.apply_effects(member, table.granted(grant, now))
            case TicketRefusal() as refusal:
                self.apply_effects(member, table.refused(refusal, now))
            case OwnerAnnouncement(epoch, owner) if epoch == self.epoch:
                table.raise_fence(epoch, now)
                if member.known_epoch != epoch:
                    member.known_epoch = epoch
                    member.owner = owner
                    self.apply_effects(member, table.owner_changed(owner, now))

    def _to_replicas(self, member: Member, envelope: Envelope) -> None:
        table = member.table
        now = self.clock(member.member_id)
        match envelope.message:
            case AttemptCopy(sequence, entries):
                table.dedup_table.merge(entries, now)
                self._send(member.member_id, envelope.source, AttemptCopied(sequence))
            case LoanCopy() as copy:
                copied = table.witness.merge(copy, now)
                if copied is not None:
                    self._send(member.member_id, envelope.source, copied)
            case HoldingsRequest(epoch):
                self._report(member, envelope.source, epoch)

    def _report(self, member: Member, owner: MemberId, epoch: Epoch) -> None:
        if epoch < self.epoch:
            return
        report = member.table.report_holdings(epoch, self.clock(member.member_id))
        self._send(member.member_id, owner, report)

    def _to_dispatcher(
        self, member: Member, dispatcher: Dispatcher, envelope: Envelope
    ) -> None:
        source = envelope.source
        now = self.clock(member.member_id)
        match envelope.message:
            case TicketRequest() as request:
                effects = dispatcher.ticket_requested(source, request, now)
            case TicketRelease() as release:
                effects = dispatcher.released(source, release, now)
            case TicketWithdrawal() as withdrawal:
                effects = dispatcher.withdrawn(source, withdrawal, now)
            case AttemptCopied(sequence):
                effects = dispatcher.attempt_copied(source, sequence, now)
            case HoldingsReport() as report:
                effects = dispatcher.holdings_reported(source, report, now)
            case LoanCopied() as loan_copied:
                effects = dispatcher.loan_copied(source, loan_copied, now)
            case _:
                return
        self._send_effects(member, effects)

    def apply_effects(self, member: Member, effects: list[RequestEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToOwner(message):
                    if member.owner is not None:
                        self._send(member.member_id, member.owner, message)
                case SendUpstream(call_id, ticket_id, upstream_id, deadline):
                    until = self.true_time(member.member_id, deadline)
                    call = self.calls[call_id]
                    execution = Execution(call, ticket_id, upstream_id, until)
                    self.executions.append(execution)
                case AbortUpstream(ticket_id):
                    self._abort(ticket_id)
                case Finish(call_id):
                    self.calls[call_id].finishes.append(effect)

    def _abort(self, ticket_id: TicketId) -> None:
        for execution in list(self.executions):
            if execution.ticket_id != ticket_id:
                continue
            execution.connected = False
            if not execution.sent:
                self.executions.remove(execution)

    def _send_effects(self, member: Member, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            self._send(member.member_id, effect.member_id, effect.message)

    def _send(self, source: MemberId, target: MemberId, message: Message) -> None:
        envelope = Envelope(source, target, message)
        if source == target:
            self.local.append(envelope)
        else:
            self.network.append(envelope)

    def deliver_local(self) -> None:
        while self.local:
            envelope = self.local.popleft()
            if self.is_running(envelope.target):
                self.deliver(envelope)

    def is_running(self, member_id: MemberId) -> bool:
        member = self.members[member_id]
        return member.is_up and not member.is_paused

    def dispatching_owner(self) -> Member | None:
        if self.owner is None or not self.is_running(self.owner):
            return None
        return self.members[self.owner]

    def new_table(self, member_id: MemberId, incarnation: int) -> RequestTable:
        return RequestTable(member_id, Incarnation(incarnation), TIMING)

    def check(self) -> None:
        check_occupancy(self.executions, self.upstreams, self.now)
        check_attempts(self.executions)
        for call in self.calls.values():
            check_call(call)

    def check_in_time(self) -> None:
        for call in self.calls.values():
            if self.is_running(call.member_id) and self.now > call.deadline + 0.01:
                excused = call.left or call.lost
                assert call.finishes or excused, f"no outcome in time: {call}"
