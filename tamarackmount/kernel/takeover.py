"""Requests of a new owner for its members' tickets and attempts at upstreams."""

from collections.abc import Iterable

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId
from tamarackmount.kernel.messages import HoldingsRequest
from tamarackmount.kernel.request_effects import RequestTiming, SendToMember, after_ms


class Takeover:
    """Tracks the members that have yet to report what they hold.

    The owner waits for the members of the first call of :meth:`members_joined`.
    Members that join later are asked too, but the owner doesn't wait for them: what
    they may hold from earlier epochs is quarantined.
    """

    def __init__(self, epoch: Epoch, timing: RequestTiming, is_done: bool) -> None:
        """Start; ``is_done`` when there is no former owner to take over from."""
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
        """Whether every awaited member has reported or was lost."""
        return self._has_begun and not self._awaited

    def members_joined(
        self, member_ids: Iterable[MemberId], now: Instant
    ) -> list[SendToMember]:
        """Ask members that became live."""
        joined = sorted(member_ids)
        self._unanswered.update(joined)
        if not self._has_begun:
            self._has_begun = True
            self._awaited = set(joined)
        return self._send_requests(joined, now)

    def member_lost(self, member_id: MemberId) -> None:
        """Stop waiting for a lost member and discard its report.

        A later run of the member has not reported.
        """
        self._awaited.discard(member_id)
        self._unanswered.discard(member_id)
        self._reported.discard(member_id)
        self._held_by_member.pop(member_id, None)

    def report_received(self, member_id: MemberId) -> bool:
        """Record a member's report; return whether it was awaited."""
        was_awaited = member_id in self._awaited
        self._awaited.discard(member_id)
        self._unanswered.discard(member_id)
        if was_awaited:
            self._reported.add(member_id)
        return was_awaited

    def ticket_reported(self, member_id: MemberId, ticket_id: TicketId) -> None:
        """Record a ticket whose slot a member reports to hold."""
        self._held_by_member.setdefault(member_id, set()).add(ticket_id)

    def ticket_released(self, member_id: MemberId, ticket_id: TicketId) -> None:
        """Record that a member released the slot of a ticket."""
        self._held_by_member.get(member_id, set()).discard(ticket_id)

    def has_reported(self, member_id: MemberId) -> bool:
        """Return whether the member was awaited and has reported."""
        return member_id in self._reported

    def reported_without(self, member_id: MemberId, ticket_id: TicketId) -> bool:
        """Return whether an awaited member reported and doesn't hold this ticket."""
        held = self._held_by_member.get(member_id, set())
        return self.has_reported(member_id) and ticket_id not in held

    def tick(self, now: Instant) -> list[SendToMember]:
        """Ask again the members that have not answered."""
        if self._resend_at is None or now < self._resend_at:
            return []
        return self._send_requests(sorted(self._unanswered), now)

    def _send_requests(
        self, member_ids: list[MemberId], now: Instant
    ) -> list[SendToMember]:
        self._resend_at = after_ms(now, self._timing.resend_ms)
        return [SendToMember(member_id, self._message) for member_id in member_ids]
