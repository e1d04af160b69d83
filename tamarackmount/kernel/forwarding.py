"""Requests of this member's callers that are forwarded to other data centres."""

from collections.abc import Collection
from dataclasses import dataclass

from tamarackmount.ids import (
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    WorkspaceId,
)
from tamarackmount.kernel.membership import Membership, MemberState


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of an authenticated caller.

    ``forwarded`` tells whether a member of another data centre sent it.
    """

    call_id: int
    request_id: RequestId
    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    deadline: Instant
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class Forward:
    """A request that was forwarded to one run of another member.

    ``tried`` are the members that it was forwarded to, ``to`` among them. All others
    certainly did not take it.
    """

    request: CallerRequest
    to: MemberId
    incarnation: Incarnation | None
    tried: frozenset[MemberId] = frozenset()


class ForwardTable:
    """Forwarded requests that have no answer yet, by call id."""

    def __init__(self, membership: Membership) -> None:
        """Start without requests."""
        self._membership = membership
        self._forwards_by_call: dict[int, Forward] = {}

    def __len__(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._forwards_by_call)

    def begin(
        self,
        request: CallerRequest,
        to: MemberId,
        refused_by: frozenset[MemberId] = frozenset(),
    ) -> None:
        """Add a request that is being forwarded to a member.

        The members ``refused_by`` certainly did not take it.
        """
        forward = Forward(request, to, self._incarnation_of(to), refused_by | {to})
        self._forwards_by_call[request.call_id] = forward

    def end(self, call_id: int) -> Forward | None:
        """Remove and return a request; return ``None`` if it is not there."""
        return self._forwards_by_call.pop(call_id, None)

    def end_at(self, call_id: int, member_id: MemberId) -> Forward | None:
        """Remove and return a request if it is now at ``member_id``.

        An answer from a member that the request is no longer at is out of date.
        """
        forward = self._forwards_by_call.get(call_id)
        if forward is None or forward.to != member_id:
            return None
        return self.end(call_id)

    def pop_untaken(
        self, member_id: MemberId, incarnation: Incarnation, taken: Collection[int]
    ) -> list[Forward]:
        """Remove and return the requests that a run of a member did not take."""
        untaken = [
            forward
            for call_id, forward in self._forwards_by_call.items()
            if forward.to == member_id
            and forward.incarnation == incarnation
            and call_id not in taken
        ]
        return self._remove(untaken)

    def pop_expired(self, now: Instant) -> list[Forward]:
        """Remove and return the requests whose deadlines have passed."""
        expired = [
            forward
            for forward in self._forwards_by_call.values()
            if now >= forward.request.deadline
        ]
        return self._remove(expired)

    def pop_lost(self, now: Instant) -> list[Forward]:
        """Remove and return the requests of members that are lost or have restarted."""
        lost = [
            forward
            for forward in self._forwards_by_call.values()
            if self._is_lost(forward, now)
        ]
        return self._remove(lost)

    def _is_lost(self, forward: Forward, now: Instant) -> bool:
        if self._membership.state(forward.to, now) is MemberState.LOST:
            return True
        return self._incarnation_of(forward.to) != forward.incarnation

    def _incarnation_of(self, member_id: MemberId) -> Incarnation | None:
        heartbeat = self._membership.heartbeat_of(member_id)
        return None if heartbeat is None else heartbeat.incarnation

    def _remove(self, forwards: list[Forward]) -> list[Forward]:
        for forward in forwards:
            del self._forwards_by_call[forward.request.call_id]
        return forwards
