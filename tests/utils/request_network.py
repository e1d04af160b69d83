"""Messages in transit between the members of a simulated fleet."""

from dataclasses import dataclass

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.kernel.messages import (
    AttemptCopied,
    AttemptCopy,
    HoldingsReport,
    HoldingsRequest,
    LoanCopied,
    LoanCopy,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)


@dataclass(frozen=True, slots=True)
class OwnerAnnouncement:
    """Announcement of the owner of an epoch; stands in for heartbeats."""

    epoch: Epoch
    owner: MemberId


Message = (
    TicketRequest
    | TicketGrant
    | TicketRefusal
    | TicketRelease
    | TicketWithdrawal
    | LoanCopy
    | LoanCopied
    | AttemptCopy
    | AttemptCopied
    | HoldingsRequest
    | HoldingsReport
    | OwnerAnnouncement
)

REPLICATION_MESSAGES = (
    AttemptCopy,
    AttemptCopied,
    HoldingsRequest,
    HoldingsReport,
    OwnerAnnouncement,
)
"""Messages that replicate recorded attempts to a second member."""


@dataclass(frozen=True, slots=True)
class Envelope:
    source: MemberId
    target: MemberId
    message: Message
