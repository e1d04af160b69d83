"""When a member sends heartbeats, and to whom."""

from collections.abc import Iterable

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.effects import Effect, SendPeer
from tamarackmount.kernel.membership import Membership
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.timing import Timing


class HeartbeatSchedule:
    """The heartbeats of one member: to its data centre, and to the other ones.

    A heartbeat from another data centre is answered unless its sender gets regular
    ones, so that both sides of a link hear each other.
    """

    def __init__(self, membership: Membership, timing: Timing, now: Instant) -> None:
        """Start with every heartbeat due."""
        self._membership = membership
        self._timing = timing
        self._local_at = now
        self._remote_at = now
        self._echo_at_by_peer: dict[MemberId, Instant] = {}

    def due(self, now: Instant) -> list[MemberId]:
        """Return who gets a heartbeat now; those are not due again for a period."""
        targets: list[MemberId] = []
        if now >= self._local_at:
            self._local_at = Instant(now + self._timing.heartbeat_s)
            targets += self._membership.local_targets()
        if now >= self._remote_at:
            self._remote_at = Instant(now + self._timing.remote_heartbeat_s)
            targets += self._membership.remote_targets(now)
        return targets

    def is_echo_due(self, peer: MemberId, now: Instant) -> bool:
        """Tell whether a heartbeat from another data centre is answered by one."""
        if peer in self._membership.remote_targets(now):
            return False
        if now < self._echo_at_by_peer.get(peer, now):
            return False
        period_s = self._timing.remote_heartbeat_s / 2
        self._echo_at_by_peer[peer] = Instant(now + period_s)
        return True


def send_to_all(targets: Iterable[MemberId], heartbeat: Heartbeat) -> list[Effect]:
    """Return the effects that send a heartbeat to every target."""
    return [SendPeer(target, heartbeat) for target in targets]
