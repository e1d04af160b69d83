"""Noticing that the store no longer answers a node."""

from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.http_api import ApiResponse, HttpStatus
from tamarackmount.node.remote_contact import QUERY_AFTER_S, QUERY_INTERVAL_S
from tamarackmount.node.store_contact import (
    CHECK_INTERVAL_S,
    CUT_OFF_PROBE_AFTER_S,
    MAX_CUT_OFF_READ_S,
    MAX_REMOTE_SILENCE_S,
    MAX_SILENCE_S,
    PROBE_AFTER_S,
    StoreContact,
)
from tests.utils.build_scheduling import job
from tests.utils.memory_peers import MemoryFleet

STEP_S = 0.05


class Store:
    """A store that answers additional reads after ``answer_s``, or never."""

    def __init__(self, answer_s: float | None, remote_silence_s: float = 0.0) -> None:
        """Begin with an answer just now.

        Other data centres have not answered this node for ``remote_silence_s``.
        """
        self.clock = Clock()
        self.last_answer = Instant(0.0)
        self.reads = 0
        self._answer_s = answer_s
        self.contact = StoreContact(
            self.clock,
            lambda: (self.last_answer, None),
            self._read,
            lambda: remote_silence_s,
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


def test_a_node_that_reaches_nothing_is_cut_off_sooner() -> None:
    store = Store(answer_s=None, remote_silence_s=1.0)
    assert not any(store.run_for(MAX_CUT_OFF_READ_S))
    store.run_for(2 * CHECK_INTERVAL_S)
    assert all(store.run_for(1.0))


def test_a_node_that_reaches_the_store_is_not_cut_off() -> None:
    store = Store(answer_s=0.01, remote_silence_s=10.0)
    assert not any(store.run_for(10.0))


def test_a_node_that_reaches_other_data_centres_is_not_cut_off_sooner() -> None:
    store = Store(answer_s=None, remote_silence_s=MAX_REMOTE_SILENCE_S)
    assert not any(store.run_for(MAX_SILENCE_S - STEP_S))


CUT_DETECTION_S = (
    QUERY_AFTER_S
    + QUERY_INTERVAL_S
    + max(MAX_REMOTE_SILENCE_S, CUT_OFF_PROBE_AFTER_S + MAX_CUT_OFF_READ_S)
    + 2 * CHECK_INTERVAL_S
)
"""Longest time until a cut is noticed: the store may have answered just before it."""


def cut_fleet() -> MemoryFleet:
    """Return nodes of two data centres, of which the second one was just cut off."""
    fleet = MemoryFleet(4, ("kyushu-a", "kyushu-b"))
    for number in range(4):
        fleet.register(f"n{number}", cores=1.0)
    fleet.start_claiming()
    assert fleet.holder() == "n0"
    assert not fleet.node(1).jobs.sends_callers_away
    fleet.lose_silently(1, 3)
    return fleet


def test_nodes_of_a_cut_data_centre_send_their_callers_away_soon() -> None:
    assert CUT_DETECTION_S < MAX_SILENCE_S
    fleet = cut_fleet()
    fleet.run_for(CUT_DETECTION_S)
    assert [node.jobs.sends_callers_away for node in fleet.nodes_by_id.values()] == [
        False,
        True,
        False,
        True,
    ]
    fleet.regain(1, 3)
    fleet.run_for(1.0)
    assert not fleet.node(1).jobs.sends_callers_away


def test_a_cut_off_node_rejects_jobs_at_once_as_not_stored() -> None:
    fleet = cut_fleet()
    fleet.run_for(CUT_DETECTION_S)
    submission = ensureDeferred(fleet.node(1).jobs.submit(job(), fleet.deadline()))
    answers: list[ApiResponse] = []
    submission.addCallback(answers.append)
    fleet.run_for(0.05)
    assert [answer.status for answer in answers] == [HttpStatus.SERVICE_UNAVAILABLE]
