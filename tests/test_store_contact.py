"""Noticing that the store no longer answers a node."""

from typing import Any

from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.store_contact import (
    MAX_SILENCE_S,
    PROBE_AFTER_S,
    StoreContact,
)
from tests.utils.memory_peers import MemoryFleet

STEP_S = 0.05


class Store:
    """A store that answers additional reads after ``answer_s``, or never."""

    def __init__(self, answer_s: float | None) -> None:
        """Begin with an answer just now."""
        self.clock = Clock()
        self.last_answer = Instant(0.0)
        self.reads = 0
        self._answer_s = answer_s
        self.contact = StoreContact(
            self.clock, lambda: (self.last_answer, None), self._read
        )
        self.contact.start()

    async def _read(self) -> bool:
        self.reads += 1
        waits_s = 100.0 if self._answer_s is None else self._answer_s
        reactor: Any = self.clock
        await deferLater(reactor, waits_s, lambda: None)
        self.last_answer = Instant(self.clock.seconds())
        return True

    def run_for(self, seconds: float) -> list[bool]:
        """Let time pass; return after each step whether the store counts as lost."""
        states = []
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            states.append(self.contact.is_lost)
        return states


def test_a_silent_store_is_lost_after_one_more_read() -> None:
    store = Store(answer_s=None)
    assert not any(store.run_for(MAX_SILENCE_S - STEP_S))
    assert store.reads == 1
    assert all(store.run_for(1.0)[2:])


def test_a_slow_store_without_new_records_is_not_lost() -> None:
    store = Store(answer_s=0.5)
    assert not any(store.run_for(10.0))


def test_a_quiet_store_is_read_only_after_a_silence() -> None:
    store = Store(answer_s=0.01)
    store.run_for(PROBE_AFTER_S - STEP_S)
    assert store.reads == 0
    store.run_for(1.0)
    assert store.reads >= 1


def test_a_node_that_is_cut_off_sends_its_callers_away_in_time() -> None:
    fleet = MemoryFleet(3)
    fleet.run_for(1.0)
    assert not fleet.node(2).jobs.sends_callers_away
    fleet.lose_silently(2)
    fleet.run_for(MAX_SILENCE_S + 0.1)
    assert fleet.node(2).jobs.sends_callers_away
    assert not fleet.node(1).jobs.sends_callers_away
