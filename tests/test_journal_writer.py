"""When a holder that stops may stop ordering."""

from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import Epoch
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.journal_writer import (
    BATCH_DELAY_S,
    JournalWriter,
    WriterCallbacks,
)
from tamarackmount.platform.store import KeyedRecord, Topic
from tests.utils.memory_store import MemoryStore

JOBS = Topic("keyed.jobs")
SLOW_S = 0.2
ROW = KeyedRecord("job/1", b"{}")


class Writer:
    """A writer over a store in memory, in virtual time."""

    def __init__(self, append_s: float) -> None:
        """Begin with a store that takes ``append_s`` for an append."""
        self.clock = Clock()
        reactor: Any = self.clock
        store: Any = MemoryStore(self.clock, append_s)
        log = FencedLog(reactor, store, JOBS, Epoch(1))
        events = WriterCallbacks(lambda: None, lambda _: None, lambda _: None)
        self.writer = JournalWriter(reactor, log, events)
        self.settled: list[None] = []

    def settle(self) -> None:
        """Note when the append under way is stored."""
        ensureDeferred(self.writer.wait_for_append()).addCallback(self.settled.append)


def test_without_an_append_under_way_nothing_is_waited_for() -> None:
    writer = Writer(SLOW_S)
    writer.settle()
    assert writer.settled


def test_an_append_under_way_is_waited_for_once() -> None:
    writer = Writer(SLOW_S)
    writer.writer.add(ROW)
    writer.settle()
    writer.clock.pump([BATCH_DELAY_S] * int(SLOW_S / BATCH_DELAY_S - 2))
    assert not writer.settled
    writer.writer.add(ROW)
    writer.clock.pump([BATCH_DELAY_S] * 5)
    assert writer.settled
