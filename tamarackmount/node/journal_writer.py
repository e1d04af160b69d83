"""The holder's news and what entry VMs hand on, one append at a time."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tamarackmount.node.fenced_log import FencedLog, is_outcome_unknown
from tamarackmount.node.submissions import StoreOutcome
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import Appended, KeyedRecord, StoreError
from tamarackmount.scheduling.store_batches import Batch

BATCH_DELAY_S = 0.004
"""Pause in which news gather before an append, in seconds: as long as one takes."""

MAX_SUBMISSIONS = 200
"""Callers' records in one append; 4 KB each stay under the store's 2 MB a call."""


@dataclass(frozen=True, slots=True)
class WriterCallbacks:
    """What the writer asks for and tells.

    ``take_batch`` returns news or nothing; ``on_stored`` is told of a stored batch;
    ``on_fenced`` is called when another holder writes.
    """

    take_batch: Callable[[], Batch | None]
    on_stored: Callable[[Batch], None]
    on_fenced: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _Submission:
    record: KeyedRecord
    result: "Deferred[StoreOutcome]"


class JournalWriter:
    """Writes to the jobs' topic while its node holds the scheduling."""

    def __init__(self, reactor: Any, log: FencedLog, events: WriterCallbacks) -> None:
        """Write to ``log``."""
        self._reactor = reactor
        self._log = log
        self._events = events
        self._is_writing = False
        self._is_over = False
        self._stored_appends = 0
        self._submissions: deque[_Submission] = deque()

    def start_writing(self) -> None:
        """Write what there is to write, unless an append is under way."""
        if not self._is_writing and not self._is_over:
            self._is_writing = True
            spawn(self._write())

    def add(self, record: KeyedRecord) -> "Deferred[StoreOutcome]":
        """Store a caller's record; refused at once while the store takes nothing."""
        result: Deferred[StoreOutcome] = Deferred()
        if self._is_over or not self._log.is_store_available:
            result.callback(StoreOutcome.NOT_STORED)
            return result
        self._submissions.append(_Submission(record, result))
        self.start_writing()
        return result

    async def flush(self) -> None:
        """Write all news; returns once they are stored or this holder may not write."""
        self.start_writing()
        # The append under way may lack the newest news; the one after it has them.
        await self._appended(2)

    async def wait_for_append(self) -> None:
        """Return once the append under way, if there is one, is stored."""
        await self._appended(1)

    async def _appended(self, count: int) -> None:
        enough = self._stored_appends + count
        while self._is_writing and self._stored_appends < enough:
            if self._is_over:
                return
            await self._sleep(BATCH_DELAY_S)

    def stop(self) -> None:
        """Write no more."""
        self._is_over = True
        self._refuse_waiting()

    async def _write(self) -> None:
        while not self._is_over:
            batch = self._events.take_batch()
            submissions = self._take_submissions()
            if batch is None and not submissions:
                break
            records = [] if batch is None else list(batch.records)
            rows = [KeyedRecord(key, value) for key, value in records]
            if not await self._append(rows, submissions):
                break
            self._stored_appends += 1
            if batch is not None:
                self._events.on_stored(batch)
            await self._sleep(BATCH_DELAY_S)
        self._is_writing = False
        if self._is_over:
            self._refuse_waiting()

    def _take_submissions(self) -> list[_Submission]:
        count = min(len(self._submissions), MAX_SUBMISSIONS)
        return [self._submissions.popleft() for _ in range(count)]

    def _refuse_waiting(self) -> None:
        for submission in self._take_submissions():
            submission.result.callback(StoreOutcome.NOT_STORED)

    async def _append(
        self, rows: list[KeyedRecord], submissions: list[_Submission]
    ) -> bool:
        """Append until that is done; false if this holder may write no more.

        Submissions are answered at once where the store surely took nothing.
        """
        is_maybe_stored = False
        while not self._is_over:
            all_rows = [*rows, *(submission.record for submission in submissions)]
            if not all_rows:
                return True
            result = await self._log.try_append(all_rows)
            if isinstance(result, Appended):
                _answer(submissions, StoreOutcome.STORED)
                return True
            if not isinstance(result, StoreError):
                self._is_over = True
                _answer(
                    submissions,
                    StoreOutcome.UNKNOWN
                    if is_maybe_stored
                    else StoreOutcome.NOT_STORED,
                )
                self._events.on_fenced(str(result))
                return False
            is_maybe_stored = is_maybe_stored or is_outcome_unknown(result)
            if not is_maybe_stored:
                _answer(submissions, StoreOutcome.NOT_STORED)
                submissions = []
            if not is_outcome_unknown(result):
                await self._log.wait_backoff()
        _answer(
            submissions,
            StoreOutcome.UNKNOWN if is_maybe_stored else StoreOutcome.NOT_STORED,
        )
        return False

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)


def _answer(submissions: list[_Submission], stored: StoreOutcome) -> None:
    for submission in submissions:
        submission.result.callback(stored)
