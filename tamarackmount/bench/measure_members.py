"""Measures the cost of fleet membership: ticks, heartbeats and snapshots."""

from dataclasses import replace

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import Periods
from tamarackmount.bench.idle_fleet import IdleFleet
from tamarackmount.bench.measuring import (
    Line,
    SamplingOptions,
    cpu_seconds,
    measure_line,
)
from tamarackmount.bench.synthetic_data import make_members
from tamarackmount.ids import Incarnation, Instant
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.snapshot_schedule import MIN_KEPT_FOR_SNAPSHOT, spread_s

ENTRY_VMS = 8
OWNER_ELECTION_S = 5.0
"""Time after which every data centre has an owner, in seconds."""

MEASUREMENT_S = 4.0
"""Time over which heartbeats are counted, in seconds."""

FRAME_HEADER_BYTES = 4
"""Size of the length field in front of each peer message."""

REALISTIC_INCARNATION = Incarnation(1_764_791_463_123)
"""An incarnation of the length that daemons use: a wall clock time in milliseconds."""


def measure_members(sampling: SamplingOptions, periods: Periods) -> dict[Cost, Line]:
    """Measure ticks, heartbeats and snapshots."""
    fleets = _fleets(sampling, periods)
    lines = {
        Cost.TICK: _ticks(fleets, sampling, periods),
        Cost.HEARTBEAT_HEARD: _received_heartbeats(fleets, sampling),
        Cost.HEARTBEATS: _heartbeats(sampling, periods),
        Cost.HEARTBEATS_LOCAL: _local_heartbeats(sampling, periods),
    }
    lines[Cost.SNAPSHOTS] = _snapshots(sampling, periods)
    fleet = next(iter(fleets.values()))
    lines[Cost.HEARTBEAT_BYTES] = _heartbeat_bytes(fleet, sampling)
    return lines


def _settled_fleet(members: list[Member], periods: Periods) -> IdleFleet:
    fleet = IdleFleet(members)
    fleet.run(OWNER_ELECTION_S, periods.tick_s, periods.log_poll_s)
    return fleet


def _fleets(sampling: SamplingOptions, periods: Periods) -> dict[int, IdleFleet]:
    """Return fleets whose data centres have owners, by number of members."""
    fleets = {}
    for data_centres in sampling.sizes(3, 7, 11):
        members = make_members(data_centres, ENTRY_VMS)
        fleets[len(members)] = _settled_fleet(members, periods)
    return fleets


def _ticks(
    fleets: dict[int, IdleFleet], sampling: SamplingOptions, periods: Periods
) -> Line:
    def sample(size: int) -> float:
        fleet = fleets[size]
        node = fleet.nodes_by_id[fleet.members[-1].id]
        # At most one second, so that the peers are not considered lost.
        rounds = min(sampling.rounds, round(1.0 / periods.tick_s))
        times = [
            Instant(fleet.now + number * periods.tick_s) for number in range(rounds)
        ]
        cpu_s = cpu_seconds(lambda: [node.tick(now) for now in times])
        fleet.run(1.5, periods.tick_s, periods.log_poll_s)
        return cpu_s / rounds

    return measure_line(list(fleets), sample, sampling.repeats)


def _received_heartbeats(
    fleets: dict[int, IdleFleet], sampling: SamplingOptions
) -> Line:
    def sample(size: int) -> float:
        fleet = fleets[size]
        node = fleet.nodes_by_id[fleet.members[0].id]
        sender = fleet.members[1].id
        last = fleet.last_heartbeat(sender)
        heartbeats = [
            replace(last, sequence=last.sequence + number + 1)
            for number in range(sampling.rounds)
        ]
        now = fleet.now
        cpu_s = cpu_seconds(
            lambda: [
                node.peer_message(sender, heartbeat, now) for heartbeat in heartbeats
            ]
        )
        return cpu_s / sampling.rounds

    return measure_line(list(fleets), sample, sampling.repeats)


def _sent_per_second(members: list[Member], periods: Periods) -> float:
    fleet = _settled_fleet(members, periods)
    before = fleet.sent_by_type[Heartbeat]
    fleet.run(MEASUREMENT_S, periods.tick_s, periods.log_poll_s)
    sent = fleet.sent_by_type[Heartbeat] - before
    return sent / MEASUREMENT_S / len(members)


def _heartbeats(sampling: SamplingOptions, periods: Periods) -> Line:
    sizes = sampling.sizes(3, 7, 11)
    return measure_line(
        sizes, lambda size: _sent_per_second(make_members(size, ENTRY_VMS), periods), 1
    )


def _local_heartbeats(sampling: SamplingOptions, periods: Periods) -> Line:
    sizes = sampling.sizes(4, 8, 16)
    return measure_line(
        sizes, lambda size: _sent_per_second(make_members(1, size), periods), 1
    )


def _snapshots(sampling: SamplingOptions, periods: Periods) -> Line:
    """Count the snapshots that a fleet writes when the log holds none.

    The fleet runs for the time over which its members spread their snapshots.
    """

    def sample(data_centres: int) -> float:
        members = make_members(data_centres, ENTRY_VMS)
        fleet = _settled_fleet(members, periods)
        fleet.fill_log(MIN_KEPT_FOR_SNAPSHOT)
        fleet.run(spread_s(len(members)), periods.tick_s, periods.log_poll_s)
        return float(fleet.snapshots())

    return measure_line(sampling.sizes(3, 7, 11), sample, 1)


def _heartbeat_bytes(fleet: IdleFleet, sampling: SamplingOptions) -> Line:
    sender = fleet.members[1].id
    last = replace(fleet.last_heartbeat(sender), incarnation=REALISTIC_INCARNATION)

    def sample(size: int) -> float:
        heartbeats = [replace(last, sequence=number) for number in range(size)]
        frames = [len(encode(Envelope(sender, heartbeat))) for heartbeat in heartbeats]
        return float(sum(frames) + size * FRAME_HEADER_BYTES)

    return measure_line(sampling.sizes(1, 10, 100), sample, 1)
