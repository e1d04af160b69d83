"""Tracks job calls that were relayed and have no answer yet."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.messages import JobAction, JobAnswer, JobCall

CALL_TIMEOUT_S = 5.0
"""How long a member waits for the answer to a call, in seconds."""

_MUTATING_ACTIONS = frozenset({JobAction.SUBMIT, JobAction.CANCEL})


@dataclass(frozen=True, slots=True)
class Relay:
    """A call that ``to`` must answer; the answer goes back to ``origin``."""

    origin: MemberId
    to: MemberId
    call_id: int
    deadline: Instant
    is_mutating: bool


class JobRelays:
    """The calls of one member that have no answer yet.

    A call is relayed under a number that is unique to this run of the member, so
    that an answer to an earlier run never reaches a caller of this one.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        """Start without calls; ``numbers`` are unique to this run."""
        self._numbers = numbers
        self._relays_by_number: dict[int, Relay] = {}

    def open(
        self, origin: MemberId, to: MemberId, call: JobCall, now: Instant
    ) -> JobCall:
        """Record a call and return it with the number that ``to`` must answer."""
        number = next(self._numbers)
        self._relays_by_number[number] = Relay(
            origin=origin,
            to=to,
            call_id=call.call_id,
            deadline=Instant(now + CALL_TIMEOUT_S),
            is_mutating=call.action in _MUTATING_ACTIONS,
        )
        return replace(call, call_id=number)

    def close(self, sender: MemberId, answer: JobAnswer) -> Relay | None:
        """Remove and return the open call that an answer belongs to, if any."""
        relay = self._relays_by_number.get(answer.call_id)
        if relay is None or relay.to != sender:
            return None
        return self._relays_by_number.pop(answer.call_id)

    def expire(self, now: Instant) -> list[Relay]:
        """Remove and return the calls whose deadline has passed."""
        expired = {
            number: relay
            for number, relay in self._relays_by_number.items()
            if now >= relay.deadline
        }
        for number in expired:
            del self._relays_by_number[number]
        return list(expired.values())
