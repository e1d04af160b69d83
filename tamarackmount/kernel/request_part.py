"""Request handling of a node: the request table, the dispatcher and forwarding.

A non-idempotent request is served by its home data centre. The home follows from the
team and the request id alone, so a repeat reaches the data centre that recorded the
first attempt. An idempotent request is forwarded to another data centre if its own
has no upstream for it.
"""

from collections.abc import Mapping, Sequence

from tamarackmount.adapters.vm_schema import Vm
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TicketId,
    WorkspaceId,
)
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.effects import (
    AbortCall,
    CallUpstream,
    Effect,
    FinishRequest,
    ForwardRequest,
    SendPeer,
)
from tamarackmount.kernel.forwarding import CallerRequest, Forward, ForwardTable
from tamarackmount.kernel.listed_upstreams import ListedUpstreams
from tamarackmount.kernel.membership import Membership, rank_by_hash
from tamarackmount.kernel.messages import (
    AttemptCopied,
    AttemptCopy,
    AttemptResult,
    ForwardsClosed,
    HoldingsReport,
    HoldingsRequest,
    LoanCopied,
    LoanCopy,
    Outcome,
    PeerMessage,
    RefusalReason,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)
from tamarackmount.kernel.ownership_effects import OwnershipTaken
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
from tamarackmount.kernel.request_limits import queue_rules, request_limits
from tamarackmount.kernel.request_queues import RequestLimits
from tamarackmount.kernel.requests import RequestTable
from tamarackmount.kernel.slots import ListedUpstream
from tamarackmount.kernel.witness_reports import Predecessor

HOME_RETRY_MS = 1_000
"""Retry-after time of a request whose data centre is unreachable."""


def home_data_centre(
    request_id: RequestId, team_id: WorkspaceId, data_centres: Sequence[DataCentreId]
) -> DataCentreId:
    """Return the home data centre of a non-idempotent request.

    The request id may name it as a prefix that ends with a colon; otherwise a hash
    of the team and the request id selects it.
    """
    prefix = DataCentreId(request_id.partition(":")[0])
    if prefix in data_centres:
        return prefix
    return DataCentreId(rank_by_hash(f"{team_id}/{request_id}", data_centres)[0])


class RequestPart:
    """Requests of one member's callers, and its dispatcher while it is the owner."""

    def __init__(
        self,
        member_id: MemberId,
        incarnation: Incarnation,
        data_centre: DataCentreId,
        timing: RequestTiming,
        directory: Directory,
        membership: Membership,
    ) -> None:
        """Start without an owner and without upstreams."""
        self._member_id = member_id
        self._data_centre = data_centre
        self._timing = timing
        self._directory = directory
        self._membership = membership
        self._table = RequestTable(member_id, incarnation, timing)
        self._dispatcher: Dispatcher | None = None
        self._owner: MemberId | None = None
        self._upstreams = ListedUpstreams()
        self._forwards = ForwardTable(membership)

    @property
    def table(self) -> RequestTable:
        """The request table of this member's callers."""
        return self._table

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The dispatcher, while this member owns its data centre."""
        return self._dispatcher

    @property
    def unfinished(self) -> int:
        """Number of requests without a final outcome."""
        in_table = self._table.in_flight + self._table.waiting
        return in_table + len(self._forwards)

    def submit(self, request: CallerRequest, now: Instant) -> list[Effect]:
        """Serve a request here or forward it to another data centre."""
        if not request.idempotent and not request.forwarded:
            home = home_data_centre(
                request.request_id, request.team_id, self._membership.data_centres()
            )
            if home != self._data_centre:
                return self._forward(request, home, now)
        if request.idempotent and not self._serves(request.queue, self._data_centre):
            return self._serve_elsewhere(request, now)
        return self._serve_here(request, now)

    def forward_ended(self, call_id: int, sender: MemberId) -> bool:
        """Handle the answer to a forwarded request; return whether it is valid.

        It is not valid if the request has already ended or is served elsewhere.
        """
        return self._forwards.end_at(call_id, sender) is not None

    def forward_refused(
        self, call_id: int, sender: MemberId, now: Instant
    ) -> list[Effect]:
        """Forward a request elsewhere that a stopping member did not take."""
        forward = self._forwards.end_at(call_id, sender)
        return [] if forward is None else self._forward_again(forward, now)

    def forwards_closed(
        self, sender: MemberId, message: ForwardsClosed, now: Instant
    ) -> list[Effect]:
        """Forward the requests elsewhere that a member did not take before its end."""
        untaken = self._forwards.pop_untaken(
            sender, message.incarnation, frozenset(message.taken)
        )
        effects: list[Effect] = []
        for forward in untaken:
            effects += self._forward_again(forward, now)
        return effects

    def forward_not_sent(self, call_id: int, now: Instant) -> list[Effect]:
        """Forward a request elsewhere of which no byte was sent, or refuse it."""
        forward = self._forwards.end(call_id)
        return [] if forward is None else self._forward_again(forward, now)

    def caller_disconnected(self, call_id: int, now: Instant) -> list[Effect]:
        """Handle that the caller of a request disconnected."""
        if self._forwards.end(call_id) is not None:
            return []
        return self._apply_table_effects(
            self._table.caller_disconnected(call_id, now), now
        )

    def attempt_ended(
        self, ticket_id: TicketId, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        """Handle the end of an attempt at an upstream."""
        return self._apply_table_effects(
            self._table.attempt_ended(ticket_id, result, now), now
        )

    def set_vms(self, vms: Sequence[Vm], now: Instant) -> list[Effect]:
        """Apply a new VM list."""
        self._upstreams.update(vms)
        if self._dispatcher is None:
            return []
        upstreams = self._local_upstreams()
        return self._apply_dispatcher_effects(
            self._dispatcher.set_upstreams(upstreams, now), now
        )

    def configure(self, now: Instant) -> list[Effect]:
        """Apply the teams and queues of the directory."""
        dispatcher = self._dispatcher
        if dispatcher is None:
            return []
        effects = dispatcher.set_queues(queue_rules(self._directory), now)
        effects += dispatcher.set_teams(self._team_limits(), now)
        return self._apply_dispatcher_effects(effects, now)

    def set_members(self, live: frozenset[MemberId], now: Instant) -> list[Effect]:
        """Set the live members of the data centre, including this one."""
        if self._dispatcher is None:
            return []
        runs = self._membership.runs(live)
        effects = self._dispatcher.set_members(live, now, runs)
        return self._apply_dispatcher_effects(effects, now)

    def ownership_taken(
        self, taken: OwnershipTaken, live: frozenset[MemberId], now: Instant
    ) -> list[Effect]:
        """Start to dispatch as the owner of the data centre."""
        epoch = taken.epoch
        self._owner = self._member_id
        self._table.raise_fence(epoch, now)
        dispatcher = Dispatcher(
            epoch,
            self._member_id,
            self._timing,
            now,
            is_first_owner=taken.is_first,
            dedup_table=self._table.dedup_table,
            predecessor=self._predecessor(taken, now),
        )
        self._dispatcher = dispatcher
        runs = self._membership.runs(live)
        effects = dispatcher.set_members(live, now, runs)
        effects += dispatcher.set_upstreams(self._local_upstreams(), now)
        effects += dispatcher.set_queues(queue_rules(self._directory), now)
        effects += dispatcher.set_teams(self._team_limits(), now)
        node_effects = self._apply_dispatcher_effects(effects, now)
        return node_effects + self._apply_table_effects(
            self._table.owner_changed(self._member_id, now), now
        )

    def owner_seen(
        self, owner: MemberId | None, epoch: Epoch, now: Instant
    ) -> list[Effect]:
        """Follow another owner, or none; stop dispatching if this member did."""
        if self._dispatcher is not None:
            # The next owner requests these loans from this member as from a witness.
            self._table.witness.merge(self._dispatcher.loans_needing_witness(now), now)
        self._dispatcher = None
        self._owner = owner
        self._table.raise_fence(epoch, now)
        return self._apply_table_effects(self._table.owner_changed(owner, now), now)

    def mark_suspected_lost(self, now: Instant) -> None:
        """Record that the owner may have considered this member lost until now."""
        self._table.witness.mark_suspected_lost(now)

    def peer_message(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        """Handle a message about requests from a member of the data centre."""
        match message:
            case TicketGrant():
                return self._apply_table_effects(self._table.granted(message, now), now)
            case TicketRefusal():
                return self._apply_table_effects(self._table.refused(message, now), now)
            case AttemptCopy(sequence, entries):
                self._table.dedup_table.merge(entries, now)
                return self._send(sender, AttemptCopied(sequence), now)
            case LoanCopy():
                reply = self._table.witness.merge(message, now)
                return [] if reply is None else self._send(sender, reply, now)
            case HoldingsRequest(epoch):
                return self._report_holdings(sender, epoch, now)
            case _:
                return self._pass_to_dispatcher(sender, message, now)

    def tick(self, now: Instant) -> list[Effect]:
        """Handle everything that is due at ``now``."""
        effects = self._apply_table_effects(self._table.tick(now), now)
        if self._dispatcher is not None:
            effects += self._apply_dispatcher_effects(self._dispatcher.tick(now), now)
        return effects + self._tick_forwards(now)

    def _predecessor(self, taken: OwnershipTaken, now: Instant) -> Predecessor:
        recent_runs = self._membership.recently_started_runs(
            self._data_centre, self._longest_loan_s(), now
        )
        return Predecessor(
            epoch=taken.previous_epoch,
            owner=taken.previous_owner,
            missing=self._missing_members(taken.previous_owner, now),
            recent_runs=recent_runs,
        )

    def _missing_members(
        self, previous: MemberId | None, now: Instant
    ) -> frozenset[MemberId]:
        """Return members that may hold slots but cannot report them.

        The previous owner is not among them, because its witness knows the slots of
        that owner and of the members that were lost before it. The witness does not
        know the slots of a member that was lost later.
        """
        missing = self._membership.recently_lost(
            self._data_centre, self._longest_loan_s(), now
        )
        return missing - {previous}

    def _longest_loan_s(self) -> float:
        return (self._timing.max_ticket_ms + self._timing.clock_margin_ms) / 1_000

    def _serve_here(self, request: CallerRequest, now: Instant) -> list[Effect]:
        new = NewRequest(
            call_id=request.call_id,
            request_id=request.request_id,
            team_id=request.team_id,
            queue=request.queue,
            idempotent=request.idempotent,
            deadline=request.deadline,
        )
        return self._apply_table_effects(self._table.submit(new, now), now)

    def _serve_elsewhere(self, request: CallerRequest, now: Instant) -> list[Effect]:
        if request.forwarded:
            return self._serve_here(request, now)
        for data_centre in self._membership.data_centres():
            if self._can_serve(request, data_centre, now):
                return self._forward(request, data_centre, now)
        return self._serve_here(request, now)

    def _can_serve(
        self, request: CallerRequest, data_centre: DataCentreId, now: Instant
    ) -> bool:
        if data_centre == self._data_centre:
            return False
        is_reachable = self._membership.contact(data_centre, now) is not None
        return is_reachable and self._serves(request.queue, data_centre)

    def _forward(
        self,
        request: CallerRequest,
        data_centre: DataCentreId,
        now: Instant,
        refused_by: frozenset[MemberId] = frozenset(),
    ) -> list[Effect]:
        target = self._membership.contact(data_centre, now, refused_by)
        if target is None:
            reason = RefusalReason.HOME_UNREACHABLE
            return [_finish_not_run(request.call_id, reason, HOME_RETRY_MS)]
        self._forwards.begin(request, target, refused_by)
        return [ForwardRequest(request.call_id, target, request.deadline)]

    def _forward_again(self, forward: Forward, now: Instant) -> list[Effect]:
        request = forward.request
        if now >= request.deadline:
            reason = RefusalReason.DEADLINE
            return [_finish_not_run(request.call_id, reason, HOME_RETRY_MS)]
        data_centre = self._membership.data_centre_of(forward.to)
        if data_centre is None:
            reason = RefusalReason.HOME_UNREACHABLE
            return [_finish_not_run(request.call_id, reason, HOME_RETRY_MS)]
        return self._forward(request, data_centre, now, forward.tried)

    def _tick_forwards(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for forward in self._forwards.pop_expired(now):
            effects.append(_finish_unknown(forward, RefusalReason.DEADLINE))
        for forward in self._forwards.pop_lost(now):
            if forward.request.idempotent:
                effects += self.submit(forward.request, now)
            else:
                effects.append(_finish_unknown(forward, RefusalReason.HOME_UNREACHABLE))
        return effects

    def _report_holdings(
        self, sender: MemberId, epoch: Epoch, now: Instant
    ) -> list[Effect]:
        report = self._table.report_holdings(epoch, now)
        return self._send(sender, report, now)

    def _pass_to_dispatcher(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        dispatcher = self._dispatcher
        if dispatcher is None:
            return []
        match message:
            case TicketRequest():
                effects = dispatcher.ticket_requested(sender, message, now)
            case TicketRelease():
                effects = dispatcher.released(sender, message, now)
            case TicketWithdrawal():
                effects = dispatcher.withdrawn(sender, message, now)
            case AttemptCopied(sequence):
                effects = dispatcher.attempt_copied(sender, sequence, now)
            case LoanCopied():
                effects = dispatcher.loan_copied(sender, message, now)
            case HoldingsReport():
                effects = dispatcher.holdings_reported(sender, message, now)
            case _:
                effects = []
        return self._apply_dispatcher_effects(effects, now)

    def _apply_table_effects(
        self, effects: Sequence[RequestEffect], now: Instant
    ) -> list[Effect]:
        node_effects: list[Effect] = []
        for effect in effects:
            match effect:
                case SendToOwner(message):
                    node_effects += self._send(self._owner, message, now)
                case SendUpstream():
                    node_effects += self._call_upstream(effect, now)
                case AbortUpstream(ticket_id):
                    node_effects.append(AbortCall(ticket_id))
                case Finish(call_id, outcome, reason, retry_after_ms):
                    node_effects.append(
                        FinishRequest(call_id, outcome, reason, retry_after_ms)
                    )
        return node_effects

    def _apply_dispatcher_effects(
        self, effects: Sequence[DispatcherEffect], now: Instant
    ) -> list[Effect]:
        node_effects: list[Effect] = []
        for effect in effects:
            node_effects += self._send(effect.member_id, effect.message, now)
        return node_effects

    def _send(
        self, to: MemberId | None, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        if to is None:
            return []
        if to == self._member_id:
            return self.peer_message(self._member_id, message, now)
        return [SendPeer(to, message)]

    def _call_upstream(self, effect: SendUpstream, now: Instant) -> list[Effect]:
        address = self._upstreams.address(effect.upstream_id)
        if address is None:
            failed = AttemptResult.FAILED_BEFORE_SEND
            return self.attempt_ended(effect.ticket_id, failed, now)
        return [
            CallUpstream(
                call_id=effect.call_id,
                ticket_id=effect.ticket_id,
                upstream_id=effect.upstream_id,
                address=address,
                deadline=effect.deadline,
            )
        ]

    def _serves(self, queue: QueueName, data_centre: DataCentreId) -> bool:
        rules = self._directory.queues_by_name.get(queue)
        if rules is None:
            return False
        return self._upstreams.has_service(rules.service, data_centre)

    def _local_upstreams(self) -> list[ListedUpstream]:
        return self._upstreams.in_data_centre(self._data_centre)

    def _team_limits(self) -> Mapping[WorkspaceId, RequestLimits]:
        data_centres = self._membership.data_centres()
        return request_limits(self._directory, self._data_centre, data_centres)


def _finish_unknown(forward: Forward, reason: RefusalReason) -> FinishRequest:
    call_id = forward.request.call_id
    return FinishRequest(call_id, Outcome.UNKNOWN, reason, HOME_RETRY_MS)


def _finish_not_run(
    call_id: int, reason: RefusalReason, retry_after_ms: int
) -> FinishRequest:
    return FinishRequest(call_id, Outcome.NOT_RUN, reason, retry_after_ms)
