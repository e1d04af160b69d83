"""Taking over from a holder that does not answer or does not reach the store."""

import pytest
from twisted.internet.defer import ensureDeferred

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC
from tamarackmount.node.holder_election import CANDIDATE_LINGER_S
from tamarackmount.node.http_api import HttpStatus
from tamarackmount.node.messages import PhaseReply, StoreReply, enum_value
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.membership.holder_authority import (
    HolderAuthority,
    holder_authority,
)
from tamarackmount.scheduling.membership.holder_watch import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    MAX_QUICK_READ_S,
    UNRESPONSIVE_TIMEOUT_S,
    HolderWatch,
)
from tamarackmount.scheduling.store.journal import HolderRecord
from tests.utils.build_scheduling import job
from tests.utils.memory_peers import STEP_S, MemoryFleet

HOLDER = MemberId("n0")
LATEST_PROBED_CLAIM_S = UNRESPONSIVE_TIMEOUT_S + 0.3
"""Time within which an unresponsive holder is replaced, in seconds: two checks and a
claim come on top of the timeout."""


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> MemoryFleet:
    """Return three nodes that have elected the first one."""
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    assert fleet.holder() == HOLDER
    return fleet


def test_a_lost_holder_is_replaced_before_the_heartbeat_timeout(
    fleet: MemoryFleet,
) -> None:
    fleet.lose_silently(0)
    fleet.run_for(LATEST_PROBED_CLAIM_S)
    assert fleet.holder() != HOLDER
    assert LATEST_PROBED_CLAIM_S < HEARTBEAT_TIMEOUT_S


def test_a_holder_that_reads_the_store_keeps_its_role_until_the_heartbeat_timeout(
    fleet: MemoryFleet,
) -> None:
    fleet.nodes_without_appends.add(HOLDER)
    fleet.run_for(HEARTBEAT_TIMEOUT_S - HEARTBEAT_INTERVAL_S - 0.05)
    assert fleet.holder() == HOLDER
    fleet.run_for(HEARTBEAT_INTERVAL_S + 0.6)
    assert fleet.holder() != HOLDER


def test_a_lost_holder_keeps_its_role_longer_while_the_store_is_slow(
    fleet: MemoryFleet,
) -> None:
    fleet.store.read_latency_s = 2 * MAX_QUICK_READ_S
    heartbeats = len(fleet.store.records(HOLDER_TOPIC))
    while len(fleet.store.records(HOLDER_TOPIC)) == heartbeats:
        fleet.run_for(STEP_S)
    fleet.lose_silently(0)
    fleet.run_for(HEARTBEAT_TIMEOUT_S - STEP_S)
    assert fleet.holder() == HOLDER
    fleet.run_for(1.5)
    assert fleet.holder() != HOLDER


def test_a_holder_replaced_early_has_no_authority_after_its_grace_period() -> None:
    watch = HolderWatch(Instant(10.0), Instant(10.0))
    watch.heartbeat_received(HolderRecord(HOLDER, 5, 1, 100), Instant(10.0))
    claimed_at = Instant(10.0 + UNRESPONSIVE_TIMEOUT_S)
    grace_ends_at = claimed_at + watch.former_holder_grace_s({}, claimed_at)
    assert holder_authority(grace_ends_at - 10.0, 8, []) is HolderAuthority.NONE


def test_a_record_with_a_lost_holder_is_sent_to_the_next_one_at_once(
    fleet: MemoryFleet,
) -> None:
    # A relay through a lost holder must not wait for its own timeout of a second.
    fleet.lose_silently(0)
    answers: list[tuple[float, HttpStatus]] = []
    submission = ensureDeferred(fleet.node(2).jobs.submit(job(), fleet.deadline()))
    sent_at = fleet.clock.seconds()
    submission.addCallback(
        lambda answer: answers.append((fleet.clock.seconds() - sent_at, answer.status))
    )
    fleet.run_for(3.0)
    assert [status for _, status in answers] == [HttpStatus.OK]
    assert answers[0][0] < LATEST_PROBED_CLAIM_S


def test_a_small_vm_hands_the_role_over_to_a_larger_one(fleet: MemoryFleet) -> None:
    fleet.lose_silently(0, 1)
    fleet.run_for(3.0)
    assert fleet.holder() == MemberId("n2")
    fleet.regain(0, 1)
    fleet.run_for(3.0)
    assert fleet.holder() == HOLDER


def test_a_small_vm_keeps_the_role_while_the_larger_one_lacks_the_store(
    fleet: MemoryFleet,
) -> None:
    fleet.lose_silently(0, 1)
    fleet.run_for(3.0)
    fleet.regain(0, 1)
    fleet.nodes_without_store.update({MemberId("n0"), MemberId("n1")})
    fleet.run_for(5.0)
    assert fleet.holder() == MemberId("n2")


def test_vms_that_have_left_do_not_delay_a_claim(fleet: MemoryFleet) -> None:
    for number in range(10):
        fleet.register(f"a{number}", cores=9.0)
    fleet.run_for(CANDIDATE_LINGER_S + 0.2)
    assert fleet.holder() == HOLDER
    fleet.lose_silently(0)
    fleet.run_for(LATEST_PROBED_CLAIM_S)
    assert fleet.holder() == MemberId("n1")


def test_an_answer_of_an_unknown_version_does_not_stop_the_process(
    fleet: MemoryFleet, caplog: pytest.LogCaptureFixture
) -> None:
    assert enum_value(JobPhase, "queued") is JobPhase.QUEUED
    assert enum_value(JobPhase, "hibernating") is None
    assert "unknown value" in caplog.text
    fleet.reply_instead(PhaseReply, phase="hibernating")
    fleet.reply_instead(StoreReply, stored="perhaps")
    answer = fleet.run(fleet.node(2).jobs.submit(job(), fleet.deadline()))
    assert answer.status is HttpStatus.OK
    found = fleet.run(fleet.node(2).jobs.phase(job().job_id))
    assert found is JobPhase.QUEUED
    assert "broken invariant" not in caplog.text


def test_a_small_vm_keeps_the_role_while_the_store_is_slow(fleet: MemoryFleet) -> None:
    fleet.lose_silently(0, 1)
    fleet.run_for(3.0)
    fleet.store.append_latency_s = 0.4
    fleet.run_for(3.0)
    fleet.regain(0, 1)
    fleet.run_for(3.0)
    assert fleet.holder() == MemberId("n2")
