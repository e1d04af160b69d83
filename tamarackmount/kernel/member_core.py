"""Membership, ownership, log and configuration of one member.

Passes changes of these on to the request part and the job part of the node.
:class:`tamarackmount.kernel.node.Node` adds the inputs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tamarackmount.ids import (
    Epoch,
    Incarnation,
    Instant,
    MemberId,
)
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import (
    Effect,
    ReportProblem,
    RoleChanged,
    SendPeer,
)
from tamarackmount.kernel.heartbeats import HeartbeatSchedule, send_to_all
from tamarackmount.kernel.job_effects import SchedulerTiming
from tamarackmount.kernel.job_part import JobPart
from tamarackmount.kernel.log_records import OwnerClaim
from tamarackmount.kernel.log_state_machine import (
    ClaimAccepted,
    ClaimKnown,
    ConfigChanged,
    JobsRead,
    LogEvent,
    LogOutput,
    LogStateMachine,
    RecordWritten,
)
from tamarackmount.kernel.membership import HeartbeatResult, Member, Membership
from tamarackmount.kernel.messages import (
    ClaimReply,
    ClaimRequest,
    ConfigSync,
    ConfigWanted,
    ForwardsClosed,
    Heartbeat,
    PeerMessage,
)
from tamarackmount.kernel.ownership import Ownership
from tamarackmount.kernel.ownership_effects import (
    AppendClaim,
    OwnerSeen,
    OwnershipEffect,
    OwnershipLost,
    OwnershipTaken,
    ReplyClaim,
    SendClaimRequest,
)
from tamarackmount.kernel.peer_config_sync import PeerConfigSync
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.request_part import RequestPart
from tamarackmount.kernel.snapshot_schedule import spread_s
from tamarackmount.kernel.timing import Timing

NEVER_READ_MS = 2**53
"""Age of the log in heartbeats of a member that never read it, in milliseconds."""

APPENDS_PER_SECOND = 250.0
"""Appends per second that all members of the fleet share."""


@dataclass(frozen=True, slots=True)
class NodeTiming:
    """Timing of every part of a node."""

    members: Timing = Timing()
    requests: RequestTiming = RequestTiming()
    jobs: SchedulerTiming = SchedulerTiming()


class MemberCore:
    """Members, ownership, the log and the configuration of one member."""

    def __init__(
        self,
        me: Member,
        peers: Sequence[Member],
        incarnation: Incarnation,
        timing: NodeTiming,
        now: Instant,
    ) -> None:
        """Start with the settings alone."""
        self._me = me
        self._incarnation = incarnation
        self._timing = timing
        self._sequence = 0
        self._draining = False
        self._refusing = False
        self._last_tick = now
        self._live: frozenset[MemberId] = frozenset({me.id})
        fleet_size = len(peers) + 1
        self.log = LogStateMachine(
            me.id,
            str(incarnation),
            APPENDS_PER_SECOND / fleet_size,
            spread_s(fleet_size),
            now,
        )
        self.directory = Directory()
        self.membership = Membership(me, incarnation, peers, timing.members, now)
        self._heartbeats = HeartbeatSchedule(self.membership, timing.members, now)
        self._config_sync = PeerConfigSync(self.log.config, now)
        index = sorted([me.id, *self.membership.local_targets()]).index(me.id)
        self.ownership = Ownership(me.id, incarnation, index, timing.members, now)
        self.requests = RequestPart(
            me.id,
            incarnation,
            me.data_centre,
            timing.requests,
            self.directory,
            self.membership,
        )
        self.jobs = JobPart(
            me.id,
            incarnation,
            me.data_centre,
            timing.jobs,
            self.directory,
            self.membership,
            self.log,
        )

    @property
    def member(self) -> Member:
        """This member."""
        return self._me

    def is_log_fresh(self, now: Instant) -> bool:
        """Return whether the end of the log was read within ``log_fresh_s``."""
        return self.log.is_fresh(self._timing.members.log_fresh_s, now)

    @property
    def is_ready(self) -> bool:
        """Whether this member takes new work."""
        return self.log.config.is_loaded and not self._draining

    @property
    def is_draining(self) -> bool:
        """Whether this member prepares for a planned stop."""
        return self._draining

    def _check_for_pause(self, now: Instant) -> list[Effect]:
        """Detect a pause of this process before it acts on an input.

        After a pause, what it knew of live members and of its ownership is out of date.
        """
        if now - self._last_tick <= self._timing.members.pause_limit_s:
            return []
        self.requests.mark_suspected_lost(now)
        self.membership.restart_timeouts(self._last_tick, now)
        self._last_tick = now
        return self._ownership_effects(self.ownership.check_for_pause(now), now)

    def _hand_over(self, now: Instant) -> list[Effect]:
        if not self._draining or not self.ownership.is_owner:
            return []
        if not self.membership.staying_peers(self._me.data_centre, now):
            return []
        return self._ownership_effects(self.ownership.resign(now), now)

    def _member_message(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        match message:
            case Heartbeat():
                return self._heartbeat_received(message, now)
            case ClaimRequest():
                requested = self.ownership.claim_requested(message, now)
                return self._ownership_effects(requested, now)
            case ClaimReply():
                answered = self.ownership.claim_answered(message, now)
                return self._ownership_effects(answered, now)
            case ConfigWanted():
                return self._config_sync.answer(sender, message)
            case ConfigSync(offset, entries):
                self.log.config.apply_entries(offset, entries)
                return self._configure(now)
            case ForwardsClosed():
                self.membership.stop_announced(sender, message.incarnation, now)
                return self.requests.forwards_closed(sender, message, now)
            case _:
                return []

    def _tick_ownership(self, now: Instant) -> list[Effect]:
        local = self._me.data_centre
        staying = self.membership.staying_peers(local, now)
        can_stay_owner = not self._draining or not staying
        ticked = self.ownership.tick(
            staying=staying,
            live=self.membership.live_peers(local, now),
            log_fresh=self.is_log_fresh(now) and self.log.knows_claims,
            may_own=self.log.config.is_loaded and can_stay_owner,
            now=now,
        )
        return self._ownership_effects(ticked, now)

    def _tick_members(self, now: Instant) -> list[Effect]:
        live = self._live_members(now)
        if live == self._live:
            return []
        lost = sorted(self._live - live)
        self._live = live
        effects = self.requests.set_members(live, now)
        for member_id in lost:
            effects += self.jobs.member_lost(member_id, now)
        return effects

    def _live_members(self, now: Instant) -> frozenset[MemberId]:
        peers = self.membership.live_peers(self._me.data_centre, now)
        return frozenset(peers) | {self._me.id}

    def _send_heartbeats(
        self, targets: Iterable[MemberId], now: Instant
    ) -> list[Effect]:
        members = list(targets)
        return send_to_all(members, self._heartbeat(now)) if members else []

    def _heartbeat(self, now: Instant) -> Heartbeat:
        self._sequence += 1
        age_s = self.log.end_read_age_s(now)
        return Heartbeat(
            member_id=self._me.id,
            incarnation=self._incarnation,
            data_centre=self._me.data_centre,
            sequence=self._sequence,
            epoch=self.ownership.epoch,
            owner=self.ownership.owner or MemberId(""),
            config_offset=self.log.config.known_to,
            log_age_ms=NEVER_READ_MS if age_s is None else int(age_s * 1_000),
            leaving=not self.is_ready,
        )

    def _heartbeat_received(self, heartbeat: Heartbeat, now: Instant) -> list[Effect]:
        self._check_owner_silence(heartbeat, now)
        last = self.membership.heartbeat_of(heartbeat.member_id)
        was_leaving = last is not None and last.leaving
        result = self.membership.heartbeat_received(heartbeat, now)
        if result is HeartbeatResult.IGNORED:
            return []
        if heartbeat.leaving and not was_leaving:
            # Another member of its data centre may be unknown here, as only one of each
            # gets regular heartbeats.
            self._heartbeats.send_remote_now(now)
        effects = self._config_sync.heartbeat_received(
            heartbeat, self.is_log_fresh(now), now
        )
        if heartbeat.data_centre != self._me.data_centre:
            if self._heartbeats.is_echo_due(heartbeat.member_id, now):
                effects += self._send_heartbeats([heartbeat.member_id], now)
            return effects
        received = self.ownership.heartbeat_received(heartbeat, now)
        effects += self._ownership_effects(received, now)
        if result is HeartbeatResult.NEW_RUN:
            effects += self._member_joined(heartbeat.member_id, now)
        return effects

    def _check_owner_silence(self, heartbeat: Heartbeat, now: Instant) -> None:
        """Mark this member as suspected lost if the owner was silent for long.

        The owner may not have received this member's heartbeats either.
        """
        if heartbeat.member_id != self.ownership.owner:
            return
        last = self.membership.heartbeat_of(heartbeat.member_id)
        if last is None or last.incarnation != heartbeat.incarnation:
            return
        silence_s = self.membership.silence_s(heartbeat.member_id, now)
        if silence_s > self._timing.members.pause_limit_s:
            self.requests.mark_suspected_lost(now)

    def _member_joined(self, member_id: MemberId, now: Instant) -> list[Effect]:
        """Treat a new run of a member as the loss of the old one."""
        effects: list[Effect] = []
        if member_id in self._live:
            self._live = self._live - {member_id}
            effects += self.requests.set_members(self._live, now)
            effects += self.jobs.member_lost(member_id, now)
        # Updated at once: if the member restarts again, or times out and comes back,
        # before the next tick, the branch above must find it in ``_live``.
        effects += self._tick_members(now)
        return effects + self.jobs.member_joined(member_id, now)

    def _ownership_effects(
        self, effects: Sequence[OwnershipEffect], now: Instant
    ) -> list[Effect]:
        node_effects: list[Effect] = []
        for effect in effects:
            node_effects += self._ownership_effect(effect, now)
        return node_effects

    def _ownership_effect(self, effect: OwnershipEffect, now: Instant) -> list[Effect]:
        match effect:
            case AppendClaim(expected):
                return self._append_claim(expected, now)
            case SendClaimRequest(members, request):
                return [SendPeer(member_id, request) for member_id in members]
            case ReplyClaim(to, reply):
                return [SendPeer(to, reply)]
            case OwnershipTaken():
                return self._ownership_taken(effect, now)
            case OwnershipLost(epoch):
                return [RoleChanged(None, epoch, is_owner=False)]
            case OwnerSeen(owner, epoch):
                effects = self.requests.owner_seen(owner, epoch, now)
                effects += self.jobs.owner_seen(owner, epoch, now)
                return [*effects, RoleChanged(owner, epoch, is_owner=False)]

    def _append_claim(self, expected: Epoch, now: Instant) -> list[Effect]:
        claim = OwnerClaim(
            data_centre=self._me.data_centre, member_id=self._me.id, expected=expected
        )
        return self._apply_log_output(self.log.claim(claim, now), now)

    def _ownership_taken(self, effect: OwnershipTaken, now: Instant) -> list[Effect]:
        live = self._live_members(now)
        self._live = live
        effects: list[Effect] = [RoleChanged(self._me.id, effect.epoch, is_owner=True)]
        effects += self._send_heartbeats(self.membership.local_targets(), now)
        effects += self.requests.ownership_taken(effect, live, now)
        return effects + self.jobs.ownership_taken(effect.epoch, live, now)

    def _apply_log_output(self, output: LogOutput, now: Instant) -> list[Effect]:
        effects = list(output.effects)
        config_changed = False
        for event in self._without_superseded_claims(output.events):
            config_changed = config_changed or isinstance(event, ConfigChanged)
            effects += self._log_event(event, now)
        if config_changed:
            effects += self._configure(now)
        return effects

    def _without_superseded_claims(self, events: Sequence[LogEvent]) -> list[LogEvent]:
        """Return the events without claims of this data centre that were superseded."""
        claims = [event for event in events if self._is_local_claim(event)]
        superseded = claims[:-1]
        return [event for event in events if event not in superseded]

    def _is_local_claim(self, event: LogEvent) -> bool:
        if not isinstance(event, ClaimAccepted):
            return False
        return event.data_centre == self._me.data_centre

    def _log_event(self, event: LogEvent, now: Instant) -> list[Effect]:
        match event:
            case ClaimAccepted():
                return self._claim_accepted(event, now)
            case ClaimKnown(data_centre, epoch):
                if data_centre != self._me.data_centre:
                    return []
                known = self.ownership.superseded(epoch, now)
                return self._ownership_effects(known, now)
            case JobsRead(data_centre, records):
                if data_centre != self._me.data_centre:
                    return []
                return self.jobs.records_read(records, now)
            case RecordWritten(record_id, result):
                return self.jobs.record_written(record_id, result, now)
            case ConfigChanged():
                return []

    def _claim_accepted(self, event: ClaimAccepted, now: Instant) -> list[Effect]:
        if not self._is_local_claim(event):
            return []
        logged = self.ownership.claim_logged(
            event.epoch, event.member_id, event.is_own, now
        )
        return self._ownership_effects(logged, now)

    def _configure(self, now: Instant) -> list[Effect]:
        problems = self.directory.update(self.log.config.documents())
        effects: list[Effect] = [ReportProblem(text) for text in problems]
        effects += self.requests.configure(now)
        return effects + self.jobs.configure(now)
