"""Choice of a data centre's owner, through the log or by agreement of its members.

Every data centre has at most one owner at a time. An epoch identifies a term of
ownership; its upper bits are the log offset of the claim that began it, its lower
bits count the changes of owner since then without the log and identify the claiming
member and its run. A higher epoch supersedes a lower one, and workers refuse commands
of a lower epoch.

A member claims ownership when the owner was silent for a whole lease while the member
itself ran without a pause. The first live member by name that is not leaving claims at
once, each further one ``CLAIM_STAGGER_S`` after the one before it, in case that one
can't claim. While the log is available the claim is a log record, accepted when it
names the epoch that precedes it in log order. Without the log every other live member
of the data centre has to agree. If the log doesn't decide a claim in time, the member
claims again without the log; if the record arrives after all, its writer becomes owner
by it. An owner that detects a pause of its own, or sees a higher epoch, stops being
owner.
"""

from collections.abc import Sequence
from enum import Enum

from tamarackmount.ids import Epoch, Incarnation, Instant, MemberId
from tamarackmount.kernel.epochs import NO_EPOCH, next_term
from tamarackmount.kernel.messages import ClaimReply, ClaimRequest, Heartbeat
from tamarackmount.kernel.ownership_effects import (
    AppendClaim,
    OwnerSeen,
    OwnershipEffect,
    OwnershipLost,
    OwnershipTaken,
    ReplyClaim,
    SendClaimRequest,
)
from tamarackmount.kernel.timing import Timing

CLAIM_TIMEOUT_S = 2.0
"""Time after which a claim is abandoned, in seconds."""

CLAIM_STAGGER_S = 2.5
"""Delay of a member's claim after that of the member before it, in seconds."""

LOG_AVOIDANCE_S = 10.0
"""Time for which claims avoid the log after it did not decide one, in seconds."""


class Role(Enum):
    """Role of a member in its data centre."""

    FOLLOWER = "follower"
    CLAIMING_BY_LOG = "claiming_by_log"
    CLAIMING_BY_PEERS = "claiming_by_peers"
    OWNER = "owner"


class Ownership:
    """One member's part in choosing the owner of its data centre."""

    def __init__(
        self,
        member_id: MemberId,
        incarnation: Incarnation,
        member_index: int,
        timing: Timing,
        now: Instant,
    ) -> None:
        """Start as a follower that waits a whole lease for an owner's heartbeat.

        ``member_index`` is this member's index among those of its data centre, from
        0 to 63, sorted by name.
        """
        self._member_id = member_id
        self._incarnation = incarnation
        self._member_index = member_index
        self._timing = timing
        self._role = Role.FOLLOWER
        self._epoch = NO_EPOCH
        self._owner: MemberId | None = None
        self._last_tick = now
        self._earliest_claim_at = self._lease_end(now)
        self._claim_deadline = now
        self._claimed_epoch = NO_EPOCH
        self._unanswered_members: set[MemberId] = set()
        self._resend_request_at = now
        self._avoid_log_until = now
        self._accepted_request: ClaimRequest | None = None
        self._may_own = False
        self._resigned_owner: MemberId | None = None
        self._is_vacant = False

    @property
    def role(self) -> Role:
        """The current role of this member."""
        return self._role

    @property
    def epoch(self) -> Epoch:
        """The highest epoch known."""
        return self._epoch

    @property
    def owner(self) -> MemberId | None:
        """The owner, as far as this member knows."""
        return self._owner

    @property
    def is_owner(self) -> bool:
        """Whether this member owns its data centre."""
        return self._role is Role.OWNER

    def heartbeat_received(
        self, heartbeat: Heartbeat, now: Instant
    ) -> list[OwnershipEffect]:
        """Handle the heartbeat of a member of the same data centre."""
        effects: list[OwnershipEffect] = []
        if self._is_claiming() and heartbeat.owner == self._member_id:
            # The sender learnt before this member that its pending claim was accepted.
            return []
        if heartbeat.epoch > self._epoch:
            owner = heartbeat.owner or None
            effects += self._follow(owner, heartbeat.epoch, now)
        elif self._names_unknown_owner(heartbeat):
            effects += self._follow(heartbeat.owner, heartbeat.epoch, now)
        if heartbeat.member_id == self._owner and heartbeat.owner == self._owner:
            self._earliest_claim_at = self._lease_end(now)
        if self._has_owner_resigned(heartbeat):
            effects += self._follow(None, self._epoch, now)
            # The owner itself reports that it stopped, so no lease has to expire.
            self._earliest_claim_at = now
            self._resigned_owner = heartbeat.member_id
            self._is_vacant = True
        return effects

    def claim_logged(
        self, epoch: Epoch, member_id: MemberId, is_own: bool, now: Instant
    ) -> list[OwnershipEffect]:
        """Handle a claim that was accepted in log order and begins ``epoch``.

        ``is_own`` if this run of this member wrote it, however long ago.
        """
        is_own = is_own and self._may_own
        if epoch < self._epoch:
            return []
        if epoch == self._epoch and not (is_own and self._owner is None):
            return []
        if not is_own:
            return self._follow(member_id, epoch, now)
        lost = [OwnershipLost(self._epoch)] if self.is_owner else []
        return [*lost, *self._become_owner(epoch, by_log=True)]

    def claim_requested(
        self, request: ClaimRequest, now: Instant
    ) -> list[OwnershipEffect]:
        """Answer a claim made without the log."""
        effects: list[OwnershipEffect] = []
        accepted = request == self._accepted_request and request.epoch == self._epoch
        if not accepted and self._can_accept(request, now):
            accepted = True
            self._accepted_request = request
            effects += self._follow(request.candidate, request.epoch, now)
        reply = ClaimReply(self._member_id, request.epoch, accepted)
        effects.append(ReplyClaim(request.candidate, reply))
        return effects

    def claim_answered(self, reply: ClaimReply, now: Instant) -> list[OwnershipEffect]:
        """Handle a member's answer to this member's claim."""
        if self._role is not Role.CLAIMING_BY_PEERS:
            return []
        if reply.epoch != self._claimed_epoch:
            return []
        if not reply.accepted:
            return self._abandon_claim(now)
        self._unanswered_members.discard(reply.member_id)
        if self._unanswered_members:
            return []
        return self._become_owner(self._claimed_epoch, by_log=False)

    def superseded(self, epoch: Epoch, now: Instant) -> list[OwnershipEffect]:
        """Handle a higher epoch reported by another source, such as a worker."""
        if epoch <= self._epoch:
            return []
        return self._follow(None, epoch, now)

    def resign(self, now: Instant) -> list[OwnershipEffect]:
        """Give up ownership before a planned stop."""
        self._may_own = False
        if not self.is_owner:
            return []
        return self._follow(self._member_id, self._epoch, now)

    def tick(
        self,
        staying: Sequence[MemberId],
        live: Sequence[MemberId],
        log_fresh: bool,
        may_own: bool,
        now: Instant,
    ) -> list[OwnershipEffect]:
        """Advance time.

        ``live`` are the live peers of the data centre, ``staying`` those of them that
        are not leaving. ``log_fresh`` tells whether the end of the log was read
        recently; ``may_own`` whether this member may become owner.
        """
        resumed = self.check_for_pause(now)
        self._last_tick = now
        self._may_own = may_own
        if resumed:
            return resumed
        if self._is_claiming():
            return self._continue_claim(live, now)
        if self.is_owner or not may_own:
            return []
        # An owner that stopped after a pause waits for a lease before it claims again,
        # so this member doesn't wait for it.
        members_before_me = [
            member_id
            for member_id in staying
            if member_id < self._member_id and member_id != self._resigned_owner
        ]
        if now < self._earliest_claim_at + len(members_before_me) * CLAIM_STAGGER_S:
            return []
        return self._claim(live, log_fresh, now)

    def check_for_pause(self, now: Instant) -> list[OwnershipEffect]:
        """Stop being owner or claiming ownership if this member was paused.

        A member that was not owner abandons a pending claim and waits a whole lease
        again before the next one. Must be called before any input.
        """
        if now - self._last_tick <= self._timing.pause_limit_s:
            return []
        self._last_tick = now
        if self.is_owner:
            return self._follow(self._member_id, self._epoch, now)
        self._role = Role.FOLLOWER
        self._earliest_claim_at = self._lease_end(now)
        return []

    def _can_accept(self, request: ClaimRequest, now: Instant) -> bool:
        if self._role in (Role.OWNER, Role.CLAIMING_BY_LOG):
            return False
        if request.epoch <= self._epoch:
            return False
        if self._is_vacant or self._owner == request.candidate:
            return True
        return now >= self._earliest_claim_at

    def _claim(
        self, live: Sequence[MemberId], log_fresh: bool, now: Instant
    ) -> list[OwnershipEffect]:
        self._claim_deadline = Instant(now + CLAIM_TIMEOUT_S)
        if log_fresh and now >= self._avoid_log_until:
            self._role = Role.CLAIMING_BY_LOG
            return [AppendClaim(self._epoch)]
        epoch = next_term(self._epoch, self._member_index, self._incarnation)
        if epoch is None:
            return self._abandon_claim(now)
        self._claimed_epoch = epoch
        if not live:
            return self._become_owner(epoch, by_log=False)
        self._role = Role.CLAIMING_BY_PEERS
        self._unanswered_members = set(live)
        return self._send_claim_requests(now)

    def _continue_claim(
        self, live: Sequence[MemberId], now: Instant
    ) -> list[OwnershipEffect]:
        if now >= self._claim_deadline:
            if self._role is Role.CLAIMING_BY_LOG:
                self._avoid_log_until = Instant(now + LOG_AVOIDANCE_S)
            return self._abandon_claim(now)
        if self._role is Role.CLAIMING_BY_LOG:
            return []
        self._unanswered_members &= set(live)
        if not self._unanswered_members:
            return self._become_owner(self._claimed_epoch, by_log=False)
        return self._send_claim_requests(now) if now >= self._resend_request_at else []

    def _send_claim_requests(self, now: Instant) -> list[OwnershipEffect]:
        self._resend_request_at = Instant(now + self._timing.heartbeat_s)
        request = ClaimRequest(self._member_id, self._incarnation, self._claimed_epoch)
        return [SendClaimRequest(tuple(sorted(self._unanswered_members)), request)]

    def _become_owner(self, epoch: Epoch, *, by_log: bool) -> list[OwnershipEffect]:
        taken = OwnershipTaken(
            epoch=epoch,
            previous_epoch=self._epoch,
            previous_owner=self._owner,
            is_first=by_log and self._epoch == NO_EPOCH,
        )
        self._role = Role.OWNER
        self._epoch = epoch
        self._owner = self._member_id
        self._unanswered_members.clear()
        return [taken]

    def _follow(
        self, owner: MemberId | None, epoch: Epoch, now: Instant
    ) -> list[OwnershipEffect]:
        """Follow ``owner`` under ``epoch``; ``None`` if the owner is unknown.

        With this member as ``owner``, it steps down and the data centre has no owner.
        """
        effects: list[OwnershipEffect] = []
        if self.is_owner:
            effects.append(OwnershipLost(self._epoch))
        self._role = Role.FOLLOWER
        self._epoch = epoch
        # Other members may report this one as owner, but it owns only by its own claim.
        self._owner = None if owner == self._member_id else owner
        # This member owned the epoch and has stopped, so there is no owner.
        self._is_vacant = owner == self._member_id
        self._resigned_owner = None
        self._unanswered_members.clear()
        self._earliest_claim_at = self._lease_end(now)
        effects.append(OwnerSeen(self._owner, epoch))
        return effects

    def _abandon_claim(self, now: Instant) -> list[OwnershipEffect]:
        self._role = Role.FOLLOWER
        self._unanswered_members.clear()
        self._earliest_claim_at = Instant(now + self._timing.heartbeat_s)
        return []

    def _is_claiming(self) -> bool:
        return self._role in (Role.CLAIMING_BY_LOG, Role.CLAIMING_BY_PEERS)

    def _names_unknown_owner(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.epoch == self._epoch > NO_EPOCH
            and self._owner is None
            and heartbeat.owner == heartbeat.member_id
        )

    def _has_owner_resigned(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.member_id == self._owner
            and heartbeat.epoch == self._epoch
            and heartbeat.owner != heartbeat.member_id
        )

    def _lease_end(self, now: Instant) -> Instant:
        return Instant(now + self._timing.owner_lease_s + self._timing.clock_margin_s)
