"""Whether orders wait until the store holds their runs.

A run that the store holds is known to the next holder. Without that, the next holder
has to hear every worker, or to wait for its lease, before it starts what was accepted
before.

Load pattern: a store that answers in 0.3 to 0.6 s, while urgent jobs have 0.5 s to
spare. Orders go out at once then, but only after the store holds a mark that says so.
"""

from dataclasses import dataclass

from tamarackmount.ids import Instant

SLOW_S = 0.1
"""An append that takes longer makes orders wait too long, in seconds; a store that is
well answers in 10 ms."""

STALLED_S = 0.6
"""An append without an answer for this long stands still, in seconds; a slow store
answers in 0.3 to 0.6 s."""

QUICK_FOR_S = 2.0
"""The store has to be quick for this long before orders wait for it again, in seconds:
each change costs a mark."""


@dataclass(slots=True)
class WriteAhead:
    """How quick the store is, and which mark it holds.

    ``stored_as_complete`` is what the store's newest mark says: that it holds every run
    that may exist. ``is_enabled`` is whether orders wait now.
    """

    stored_as_complete: bool = True
    is_enabled: bool = True
    _slow_at: Instant = Instant(float("-inf"))
    _asked_at: Instant | None = None

    def append_sent(self, now: Instant) -> None:
        """Take that an append goes out."""
        self._asked_at = now

    def append_stored(self, now: Instant) -> None:
        """Take that it was stored."""
        self._note(now)
        self._asked_at = None

    def is_stalled(self, now: Instant) -> bool:
        """Tell whether orders wait for a store that takes nothing.

        Placed tasks would keep their room and let their permissions end.
        """
        asked_at = self._asked_at
        return self.is_enabled and asked_at is not None and now > asked_at + STALLED_S

    def should_enable(self, now: Instant) -> bool:
        """Tell whether orders should wait for the store."""
        self._note(now)
        return now > self._slow_at + QUICK_FOR_S

    def _note(self, now: Instant) -> None:
        if self._asked_at is not None and now > self._asked_at + SLOW_S:
            self._slow_at = now
