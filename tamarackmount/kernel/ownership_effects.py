"""Effects that the choice of an owner has on its node."""

from dataclasses import dataclass

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.kernel.messages import ClaimReply, ClaimRequest


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Effect: append a claim that supersedes ``expected`` to the log."""

    expected: Epoch


@dataclass(frozen=True, slots=True)
class SendClaimRequest:
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

    ``is_first`` tells that the data centre never had an owner; ``previous_owner`` is
    ``None`` when it is unknown or resigned.
    """

    epoch: Epoch
    previous_epoch: Epoch
    previous_owner: MemberId | None
    is_first: bool


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Effect: this member is no longer the owner."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Effect: the owner is another member, or unknown if ``None``."""

    owner: MemberId | None
    epoch: Epoch


OwnershipEffect = (
    AppendClaim
    | SendClaimRequest
    | ReplyClaim
    | OwnershipTaken
    | OwnershipLost
    | OwnerSeen
)
