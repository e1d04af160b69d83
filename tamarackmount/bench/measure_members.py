"""What it costs to belong to the fleet: ticks and heartbeats of idle nodes."""

from dataclasses import replace

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import Periods
from tamarackmount.bench.idle_fleet import IdleFleet
from tamarackmount.bench.loads import members_of
from tamarackmount.bench.measuring import Effort, Line, cpu_seconds, measure_line
from tamarackmount.ids import Incarnation, Instant
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.snapshot_schedule import MIN_KEPT_FOR_SNAPSHOT, spread_s

ENTRY_VMS = 8
SETTLING_S = 5.0
"""Time until every data centre has an owner, in seconds."""

COUNTED_S = 4.0
"""Time over which messages are counted, in seconds."""

FRAME_HEADER_BYTES = 4
"""Length in front of each peer message."""

A_REAL_INCARNATION = Incarnation(1_764_791_463_123)
"""An incarnation as daemons have it: a wall clock reading in milliseconds."""


def measure_members(effort: Effort, periods: Periods) -> dict[Cost, Line]:
    """Measure ticks and heartbeats."""
    fleets = _fleets(effort, periods)
    lines = {
        Cost.TICK: _ticks(fleets, effort, periods),
        Cost.HEARTBEAT_HEARD: _heard(fleets, effort),
        Cost.HEARTBEATS: _heartbeats(effort, periods),
        Cost.HEARTBEATS_LOCAL: _local_heartbeats(effort, periods),
    }
    lines[Cost.SNAPSHOTS] = _snapshots(effort, periods)
    fleet = next(iter(fleets.values()))
    lines[Cost.HEARTBEAT_BYTES] = _heartbeat_bytes(fleet, effort)
    return lines


def _settled(members: list[Member], periods: Periods) -> IdleFleet:
    fleet = IdleFleet(members)
    fleet.run(SETTLING_S, periods.tick_s, periods.log_poll_s)
    return fleet


def _fleets(effort: Effort, periods: Periods) -> dict[int, IdleFleet]:
    """Return settled fleets by their numbers of members."""
    fleets = {}
    for data_centres in effort.sizes(3, 7, 11):
        members = members_of(data_centres, ENTRY_VMS)
        fleets[len(members)] = _settled(members, periods)
    return fleets


def _ticks(fleets: dict[int, IdleFleet], effort: Effort, periods: Periods) -> Line:
    def sample(size: int) -> float:
        fleet = fleets[size]
        node = fleet.nodes_by_id[fleet.members[-1].id]
        # Short enough for the peers not to count as lost meanwhile.
        rounds = min(effort.rounds, round(1.0 / periods.tick_s))
        times = [
            Instant(fleet.now + number * periods.tick_s) for number in range(rounds)
        ]
        taken = cpu_seconds(lambda: [node.tick(now) for now in times])
        fleet.run(1.5, periods.tick_s, periods.log_poll_s)
        return taken / rounds

    return measure_line(list(fleets), sample, effort.repeats)


def _heard(fleets: dict[int, IdleFleet], effort: Effort) -> Line:
    def sample(size: int) -> float:
        fleet = fleets[size]
        node = fleet.nodes_by_id[fleet.members[0].id]
        sender = fleet.members[1].id
        last = fleet.last_heartbeat(sender)
        beats = [
            replace(last, sequence=last.sequence + number + 1)
            for number in range(effort.rounds)
        ]
        now = fleet.now
        taken = cpu_seconds(
            lambda: [node.peer_message(sender, beat, now) for beat in beats]
        )
        return taken / effort.rounds

    return measure_line(list(fleets), sample, effort.repeats)


def _sent_per_second(members: list[Member], periods: Periods) -> float:
    fleet = _settled(members, periods)
    before = fleet.sent_by_type[Heartbeat]
    fleet.run(COUNTED_S, periods.tick_s, periods.log_poll_s)
    sent = fleet.sent_by_type[Heartbeat] - before
    return sent / COUNTED_S / len(members)


def _heartbeats(effort: Effort, periods: Periods) -> Line:
    sizes = effort.sizes(3, 7, 11)
    return measure_line(
        sizes, lambda size: _sent_per_second(members_of(size, ENTRY_VMS), periods), 1
    )


def _local_heartbeats(effort: Effort, periods: Periods) -> Line:
    sizes = effort.sizes(4, 8, 16)
    return measure_line(
        sizes, lambda size: _sent_per_second(members_of(1, size), periods), 1
    )


def _snapshots(effort: Effort, periods: Periods) -> Line:
    """Count the snapshots that a fleet writes when the log holds none.

    The fleet runs for as long as its members spread their snapshots.
    """

    def sample(data_centres: int) -> float:
        members = members_of(data_centres, ENTRY_VMS)
        fleet = _settled(members, periods)
        fleet.fill_log(MIN_KEPT_FOR_SNAPSHOT)
        fleet.run(spread_s(len(members)), periods.tick_s, periods.log_poll_s)
        return float(fleet.snapshots())

    return measure_line(effort.sizes(3, 7, 11), sample, 1)


def _heartbeat_bytes(fleet: IdleFleet, effort: Effort) -> Line:
    sender = fleet.members[1].id
    last = replace(fleet.last_heartbeat(sender), incarnation=A_REAL_INCARNATION)

    def sample(size: int) -> float:
        beats = [replace(last, sequence=number) for number in range(size)]
        frames = [len(encode(Envelope(sender, beat))) for beat in beats]
        return float(sum(frames) + size * FRAME_HEADER_BYTES)

    return measure_line(effort.sizes(1, 10, 100), sample, 1)
