"""Callers' requests that members of other data centres serve for this one."""

from dataclasses import dataclass

from tamarackmount.ids import (
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TeamId,
)
from tamarackmount.kernel.membership import Membership, MemberState


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose caller was recognised; ``forwarded`` came from a peer."""

    call_id: int
    request_id: RequestId
    team_id: TeamId
    queue: QueueName
    idempotent: bool
    deadline: Instant
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class Forward:
    """A request in the hands of one run of another member."""

    request: CallerRequest
    to: MemberId
    incarnation: Incarnation | None


class Forwards:
    """Requests handed over and not answered yet, by call."""

    def __init__(self, membership: Membership) -> None:
        """Start without requests."""
        self._membership = membership
        self._forwards_by_call: dict[int, Forward] = {}

    def __len__(self) -> int:
        """Return the number of requests handed over."""
        return len(self._forwards_by_call)

    def begin(self, request: CallerRequest, to: MemberId) -> None:
        """Note that a request is handed to a member."""
        forward = Forward(request, to, self._run_of(to))
        self._forwards_by_call[request.call_id] = forward

    def end(self, call_id: int) -> Forward | None:
        """Forget a request; return it if it was still handed over."""
        return self._forwards_by_call.pop(call_id, None)

    def take_late(self, now: Instant) -> list[Forward]:
        """Remove and return the requests whose deadlines are over."""
        late = [
            forward
            for forward in self._forwards_by_call.values()
            if now >= forward.request.deadline
        ]
        return self._remove(late)

    def take_lost(self, now: Instant) -> list[Forward]:
        """Remove and return the requests of members that are lost or began anew."""
        lost = [
            forward
            for forward in self._forwards_by_call.values()
            if self._is_lost(forward, now)
        ]
        return self._remove(lost)

    def _is_lost(self, forward: Forward, now: Instant) -> bool:
        if self._membership.state(forward.to, now) is MemberState.LOST:
            return True
        return self._run_of(forward.to) != forward.incarnation

    def _run_of(self, member_id: MemberId) -> Incarnation | None:
        heartbeat = self._membership.heartbeat_of(member_id)
        return None if heartbeat is None else heartbeat.incarnation

    def _remove(self, forwards: list[Forward]) -> list[Forward]:
        for forward in forwards:
            del self._forwards_by_call[forward.request.call_id]
        return forwards
