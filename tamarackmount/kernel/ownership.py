"""Who owns a data centre: claims by the log's order, or by its members without it.

Every data centre has at most one owner at a time. An epoch names a term of
ownership; its upper bits are the log offset of the claim that began it, its lower
bits count the changes of owner made since without the log and tell who claimed, and
in which run. A higher epoch supersedes a lower one, and workers refuse commands of a
lower epoch.

A member claims when the owner was silent for the whole lease while the member
itself ran without a pause. The first of the live members by name claims at once,
each other one a turn later than the one before it, should that one not be able to.
With the log at hand the claim is a record, accepted when it names the epoch that
precedes it in the log's order. Without the log every other live member of the data
centre has to agree. A claim that the log does not settle in time is followed by one
without the log; should the record still arrive, its writer owns by it. An owner that
finds it was paused, or sees a higher epoch, is owner no more.
"""

from collections.abc import Sequence
from enum import Enum

from tamarackmount.ids import Epoch, Incarnation, Instant, MemberId
from tamarackmount.kernel.epochs import NO_EPOCH, next_term
from tamarackmount.kernel.messages import ClaimReply, ClaimRequest, Heartbeat
from tamarackmount.kernel.ownership_effects import (
    AppendClaim,
    AskMembers,
    OwnerSeen,
    OwnershipEffect,
    OwnershipLost,
    OwnershipTaken,
    ReplyClaim,
)
from tamarackmount.kernel.timing import Timing

CLAIM_TIMEOUT_S = 2.0
"""How long a claim may take before it is given up, in seconds."""

CLAIM_TURN_S = 2.5
"""How long a member leaves the claim to the one before it by name, in seconds."""

LOG_DISTRUST_S = 10.0
"""How long claims avoid the log after it did not settle one, in seconds."""


class Role(Enum):
    """What a member is in its data centre."""

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
        """Start as a follower that waits a whole lease for an owner to be heard.

        ``member_index`` is this member's place among those of its data centre, from
        0 to 63, in the order of their names.
        """
        self._me = member_id
        self._incarnation = incarnation
        self._member_index = member_index
        self._timing = timing
        self._role = Role.FOLLOWER
        self._epoch = NO_EPOCH
        self._owner: MemberId | None = None
        self._last_tick = now
        self._silent_until = self._lease_end(now)
        self._claim_until = now
        self._claimed_epoch = NO_EPOCH
        self._claim_awaits: set[MemberId] = set()
        self._ask_again_at = now
        self._avoid_log_until = now
        self._accepted_request: ClaimRequest | None = None
        self._may_own = False
        self._gave_up: MemberId | None = None
        self._is_vacant = False

    @property
    def role(self) -> Role:
        """What this member is now."""
        return self._role

    @property
    def epoch(self) -> Epoch:
        """The highest epoch known."""
        return self._epoch

    @property
    def owner(self) -> MemberId | None:
        """The owner as far as known."""
        return self._owner

    @property
    def is_owner(self) -> bool:
        """Whether this member owns its data centre."""
        return self._role is Role.OWNER

    def heartbeat_received(
        self, heartbeat: Heartbeat, now: Instant
    ) -> list[OwnershipEffect]:
        """Take in the heartbeat of a member of the same data centre."""
        effects: list[OwnershipEffect] = []
        if self._is_claiming() and heartbeat.owner == self._me:
            # Another member was quicker to learn of the claim under way.
            return []
        if heartbeat.epoch > self._epoch:
            owner = heartbeat.owner or None
            effects += self._follow(owner, heartbeat.epoch, now)
        elif self._names_unknown_owner(heartbeat):
            effects += self._follow(heartbeat.owner, heartbeat.epoch, now)
        if heartbeat.member_id == self._owner and heartbeat.owner == self._owner:
            self._silent_until = self._lease_end(now)
        if self._owner_gave_up(heartbeat):
            effects += self._follow(None, self._epoch, now)
            # The owner said itself that it stopped, so nothing has to lapse.
            self._silent_until = now
            self._gave_up = heartbeat.member_id
            self._is_vacant = True
        return effects

    def claim_logged(
        self, epoch: Epoch, member_id: MemberId, is_own: bool, now: Instant
    ) -> list[OwnershipEffect]:
        """Take in a claim that the log's order accepted for ``epoch``.

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
        return [*lost, *self._take(epoch, by_log=True)]

    def claim_requested(
        self, request: ClaimRequest, now: Instant
    ) -> list[OwnershipEffect]:
        """Answer a claim made without the log."""
        effects: list[OwnershipEffect] = []
        accepted = request == self._accepted_request and request.epoch == self._epoch
        if not accepted and self._accepts(request, now):
            accepted = True
            self._accepted_request = request
            effects += self._follow(request.candidate, request.epoch, now)
        reply = ClaimReply(self._me, request.epoch, accepted)
        effects.append(ReplyClaim(request.candidate, reply))
        return effects

    def claim_answered(self, reply: ClaimReply, now: Instant) -> list[OwnershipEffect]:
        """Take in a member's answer to this member's claim."""
        if self._role is not Role.CLAIMING_BY_PEERS:
            return []
        if reply.epoch != self._claimed_epoch:
            return []
        if not reply.accepted:
            return self._give_up_claim(now)
        self._claim_awaits.discard(reply.member_id)
        if self._claim_awaits:
            return []
        return self._take(self._claimed_epoch, by_log=False)

    def superseded(self, epoch: Epoch, now: Instant) -> list[OwnershipEffect]:
        """Take in a higher epoch seen elsewhere, such as at a worker."""
        if epoch <= self._epoch:
            return []
        return self._follow(None, epoch, now)

    def resign(self, now: Instant) -> list[OwnershipEffect]:
        """Give ownership up, before a planned stop."""
        self._may_own = False
        if not self.is_owner:
            return []
        return self._follow(self._me, self._epoch, now)

    def tick(
        self,
        staying: Sequence[MemberId],
        live: Sequence[MemberId],
        log_fresh: bool,
        may_own: bool,
        now: Instant,
    ) -> list[OwnershipEffect]:
        """Advance time.

        ``staying`` and ``live`` are the peers of the data centre that are alive and
        not leaving, and alive at all. ``log_fresh`` tells whether the end of the log
        was read a moment ago; ``may_own`` whether this member is able to own.
        """
        resumed = self.wake(now)
        self._last_tick = now
        self._may_own = may_own
        if resumed:
            return resumed
        if self._is_claiming():
            return self._continue_claim(live, now)
        if self.is_owner or not may_own:
            return []
        # An owner that gave up after a pause waits a lease before it claims again.
        before_me = [one for one in staying if one < self._me and one != self._gave_up]
        if now < self._silent_until + len(before_me) * CLAIM_TURN_S:
            return []
        return self._claim(live, log_fresh, now)

    def wake(self, now: Instant) -> list[OwnershipEffect]:
        """Stop being owner if this member was paused; comes before any input."""
        if now - self._last_tick <= self._timing.pause_limit_s:
            return []
        self._last_tick = now
        if self.is_owner:
            return self._follow(self._me, self._epoch, now)
        self._role = Role.FOLLOWER
        self._silent_until = self._lease_end(now)
        return []

    def _accepts(self, request: ClaimRequest, now: Instant) -> bool:
        if self._role in (Role.OWNER, Role.CLAIMING_BY_LOG):
            return False
        if request.epoch <= self._epoch:
            return False
        if self._is_vacant or self._owner == request.candidate:
            return True
        return now >= self._silent_until

    def _claim(
        self, live: Sequence[MemberId], log_fresh: bool, now: Instant
    ) -> list[OwnershipEffect]:
        self._claim_until = Instant(now + CLAIM_TIMEOUT_S)
        if log_fresh and now >= self._avoid_log_until:
            self._role = Role.CLAIMING_BY_LOG
            return [AppendClaim(self._epoch)]
        epoch = next_term(self._epoch, self._member_index, self._incarnation)
        if epoch is None:
            return self._give_up_claim(now)
        self._claimed_epoch = epoch
        if not live:
            return self._take(epoch, by_log=False)
        self._role = Role.CLAIMING_BY_PEERS
        self._claim_awaits = set(live)
        return self._ask_members(now)

    def _continue_claim(
        self, live: Sequence[MemberId], now: Instant
    ) -> list[OwnershipEffect]:
        if now >= self._claim_until:
            if self._role is Role.CLAIMING_BY_LOG:
                self._avoid_log_until = Instant(now + LOG_DISTRUST_S)
            return self._give_up_claim(now)
        if self._role is Role.CLAIMING_BY_LOG:
            return []
        self._claim_awaits &= set(live)
        if not self._claim_awaits:
            return self._take(self._claimed_epoch, by_log=False)
        return self._ask_members(now) if now >= self._ask_again_at else []

    def _ask_members(self, now: Instant) -> list[OwnershipEffect]:
        self._ask_again_at = Instant(now + self._timing.heartbeat_s)
        request = ClaimRequest(self._me, self._incarnation, self._claimed_epoch)
        return [AskMembers(tuple(sorted(self._claim_awaits)), request)]

    def _take(self, epoch: Epoch, *, by_log: bool) -> list[OwnershipEffect]:
        taken = OwnershipTaken(
            epoch=epoch,
            previous_epoch=self._epoch,
            previous_owner=self._owner,
            is_first=by_log and self._epoch == NO_EPOCH,
        )
        self._role = Role.OWNER
        self._epoch = epoch
        self._owner = self._me
        self._claim_awaits.clear()
        return [taken]

    def _follow(
        self, owner: MemberId | None, epoch: Epoch, now: Instant
    ) -> list[OwnershipEffect]:
        effects: list[OwnershipEffect] = []
        if self.is_owner:
            effects.append(OwnershipLost(self._epoch))
        self._role = Role.FOLLOWER
        self._epoch = epoch
        # Only taking it makes this member owner, whatever others remember of it.
        self._owner = None if owner == self._me else owner
        # The owner of the epoch was this member, which is certainly none.
        self._is_vacant = owner == self._me
        self._gave_up = None
        self._claim_awaits.clear()
        self._silent_until = self._lease_end(now)
        effects.append(OwnerSeen(self._owner, epoch))
        return effects

    def _give_up_claim(self, now: Instant) -> list[OwnershipEffect]:
        self._role = Role.FOLLOWER
        self._claim_awaits.clear()
        self._silent_until = Instant(now + self._timing.heartbeat_s)
        return []

    def _is_claiming(self) -> bool:
        return self._role in (Role.CLAIMING_BY_LOG, Role.CLAIMING_BY_PEERS)

    def _names_unknown_owner(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.epoch == self._epoch > NO_EPOCH
            and self._owner is None
            and heartbeat.owner == heartbeat.member_id
        )

    def _owner_gave_up(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.member_id == self._owner
            and heartbeat.epoch == self._epoch
            and heartbeat.owner != heartbeat.member_id
        )

    def _lease_end(self, now: Instant) -> Instant:
        return Instant(now + self._timing.owner_lease_s + self._timing.clock_margin_s)
