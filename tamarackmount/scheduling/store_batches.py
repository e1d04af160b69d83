"""What the holder tells the store, and what becomes true once it is stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.forecast import STORE_PAUSE_S
from tamarackmount.scheduling.journal import (
    MarkRecord,
    RecordKind,
    encode_record,
    record_key,
    worker_key,
)
from tamarackmount.scheduling.model import JobPhase, WorkerLife
from tamarackmount.scheduling.order_results import start_recorded
from tamarackmount.scheduling.retention import removals
from tamarackmount.scheduling.scheduler_state import Cell
from tamarackmount.scheduling.worker_leases import worker_record
from tamarackmount.scheduling.workers import Reach
from tamarackmount.units import MS_PER_SECOND

MAX_BATCH_RECORDS = 500
"""Records in one append; 4 KB each stay far under the store's 2 MB a call."""


@dataclass(frozen=True, slots=True)
class Batch:
    """News for the store, and what becomes true once it is stored.

    ``starts`` are orders whose runs are among the news. A ``mark`` says whether the
    store holds every run from then on.
    """

    records: tuple[tuple[str, bytes], ...]
    phases: tuple[tuple[JobId, JobPhase], ...]
    acks: tuple[tuple[WorkerLife, int], ...]
    starts: tuple[StartRun, ...] = ()
    mark: MarkRecord | None = None


class News:
    """Collects batches; one at a time is on its way to the store."""

    def __init__(self, cell: Cell) -> None:
        """Tell what changes in ``cell``."""
        self._cell = cell
        self._store_forecast_at_unix_ms = 0
        self._removals: list[tuple[str, bytes]] = []

    def forget(self, job_ids: list[JobId]) -> None:
        """Remove jobs from the store with the next batch."""
        for job_id in job_ids:
            self._cell.phase_by_job.pop(job_id, None)
        self._removals.extend(removals(job_ids))

    def take(self, now: Instant, unix_ms: int) -> Batch | None:
        """Return news for the store, or nothing if there are none."""
        cell = self._cell
        mark = self._next_mark(now)
        news = (
            cell.changed_jobs,
            cell.changed_workers,
            cell.removed_workers,
            self._removals,
        )
        if not any(news) and mark is None:
            return None
        cell.recording.asked(now)
        records, self._removals = self._removals, []
        if mark is not None:
            records.append((record_key(RecordKind.MARK), encode_record(mark)))
        self._add_forecast(records, unix_ms)
        phases = self._add_jobs(records, unix_ms)
        acks = self._add_workers(records)
        starts, cell.unrecorded = cell.unrecorded, []
        return Batch(tuple(records), tuple(phases), tuple(acks), tuple(starts), mark)

    def stored(self, batch: Batch, now: Instant) -> None:
        """Take that the store holds a batch."""
        self._cell.recording.answered(now)
        self._phases_stored(batch.phases)
        self._acks_stored(batch.acks, now)
        starts = list(batch.starts)
        if batch.mark is not None:
            starts += self._marked(batch.mark)
        for start in starts:
            start_recorded(self._cell, start, now)

    def _phases_stored(self, phases: Iterable[tuple[JobId, JobPhase]]) -> None:
        cell = self._cell
        for job_id, phase in phases:
            if phase.is_final:
                cell.phase_by_job[job_id] = phase
            job = cell.jobs_by_id.get(job_id)
            if job is not None:
                cell.forget_if_over(job)

    def _acks_stored(
        self, acks: Iterable[tuple[WorkerLife, int]], now: Instant
    ) -> None:
        for life, ack in acks:
            worker = self._cell.workers_by_life.get(life)
            if worker is None:
                continue
            worker.recorded = True
            if ack > worker.stored_end:
                worker.stored_end = ack
                worker.next_hold_at = max(now, worker.look_again_at)

    def _marked(self, mark: MarkRecord) -> list[StartRun]:
        """Take that the store holds a mark; return orders that need not wait."""
        cell = self._cell
        cell.recording.is_marked_complete = mark.is_complete
        if mark.is_complete:
            return []
        cell.recording.waits = False
        orders, cell.unrecorded = cell.unrecorded, []
        return orders

    def _next_mark(self, now: Instant) -> MarkRecord | None:
        """Return a mark if the store's one has to change.

        Orders wait from the moment at which a mark of completeness is written, with
        all runs that are not stored; they leave at once only after the other mark is
        stored.
        """
        cell = self._cell
        recording = cell.recording
        waits = recording.wants_to_wait(now)
        if waits and cell.has_unknown_starts and self._has_unseen_workers():
            return None
        if waits:
            recording.waits = True
            cell.has_unknown_starts = False
        if waits is recording.is_marked_complete:
            return None
        return MarkRecord(waits)

    def _has_unseen_workers(self) -> bool:
        workers = self._cell.workers_by_life.values()
        return any(row.recorded and row.reach is Reach.UNSEEN for row in workers)

    def _add_forecast(self, records: list[tuple[str, bytes]], unix_ms: int) -> None:
        if unix_ms < self._store_forecast_at_unix_ms:
            return
        pause_ms = int(STORE_PAUSE_S * MS_PER_SECOND)
        self._store_forecast_at_unix_ms = unix_ms + pause_ms
        forecast = encode_record(self._cell.forecast.record())
        records.append((record_key(RecordKind.FORECAST), forecast))

    def _add_jobs(
        self, records: list[tuple[str, bytes]], unix_ms: int
    ) -> list[tuple[JobId, JobPhase]]:
        cell = self._cell
        phases: list[tuple[JobId, JobPhase]] = []
        while cell.changed_jobs and len(records) < MAX_BATCH_RECORDS:
            job = cell.jobs_by_id.get(cell.changed_jobs.pop())
            if job is None:
                continue
            if job.phase.is_final and not job.final_unix_ms:
                job.final_unix_ms = unix_ms
            key = record_key(RecordKind.PROGRESS, job.job_id)
            records.append((key, encode_record(job.progress())))
            phases.append((job.job_id, job.phase))
        return phases

    def _add_workers(
        self, records: list[tuple[str, bytes]]
    ) -> list[tuple[WorkerLife, int]]:
        cell = self._cell
        acks: list[tuple[WorkerLife, int]] = []
        for life in list(cell.changed_workers):
            worker = cell.workers_by_life.get(life)
            if worker is None:
                continue
            record = worker_record(worker)
            records.append((worker_key(life), encode_record(record)))
            acks.append((life, worker.known_end))
        cell.changed_workers.clear()
        records.extend((worker_key(life), b"") for life in cell.removed_workers)
        cell.removed_workers.clear()
        return acks
