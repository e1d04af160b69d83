"""Hedged requests to the advice service through several entry VMs."""

import math
from collections.abc import Sequence
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tamarackmount.ids import Instant, JobId, MemberId, WorkerId
from tamarackmount.node.hedged_advice import (
    HEDGE_DELAY_S,
    MAX_ATTEMPTS,
    NODE_BACKOFF_S,
    HedgedAdviceClient,
)
from tamarackmount.node.messages import AdviceQuery, AdviceReply
from tamarackmount.scheduling.domain.effects import AskAdvice
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket

NODE_ID = MemberId("a")
EXPECTED_S = 0.1
WORKER = WorkerId("w1")


class Service:
    """An advice service that records the requests of this entry VM."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests: list[Deferred[AdviceAnswer | None]] = []

    def ask(
        self, _step: StepKey, _workers: Sequence[WorkerId], _deadline: Instant
    ) -> "Deferred[AdviceAnswer | None]":
        self.requests.append(Deferred())
        return self.requests[-1]


class Peers:
    """Other entry VMs, which answer only when a test says so."""

    def __init__(self, clock: Clock, *names: str) -> None:
        """Connect to the named entry VMs."""
        self._clock = clock
        self._names = [MemberId(name) for name in names]
        self.requests: list[tuple[MemberId, AdviceQuery, Deferred[Any]]] = []

    def next_call_id(self) -> int:
        return len(self.requests) + 1

    def connected_peers(self) -> list[MemberId]:
        return self._names

    def call(
        self, to: MemberId, query: AdviceQuery, timeout_s: float
    ) -> "Deferred[Any]":
        answer: Deferred[Any] = Deferred()
        self.requests.append((to, query, answer))
        self._clock.callLater(timeout_s, self._give_up, answer)
        return answer

    @staticmethod
    def _give_up(answer: "Deferred[Any]") -> None:
        if not answer.called:
            answer.callback(None)


class Harness:
    """An advice client over a fake service and fake peers, in virtual time."""

    def __init__(self, *names: str) -> None:
        """Start with this entry VM and the named ones."""
        self.clock = Clock()
        self.service = Service()
        self.peers = Peers(self.clock, *names)
        self.answers: list[AdviceAnswer | None] = []
        service: Any = self.service
        peers: Any = self.peers
        self.client = HedgedAdviceClient(
            self.clock, NODE_ID, service, peers, lambda _, row: self.answers.append(row)
        )

    def ask(self, number: int = 1) -> None:
        step = StepKey(JobId(f"{number:016x}"), 0, 0)
        self.client.ask(AskAdvice(step, (WORKER,), EXPECTED_S * 1_000))

    def asked_peers(self) -> list[str]:
        return [str(to) for to, _, _ in self.peers.requests]


ANSWER = AdviceAnswer((WorkerTicket(WORKER, "t"),), 2_000.0)


def test_timely_answer_needs_one_request() -> None:
    harness = Harness("b", "c")
    harness.ask()
    harness.clock.advance(EXPECTED_S)
    harness.service.requests[0].callback(ANSWER)
    harness.clock.advance(10.0)
    assert harness.answers == [ANSWER]
    assert not harness.peers.requests


def test_late_request_is_hedged_through_another_node() -> None:
    harness = Harness("b", "c")
    harness.ask()
    harness.clock.advance(EXPECTED_S + HEDGE_DELAY_S)
    ((to, query, answer),) = harness.peers.requests
    assert to == "b"
    reply = AdviceReply(
        query.call_id, answered=True, workers=[WORKER], tickets=["t"], valid_ms=2_000.0
    )
    answer.callback(reply)
    assert harness.answers == [ANSWER]
    harness.service.requests[0].callback(ANSWER)
    harness.clock.advance(10.0)
    assert harness.answers == [ANSWER]


def test_unanswered_request_fails_once_after_max_attempts() -> None:
    harness = Harness("b", "c", "d", "e")
    harness.ask()
    for _ in range(100):
        harness.clock.advance(0.01)
    harness.service.requests[0].callback(None)
    harness.clock.advance(1.0)
    assert harness.answers == [None]
    assert len(harness.service.requests) + len(harness.peers.requests) == MAX_ATTEMPTS


def test_unresponsive_node_is_used_last_during_backoff() -> None:
    harness = Harness("b", "c")
    harness.ask(1)
    harness.ask(2)
    harness.clock.advance(EXPECTED_S + HEDGE_DELAY_S)
    assert harness.asked_peers() == ["b", "c"]
    harness.peers.requests[1][2].callback(None)
    harness.clock.advance(NODE_BACKOFF_S)
    harness.service.requests[0].callback(ANSWER)
    harness.peers.requests.clear()
    harness.ask(3)
    harness.ask(4)
    assert harness.asked_peers() == ["c"]


def test_each_node_has_one_request_at_a_time() -> None:
    harness = Harness("b")
    for number in range(3):
        harness.ask(number)
    assert harness.asked_peers() == ["b"]


def test_an_answer_read_after_a_suspension_gives_no_tickets() -> None:
    # Guards against expired tickets, whose validity counts from when they are read.
    harness = Harness()
    harness.ask()
    harness.clock.advance(EXPECTED_S + 5.0)
    harness.service.requests[0].callback(ANSWER)
    assert harness.answers == [None]


@pytest.mark.parametrize(
    ("tickets", "valid_ms"),
    [([], 2_000.0), (["t", "u"], 2_000.0), (["t"], math.nan), (["t"], math.inf)],
)
def test_a_reply_that_makes_no_sense_counts_as_no_answer(
    tickets: list[str], valid_ms: float
) -> None:
    # Guards against one node's reply that stops the holder's process.
    harness = Harness("b")
    harness.ask()
    harness.clock.advance(EXPECTED_S + HEDGE_DELAY_S)
    ((_, query, answer),) = harness.peers.requests
    answer.callback(
        AdviceReply(query.call_id, True, [WORKER], tickets, valid_ms)  # noqa: FBT003
    )
    harness.service.requests[0].callback(None)
    assert harness.answers == [None]
