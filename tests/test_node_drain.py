"""Planned stops of members."""

from tamarackmount.ids import MemberId
from tests.utils.node_fleet import Call, NodeFleet

MAX_HAND_OVER_S = 1.0
"""Longest time without an owner during a planned stop, in seconds."""


def drain(fleet: NodeFleet, name: str) -> None:
    run = fleet.run_of(name)
    fleet.feed(run, run.node.drain)


def replace_gracefully(fleet: NodeFleet, name: str) -> list[Call]:
    """Drain a member while requests arrive in its data centre, then restart it."""
    calls = []
    drain(fleet, name)
    for _ in range(40):
        calls += [fleet.request(other) for other in fleet.names("dc1")]
        fleet.run(0.1)
    fleet.stop(name)
    fleet.start(name)
    fleet.run(8.0)
    return calls


def test_draining_owner_hands_over() -> None:
    fleet = NodeFleet().configured()
    (owner,) = fleet.owners()
    drain(fleet, owner)
    assert not fleet.node(owner).ownership.is_owner
    hand_over_s = fleet.run_until(lambda: len(fleet.owners()) == 1, MAX_HAND_OVER_S)
    assert hand_over_s <= MAX_HAND_OVER_S
    assert fleet.owners() != [owner]


def test_draining_owner_hands_over_while_the_log_is_down() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    fleet.run(5.0)
    (owner,) = fleet.owners()
    drain(fleet, owner)
    fleet.run_until(lambda: len(fleet.owners()) == 1, MAX_HAND_OVER_S)


def test_requests_in_flight_are_answered_when_the_owner_drains() -> None:
    fleet = NodeFleet().configured()
    fleet.run(20.0)
    calls = [fleet.request(name) for name in fleet.names("dc1") for _ in range(3)]
    fleet.run(0.01)
    drain(fleet, fleet.owners()[0])
    fleet.run(2.0)
    assert {call.outcome for call in calls} == {"answered"}


def test_single_member_stays_owner_until_its_planned_stop_ends() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    drain(fleet, "dc1-a")
    fleet.run(1.0)
    call = fleet.request("dc1-a")
    fleet.run(1.0)
    assert call.outcome == "answered"
    assert fleet.owners() == ["dc1-a"]


def test_draining_owner_hands_over_to_a_member_that_starts_later() -> None:
    fleet = NodeFleet(sizes=(2,)).configured()
    fleet.stop("dc1-b")
    fleet.run(5.0)
    drain(fleet, "dc1-a")
    fleet.start("dc1-b")
    fleet.run(5.0)
    assert fleet.owners() == ["dc1-b"]


def test_owner_remains_when_all_members_drain() -> None:
    fleet = NodeFleet(sizes=(3,)).configured()
    for name in fleet.names():
        drain(fleet, name)
        fleet.run(0.02)
    fleet.run(10.0)
    assert len(fleet.owners()) == 1


def test_remote_calls_go_to_another_member_when_the_contact_drains() -> None:
    fleet = NodeFleet().configured()
    node = fleet.node("dc1-a")
    for name in fleet.names("dc2")[:2]:
        drain(fleet, name)
        for _ in range(20):
            job = fleet.submit("dc1-a", "dc2")
            fleet.run(0.2)
            assert job.status in (0, 201, 503), job
            assert "home_unreachable" not in job.body
    target = node.membership.contact(fleet.members[3].data_centre, node._last_tick)
    assert target == MemberId("dc2-c")


def test_no_request_is_refused_during_planned_stops() -> None:
    fleet = NodeFleet().configured()
    fleet.run(20.0)
    calls = []
    for name in fleet.names("dc1"):
        calls += replace_gracefully(fleet, name)
    fleet.run(10.0)
    failed = [call for call in calls if call.outcome != "answered"]
    assert not failed, (len(failed), len(calls), failed[0])
