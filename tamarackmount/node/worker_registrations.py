"""The workers' registrations in the store, as the holder follows them."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure

from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import WORKERS_TOPIC, KeyedRecord, Store
from tamarackmount.platform.workers import decode_worker
from tamarackmount.scheduling.worker_reports import WorkerEntry

WORKERS_PAUSE_S = 0.25
"""Pause between two reads of the workers' registrations, in seconds; each worker
writes every 1.5 s, and a leaving one has to be known within 2 s."""

WORKERS_WAIT_MS = 1_000
"""How long such a read waits for news, in milliseconds."""

_log = logging.getLogger(__name__)


class WorkerRegistrations:
    """Calls ``changed`` with all workers whenever a registration says anything new."""

    def __init__(
        self, reactor: Any, store: Store, changed: Callable[[list[WorkerEntry]], None]
    ) -> None:
        """Prepare to follow the registrations."""
        self._changed = changed
        self._entries_by_id: dict[str, WorkerEntry] = {}
        self._unreadable: set[str] = set()
        self.tail = TopicTail(
            reactor,
            store,
            WORKERS_TOPIC,
            self._snapshot,
            self._records,
            WORKERS_WAIT_MS,
            WORKERS_PAUSE_S,
        )

    def _snapshot(self, records: Sequence[KeyedRecord]) -> None:
        self._entries_by_id.clear()
        for record in records:
            self._take(record)
        self._pass_on()

    def _records(self, records: Sequence[KeyedRecord]) -> None:
        changed = [record for record in records if self._take(record)]
        if changed:
            self._pass_on()

    def _pass_on(self) -> None:
        self._changed(list(self._entries_by_id.values()))

    def _take(self, record: KeyedRecord) -> bool:
        """Keep one registration; tell whether it says anything new."""
        before = self._entries_by_id.pop(record.key, None)
        if not record.value:
            return before is not None
        decoded = decode_worker(record.key, record.value)
        if isinstance(decoded, Failure):
            self._note_unreadable(record.key, decoded.failure())
            return before is not None
        self._unreadable.discard(record.key)
        self._entries_by_id[record.key] = decoded.unwrap()
        return before != decoded.unwrap()

    def _note_unreadable(self, worker: str, reason: str) -> None:
        """Log a registration that names no worker, once until it is readable."""
        if worker not in self._unreadable:
            self._unreadable.add(worker)
            extra = {"worker": worker, "reason": reason}
            _log.warning("registration skipped", extra=extra)
