"""Waiting for the pending append while a holder shuts down."""

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
    """A journal writer over an in-memory store, in virtual time."""

    def __init__(self, append_s: float) -> None:
        """Use a store that takes ``append_s`` for an append."""
        self.clock = Clock()
        reactor: Any = self.clock
        store: Any = MemoryStore(self.clock, append_s)
        log = FencedLog(reactor, store, JOBS, Epoch(1))
        callbacks = WriterCallbacks(lambda: None, lambda _: None, lambda _: None)
        self.writer = JournalWriter(reactor, log, callbacks)
        self.finished_waits: list[None] = []

    def start_wait(self) -> None:
        """Wait for the pending append; record when it is stored."""
        ensureDeferred(self.writer.wait_for_append()).addCallback(
            self.finished_waits.append
        )


def test_wait_returns_at_once_without_pending_append() -> None:
    writer = Writer(SLOW_S)
    writer.start_wait()
    assert writer.finished_waits


def test_wait_covers_only_the_pending_append() -> None:
    writer = Writer(SLOW_S)
    writer.writer.add(ROW)
    writer.start_wait()
    writer.clock.pump([BATCH_DELAY_S] * int(SLOW_S / BATCH_DELAY_S - 2))
    assert not writer.finished_waits
    writer.writer.add(ROW)
    writer.clock.pump([BATCH_DELAY_S] * 5)
    assert writer.finished_waits
