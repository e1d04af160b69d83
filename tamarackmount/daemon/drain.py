"""The phases of a planned stop, without I/O."""

from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant

LINGER_S = 0.5
"""How long a planned stop waits after the last call has ended, in seconds.

In that time the last response is sent, and requests that a peer sent before it
learned of the stop still arrive.
"""


class DrainPhase(Enum):
    """Phases of a planned stop."""

    NOTICE = "notice"
    REFUSING = "refusing"
    FINISHED = "over"


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Time limits of a planned stop.

    ``notice_s`` is the time that the load balancer has to notice the stop, ``total_s``
    the limit of the whole stop.
    """

    notice_s: float
    total_s: float


class Drain:
    """A planned stop in progress.

    During ``NOTICE`` new requests are still served, since the load balancer may still
    send some. During ``REFUSING`` they are refused. The stop is ``FINISHED`` once no
    call was in flight for ``LINGER_S``, or at its deadline.
    """

    def __init__(self, times: DrainTimes, now: Instant) -> None:
        """Start the stop at ``now``."""
        self._refuse_at = Instant(now + times.notice_s)
        self._stop_at = Instant(now + times.total_s)
        self._linger_until: Instant | None = None

    def advance(self, in_flight: int, now: Instant) -> DrainPhase:
        """Return the phase at ``now``, with ``in_flight`` calls in progress."""
        if now < self._refuse_at:
            return DrainPhase.NOTICE
        if now >= self._stop_at:
            return DrainPhase.FINISHED
        if in_flight:
            self._linger_until = None
            return DrainPhase.REFUSING
        if self._linger_until is None:
            self._linger_until = Instant(now + LINGER_S)
        return DrainPhase.REFUSING if now < self._linger_until else DrainPhase.FINISHED
