"""Whether start orders wait until their runs are stored.

While the store is fast, orders wait: the next holder then knows every run that may
exist. While it is slow, they are sent at once, and the next holder has to wait for the
report or lease expiry of each worker of a service before it starts tasks of that
service's older jobs, unless they allow copies. A completeness record in the store tells
it which of the two applies; no order is sent ahead of the store before a record that
says "incomplete" is stored.

Load pattern: a store that answers in 0.3 to 0.6 s, while urgent jobs have 0.5 s to
spare.
"""

from dataclasses import dataclass

from tamarackmount.ids import Instant

SLOW_APPEND_S = 0.1
"""Duration above which an append is slow, in seconds: orders would wait too long for
it. A fast store answers in 10 ms."""

STALLED_APPEND_S = 0.6
"""Time after which an unanswered append counts as stalled, in seconds; a slow store
answers in 0.3 to 0.6 s."""

FAST_STORE_PERIOD_S = 2.0
"""Time without a slow append before orders wait for the store again, in seconds: each
change writes a completeness record."""


@dataclass(slots=True)
class WriteAhead:
    """Speed of the store, and its newest completeness record.

    ``runs_are_complete`` is what that record says: whether the store holds every run
    that may exist. ``is_enabled`` is whether start orders wait for the store now.
    """

    runs_are_complete: bool = True
    is_enabled: bool = True
    _last_slow_at: Instant = Instant(float("-inf"))
    _append_sent_at: Instant | None = None

    def append_sent(self, now: Instant) -> None:
        """Note that an append is sent."""
        self._append_sent_at = now

    def append_stored(self, now: Instant) -> None:
        """Note that the append in flight is stored."""
        self._note_append_time(now)
        self._append_sent_at = None

    def is_stalled(self, now: Instant) -> bool:
        """Tell whether orders wait for a store that does not answer.

        Tasks placed now would reserve capacity while their tickets expire.
        """
        append_sent_at = self._append_sent_at
        return (
            self.is_enabled
            and append_sent_at is not None
            and now > append_sent_at + STALLED_APPEND_S
        )

    def should_enable(self, now: Instant) -> bool:
        """Tell whether start orders should wait for the store."""
        self._note_append_time(now)
        return now > self._last_slow_at + FAST_STORE_PERIOD_S

    def _note_append_time(self, now: Instant) -> None:
        if (
            self._append_sent_at is not None
            and now > self._append_sent_at + SLOW_APPEND_S
        ):
            self._last_slow_at = now
