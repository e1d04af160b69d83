"""Tests of configuration through the log and between members."""

import pytest

from tamarackmount.ids import Offset
from tamarackmount.kernel.log_records import ConfigChange
from tests.utils.fake_log import FakeLog
from tests.utils.node_fleet import TEAM_PATH, Change, NodeFleet

PROPAGATION_S = 13.0
"""Time by which a change has reached every member, in seconds."""


def text_of(fleet: NodeFleet, name: str) -> str:
    document = fleet.node(name).log.config.document(TEAM_PATH)
    return document.text if document is not None else ""


def assert_everywhere(fleet: NodeFleet, text: str) -> None:
    assert {name: text_of(fleet, name) for name in fleet.names()} == dict.fromkeys(
        fleet.names(), text
    )


def change_often(fleet: NodeFleet, count: int) -> str:
    text = ""
    for index in range(count):
        text = f"share = {index + 1}.0\n"
        fleet.change("dc1-b", text)
        fleet.run(0.7)
    return text


def accepted(fleet: NodeFleet, change: Change) -> bool:
    changes = fleet.log.accepted_changes().values()
    return change.text in [accepted_change.text for accepted_change in changes]


def test_an_accepted_change_reaches_every_member_in_time() -> None:
    fleet = NodeFleet().configured()
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(3.0)
    assert change.outcome == "accepted"
    assert_everywhere(fleet, "share = 2.0\n")


def test_exactly_one_of_two_racing_operators_is_accepted() -> None:
    fleet = NodeFleet().configured()
    first = fleet.change("dc1-a", "share = 2.0\n")
    second = fleet.change("dc2-a", "share = 3.0\n")
    fleet.run(3.0)
    assert sorted([first.outcome, second.outcome]) == ["accepted", "conflict"]
    winner = first if first.outcome == "accepted" else second
    assert_everywhere(fleet, winner.text)


@pytest.mark.parametrize("path", ["log", "snapshot"])
def test_a_member_starts_after_retention_dropped_records(path: str) -> None:
    fleet = NodeFleet().configured()
    fleet.log.keep = 60
    text = change_often(fleet, 150)
    fleet.stop("dc1-c")
    if path == "snapshot":
        fleet.cut(["dc1-c"], fleet.names())
    fleet.start("dc1-c")
    fleet.run(PROPAGATION_S)
    assert_everywhere(fleet, text)
    assert fleet.node("dc1-c").is_ready


def test_a_change_between_the_state_and_the_offset_of_a_snapshot_is_not_lost() -> None:
    """The snapshot lacks a change that precedes it in the log.

    That happens when another member writes one after the snapshot's state was taken.
    """
    log = FakeLog()
    fleet = NodeFleet(sizes=(2,), log=log).configured()
    version = fleet.node("dc1-a").log.config.version(TEAM_PATH)
    snapshot = fleet.node("dc1-a").log.config.snapshot([])
    change = ConfigChange(path=TEAM_PATH, expected=version, text="share = 7.0\n")
    place = log.add(change)
    log.add(snapshot)
    fleet.run(2.0)
    fleet.stop("dc1-b")
    fleet.cut(["dc1-b"], ["dc1-a"])
    log.keep = log.next_offset - place
    fleet.start("dc1-b")
    fleet.run(3.0)
    assert text_of(fleet, "dc1-b") == "share = 7.0\n"


def test_a_stale_change_after_a_gap_is_not_accepted() -> None:
    """A member that starts lacks the document that the change expects to be absent.

    Retention dropped the record that wrote it.
    """
    log = FakeLog()
    fleet = NodeFleet(sizes=(2,), log=log).configured()
    stale = ConfigChange(path=TEAM_PATH, expected=Offset(0), text="share = 9.0\n")
    place = log.add(stale)
    fleet.run(1.0)
    fleet.stop("dc1-b")
    log.keep = log.next_offset - place
    fleet.start("dc1-b")
    fleet.run(5.0)
    assert_everywhere(fleet, "share = 1.0\n")
    assert fleet.node("dc1-b").is_ready


def test_a_member_without_the_log_gets_changes_from_a_peer() -> None:
    fleet = NodeFleet().configured()
    fleet.cut_from_log |= {member.id for member in fleet.members[1:]}
    fleet.run(10.0)
    change = fleet.change("dc1-a", "share = 4.0\n")
    fleet.run(PROPAGATION_S)
    assert change.outcome == "accepted"
    assert_everywhere(fleet, "share = 4.0\n")


def test_members_pass_on_a_change_that_they_got_from_a_peer() -> None:
    fleet = NodeFleet(sizes=(1, 2, 1)).configured()
    fleet.cut_from_log |= {member.id for member in fleet.members[1:]}
    fleet.cut(["dc1-a"], ["dc2-b", "dc3-a"])
    fleet.run(10.0)
    fleet.change("dc1-a", "share = 4.0\n")
    fleet.run(PROPAGATION_S)
    assert_everywhere(fleet, "share = 4.0\n")


def test_the_configuration_survives_a_rolling_restart_during_a_log_outage() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    for name in fleet.names():
        fleet.stop(name)
        fleet.start(name)
        fleet.run(8.0)
        assert fleet.node(name).is_ready
    assert_everywhere(fleet, "share = 1.0\n")


def test_peers_send_changed_documents_only() -> None:
    """A member without the log asks often, so the answers have to be small."""
    fleet = NodeFleet().configured()
    fleet.cut_from_log.add(fleet.members[2].id)
    fleet.run(5.0)
    before = fleet.sent["ConfigSync"]
    fleet.run(20.0)
    assert fleet.sent["ConfigSync"] - before <= 2


def test_a_lost_reply_is_resolved_by_reading_the_log() -> None:
    fleet = NodeFleet().configured()
    fleet.log.lose_replies = 1
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(3.0)
    assert change.outcome == "accepted"
    assert_everywhere(fleet, "share = 2.0\n")


def test_a_change_that_may_take_effect_late_is_not_reported_as_not_changed() -> None:
    """The write takes effect after the log was read to resolve it and then failed."""
    fleet = NodeFleet().configured()
    fleet.log.late_appends = 1
    fleet.log.late_s = 20.0
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(1.0)
    fleet.log.down = True
    fleet.run(15.0)
    outcome = change.outcome
    fleet.log.down = False
    fleet.run(10.0)
    assert accepted(fleet, change)
    assert outcome == "unknown"


def test_not_changed_when_the_log_refuses_every_write() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(12.0)
    assert change.outcome == "not_changed"
    fleet.log.down = False
    fleet.run(5.0)
    assert_everywhere(fleet, "share = 1.0\n")


def test_a_change_that_arrives_from_a_peer_first_is_accepted() -> None:
    """The writer loses the log and gets the change in a peer's documents first."""
    fleet = NodeFleet().configured()
    fleet.log.lose_replies = 1
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(0.1)
    fleet.cut_from_log.add(fleet.members[1].id)
    fleet.run(5.0)
    assert text_of(fleet, "dc1-b") == "share = 2.0\n"
    fleet.heal()
    fleet.run(2.0)
    assert change.outcome == "accepted"


def test_a_lost_reply_is_resolved_with_a_slow_log() -> None:
    fleet = NodeFleet().configured()
    fleet.log.delay_s = 0.8
    fleet.run(3.0)
    fleet.log.lose_replies = 1
    change = fleet.change("dc1-b", "share = 2.0\n")
    fleet.run(8.0)
    assert change.outcome == "accepted"
    later = fleet.change("dc1-b", "share = 3.0\n")
    fleet.run(8.0)
    assert later.outcome == "accepted"


def test_a_log_outage_of_an_hour_while_a_lost_reply_is_unresolved() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    fleet.log.lose_replies = 1
    appends = fleet.log.appends
    change = fleet.change("dc1-a", "share = 2.0\n")
    fleet.run_until(lambda: fleet.log.appends > appends, 1.0)
    fleet.log.down = True
    fleet.run(3_600.0)
    assert change.outcome == "unknown"
    fleet.heal()
    fleet.run(5.0)
    assert_everywhere(fleet, "share = 2.0\n")
    later = fleet.change("dc1-a", "share = 3.0\n")
    fleet.run(3.0)
    assert later.outcome == "accepted"
    assert_everywhere(fleet, "share = 3.0\n")


def test_a_stale_page_does_not_count_as_the_end_of_the_log() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    for _ in range(80):
        fleet.log.add(ConfigChange(path=TEAM_PATH, expected=Offset(-1), text="no"))
    run = fleet.start("dc1-a")
    page = fleet.log.page(run.node.log.config.applied, limit=10)
    now = fleet.now + run.offset_s
    for _ in range(2):
        run.node.log_read(page, type(run.node._last_tick)(now), run.node._last_tick)
    assert not run.node.is_ready


def test_snapshots_are_few() -> None:
    fleet = NodeFleet().configured()
    change_often(fleet, 150)
    written = [
        record for record in fleet.log.all_records if "config_snapshot" in record.body
    ]
    assert len(written) <= 4
