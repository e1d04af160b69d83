"""Who owns a data centre: claims by the log's order, or by its members without it.

Every data centre has at most one owner at a time. An epoch names a term of
ownership; its upper bits are the log offset of the claim that began it, its lower
bits count the changes of owner made since without the log and tell who claimed. A
higher epoch supersedes a lower one, and workers refuse commands of a lower epoch.

A member claims when the owner was silent for the whole lease while the member
itself ran without a pause, and only the first of the live members by name does.
With the log at hand the claim is a record, accepted when it names the epoch that
precedes it in the log's order. Without the log every other live member of the data
centre has to agree. An owner that finds it was paused, or sees a higher epoch, is
owner no more.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Epoch, Incarnation, Instant, MemberId, Offset
from tamarackmount.kernel.messages import ClaimReply, ClaimRequest, Heartbeat
from tamarackmount.kernel.timing import Timing

TERM_BITS = 16
"""Bits of an epoch below the log offset."""

MEMBER_BITS = 6
"""Lowest bits of an epoch, which tell the claims of two members apart."""

NO_EPOCH = Epoch(0)
"""The epoch before any owner."""

CLAIM_TIMEOUT_S = 2.0
"""How long a claim may take before it is given up, in seconds."""


class Role(Enum):
    """What a member is in its data centre."""

    FOLLOWER = "follower"
    CLAIMING_BY_LOG = "claiming_by_log"
    CLAIMING_BY_PEERS = "claiming_by_peers"
    OWNER = "owner"


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Effect: append a claim that supersedes ``expected`` to the log."""

    expected: Epoch


@dataclass(frozen=True, slots=True)
class AskMembers:
    """Effect: send a claim to each of the members."""

    members: tuple[MemberId, ...]
    request: ClaimRequest


@dataclass(frozen=True, slots=True)
class ReplyClaim:
    """Effect: answer another member's claim."""

    to: MemberId
    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class OwnershipTaken:
    """Effect: this member is owner from now on.

    ``previous_epoch`` is ``NO_EPOCH`` when the data centre never had an owner;
    ``previous_owner`` is ``None`` when it is not known or gave up itself.
    """

    epoch: Epoch
    previous_epoch: Epoch
    previous_owner: MemberId | None


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Effect: this member is not the owner any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Effect: the owner is another member, or ``None`` while nobody knows."""

    owner: MemberId | None
    epoch: Epoch


OwnershipEffect = (
    AppendClaim | AskMembers | ReplyClaim | OwnershipTaken | OwnershipLost | OwnerSeen
)


def epoch_of_offset(offset: Offset) -> Epoch:
    """Return the epoch that a claim at this log offset begins."""
    return Epoch(offset << TERM_BITS)


def next_term(epoch: Epoch, member_index: int) -> Epoch:
    """Return the epoch after ``epoch`` that a member claims without the log."""
    term = (epoch >> MEMBER_BITS) + 1
    return Epoch(term << MEMBER_BITS | member_index)


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

    def heard(self, heartbeat: Heartbeat, now: Instant) -> list[OwnershipEffect]:
        """Take in the heartbeat of a member of the same data centre."""
        effects: list[OwnershipEffect] = []
        if heartbeat.epoch > self._epoch:
            owner = heartbeat.owner or None
            effects += self._follow(owner, heartbeat.epoch, now)
        if heartbeat.member_id == self._owner and heartbeat.owner == self._owner:
            self._silent_until = self._lease_end(now)
        if self._owner_gave_up(heartbeat):
            effects += self._follow(None, self._epoch, now)
            # The owner said itself that it stopped, so nothing has to lapse.
            self._silent_until = now
        return effects

    def claim_logged(
        self, epoch: Epoch, member_id: MemberId, now: Instant
    ) -> list[OwnershipEffect]:
        """Take in a claim that the log's order accepted for ``epoch``."""
        if epoch <= self._epoch:
            return []
        if member_id == self._me and self._role is Role.CLAIMING_BY_LOG:
            return self._take(epoch)
        # A claim of an earlier run of this member, or one given up since.
        owner = None if member_id == self._me else member_id
        return self._follow(owner, epoch, now)

    def claim_requested(
        self, request: ClaimRequest, now: Instant
    ) -> list[OwnershipEffect]:
        """Answer a claim made without the log."""
        silent = now >= self._silent_until or self._owner == request.candidate
        accepted = request.epoch > self._epoch and silent and not self.is_owner
        effects: list[OwnershipEffect] = []
        if accepted:
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
        return self._take(self._claimed_epoch)

    def superseded(self, epoch: Epoch, now: Instant) -> list[OwnershipEffect]:
        """Take in a higher epoch seen elsewhere, such as at a worker."""
        if epoch <= self._epoch:
            return []
        return self._follow(None, epoch, now)

    def resign(self, now: Instant) -> list[OwnershipEffect]:
        """Give ownership up, before a planned stop."""
        if not self.is_owner:
            return []
        return self._follow(None, self._epoch, now)

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
        paused = now - self._last_tick > self._timing.pause_limit_s
        self._last_tick = now
        if paused:
            return self._resume(now)
        if self._is_claiming():
            return self._give_up_claim(now) if now >= self._claim_until else []
        if self.is_owner or now < self._silent_until or not may_own:
            return []
        if staying and min(staying) < self._me:
            return []
        return self._claim(live, log_fresh, now)

    def _claim(
        self, live: Sequence[MemberId], log_fresh: bool, now: Instant
    ) -> list[OwnershipEffect]:
        self._claim_until = Instant(now + CLAIM_TIMEOUT_S)
        if log_fresh:
            self._role = Role.CLAIMING_BY_LOG
            return [AppendClaim(self._epoch)]
        self._claimed_epoch = next_term(self._epoch, self._member_index)
        if not live:
            return self._take(self._claimed_epoch)
        self._role = Role.CLAIMING_BY_PEERS
        self._claim_awaits = set(live)
        request = ClaimRequest(self._me, self._incarnation, self._claimed_epoch)
        return [AskMembers(tuple(live), request)]

    def _take(self, epoch: Epoch) -> list[OwnershipEffect]:
        taken = OwnershipTaken(epoch, self._epoch, self._owner)
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
        self._owner = owner
        self._claim_awaits.clear()
        self._silent_until = self._lease_end(now)
        effects.append(OwnerSeen(owner, epoch))
        return effects

    def _resume(self, now: Instant) -> list[OwnershipEffect]:
        if self.is_owner:
            return self._follow(None, self._epoch, now)
        self._role = Role.FOLLOWER
        self._silent_until = self._lease_end(now)
        return []

    def _give_up_claim(self, now: Instant) -> list[OwnershipEffect]:
        self._role = Role.FOLLOWER
        self._claim_awaits.clear()
        self._silent_until = Instant(now + self._timing.heartbeat_s)
        return []

    def _is_claiming(self) -> bool:
        return self._role in (Role.CLAIMING_BY_LOG, Role.CLAIMING_BY_PEERS)

    def _owner_gave_up(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.member_id == self._owner
            and heartbeat.epoch == self._epoch
            and heartbeat.owner != heartbeat.member_id
        )

    def _lease_end(self, now: Instant) -> Instant:
        return Instant(now + self._timing.owner_lease_s + self._timing.clock_margin_s)
