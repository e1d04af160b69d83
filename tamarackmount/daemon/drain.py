"""The steps of a planned stop, without I/O."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant

LINGER_S = 0.5
"""How long a planned stop waits after the last answer, in seconds.

The answer's bytes leave in that time, and what a peer sent before it knew of the
stop still arrives.
"""


class DrainStep(Enum):
    """How far a planned stop is."""

    NOTICE = "notice"
    REFUSING = "refusing"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """How long callers' balancer has to notice, and the whole stop may take."""

    notice_s: float
    whole_s: float


class Drain:
    """A planned stop under way: notice, then refusing, then over.

    During the notice new requests are still served, since the balancer may send
    some. After it they are refused, and the stop is over once nothing was under way
    for a while, or at its deadline.
    """

    def __init__(self, times: DrainTimes, now: Instant) -> None:
        """Begin at ``now``."""
        self._refuse_at = Instant(now + times.notice_s)
        self._stop_at = Instant(now + times.whole_s)
        self._linger_until: Instant | None = None

    def step(self, under_way: int, now: Instant) -> DrainStep:
        """Return how far the stop is, with so many calls under way."""
        if now < self._refuse_at:
            return DrainStep.NOTICE
        if now >= self._stop_at:
            return DrainStep.OVER
        if under_way:
            self._linger_until = None
            return DrainStep.REFUSING
        if self._linger_until is None:
            self._linger_until = Instant(now + LINGER_S)
        return DrainStep.REFUSING if now < self._linger_until else DrainStep.OVER
