"""Questions of a new owner to the members of its data centre."""

from collections.abc import Iterable, Sequence

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.messages import HeldTicket, HoldingsRequest
from tamarackmount.kernel.request_effects import RequestTiming, SendToMember, after_ms
from tamarackmount.kernel.slots import Loan


class Takeover:
    """Which members have still to report what they hold.

    The members that are live at the first call of :meth:`begin` are waited for.
    Members that join later are asked too, but nothing waits for them: what they
    may hold from earlier epochs is quarantined.
    """

    def __init__(self, epoch: Epoch, timing: RequestTiming, is_done: bool) -> None:
        """Start; ``is_done`` when there is no earlier owner to take over from."""
        self._message = HoldingsRequest(epoch)
        self._timing = timing
        self._has_begun = is_done
        self._awaited: set[MemberId] = set()
        self._unanswered: set[MemberId] = set()
        self._reported: set[MemberId] = set()
        self._handed_over: list[HeldTicket] | None = None
        self._resend_at: Instant | None = None

    @property
    def is_done(self) -> bool:
        """Whether every awaited member has reported or is lost."""
        return self._has_begun and not self._awaited

    def members_joined(
        self, member_ids: Iterable[MemberId], now: Instant
    ) -> list[SendToMember]:
        """Ask members that are live from now on."""
        asked = sorted(member_ids)
        self._unanswered.update(asked)
        if not self._has_begun:
            self._has_begun = True
            self._awaited = set(asked)
        return self._ask(asked, now)

    def member_lost(self, member_id: MemberId) -> None:
        """Wait no longer for a member."""
        self._awaited.discard(member_id)
        self._unanswered.discard(member_id)

    def reported(self, member_id: MemberId) -> bool:
        """Note a report; tell whether it was awaited."""
        was_awaited = member_id in self._awaited
        if was_awaited:
            self._reported.add(member_id)
        self.member_lost(member_id)
        return was_awaited

    def has_reported(self, member_id: MemberId) -> bool:
        """Tell whether the member was waited for and told what it holds."""
        return member_id in self._reported

    def is_not_held(self, loan: Loan, member_id: MemberId) -> bool:
        """Tell whether a loan is over, given that the member asks for its ticket.

        That is so when the member reported what it holds and left the ticket out,
        as it uses no grant of an earlier owner after that.
        """
        return loan.member_id is None and self.has_reported(member_id)

    def hand_over(self, tickets: Sequence[HeldTicket]) -> None:
        """Keep the loans of the retired owner until every member has reported."""
        self._handed_over = list(tickets)

    def pop_handed_over(self) -> list[HeldTicket] | None:
        """Return the loans of the retired owner once; ``None`` if there are none."""
        if not self.is_done:
            return None
        handed_over = self._handed_over
        self._handed_over = None
        return handed_over

    def tick(self, now: Instant) -> list[SendToMember]:
        """Ask again those that have not answered."""
        if self._resend_at is None or now < self._resend_at:
            return []
        return self._ask(sorted(self._unanswered), now)

    def _ask(self, member_ids: list[MemberId], now: Instant) -> list[SendToMember]:
        self._resend_at = after_ms(now, self._timing.resend_ms)
        return [SendToMember(member_id, self._message) for member_id in member_ids]
