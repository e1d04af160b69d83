"""Choice of the peers in other data centres that get heartbeats."""

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    Offset,
)
from tamarackmount.kernel.membership import Member, Membership
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.timing import Timing

DC1 = DataCentreId("dc1")
DC2 = DataCentreId("dc2")
TIMING = Timing()


def build_membership() -> Membership:
    peers = [Member(MemberId(name), DC2) for name in ("x", "y")]
    me = Member(MemberId("a"), DC1)
    return Membership(me, Incarnation(1), peers, TIMING, Instant(0.0))


def build_heartbeat(
    member_id: MemberId, sequence: int, *, leaving: bool = False
) -> Heartbeat:
    return Heartbeat(
        member_id=member_id,
        incarnation=Incarnation(1),
        data_centre=DC2,
        sequence=sequence,
        epoch=Epoch(1),
        owner=member_id,
        config_offset=Offset(1),
        log_age_ms=0,
        leaving=leaving,
    )


def test_one_live_peer_of_a_remote_data_centre_gets_heartbeats() -> None:
    membership = build_membership()
    now = Instant(1.0)
    (target,) = membership.remote_targets(now)
    membership.heartbeat_received(build_heartbeat(target, 1), now)
    assert membership.remote_targets(now) == [target]
    assert membership.contact(DC2, now) == target


def test_lost_peer_gets_heartbeats_while_the_contact_is_leaving() -> None:
    membership = build_membership()
    (target,) = membership.remote_targets(Instant(0.0))
    (other,) = {MemberId("x"), MemberId("y")} - {target}
    targets: set[MemberId] = set()
    for second in range(10, 13):
        now = Instant(float(second))
        membership.heartbeat_received(
            build_heartbeat(target, second, leaving=True), now
        )
        targets.update(membership.remote_targets(now))
    assert targets == {target, other}
    membership.heartbeat_received(build_heartbeat(other, 1), now)
    assert membership.contact(DC2, now) == other
