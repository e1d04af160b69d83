"""How long a caller waits at an entry VM that is cut off."""

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock, deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.submissions import (
    NO_STORE_RELAY_TIMEOUT_S,
    NOT_STORED,
    StoreOutcome,
    StoreResult,
    Submissions,
)
from tamarackmount.platform.store import KeyedRecord, Topic
from tests.utils.memory_store import MemoryStore

JOBS = Topic("keyed.jobs")
ROW = KeyedRecord("job/1", b"{}")
DEADLINE_S = 3.0


class EntryVm:
    """Submissions of an entry VM whose holder answers, or does not."""

    def __init__(
        self, *, hears_store: bool, holder: StoreResult | None, after_s: float = 0.02
    ) -> None:
        """Let the holder answer ``after_s`` seconds, if it answers."""
        self.clock = Clock()
        self._holder = holder
        self._after_s = after_s
        self.store = MemoryStore(self.clock)
        self.words: list[StoreResult] = []
        reactor: Any = self.clock
        store: Any = self.store
        self._submissions = Submissions(
            reactor, store, JOBS, self._relay, lambda: hears_store
        )

    def hand_in(self) -> None:
        """Hand a record in."""
        deadline = Instant(self.clock.seconds() + DEADLINE_S)
        handing_in = ensureDeferred(self._submissions.store(ROW, deadline))
        handing_in.addCallback(self.words.append)

    def _relay(
        self, _record: KeyedRecord, timeout_s: float
    ) -> "Deferred[StoreResult | None]":
        unknown = StoreResult(StoreOutcome.UNKNOWN)
        answers = self._holder is not None and self._after_s <= timeout_s
        wait_s = self._after_s if answers else timeout_s
        reactor: Any = self.clock
        return deferLater(reactor, wait_s, lambda: self._holder if answers else unknown)


def test_a_node_that_the_store_turns_away_hands_on_to_the_holder() -> None:
    node = EntryVm(hears_store=False, holder=StoreResult(StoreOutcome.STORED))
    node.hand_in()
    node.clock.advance(0.02)
    assert node.words == [StoreResult(StoreOutcome.STORED)]


def test_a_node_that_is_cut_off_says_so_soon() -> None:
    node = EntryVm(hears_store=False, holder=None)
    node.hand_in()
    node.clock.advance(NO_STORE_RELAY_TIMEOUT_S)
    assert node.words == [StoreResult(StoreOutcome.UNKNOWN)]
    assert node.store.appends == 0


def test_it_says_at_once_that_nothing_was_sent_once_the_holder_is_silent() -> None:
    node = EntryVm(hears_store=False, holder=None)
    for _ in range(3):
        node.hand_in()
        node.clock.advance(NO_STORE_RELAY_TIMEOUT_S)
    node.words.clear()
    node.hand_in()
    assert node.words == [NOT_STORED]


def test_a_node_that_hears_the_store_waits_for_the_holder_and_appends_itself() -> None:
    node = EntryVm(hears_store=True, holder=None)
    node.hand_in()
    node.clock.advance(NO_STORE_RELAY_TIMEOUT_S)
    assert not node.words
    node.clock.pump([0.05] * 60)
    assert node.words == [StoreResult(StoreOutcome.STORED)]
