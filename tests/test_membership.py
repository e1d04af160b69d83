"""Tests of the liveness of members, as seen by one member."""

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    Offset,
)
from tamarackmount.kernel.membership import (
    HeartbeatResult,
    Member,
    Membership,
    MemberState,
)
from tamarackmount.kernel.messages import Heartbeat
from tamarackmount.kernel.timing import Timing

DC1, DC2 = DataCentreId("dc1"), DataCentreId("dc2")
TIMING = Timing()
START = Instant(50.0)


def member(name: str) -> Member:
    return Member(MemberId(name), DataCentreId(name[:3]))


def make_membership(*names: str) -> Membership:
    peers = [member(name) for name in names]
    return Membership(member("dc1-a"), Incarnation(1), peers, TIMING, START)


def make_heartbeat(
    name: str, sequence: int = 1, run: int = 1, leaving: bool = False, age_ms: int = 0
) -> Heartbeat:
    return Heartbeat(
        member_id=MemberId(name),
        incarnation=Incarnation(run),
        data_centre=DataCentreId(name[:3]),
        sequence=sequence,
        epoch=Epoch(0),
        owner=MemberId(""),
        config_offset=Offset(0),
        log_age_ms=age_ms,
        leaving=leaving,
    )


def later(seconds: float) -> Instant:
    return Instant(START + seconds)


def test_a_peer_is_alive_for_a_lease_after_its_last_heartbeat() -> None:
    members = make_membership("dc1-b")
    name = MemberId("dc1-b")
    assert members.state(name, START) is MemberState.UNSEEN
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b"), START)
        is HeartbeatResult.NEW_RUN
    )
    assert members.state(name, later(1.4)) is MemberState.ALIVE
    assert members.state(name, later(TIMING.owner_lease_s)) is MemberState.LOST


def test_heartbeats_of_unknown_members_old_runs_or_out_of_order_are_ignored() -> None:
    members = make_membership("dc1-b")
    assert (
        members.heartbeat_received(make_heartbeat("dc9-x"), START)
        is HeartbeatResult.IGNORED
    )
    members.heartbeat_received(make_heartbeat("dc1-b", sequence=5, run=2), START)
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b", sequence=9, run=1), START)
        is HeartbeatResult.IGNORED
    )
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b", sequence=5, run=2), START)
        is HeartbeatResult.IGNORED
    )
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b", sequence=6, run=2), START)
        is HeartbeatResult.ALIVE
    )
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b", sequence=1, run=3), START)
        is HeartbeatResult.NEW_RUN
    )


def test_a_lost_peer_that_returns_counts_as_a_new_run() -> None:
    members = make_membership("dc1-b")
    members.heartbeat_received(make_heartbeat("dc1-b"), START)
    assert (
        members.heartbeat_received(make_heartbeat("dc1-b", sequence=2), later(9.0))
        is HeartbeatResult.NEW_RUN
    )


def test_a_pause_of_this_member_changes_no_state_of_a_peer() -> None:
    members = make_membership("dc1-b", "dc1-c")
    members.heartbeat_received(make_heartbeat("dc1-b"), START)
    members.heartbeat_received(make_heartbeat("dc1-c"), later(5.0))
    members.restart_timeouts(later(5.5), later(60.0))
    assert members.live_peers(DC1, later(60.0)) == ["dc1-c"]


def test_leaving_peers_are_live_but_not_staying() -> None:
    members = make_membership("dc1-b", "dc1-c")
    members.heartbeat_received(make_heartbeat("dc1-b", leaving=True), START)
    members.heartbeat_received(make_heartbeat("dc1-c"), START)
    assert members.live_peers(DC1, START) == ["dc1-b", "dc1-c"]
    assert members.staying_peers(DC1, START) == ["dc1-c"]


def test_work_goes_to_an_alive_member_before_a_leaving_one_before_none() -> None:
    members = make_membership("dc2-a", "dc2-b", "dc2-c")
    assert members.contact(DC2, START) is None
    for name in ("dc2-a", "dc2-b", "dc2-c"):
        members.heartbeat_received(make_heartbeat(name, leaving=True), START)
    assert members.contact(DC2, START) is not None
    members.heartbeat_received(make_heartbeat("dc2-b", sequence=2), START)
    assert members.contact(DC2, START) == "dc2-b"
    assert members.remote_targets(START) == ["dc2-b"]


def test_every_lost_peer_of_a_data_centre_is_tried_in_turn() -> None:
    members = make_membership("dc2-a", "dc2-b", "dc2-c")
    tried = {members.remote_targets(later(20.0 + turn))[0] for turn in range(3)}
    assert tried == {"dc2-a", "dc2-b", "dc2-c"}


def test_the_least_log_age_is_that_of_the_best_informed_live_peer() -> None:
    members = make_membership("dc1-b", "dc2-a")
    members.heartbeat_received(make_heartbeat("dc1-b", age_ms=9_000), START)
    members.heartbeat_received(make_heartbeat("dc2-a", age_ms=500), START)
    assert members.min_log_age_s(later(1.0)) == 1.5
    assert members.min_log_age_s(later(99.0)) == float("inf")
