"""Appends whose answers are late, lost or contradictory."""

from typing import Any

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Epoch, Instant, Offset
from tamarackmount.node.adaptive_timeout import MAX_TIMEOUT_S
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.hedged_append import MAX_CALLS, HedgedAppend
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    Fenced,
    KeyedRecord,
    StoreError,
    StoreErrorKind,
    Topic,
)
from tests.utils.memory_store import NOT_APPLIED, OUTCOME_UNKNOWN, MemoryStore

HEDGE_AFTER_S = 0.25
DONE = Appended(Offset(4), Offset(5))
FENCED = Fenced()


class Calls:
    """Answers the calls of one append as prepared: each after a time, or never."""

    def __init__(self, *answers: tuple[float, AppendResult]) -> None:
        """Answer the calls in the order in which they are sent."""
        self.clock = Clock()
        self.sent_at: list[float] = []
        self.results: list[tuple[float, AppendResult]] = []
        self._answers = list(answers)

    async def _call(self, deadline: Instant) -> AppendResult:
        reactor: Any = self.clock
        self.sent_at.append(round(self.clock.seconds(), 2))
        waits_s, answer = self._answers.pop(0)
        left_s = deadline - self.clock.seconds()
        await deferLater(reactor, min(waits_s, left_s), lambda: None)
        return answer if waits_s <= left_s else OUTCOME_UNKNOWN

    def run(self) -> tuple[float, AppendResult]:
        """Return when the append was decided, and its outcome."""
        hedged = HedgedAppend(self.clock, self._call)
        ensureDeferred(hedged.run(HEDGE_AFTER_S)).addCallback(
            lambda result: self.results.append((round(self.clock.seconds(), 2), result))
        )
        self.clock.pump([0.01] * 200)
        (result,) = self.results
        return result


NEVER = (100.0, DONE)


def test_a_slow_first_call_counts_although_a_second_one_was_sent() -> None:
    calls = Calls((0.45, DONE), (0.6, DONE))
    assert calls.run() == (0.45, DONE)
    assert calls.sent_at == [0.0, HEDGE_AFTER_S]


def test_a_lost_answer_costs_the_delay_of_the_second_call() -> None:
    calls = Calls(NEVER, (0.01, DONE))
    assert calls.run() == (HEDGE_AFTER_S + 0.01, DONE)


def test_a_quick_answer_takes_one_call() -> None:
    calls = Calls((0.01, DONE))
    assert calls.run() == (0.01, DONE)
    assert calls.sent_at == [0.0]


def test_a_silent_store_leaves_the_outcome_unknown() -> None:
    calls = Calls(NEVER, NEVER, NEVER)
    decided_at, result = calls.run()
    assert isinstance(result, StoreError)
    assert result.kind is StoreErrorKind.OUTCOME_UNKNOWN
    assert decided_at == pytest.approx(MAX_TIMEOUT_S, abs=0.02)
    assert len(calls.sent_at) == MAX_CALLS


@pytest.mark.parametrize("answer", [FENCED, NOT_APPLIED])
def test_a_rejection_is_final_only_if_no_other_call_may_be_applied(
    answer: AppendResult,
) -> None:
    assert Calls((0.01, answer)).run() == (0.01, answer)
    _, result = Calls(NEVER, (0.01, answer), NEVER).run()
    assert isinstance(result, StoreError)
    assert result.kind is StoreErrorKind.OUTCOME_UNKNOWN


def test_the_first_append_to_a_store_that_became_slow_is_not_delayed() -> None:
    clock = Clock()
    store: Any = MemoryStore(clock)
    log = FencedLog(clock, store, Topic("keyed.jobs"), Epoch(3))
    took_s = []
    for append_s in (0.002, 0.45):
        store.append_latency_s = append_s
        started_at = clock.seconds()
        done: list[AppendResult] = []
        row = KeyedRecord("progress/1", b"{}")
        ensureDeferred(log.append([row])).addCallback(done.append)
        while not done:
            clock.advance(0.01)
        took_s.append(clock.seconds() - started_at)
        clock.pump([0.01] * 100)
    # Had the first call been given up on, the second one would be queued behind it.
    assert took_s[1] <= 0.45 + 0.02
    assert len(store.records(Topic("keyed.jobs"))) == 2
