"""Which nodes follow the jobs topic, and what the others answer their callers."""

import pytest

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.http_api import HttpStatus, PhaseLookupFailure
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.membership.followers import (
    FOLLOW_DELAY_S,
    FOLLOW_LINGER_S,
    FollowDecision,
    FollowTimer,
    decide,
    followers_in_order,
)
from tamarackmount.scheduling.membership.holder_watch import Candidate
from tests.utils.build_cancels import CALLER
from tests.utils.build_scheduling import HIGH_PRIORITY, LOW_PRIORITY, job, queue
from tests.utils.memory_peers import MemoryFleet

ID = job().job_id
NOW = Instant(100.0)


def test_three_nodes_of_a_data_centre_follow_those_with_most_processor_time() -> None:
    assert MemoryFleet(8).followers() == [0, 1, 2]


@pytest.mark.parametrize("size", [1, 2, 3])
def test_all_nodes_of_a_small_data_centre_follow(size: int) -> None:
    assert MemoryFleet(size).followers() == list(range(size))


def test_reads_of_jobs_grow_with_followers_not_with_nodes() -> None:
    reads = []
    for size in (6, 24):
        fleet = MemoryFleet(size)
        before = fleet.store.reads_by_topic[JOBS_TOPIC]
        fleet.run_for(10.0)
        reads.append(fleet.store.reads_by_topic[JOBS_TOPIC] - before)
    assert reads[1] <= 1.1 * reads[0]


def test_a_node_that_does_not_follow_answers_for_any_job() -> None:
    fleet = MemoryFleet(8)
    asked = fleet.node(7).jobs
    assert fleet.run(asked.phase(ID)) is PhaseLookupFailure.NOT_SUBMITTED
    answer = fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    assert answer.status is HttpStatus.OK
    assert fleet.run(asked.phase(ID)) is JobPhase.QUEUED
    assert fleet.run(asked.waiting_count(queue(LOW_PRIORITY, 2))) == 1
    assert fleet.run(asked.waiting_count(queue(HIGH_PRIORITY, 0))) == 0
    assert fleet.run(asked.cancel(ID, CALLER, fleet.deadline())).status is HttpStatus.OK
    fleet.run_for(1.0)
    assert fleet.run(asked.phase(ID)) is JobPhase.CANCELLED


def test_another_follower_is_asked_while_the_holder_is_lost() -> None:
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    fleet.run_for(1.0)
    fleet.lose(0)
    assert fleet.run(fleet.node(7).jobs.phase(ID)) is JobPhase.QUEUED


def test_no_job_is_denied_while_no_follower_can_be_asked() -> None:
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    fleet.lose(0, 1, 2)
    found = fleet.run(fleet.node(7).jobs.phase(ID))
    assert found is PhaseLookupFailure.UNAVAILABLE
    assert fleet.run(fleet.node(7).jobs.waiting_count(queue(LOW_PRIORITY, 2))) is None


@pytest.mark.parametrize("asked", [1, 2, 6, 7])
def test_a_repeated_submission_is_not_refused_while_the_store_is_away(
    asked: int,
) -> None:
    # Guards against a 503, which says that the job never runs, for one that may have
    # run: the first submission was stored, and its answer was lost.
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    fleet.run_for(1.0)
    fleet.nodes_without_store = {MemberId(f"n{number}") for number in range(8)}
    fleet.run_for(3.0)
    answer = fleet.run(fleet.node(asked).jobs.submit(job(), fleet.deadline()))
    assert answer.status is HttpStatus.OK


def test_an_unknown_job_is_refused_soon_while_the_store_is_away() -> None:
    # The question to other nodes must not use up the caller's time, also if they are
    # cut off silently. The holder answers that it can't store the job.
    fleet = MemoryFleet(8)
    fleet.nodes_without_store = {MemberId(f"n{number}") for number in range(8)}
    fleet.run_for(3.0)
    fleet.lose_silently(1, 2)
    started_at = fleet.clock.seconds()
    answer = fleet.run(fleet.node(7).jobs.submit(job(), fleet.deadline()))
    assert answer.status is HttpStatus.SERVICE_UNAVAILABLE
    assert fleet.clock.seconds() - started_at < 0.8


def test_others_follow_once_the_followers_are_lost() -> None:
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    fleet.lose(0, 1, 2)
    fleet.run_for(FOLLOW_DELAY_S + 0.5)
    assert set(fleet.followers()) >= {3, 4, 5}
    assert 7 not in fleet.followers()
    assert fleet.run(fleet.node(7).jobs.phase(ID)) is JobPhase.QUEUED


def test_a_node_that_is_cut_off_from_its_peers_follows_the_store_itself() -> None:
    fleet = MemoryFleet(8)
    fleet.run(fleet.node(6).jobs.submit(job(), fleet.deadline()))
    fleet.lose(7)
    fleet.run_for(FOLLOW_DELAY_S + 0.5)
    assert fleet.run(fleet.node(7).jobs.phase(ID)) is JobPhase.QUEUED


def test_a_replacement_stops_following_once_the_followers_are_back() -> None:
    fleet = MemoryFleet(8)
    fleet.lose(0, 1, 2)
    fleet.run_for(FOLLOW_DELAY_S + 0.5)
    fleet.lost_nodes.clear()
    fleet.run_for(FOLLOW_LINGER_S + 0.5)
    assert fleet.followers() == [0, 1, 2]


def test_order_within_a_data_centre_is_by_processor_time() -> None:
    candidates = [
        Candidate(MemberId(name), DataCentreId(data_centre), cores)
        for name, data_centre, cores in (
            ("a1", "a", 0.5),
            ("a2", "a", 2.1),
            ("b1", "b", 2.1),
            ("a3", "a", 0.5),
        )
    ]
    assert followers_in_order(candidates, DataCentreId("a")) == ["a2", "a1", "a3"]


def test_a_node_that_is_not_registered_yet_comes_last() -> None:
    order = [MemberId(f"n{number}") for number in range(5)]
    new = MemberId("new")
    assert not decide(new, order, lambda _: True).should_follow
    assert decide(new, order, lambda _: False).should_follow
    assert decide(new, order[:2], lambda _: True).is_regular


def test_a_short_loss_of_the_followers_changes_nothing() -> None:
    timer = FollowTimer()
    wanted = FollowDecision(should_follow=True, is_regular=False)
    unwanted = FollowDecision(should_follow=False, is_regular=False)
    assert not timer.update(wanted, NOW)
    assert not timer.update(wanted, Instant(NOW + 0.9 * FOLLOW_DELAY_S))
    assert not timer.update(unwanted, Instant(NOW + FOLLOW_DELAY_S))
    assert not timer.update(wanted, Instant(NOW + 1.5 * FOLLOW_DELAY_S))
    assert timer.update(wanted, Instant(NOW + 2.6 * FOLLOW_DELAY_S))


def test_a_node_follows_as_soon_as_it_has_read_the_registrations() -> None:
    fleet = MemoryFleet(3)
    fleet.restart(1)
    fleet.run_for(0.04)
    assert fleet.node(1).follows_jobs


def test_a_follower_that_is_asked_by_another_one_does_not_read_the_store() -> None:
    fleet = MemoryFleet(3)
    fleet.store.is_down = True
    before = fleet.store.reads_by_topic[JOBS_TOPIC]
    found = fleet.run(fleet.node(2).jobs.phase(ID))
    assert found is PhaseLookupFailure.UNAVAILABLE
    assert fleet.store.reads_by_topic[JOBS_TOPIC] - before <= 1 + 3
