"""Schedules the heartbeats that a member sends."""

from collections.abc import Iterable

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.effects import Effect, SendPeer
from tamarackmount.kernel.membership import Membership
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.timing import Timing


class HeartbeatSchedule:
    """Schedule of one member's heartbeats, within its data centre and to other ones.

    A heartbeat from another data centre is answered by one unless its sender gets
    regular ones, so that both ends of a link receive heartbeats.
    """

    def __init__(self, membership: Membership, timing: Timing, now: Instant) -> None:
        """Start with every heartbeat due."""
        self._membership = membership
        self._timing = timing
        self._next_local_at = now
        self._next_remote_at = now
        self._next_echo_at_by_peer: dict[MemberId, Instant] = {}

    def send_remote_now(self, now: Instant) -> None:
        """Make the heartbeats to other data centres due."""
        self._next_remote_at = now

    def due(self, now: Instant, *, is_leaving: bool = False) -> list[MemberId]:
        """Return the members to send a heartbeat to now, and schedule the next ones.

        A leaving member tells all members of other data centres, since each of them may
        forward requests to it. The first message to a peer without a connection is
        dropped, so that it repeats this.
        """
        targets: list[MemberId] = []
        if now >= self._next_local_at:
            self._next_local_at = Instant(now + self._timing.heartbeat_s)
            targets += self._membership.local_targets()
        if now >= self._next_remote_at:
            self._next_remote_at = Instant(now + self._timing.remote_heartbeat_s)
            targets += (
                self._membership.remote_peers()
                if is_leaving
                else self._membership.remote_targets(now)
            )
        return targets

    def is_echo_due(self, peer: MemberId, now: Instant) -> bool:
        """Return whether to answer a heartbeat from another data centre.

        If so, the next answer to that peer is due after half a period.
        """
        if peer in self._membership.remote_targets(now):
            return False
        if now < self._next_echo_at_by_peer.get(peer, now):
            return False
        period_s = self._timing.remote_heartbeat_s / 2
        self._next_echo_at_by_peer[peer] = Instant(now + period_s)
        return True


def send_to_all(targets: Iterable[MemberId], heartbeat: Heartbeat) -> list[Effect]:
    """Return the effects that send a heartbeat to every target."""
    return [SendPeer(target, heartbeat) for target in targets]
