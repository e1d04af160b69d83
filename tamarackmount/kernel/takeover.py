"""Questions of a new owner to the members of its data centre."""

from collections.abc import Iterable

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId
from tamarackmount.kernel.messages import HoldingsRequest
from tamarackmount.kernel.request_effects import RequestTiming, SendToMember, after_ms


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
        self._held_by_member: dict[MemberId, set[TicketId]] = {}
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
        """Wait no longer for a member, whose later runs reported nothing."""
        self._awaited.discard(member_id)
        self._unanswered.discard(member_id)
        self._reported.discard(member_id)
        self._held_by_member.pop(member_id, None)

    def reported(self, member_id: MemberId) -> bool:
        """Note a report; tell whether it was awaited."""
        was_awaited = member_id in self._awaited
        self._awaited.discard(member_id)
        self._unanswered.discard(member_id)
        if was_awaited:
            self._reported.add(member_id)
        return was_awaited

    def holds(self, member_id: MemberId, ticket_id: TicketId) -> None:
        """Note a slot that a member itself reports."""
        self._held_by_member.setdefault(member_id, set()).add(ticket_id)

    def returned(self, member_id: MemberId, ticket_id: TicketId) -> None:
        """Note that a member gave a slot back."""
        self._held_by_member.get(member_id, set()).discard(ticket_id)

    def has_reported(self, member_id: MemberId) -> bool:
        """Tell whether the member was waited for and told what it holds."""
        return member_id in self._reported

    def reported_without(self, member_id: MemberId, ticket_id: TicketId) -> bool:
        """Tell whether a member was waited for and left a ticket out."""
        held = self._held_by_member.get(member_id, set())
        return self.has_reported(member_id) and ticket_id not in held

    def tick(self, now: Instant) -> list[SendToMember]:
        """Ask again those that have not answered."""
        if self._resend_at is None or now < self._resend_at:
            return []
        return self._ask(sorted(self._unanswered), now)

    def _ask(self, member_ids: list[MemberId], now: Instant) -> list[SendToMember]:
        self._resend_at = after_ms(now, self._timing.resend_ms)
        return [SendToMember(member_id, self._message) for member_id in member_ids]
