"""Liveness of the other members, as seen by one member.

Members of a data centre send each other heartbeats, all to all. Between data
centres each member keeps a link to one member of every other data centre, chosen
by hash, so that the number of heartbeats a member sends grows with the size of
its data centre and the number of data centres, not with the size of the fleet.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import DataCentreId, Epoch, Incarnation, Instant, MemberId
from tamarackmount.kernel.messages import Heartbeat, MemberRun
from tamarackmount.kernel.timing import Timing
from tamarackmount.units import MS_PER_SECOND

NEVER = Instant(-math.inf)
"""An instant before all others."""


class MemberState(Enum):
    """State of a member in another member's view."""

    UNSEEN = "unseen"
    ALIVE = "alive"
    LEAVING = "leaving"
    LOST = "lost"


class HeartbeatResult(Enum):
    """Meaning of a heartbeat: ignored, from a known run, or from a new run."""

    IGNORED = "ignored"
    ALIVE = "alive"
    NEW_RUN = "new_run"


@dataclass(frozen=True, slots=True)
class Member:
    """A member that the settings name."""

    id: MemberId
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class ReportedOwner:
    """A data centre's owner as reported by its members; ``None`` if unknown to them."""

    owner: MemberId | None
    epoch: Epoch


@dataclass(slots=True)
class _Peer:
    """A peer and the times that decide its state.

    Until its first heartbeat, ``last_heartbeat_at`` and ``expires_at`` count from the
    start of this member.
    """

    member: Member
    last_heartbeat_at: Instant
    restarted_at: Instant
    expires_at: Instant
    heartbeat: Heartbeat | None = None


def rank_by_hash(seed: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in an order that depends on ``seed`` and the names alone."""
    return sorted(
        names, key=lambda name: hashlib.sha256(f"{seed}/{name}".encode()).digest()
    )


class Membership:
    """Tracks the members of the fleet and the last heartbeat of each."""

    def __init__(
        self,
        me: Member,
        incarnation: Incarnation,
        peers: Iterable[Member],
        timing: Timing,
        now: Instant,
    ) -> None:
        """Start with every peer unseen; ``now`` is when this member started."""
        self._me = me
        self._incarnation = incarnation
        self._timing = timing
        self._started_at = now
        self._peers_by_id = {
            peer.id: _Peer(peer, now, NEVER, Instant(now + self._timeout_s(peer)))
            for peer in peers
            if peer.id != me.id
        }
        self._ranked_by_data_centre: dict[DataCentreId, list[MemberId]] = {}

    def heartbeat_received(self, heartbeat: Heartbeat, now: Instant) -> HeartbeatResult:
        """Record a heartbeat, unless it is out of date or its sender is unknown.

        Heartbeats of earlier runs and those that arrive out of order are ignored. A
        peer that was lost counts as a new run, since it missed what was sent.
        """
        peer = self._peers_by_id.get(heartbeat.member_id)
        if peer is None:
            return HeartbeatResult.IGNORED
        last = peer.heartbeat
        if last is not None and _sequence_key(heartbeat) <= _sequence_key(last):
            return HeartbeatResult.IGNORED
        was_live = self._is_live(peer, now)
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now
        peer.expires_at = Instant(now + self._timeout_s(peer.member))
        is_new_run = last is None or last.incarnation != heartbeat.incarnation
        if last is not None and is_new_run:
            peer.restarted_at = now
        return (
            HeartbeatResult.NEW_RUN
            if is_new_run or not was_live
            else HeartbeatResult.ALIVE
        )

    def stop_announced(
        self, member_id: MemberId, incarnation: Incarnation, now: Instant
    ) -> None:
        """Treat a run of a peer as lost at once, since it announced its end."""
        peer = self._peers_by_id.get(member_id)
        if peer is None or peer.heartbeat is None:
            return
        if peer.heartbeat.incarnation == incarnation:
            peer.expires_at = min(peer.expires_at, now)

    def restart_timeouts(self, paused_at: Instant, now: Instant) -> None:
        """Restart the time-outs of peers after a pause of this member.

        Peers that were lost before ``paused_at`` stay lost.
        """
        for peer in self._peers_by_id.values():
            if peer.expires_at > paused_at:
                peer.expires_at = Instant(now + self._timeout_s(peer.member))

    def state(self, member_id: MemberId, now: Instant) -> MemberState:
        """Return the state of a peer; an unknown member is unseen."""
        peer = self._peers_by_id.get(member_id)
        if peer is None:
            return MemberState.UNSEEN
        if now >= peer.expires_at:
            return MemberState.LOST
        if peer.heartbeat is None:
            return MemberState.UNSEEN
        if peer.heartbeat.leaving:
            return MemberState.LEAVING
        return MemberState.ALIVE

    def live_peers(self, data_centre: DataCentreId, now: Instant) -> list[MemberId]:
        """Return the alive and leaving peers of a data centre, sorted by name."""
        return sorted(
            peer.member.id
            for peer in self._peers_by_id.values()
            if peer.member.data_centre == data_centre and self._is_live(peer, now)
        )

    def staying_peers(self, data_centre: DataCentreId, now: Instant) -> list[MemberId]:
        """Return the alive peers of a data centre that are not leaving, by name."""
        return [
            member_id
            for member_id in self.live_peers(data_centre, now)
            if self.state(member_id, now) is MemberState.ALIVE
        ]

    def heartbeat_of(self, member_id: MemberId) -> Heartbeat | None:
        """Return the last heartbeat of a peer, if any."""
        peer = self._peers_by_id.get(member_id)
        return peer.heartbeat if peer is not None else None

    def silence_s(self, member_id: MemberId, now: Instant) -> float:
        """Return the time since the last heartbeat of a peer, in seconds."""
        peer = self._peers_by_id.get(member_id)
        return math.inf if peer is None else now - peer.last_heartbeat_at

    def data_centre_of(self, member_id: MemberId) -> DataCentreId | None:
        """Return the data centre of a peer that the settings name."""
        peer = self._peers_by_id.get(member_id)
        return peer.member.data_centre if peer is not None else None

    def data_centres(self) -> list[DataCentreId]:
        """Return every data centre that the settings name, sorted."""
        names = {peer.member.data_centre for peer in self._peers_by_id.values()}
        return sorted(names | {self._me.data_centre})

    def local_targets(self) -> list[MemberId]:
        """Return the peers of this data centre, which get every heartbeat."""
        return sorted(
            peer.member.id
            for peer in self._peers_by_id.values()
            if peer.member.data_centre == self._me.data_centre
        )

    def remote_peers(self) -> list[MemberId]:
        """Return the peers of all other data centres, sorted by name."""
        return sorted(
            peer.member.id
            for peer in self._peers_by_id.values()
            if peer.member.data_centre != self._me.data_centre
        )

    def remote_targets(self, now: Instant) -> list[MemberId]:
        """Return the peers of other data centres that get heartbeats.

        That is one of each data centre; while it is leaving or lost, the others get one
        in rotation too, as a lost peer may send heartbeats only in answer to one.
        """
        targets = []
        for data_centre in self.data_centres():
            if data_centre == self._me.data_centre:
                continue
            target = self._remote_target(data_centre, now)
            targets.append(target)
            if self.state(target, now) in _LEAVING_OR_LOST:
                targets.append(self._next_in_rotation(data_centre, now, target))
        return list(dict.fromkeys(targets))

    def recently_lost(
        self, data_centre: DataCentreId, within_s: float, now: Instant
    ) -> frozenset[MemberId]:
        """Return lost peers that ran, or may have run, within the last ``within_s``.

        Peers never heard from count if this member itself started within that time.
        """
        since = now - within_s
        return frozenset(
            peer_id
            for peer_id, peer in self._peers_by_id.items()
            if peer.member.data_centre == data_centre
            and not self._is_live(peer, now)
            and peer.last_heartbeat_at > since
        )

    def recently_started_runs(
        self, data_centre: DataCentreId, within_s: float, now: Instant
    ) -> frozenset[MemberRun]:
        """Return runs that began within ``within_s`` and may follow earlier runs."""
        since = now - within_s
        runs = {
            MemberRun(peer_id, peer.heartbeat.incarnation)
            for peer_id, peer in self._peers_by_id.items()
            if peer.member.data_centre == data_centre
            and peer.heartbeat is not None
            and peer.restarted_at > since
        }
        if self._started_at > since:
            runs.add(MemberRun(self._me.id, self._incarnation))
        return frozenset(runs)

    def runs(self, live: Iterable[MemberId]) -> list[MemberRun]:
        """Return the runs of the ``live`` members, which may include this one."""
        runs = [MemberRun(self._me.id, self._incarnation)]
        for peer_id, peer in self._peers_by_id.items():
            if peer.heartbeat is not None:
                runs.append(MemberRun(peer_id, peer.heartbeat.incarnation))
        live_ids = frozenset(live)
        return [run for run in runs if run.member_id in live_ids]

    def contact(
        self,
        data_centre: DataCentreId,
        now: Instant,
        excluded: frozenset[MemberId] = frozenset(),
    ) -> MemberId | None:
        """Return the live peer of another data centre to send work to, if any.

        A leaving peer serves until it stops, so it is used if no other is alive.
        """
        ranked = self._ranked(data_centre)
        for wanted in (MemberState.ALIVE, MemberState.LEAVING):
            for member_id in ranked:
                if member_id in excluded:
                    continue
                if self.state(member_id, now) is wanted:
                    return member_id
        return None

    def min_log_age_s(self, now: Instant) -> float:
        """Return how recently a live peer read the end of the log, in seconds."""
        ages = [
            peer.heartbeat.log_age_ms / MS_PER_SECOND + now - peer.last_heartbeat_at
            for peer in self._peers_by_id.values()
            if peer.heartbeat is not None and self._is_live(peer, now)
        ]
        return min(ages, default=math.inf)

    def states_in(
        self, data_centre: DataCentreId, now: Instant
    ) -> dict[MemberId, MemberState]:
        """Return the state of every peer of a data centre."""
        return {
            peer_id: self.state(peer_id, now)
            for peer_id, peer in self._peers_by_id.items()
            if peer.member.data_centre == data_centre
        }

    def reported_owner(self, data_centre: DataCentreId, now: Instant) -> ReportedOwner:
        """Return the owner of a data centre as reported by its live members."""
        reported = ReportedOwner(None, Epoch(0))
        for member_id in self.live_peers(data_centre, now):
            heartbeat = self.heartbeat_of(member_id)
            if heartbeat is not None and heartbeat.epoch >= reported.epoch:
                reported = ReportedOwner(heartbeat.owner or None, heartbeat.epoch)
        return reported

    def _remote_target(self, data_centre: DataCentreId, now: Instant) -> MemberId:
        ranked = self._ranked(data_centre)
        for excluded in (_LEAVING_OR_LOST, _LOST):
            for member_id in ranked:
                if self.state(member_id, now) not in excluded:
                    return member_id
        return self._next_in_rotation(data_centre, now)

    def _next_in_rotation(
        self,
        data_centre: DataCentreId,
        now: Instant,
        other_than: MemberId | None = None,
    ) -> MemberId:
        ranked = [
            member_id
            for member_id in self._ranked(data_centre)
            if member_id != other_than
        ] or self._ranked(data_centre)
        rotation = int(now / self._timing.remote_heartbeat_s)
        return ranked[rotation % len(ranked)]

    def _ranked(self, data_centre: DataCentreId) -> list[MemberId]:
        ranked = self._ranked_by_data_centre.get(data_centre)
        if ranked is None:
            names = [
                peer.member.id
                for peer in self._peers_by_id.values()
                if peer.member.data_centre == data_centre
            ]
            ranked = [MemberId(name) for name in rank_by_hash(self._me.id, names)]
            self._ranked_by_data_centre[data_centre] = ranked
        return ranked

    def _is_live(self, peer: _Peer, now: Instant) -> bool:
        return peer.heartbeat is not None and now < peer.expires_at

    def _timeout_s(self, member: Member) -> float:
        if member.data_centre == self._me.data_centre:
            return self._timing.owner_lease_s
        return self._timing.remote_heartbeat_s * 4


_LOST = frozenset({MemberState.LOST})
_LEAVING_OR_LOST = _LOST | {MemberState.LEAVING}


def _sequence_key(heartbeat: Heartbeat) -> tuple[Incarnation, int]:
    return heartbeat.incarnation, heartbeat.sequence
