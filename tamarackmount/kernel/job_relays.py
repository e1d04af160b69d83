"""Calls about jobs on their way to the owner that answers them."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.messages import JobAction, JobAnswer, JobCall

CALL_TIMEOUT_S = 5.0
"""How long a call waits for its answer, in seconds."""

_CHANGING_ACTIONS = frozenset({JobAction.SUBMIT, JobAction.CANCEL})


@dataclass(frozen=True, slots=True)
class Relay:
    """A call that ``to`` has to answer; the answer goes back to ``origin``."""

    origin: MemberId
    to: MemberId
    call_id: int
    deadline: Instant
    changes: bool


class JobRelays:
    """The calls of one member that have no answer yet.

    Calls go on under numbers of this run of the member, so that an answer to an
    earlier run never reaches a caller of this one.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        """Start without calls; ``numbers`` are unique to this run."""
        self._numbers = numbers
        self._relays_by_number: dict[int, Relay] = {}

    def open(
        self, origin: MemberId, to: MemberId, call: JobCall, now: Instant
    ) -> JobCall:
        """Note a call and return it under the number that ``to`` answers to."""
        number = next(self._numbers)
        self._relays_by_number[number] = Relay(
            origin=origin,
            to=to,
            call_id=call.call_id,
            deadline=Instant(now + CALL_TIMEOUT_S),
            changes=call.action in _CHANGING_ACTIONS,
        )
        return replace(call, call_id=number)

    def close(self, sender: MemberId, answer: JobAnswer) -> Relay | None:
        """Return the call that an answer belongs to, if it still waits for one."""
        relay = self._relays_by_number.get(answer.call_id)
        if relay is None or relay.to != sender:
            return None
        return self._relays_by_number.pop(answer.call_id)

    def expire(self, now: Instant) -> list[Relay]:
        """Return the calls that waited long enough; they wait no more."""
        late = {
            number: relay
            for number, relay in self._relays_by_number.items()
            if now >= relay.deadline
        }
        for number in late:
            del self._relays_by_number[number]
        return list(late.values())
