"""Tests of the simulated callers: repeats, retries and the check of answers."""

import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tamarackmount.demo.balancer import Balancer
from tamarackmount.demo.callers import MAX_ATTEMPTS, Caller, Load
from tamarackmount.demo.records import Ending, RequestRecord
from tamarackmount.demo.stand_ins import is_own_response
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import DataCentreId, MemberId, QueueName, WorkspaceId
from tests.utils.fake_entry_vms import (
    FakeHttp,
    FakeOpener,
    Reaction,
    answered,
    crossed,
    refused,
    unreachable,
)

DAEMONS = [
    DaemonPlan(MemberId(f"dc1-m{number}"), DataCentreId("dc1"), number, number)
    for number in (1, 2)
]


def send_one(seed: int, *reactions: Reaction) -> tuple[RequestRecord, FakeOpener]:
    """Run a caller that sends one request to scripted entry VMs."""
    clock = Clock()
    opener = FakeOpener(list(reactions))
    http = FakeHttp(clock, opener)
    rng = random.Random(seed)
    load = Load("c", WorkspaceId("retail"), "key", QueueName("counter"), 1, 0.0)
    caller = Caller(load, http, Balancer(http, DAEMONS, rng), is_own_response, rng)
    done = Deferred.fromCoroutine(caller.run())
    clock.pump([1.0] * (MAX_ATTEMPTS + 2))
    assert done.called
    [record] = caller.records
    return record, opener


def test_complete_answer_to_the_request_ends_it() -> None:
    record, _ = send_one(1, answered)
    assert record.outcome() is Ending.ANSWERED
    assert not record.attempts[0].wrong


def test_answer_to_another_request_is_recorded_as_wrong() -> None:
    record, _ = send_one(1, crossed)
    assert record.attempts[0].wrong


@pytest.mark.parametrize("seed", range(8))
def test_lost_request_is_repeated_with_its_id_through_another_entry_vm(
    seed: int,
) -> None:
    record, opener = send_one(seed, unreachable(sent=True), answered)
    assert len(set(opener.sent_ids())) == 1
    assert len({attempt.via for attempt in record.attempts}) == 2
    assert record.outcome() is Ending.ANSWERED


def test_request_with_unknown_outcome_is_repeated_by_some_callers() -> None:
    sent = [
        send_one(seed, refused("unknown", "upstream_failed"), answered)[1].sent_ids()
        for seed in range(20)
    ]
    assert {len(ids) for ids in sent} == {1, 2}
    assert all(len(set(ids)) == 1 for ids in sent)


def test_detected_repeat_ends_with_an_unknown_outcome() -> None:
    repeat = refused("unknown", "already_attempted")
    record, _ = send_one(1, unreachable(sent=True), repeat)
    assert record.outcome() is Ending.UNKNOWN
    assert len(record.attempts) == 2


def test_refused_request_is_retried_with_the_same_or_a_new_id() -> None:
    sent = [
        send_one(seed, refused("not-run", "line_full"), answered)[1].sent_ids()
        for seed in range(20)
    ]
    assert {len(set(ids)) for ids in sent} == {1, 2}


def test_caller_gives_up_after_the_maximum_number_of_attempts() -> None:
    refusals = [refused("not-run", "no_owner")] * MAX_ATTEMPTS
    record, _ = send_one(1, *refusals)
    assert record.outcome() is Ending.NOT_RUN
    assert len(record.attempts) == MAX_ATTEMPTS


def test_request_to_an_unreachable_entry_vm_is_retried_through_another() -> None:
    record, _ = send_one(1, unreachable(sent=False), answered)
    assert record.attempts[0].ending is Ending.NOT_CONNECTED
    assert record.attempts[0].via != record.attempts[1].via
