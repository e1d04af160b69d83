"""Forwarded requests that reached this member, for the end of its planned stop."""

from tamarackmount.ids import Instant, MemberId

FLUSH_S = 0.2
"""Time between the last message of a planned stop and the close of the links, in
seconds: the reactor writes sent bytes in a later turn, and drops them when it stops."""


EXPIRY_INTERVAL_S = 1.0
"""Minimum time between two passes over the requests, in seconds: a member ticks 40
times a second and may have thousands of them."""


class TakenForwards:
    """The call ids of forwarded requests by the member that forwarded them.

    An id is kept until the deadline of its request: its sender has reported an outcome
    by then.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._deadline_by_call: dict[tuple[MemberId, int], Instant] = {}
        self._next_expiry_at = Instant(0.0)

    def add(self, sender: MemberId, call_id: int, deadline: Instant) -> None:
        """Record a request that was taken."""
        self._deadline_by_call[sender, call_id] = deadline

    def expire(self, now: Instant) -> None:
        """Remove the requests whose deadlines have passed, once a second at most."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = Instant(now + EXPIRY_INTERVAL_S)
        self._deadline_by_call = {
            call: deadline
            for call, deadline in self._deadline_by_call.items()
            if deadline > now
        }

    def call_ids_by_peer(self) -> dict[MemberId, list[int]]:
        """Return the ids of the requests that are not expired."""
        ids_by_peer: dict[MemberId, list[int]] = {}
        for sender, call_id in self._deadline_by_call:
            ids_by_peer.setdefault(sender, []).append(call_id)
        return ids_by_peer
