"""Ranks that the queue policies give to teams."""

from dataclasses import replace

from returns.result import Success

from tamarackmount.plugins.base import TeamQueueUsage
from tamarackmount.plugins.queue_policies import (
    ShareFairnessPolicy,
    WaitingTimePolicy,
    concurrency_limit,
    queue_policies,
)
from tests.utils.build_requests import at

USE = TeamQueueUsage(share=1.0, active_share=2.0, running=0, slots=8, oldest=at(1))


def test_policies_are_registered() -> None:
    assert queue_policies.names() == ("share-fairness", "waiting-time")
    assert queue_policies.get("waiting-time") == Success(WaitingTimePolicy)


def test_waiting_time_serves_the_earliest() -> None:
    policy = WaitingTimePolicy()
    later = replace(USE, oldest=at(2))
    assert policy.rank(USE) < policy.rank(later)


def test_waiting_time_holds_back_a_team_at_its_concurrency_limit() -> None:
    policy = WaitingTimePolicy()
    at_limit = replace(USE, running=4, oldest=at(0))
    assert policy.rank(USE) < policy.rank(at_limit)
    below_limit = replace(USE, running=3, oldest=at(0))
    assert policy.rank(below_limit) < policy.rank(USE)


def test_concurrency_limit_is_the_share_of_the_slots_and_at_least_one() -> None:
    assert concurrency_limit(replace(USE, share=3, active_share=4)) == 6
    assert concurrency_limit(replace(USE, share=1, active_share=100)) == 1


def test_share_fairness_serves_the_team_with_the_least_use_for_its_share() -> None:
    policy = ShareFairnessPolicy()
    small = replace(USE, share=1, running=2)
    large = replace(USE, share=4, running=6, oldest=at(5))
    assert policy.rank(large) < policy.rank(small)


def test_share_fairness_serves_the_earliest_at_equal_use() -> None:
    policy = ShareFairnessPolicy()
    later = replace(USE, oldest=at(2))
    assert policy.rank(USE) < policy.rank(later)
