"""Tests of the ownership of data centres by several nodes, with and without the log."""

import pytest

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.membership import MemberState
from tests.utils.node_fleet import NodeFleet

WITH_LOG_S = 3.0
"""Longest time without an owner after one died, with the log, in seconds."""

WITHOUT_LOG_S = 5.0
"""The same in seconds, without the log or if it fails during a claim."""

STAGGER_S = 2.5
"""Additional delay in seconds when the first member can't claim."""


def assert_unique_epochs(fleet: NodeFleet) -> None:
    epochs = [(term.member_id[:3], term.epoch) for term in fleet.terms]
    assert len(epochs) == len(set(epochs)), fleet.terms


def wait_for_owner(fleet: NodeFleet, limit_s: float) -> str:
    fleet.run_until(lambda: len(fleet.owners()) == 1, limit_s)
    return fleet.owners()[0]


def test_each_data_centre_has_one_owner_that_stays() -> None:
    fleet = NodeFleet().configured()
    fleet.run(60.0)
    assert len(fleet.terms) == 2
    assert len(fleet.owners("dc1")) == len(fleet.owners("dc2")) == 1


@pytest.mark.parametrize("log_down", [False, True])
def test_another_member_becomes_owner_after_the_owner_died(log_down: bool) -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = log_down
    fleet.run(3.0)
    fleet.stop(*fleet.owners())
    assert wait_for_owner(fleet, WITHOUT_LOG_S if log_down else WITH_LOG_S)
    fleet.run(20.0)
    assert len(fleet.terms_of()) == 2
    assert_unique_epochs(fleet)


def test_another_member_becomes_owner_when_the_log_fails_during_the_claim() -> None:
    fleet = NodeFleet().configured()
    fleet.stop(*fleet.owners())
    fleet.run(1.5)
    fleet.log.down = True
    wait_for_owner(fleet, WITHOUT_LOG_S)
    fleet.heal()
    fleet.run(20.0)
    assert len(fleet.owners()) == 1


@pytest.mark.parametrize("delay_s", [0.6, 1.2, 1.9])
def test_a_slow_log_does_not_keep_a_data_centre_without_owner(delay_s: float) -> None:
    fleet = NodeFleet().configured()
    fleet.log.delay_s = delay_s
    fleet.run(5.0)
    fleet.stop(*fleet.owners())
    wait_for_owner(fleet, 10.0)
    fleet.run(30.0)
    assert len(fleet.owners()) == 1
    assert len(fleet.terms_of()) <= 4
    assert_unique_epochs(fleet)


def test_a_restarted_owner_is_not_taken_for_its_earlier_run() -> None:
    """The last member by name owns; its new run must not count as the owner."""
    fleet = NodeFleet().configured()
    fleet.stop("dc1-a", "dc1-b")
    fleet.run(5.0)
    assert fleet.owners() == ["dc1-c"]
    fleet.start("dc1-a")
    fleet.start("dc1-b")
    fleet.run(5.0)
    assert fleet.owners() == ["dc1-c"]
    fleet.stop("dc1-c")
    fleet.start("dc1-c")
    wait_for_owner(fleet, WITHOUT_LOG_S)
    fleet.run(10.0)
    assert len(fleet.owners()) == 1


def test_a_member_that_starts_does_not_take_over() -> None:
    fleet = NodeFleet().configured()
    fleet.stop("dc1-a")
    fleet.run(5.0)
    owner = fleet.owners()
    fleet.start("dc1-a")
    fleet.run(10.0)
    assert fleet.owners() == owner
    assert len(fleet.terms_of()) == 2


def test_an_owner_sends_no_commands_after_a_pause() -> None:
    fleet = NodeFleet().configured()
    (paused,) = fleet.owners()
    fleet.pause(paused, 6.0)
    fleet.run(5.9)
    seen = len(fleet.commands)
    fleet.run(3.0)
    late = [command for command in fleet.commands[seen:] if command[2] == paused]
    assert not late
    assert fleet.owners() != [paused]
    assert len(fleet.owners()) == 1


def test_an_owner_grants_no_slot_between_a_pause_and_its_first_tick() -> None:
    fleet = NodeFleet().configured()
    (paused,) = fleet.owners()
    run = fleet.run_of(paused)
    fleet.pause(paused, 1.0)
    fleet.run(0.9)
    fleet.now = run.paused_until
    call = fleet.request(paused, timeout_s=30.0)
    assert not run.node.ownership.is_owner
    assert run.node.requests.dispatcher is None
    fleet.run(20.0)
    assert call.outcome == "answered"


def test_both_sides_of_a_cut_claim_without_the_log() -> None:
    fleet = NodeFleet(sizes=(4,)).configured()
    fleet.log.down = True
    fleet.run(3.0)
    fleet.stop(*fleet.owners())
    names = fleet.names()
    fleet.cut(names[:1], names[1:])
    fleet.run(10.0)
    assert len(fleet.owners()) == 2
    assert_unique_epochs(fleet)
    fleet.heal()
    fleet.run(10.0)
    assert len(fleet.owners()) == 1
    assert_unique_epochs(fleet)


def test_two_runs_of_one_member_own_with_different_epochs() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    first = fleet.start("dc1-a")
    fleet.run(1.0)
    fleet.log.down = True
    fleet.run(10.0)
    second = fleet.start("dc1-a")
    fleet.log.down = False
    fleet.run(1.0)
    fleet.log.down = True
    fleet.run(10.0)
    assert first.node.ownership.is_owner
    assert second.node.ownership.is_owner
    assert_unique_epochs(fleet)


@pytest.mark.parametrize("kind", ["lost", "late"])
def test_a_claim_whose_reply_is_lost(kind: str) -> None:
    fleet = NodeFleet().configured()
    fleet.log.lose_replies = kind == "lost"
    fleet.log.late_appends = kind == "late"
    fleet.stop(*fleet.owners())
    wait_for_owner(fleet, 10.0)
    fleet.run(20.0)
    assert len(fleet.owners()) == 1
    assert len(fleet.terms_of()) <= 3
    assert_unique_epochs(fleet)


def test_the_next_member_claims_when_the_first_one_cannot() -> None:
    fleet = NodeFleet(sizes=(3,)).configured()
    fleet.stop(*fleet.owners())
    first = fleet.names()[0]
    node = fleet.node(first)
    # It is alive and sends heartbeats, but never claims.
    node.ownership._claim = lambda *_: []  # type: ignore[method-assign]
    wait_for_owner(fleet, WITH_LOG_S + STAGGER_S)


def test_the_owner_reaches_a_higher_epoch_that_a_worker_reports() -> None:
    fleet = NodeFleet().configured()
    (owner,) = fleet.owners()
    fake_worker = next(iter(fleet.workers_by_id.values()))
    fake_worker.epoch = type(fake_worker.epoch)(fake_worker.epoch + 1)
    fleet.run(10.0)
    assert len(fleet.owners()) == 1
    assert fleet.node(fleet.owners()[0]).ownership.epoch >= fake_worker.epoch


def test_a_member_becomes_owner_after_retention_dropped_the_last_claim() -> None:
    fleet = NodeFleet(sizes=(2,)).configured()
    fleet.log.keep = 40
    for index in range(120):
        fleet.change("dc1-a", f"share = {index + 1}.0\n")
        fleet.run(0.5)
    fleet.stop("dc1-a", "dc1-b")
    fleet.start("dc1-a")
    fleet.start("dc1-b")
    wait_for_owner(fleet, 10.0)
    fleet.run(10.0)
    assert len(fleet.owners()) == 1


def test_a_cut_link_between_two_members_leaves_one_owner_at_the_worker() -> None:
    fleet = NodeFleet(sizes=(3,)).configured()
    fleet.cut(["dc1-a"], ["dc1-b"])
    fleet.run(30.0)
    epoch_by_worker: dict[str, int] = {}
    for worker_id, epoch, _, _ in fleet.commands:
        assert epoch >= epoch_by_worker.get(worker_id, 0)
        epoch_by_worker[worker_id] = epoch
    assert_unique_epochs(fleet)


def witnessed_epoch(fleet: NodeFleet, name: str) -> int:
    """Return the epoch of which a member has a complete copy of the loans."""
    run = fleet.run_of(name)
    now = Instant(fleet.now + run.offset_s)
    return run.node.requests.table.witness.complete_epoch(now)


def is_lost(fleet: NodeFleet, owner: str, name: str) -> bool:
    """Return whether an owner considers a member lost."""
    run = fleet.run_of(owner)
    state = run.node.membership.state(MemberId(name), Instant(fleet.now + run.offset_s))
    return state is MemberState.LOST


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_witness_that_the_owner_lost_no_longer_has_a_complete_copy(
    is_cut_off: bool,
) -> None:
    fleet = NodeFleet().configured()
    fleet.run(10.0)
    (owner,) = fleet.owners()
    witnesses = [name for name in fleet.names("dc1") if witnessed_epoch(fleet, name)]
    (witness,) = witnesses
    # Without the log, the member that still gets the owner's heartbeats refuses the
    # witness's claim.
    fleet.log.down = True
    if is_cut_off:
        fleet.cut([witness], [owner])
    else:
        fleet.pause(witness, fleet.timing.members.owner_lease_s)
    fleet.run_until(lambda: is_lost(fleet, owner, witness), limit_s=3.0)
    fleet.heal_network()
    fleet.run(2.0)
    assert fleet.owners() == [owner]
    assert witnessed_epoch(fleet, witness) == 0
    fleet.heal()
    fleet.run(20.0)
    assert fleet.owners() == [owner]
