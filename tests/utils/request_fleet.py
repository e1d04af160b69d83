"""A data centre of entry VMs in virtual time, with a network that misbehaves.

Members have clocks that are apart and drift. Upstreams count their executions: an
execution occupies a slot from its first byte until it is done or its deadline is
over, whatever becomes of the connection.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Incarnation, Instant, MemberId, TeamId, TicketId
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptCopied,
    AttemptCopy,
    AttemptResult,
    HeldTicket,
    HoldingsReport,
    HoldingsRequest,
    Outcome,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.queue_board import QueueRules, RequestLimits
from tamarackmount.kernel.request_effects import (
    AbortUpstream,
    DispatcherEffect,
    Finish,
    NewRequest,
    RequestEffect,
    RequestTiming,
    SendToOwner,
    SendUpstream,
)
from tamarackmount.kernel.requests import RequestTable
from tamarackmount.kernel.slots import ListedUpstream
from tests.utils.build_requests import (
    COUNTER,
    DESIGN,
    M1,
    M2,
    M3,
    RETAIL,
    SERVICE,
    build_upstreams,
)

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

LIMITS_BY_TEAM = {
    RETAIL: RequestLimits(share=2.0, running_requests=1),
    DESIGN: RequestLimits(share=1.0),
}


@dataclass(frozen=True, slots=True)
class OwnerNews:
    """Who owns the data centre under which epoch."""

    epoch: Epoch
    owner: MemberId


@dataclass(frozen=True, slots=True)
class OwnerRetired:
    """Every loan of the owner just before ``epoch``."""

    epoch: Epoch
    tickets: list[HeldTicket]


Message = (
    TicketRequest
    | TicketGrant
    | TicketRefusal
    | TicketRelease
    | TicketWithdrawal
    | AttemptCopy
    | AttemptCopied
    | HoldingsRequest
    | HoldingsReport
    | OwnerNews
    | OwnerRetired
)

BOOKKEEPING = (AttemptCopy, AttemptCopied, HoldingsRequest, HoldingsReport, OwnerNews)
"""Messages that bring the memory of attempts to a second member."""


@dataclass(frozen=True, slots=True)
class Envelope:
    source: MemberId
    target: MemberId
    message: Message


@dataclass(slots=True)
class Call:
    """A caller's request and what the caller was told; ``deadline`` is true time."""

    call_id: int
    member_id: MemberId
    request: NewRequest
    deadline: float
    finishes: list[Finish] = field(default_factory=list)
    sent: bool = False
    answered: bool = False
    left: bool = False
    lost: bool = False


@dataclass(slots=True)
class Execution:
    """An attempt at an upstream; ``deadline`` is true time."""

    call: Call
    ticket_id: TicketId
    upstream_id: str
    deadline: float
    sent: bool = False
    connected: bool = True
    done: bool = False

    def occupies(self, now: float) -> bool:
        return self.sent and not self.done and now < self.deadline


@dataclass(slots=True)
class Member:
    member_id: MemberId
    table: RequestTable
    incarnation: int = 1
    is_up: bool = True
    is_paused: bool = False
    owner: MemberId | None = None
    heard_epoch: int = 0
    dispatcher: Dispatcher | None = None


class Fleet:
    """Three members, their network, two upstreams and all callers."""

    def __init__(self) -> None:
        """Start with every member up and no owner."""
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
            member_id: Member(member_id, self._table(member_id, 1))
            for member_id in MEMBERS
        }

    # Time and processes

    def clock(self, member_id: MemberId, seconds: float = 0.0) -> Instant:
        """Return what the member's clock reads ``seconds`` from now."""
        offset, rate = CLOCK_BY_MEMBER[member_id]
        return Instant(offset + rate * (self.now + seconds))

    def owner_is_away(self) -> bool:
        return self._dispatching_owner() is None

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
        self._act(member, member.table.tick(now))
        if member.dispatcher is not None:
            self._post(member, member.dispatcher.tick(now))
        self._run_local()

    def take_over(self, member: Member, *, fresh: bool = False) -> None:
        old = None if self.owner is None else self.members[self.owner]
        self.epoch += 1
        if old is not None and not old.is_paused:
            self._retire(old, member)
        self.owner = member.member_id
        now = self.clock(member.member_id)
        dispatcher = Dispatcher(
            Epoch(self.epoch),
            member.member_id,
            TIMING,
            now,
            fresh=fresh,
            attempts=member.table.attempts,
        )
        member.dispatcher = dispatcher
        self._post(member, dispatcher.set_queues({COUNTER: QueueRules(SERVICE)}, now))
        self._post(member, dispatcher.set_teams(LIMITS_BY_TEAM, now))
        self._post(member, dispatcher.set_upstreams(self.upstreams, now))
        self.tell_owner_of_members()
        self.announce()

    def _retire(self, old: Member, successor: Member) -> None:
        if old.dispatcher is None:
            return
        tickets = old.dispatcher.retire(self.clock(old.member_id))
        old.dispatcher = None
        if tickets is not None:
            news = OwnerRetired(Epoch(self.epoch), tickets)
            self._send(old.member_id, successor.member_id, news)

    def tell_owner_of_members(self) -> None:
        owner = self._dispatching_owner()
        if owner is None or owner.dispatcher is None:
            return
        live = frozenset(member.member_id for member in self.running())
        now = self.clock(owner.member_id)
        self._post(owner, owner.dispatcher.set_members(live, now))
        self._run_local()

    def announce(self) -> None:
        if self.owner is None:
            return
        news = OwnerNews(Epoch(self.epoch), self.owner)
        for member_id in self.members:
            self._send(self.owner, member_id, news)
        self._run_local()

    def kill(self, member: Member) -> None:
        member.is_up = False
        member.dispatcher = None
        for call in self.calls.values():
            if call.member_id == member.member_id and not call.finishes:
                call.lost = True
        for execution in self.executions:
            if execution.call.member_id == member.member_id:
                execution.connected = False
        self.executions = [one for one in self.executions if one.sent]

    def restart(self, member: Member) -> None:
        member.incarnation += 1
        member.table = self._table(member.member_id, member.incarnation)
        member.owner = None
        member.heard_epoch = 0
        member.is_up = True

    def resume(self, member: Member) -> None:
        member.is_paused = False
        if self.owner != member.member_id:
            # Its lease has lapsed, which it checks before it acts as the owner.
            member.dispatcher = None
        self.tick(member)

    def settle_attempts(self) -> None:
        """Let every attempt be remembered by two members that run."""
        self.tell_owner_of_members()
        self.announce()
        for _ in range(30):
            for envelope in list(self.network):
                is_bookkeeping = isinstance(envelope.message, BOOKKEEPING)
                if is_bookkeeping and self._is_running(envelope.target):
                    self.network.remove(envelope)
                    self.deliver(envelope)
            if self.attempts_are_settled():
                return
            self.advance(0.1)
        raise AssertionError("attempts do not settle")

    def attempts_are_settled(self) -> bool:
        owner = self._dispatching_owner()
        if owner is None or owner.dispatcher is None:
            return True
        snapshot = owner.dispatcher.snapshot()
        return not snapshot.collecting_holdings and snapshot.copies_pending == 0

    # Callers and upstreams

    def submit(self, member: Member, request: NewRequest, deadline: float) -> None:
        call = Call(request.call_id, member.member_id, request, deadline)
        self.calls[request.call_id] = call
        now = self.clock(member.member_id)
        self._act(member, member.table.submit(request, now))
        self._run_local()

    def leave(self, call: Call) -> None:
        call.left = True
        member = self.members[call.member_id]
        now = self.clock(member.member_id)
        self._act(member, member.table.caller_left(call.call_id, now))
        self._run_local()

    def connecting(self) -> list[Execution]:
        return [
            one
            for one in self.executions
            if not one.sent and self._is_running(one.call.member_id)
        ]

    def executing(self) -> list[Execution]:
        return [one for one in self.executions if one.occupies(self.now)]

    def answerable(self) -> list[Execution]:
        return [one for one in self.executing() if self._may_hear_from_upstreams(one)]

    def open_calls(self) -> list[Call]:
        return [
            call
            for call in self.calls.values()
            if not (call.finishes or call.left or call.lost)
            and self._is_running(call.member_id)
        ]

    def _may_hear_from_upstreams(self, execution: Execution) -> bool:
        member = self.members[execution.call.member_id]
        return not member.is_paused

    def connect(self, execution: Execution) -> None:
        execution.sent = True
        execution.call.sent = True

    def fail_to_connect(self, execution: Execution) -> None:
        self.executions.remove(execution)
        self._end(execution, AttemptResult.FAILED_BEFORE_SEND)

    def answer(self, execution: Execution) -> None:
        execution.done = True
        if execution.connected:
            execution.connected = False
            execution.call.answered = True
            self._end(execution, AttemptResult.ANSWERED)

    def disconnect(self, execution: Execution) -> None:
        if execution.connected:
            execution.connected = False
            self._end(execution, AttemptResult.FAILED_AFTER_SEND)

    def _end(self, execution: Execution, result: AttemptResult) -> None:
        member = self.members[execution.call.member_id]
        now = self.clock(member.member_id)
        ticket_id = execution.ticket_id
        self._act(member, member.table.attempt_ended(ticket_id, result, now))
        self._run_local()

    # Network

    def deliverable(self) -> list[Envelope]:
        return [one for one in self.network if self._is_running(one.target)]

    def deliver(self, envelope: Envelope) -> None:
        member = self.members[envelope.target]
        self._to_table(member, envelope)
        if member.dispatcher is not None:
            self._to_dispatcher(member, member.dispatcher, envelope)
        self._run_local()

    def _to_table(self, member: Member, envelope: Envelope) -> None:
        table = member.table
        now = self.clock(member.member_id)
        match envelope.message:
            case TicketGrant() as grant:
                self._act(member, table.granted(grant, now))
            case TicketRefusal() as refusal:
                self._act(member, table.refused(refusal, now))
            case AttemptCopy(sequence, entries):
                table.attempts.take_copies(entries, now)
                self._send(member.member_id, envelope.source, AttemptCopied(sequence))
            case HoldingsRequest(epoch):
                self._report(member, envelope.source, epoch)
            case OwnerNews(epoch, owner) if epoch == self.epoch:
                table.fence(epoch, now)
                if member.heard_epoch != epoch:
                    member.heard_epoch = epoch
                    member.owner = owner
                    self._act(member, table.owner_changed(owner, now))

    def _report(self, member: Member, owner: MemberId, epoch: Epoch) -> None:
        if epoch < self.epoch:
            return
        now = self.clock(member.member_id)
        member.table.fence(epoch, now)
        report = HoldingsReport(
            epoch,
            member.table.holdings(now),
            member.table.attempts.entries(now),
            [],
        )
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
            case OwnerRetired(epoch, tickets) if epoch == dispatcher.epoch:
                effects = dispatcher.predecessor_reported(source, tickets, now)
            case _:
                return
        self._post(member, effects)

    def _act(self, member: Member, effects: list[RequestEffect]) -> None:
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

    def _post(self, member: Member, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            self._send(member.member_id, effect.member_id, effect.message)

    def _send(self, source: MemberId, target: MemberId, message: Message) -> None:
        envelope = Envelope(source, target, message)
        if source == target:
            self.local.append(envelope)
        else:
            self.network.append(envelope)

    def _run_local(self) -> None:
        while self.local:
            envelope = self.local.popleft()
            if self._is_running(envelope.target):
                self.deliver(envelope)

    def _is_running(self, member_id: MemberId) -> bool:
        member = self.members[member_id]
        return member.is_up and not member.is_paused

    def _dispatching_owner(self) -> Member | None:
        if self.owner is None or not self._is_running(self.owner):
            return None
        return self.members[self.owner]

    def _table(self, member_id: MemberId, incarnation: int) -> RequestTable:
        return RequestTable(member_id, Incarnation(incarnation), TIMING)

    def end_quietly(self) -> None:
        """Let everything end with a working network; nothing may be left over."""
        self.bring_everyone_back()
        if self.owner is None:
            return
        if self.members[self.owner].dispatcher is None:
            self.take_over(self.members[self.owner])
        for _ in range(60):
            self._run_well(0.2)
        owner = self.members[self.owner]
        assert owner.dispatcher is not None
        snapshot = owner.dispatcher.snapshot()
        assert snapshot.lent == 0, "slots are lent for good"
        assert snapshot.waiting == 0, "tickets wait for good"
        for member in self.members.values():
            assert member.table.in_flight == 0
            assert member.table.waiting == 0

    def bring_everyone_back(self) -> None:
        for member in self.members.values():
            if not member.is_up:
                self.restart(member)
            if member.is_paused:
                self.resume(member)

    def _run_well(self, seconds: float) -> None:
        self.announce()
        self.tell_owner_of_members()
        for envelope in list(self.network):
            self.network.remove(envelope)
            self.deliver(envelope)
        self.advance(seconds)
        self.check()
        self.check_in_time()

    # What must always hold

    def check(self) -> None:
        self._check_occupancy()
        self._check_attempts()
        for call in self.calls.values():
            check_call(call)

    def check_in_time(self) -> None:
        for call in self.calls.values():
            if self._is_running(call.member_id) and self.now > call.deadline + 0.01:
                excused = call.left or call.lost
                assert call.finishes or excused, f"no outcome in time: {call}"

    def _check_occupancy(self) -> None:
        executing = self.executing()
        used = Counter(one.upstream_id for one in executing)
        for upstream in self.upstreams:
            assert used[upstream.id] <= upstream.slots, (
                f"{upstream.id} is over its slots"
            )
        by_team: Counter[TeamId] = Counter(
            one.call.request.team_id for one in executing
        )
        for team_id, limits in LIMITS_BY_TEAM.items():
            if limits.running_requests is not None:
                running = by_team[team_id]
                assert running <= limits.running_requests, f"{team_id} over its ceiling"

    def _check_attempts(self) -> None:
        runs = Counter(
            (one.call.request.team_id, one.call.request.request_id)
            for one in self.executions
            if one.sent and not one.call.request.idempotent
        )
        for key, count in runs.items():
            assert count <= 1, f"{key} ran {count} times"


def check_call(call: Call) -> None:
    """Check what one caller was told against what happened."""
    assert len(call.finishes) <= 1, f"more than one outcome: {call}"
    if not call.finishes:
        return
    outcome = call.finishes[0].outcome
    if outcome is Outcome.NOT_RUN:
        assert not call.sent, f"said not run, but bytes were sent: {call}"
    if outcome is Outcome.ANSWERED:
        assert call.answered, f"said answered, but nothing came: {call}"
