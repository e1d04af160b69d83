"""Messages under way between the members of a fleet under test."""

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
    """Who owns the data centre under which epoch."""

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
"""Messages that bring the memory of attempts to a second member."""


@dataclass(frozen=True, slots=True)
class Envelope:
    source: MemberId
    target: MemberId
    message: Message
