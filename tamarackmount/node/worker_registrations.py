"""Follows the workers' registrations in the store for the holder."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure

from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import WORKERS_TOPIC, KeyedRecord, Store
from tamarackmount.platform.workers import decode_worker
from tamarackmount.scheduling.domain.worker_reports import WorkerEntry

WORKERS_READ_INTERVAL_S = 0.25
"""Minimum time between the starts of two reads of the registrations, in seconds. Each
worker writes every 1.5 s, and a worker that leaves has to be known within 2 s."""

WORKERS_READ_WAIT_MS = 1_000
"""Long-poll wait of such a read, in milliseconds."""

_log = logging.getLogger(__name__)


class WorkerRegistrations:
    """Calls ``on_change`` with all workers whenever a registration changes."""

    def __init__(
        self, reactor: Any, store: Store, on_change: Callable[[list[WorkerEntry]], None]
    ) -> None:
        """Prepare to follow the registrations; ``tail`` starts the reads."""
        self._on_change = on_change
        self._entries_by_id: dict[str, WorkerEntry] = {}
        self._unreadable_ids: set[str] = set()
        self.tail = TopicTail(
            reactor,
            store,
            WORKERS_TOPIC,
            self._apply_snapshot,
            self._apply_records,
            WORKERS_READ_WAIT_MS,
            WORKERS_READ_INTERVAL_S,
        )

    def _apply_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        self._entries_by_id.clear()
        for record in records:
            self._apply(record)
        self._notify()

    def _apply_records(self, records: Sequence[KeyedRecord]) -> None:
        changed = [record for record in records if self._apply(record)]
        if changed:
            self._notify()

    def _notify(self) -> None:
        self._on_change(list(self._entries_by_id.values()))

    def _apply(self, record: KeyedRecord) -> bool:
        """Apply one registration; tell whether it changes anything."""
        before = self._entries_by_id.pop(record.key, None)
        if not record.value:
            return before is not None
        decoded = decode_worker(record.key, record.value)
        if isinstance(decoded, Failure):
            self._log_unreadable(record.key, decoded.failure())
            return before is not None
        self._unreadable_ids.discard(record.key)
        self._entries_by_id[record.key] = decoded.unwrap()
        return before != decoded.unwrap()

    def _log_unreadable(self, worker: str, reason: str) -> None:
        """Log an unreadable registration once, until it is readable again."""
        if worker not in self._unreadable_ids:
            self._unreadable_ids.add(worker)
            extra = {"worker": worker, "reason": reason}
            _log.warning(
                "worker registration not readable; worker ignored", extra=extra
            )
