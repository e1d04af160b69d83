"""Questions to the policy service through several entry VMs."""

from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tamarackmount.ids import Instant, JobId, MemberId, WorkerId
from tamarackmount.node.hedged_advice import (
    HEDGE_S,
    LANE_BACKOFF_S,
    MAX_ATTEMPTS,
    HedgedAdviceClient,
)
from tamarackmount.node.messages import AdviceQuery, AdviceReply
from tamarackmount.scheduling.effects import AskAdvice
from tamarackmount.scheduling.model import StepKey
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission

ME = MemberId("a")
EXPECTED_S = 0.1
WORKER = WorkerId("w1")


class Service:
    """The policy service as this entry VM reaches it."""

    def __init__(self) -> None:
        """Begin with nothing asked."""
        self.asked: list[Deferred[AdviceAnswer | None]] = []

    def ask(
        self, _step: StepKey, _workers: Sequence[WorkerId], _deadline: Instant
    ) -> "Deferred[AdviceAnswer | None]":
        self.asked.append(Deferred())
        return self.asked[-1]


class Peers:
    """Other entry VMs, which answer only what a test lets them answer."""

    def __init__(self, clock: Clock, *names: str) -> None:
        """Be connected to the entry VMs named."""
        self._clock = clock
        self._names = [MemberId(name) for name in names]
        self.asked: list[tuple[MemberId, AdviceQuery, Deferred[Any]]] = []

    def next_call_id(self) -> int:
        return len(self.asked) + 1

    def connected_peers(self) -> list[MemberId]:
        return self._names

    def call(
        self, to: MemberId, query: AdviceQuery, timeout_s: float
    ) -> "Deferred[Any]":
        answer: Deferred[Any] = Deferred()
        self.asked.append((to, query, answer))
        self._clock.callLater(timeout_s, self._give_up, answer)
        return answer

    @staticmethod
    def _give_up(answer: "Deferred[Any]") -> None:
        if not answer.called:
            answer.callback(None)


class Lanes:
    """Lanes over a service and peers in virtual time."""

    def __init__(self, *names: str) -> None:
        """Begin with this entry VM and those named."""
        self.clock = Clock()
        self.service = Service()
        self.peers = Peers(self.clock, *names)
        self.answers: list[AdviceAnswer | None] = []
        service: Any = self.service
        peers: Any = self.peers
        self.lanes = HedgedAdviceClient(
            self.clock, ME, service, peers, lambda _, row: self.answers.append(row)
        )

    def ask(self, number: int = 1) -> None:
        step = StepKey(JobId(f"{number:016x}"), 0, 0)
        self.lanes.ask(AskAdvice(step, (WORKER,), EXPECTED_S * 1_000))

    def asked(self) -> list[str]:
        return [str(to) for to, _, _ in self.peers.asked]


ANSWER = AdviceAnswer((Permission(WORKER, "t"),), 2_000.0)


def test_an_answer_in_time_costs_one_question() -> None:
    lanes = Lanes("b", "c")
    lanes.ask()
    lanes.clock.advance(EXPECTED_S)
    lanes.service.asked[0].callback(ANSWER)
    lanes.clock.advance(10.0)
    assert lanes.answers == [ANSWER]
    assert not lanes.peers.asked


def test_a_late_answer_is_asked_for_through_another_lane() -> None:
    lanes = Lanes("b", "c")
    lanes.ask()
    lanes.clock.advance(EXPECTED_S + HEDGE_S)
    ((to, query, answer),) = lanes.peers.asked
    assert to == "b"
    reply = AdviceReply(
        query.call_id, answered=True, workers=[WORKER], tickets=["t"], valid_ms=2_000.0
    )
    answer.callback(reply)
    assert lanes.answers == [ANSWER]
    lanes.service.asked[0].callback(ANSWER)
    lanes.clock.advance(10.0)
    assert lanes.answers == [ANSWER]


def test_a_question_that_nobody_answers_is_given_up_once() -> None:
    lanes = Lanes("b", "c", "d", "e")
    lanes.ask()
    for _ in range(100):
        lanes.clock.advance(0.01)
    lanes.service.asked[0].callback(None)
    lanes.clock.advance(1.0)
    assert lanes.answers == [None]
    assert len(lanes.service.asked) + len(lanes.peers.asked) == MAX_ATTEMPTS


def test_a_lane_without_an_answer_is_asked_last_for_a_while() -> None:
    lanes = Lanes("b", "c")
    lanes.ask(1)
    lanes.ask(2)
    lanes.clock.advance(EXPECTED_S + HEDGE_S)
    assert lanes.asked() == ["b", "c"]
    lanes.peers.asked[1][2].callback(None)
    lanes.clock.advance(LANE_BACKOFF_S)
    lanes.service.asked[0].callback(ANSWER)
    lanes.peers.asked.clear()
    lanes.ask(3)
    lanes.ask(4)
    assert lanes.asked() == ["c"]


def test_each_lane_has_one_question_at_a_time() -> None:
    lanes = Lanes("b")
    for number in range(3):
        lanes.ask(number)
    assert lanes.asked() == ["b"]
