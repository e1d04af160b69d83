"""What the holder tells the store, and what becomes true once it is stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.forecast import FORECAST_STORE_INTERVAL_S
from tamarackmount.scheduling.journal import (
    CompletenessRecord,
    RecordKind,
    encode_record,
    record_key,
    worker_key,
)
from tamarackmount.scheduling.model import JobPhase, WorkerIncarnation
from tamarackmount.scheduling.order_results import send_stored_start
from tamarackmount.scheduling.retention import tombstones
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.worker_leases import worker_record
from tamarackmount.scheduling.workers import ContactState
from tamarackmount.units import MS_PER_SECOND

MAX_BATCH_RECORDS = 500
"""Records in one append; 4 KB each stay far under the store's 2 MB a call."""


@dataclass(frozen=True, slots=True)
class Batch:
    """News for the store, and what becomes true once it is stored.

    ``starts`` are orders whose runs are among the news. A ``completeness`` says whether
    the store holds every run from then on.
    """

    records: tuple[tuple[str, bytes], ...]
    phases: tuple[tuple[JobId, JobPhase], ...]
    acks: tuple[tuple[WorkerIncarnation, int], ...]
    starts: tuple[StartRun, ...] = ()
    completeness: CompletenessRecord | None = None


class StoreBatcher:
    """Collects batches; one at a time is on its way to the store."""

    def __init__(self, state: SchedulerState) -> None:
        """Tell what changes in ``state``."""
        self._state = state
        self._store_forecast_at_unix_ms = 0
        self._removals: list[tuple[str, bytes]] = []

    def remove_jobs(self, job_ids: list[JobId]) -> None:
        """Remove jobs from the store with the next batch."""
        for job_id in job_ids:
            self._state.stored_final_phase_by_job.pop(job_id, None)
        self._removals.extend(tombstones(job_ids))

    def next_batch(self, now: Instant, unix_ms: int) -> Batch | None:
        """Return news for the store, or nothing if there are none."""
        state = self._state
        mark = self._next_mark(now)
        news = (
            state.changed_jobs,
            state.changed_workers,
            state.removed_workers,
            self._removals,
        )
        if not any(news) and mark is None:
            return None
        state.write_ahead.append_sent(now)
        records, self._removals = self._removals, []
        if mark is not None:
            records.append((record_key(RecordKind.COMPLETENESS), encode_record(mark)))
        self._add_forecast(records, unix_ms)
        phases = self._add_jobs(records, unix_ms)
        acks = self._add_workers(records)
        starts, state.unstored_starts = state.unstored_starts, []
        return Batch(tuple(records), tuple(phases), tuple(acks), tuple(starts), mark)

    def batch_stored(self, batch: Batch, now: Instant) -> None:
        """Take that the store holds a batch."""
        self._state.write_ahead.append_stored(now)
        self._phases_stored(batch.phases)
        self._acks_stored(batch.acks, now)
        starts = list(batch.starts)
        if batch.completeness is not None:
            starts += self._marked(batch.completeness)
        for start in starts:
            send_stored_start(self._state, start, now)

    def _phases_stored(self, phases: Iterable[tuple[JobId, JobPhase]]) -> None:
        state = self._state
        for job_id, phase in phases:
            if phase.is_final:
                state.stored_final_phase_by_job[job_id] = phase
            job = state.jobs_by_id.get(job_id)
            if job is not None:
                state.remove_if_finished(job)

    def _acks_stored(
        self, acks: Iterable[tuple[WorkerIncarnation, int]], now: Instant
    ) -> None:
        for incarnation, ack in acks:
            worker = self._state.workers_by_incarnation.get(incarnation)
            if worker is None:
                continue
            worker.recorded = True
            if ack > worker.stored_end:
                worker.stored_end = ack
                worker.next_poll_at = max(now, worker.earliest_poll_at)

    def _marked(self, mark: CompletenessRecord) -> list[StartRun]:
        """Take that the store holds a mark; return orders that need not wait."""
        state = self._state
        state.write_ahead.stored_as_complete = mark.is_complete
        if mark.is_complete:
            return []
        state.write_ahead.is_enabled = False
        orders, state.unstored_starts = state.unstored_starts, []
        return orders

    def _next_mark(self, now: Instant) -> CompletenessRecord | None:
        """Return a mark if the store's one has to change.

        Orders wait from the moment at which a mark of completeness is written, with
        all runs that are not stored; they leave at once only after the other mark is
        stored.
        """
        state = self._state
        write_ahead = state.write_ahead
        waits = write_ahead.should_enable(now)
        if waits and state.may_have_unstored_starts and self._has_unseen_workers():
            return None
        if waits:
            write_ahead.is_enabled = True
            state.may_have_unstored_starts = False
        if waits is write_ahead.stored_as_complete:
            return None
        return CompletenessRecord(waits)

    def _has_unseen_workers(self) -> bool:
        workers = self._state.workers_by_incarnation.values()
        return any(
            row.recorded and row.contact is ContactState.UNCONFIRMED for row in workers
        )

    def _add_forecast(self, records: list[tuple[str, bytes]], unix_ms: int) -> None:
        if unix_ms < self._store_forecast_at_unix_ms:
            return
        pause_ms = int(FORECAST_STORE_INTERVAL_S * MS_PER_SECOND)
        self._store_forecast_at_unix_ms = unix_ms + pause_ms
        forecast = encode_record(self._state.forecast.to_record())
        records.append((record_key(RecordKind.FORECAST), forecast))

    def _add_jobs(
        self, records: list[tuple[str, bytes]], unix_ms: int
    ) -> list[tuple[JobId, JobPhase]]:
        state = self._state
        phases: list[tuple[JobId, JobPhase]] = []
        while state.changed_jobs and len(records) < MAX_BATCH_RECORDS:
            job = state.jobs_by_id.get(state.changed_jobs.pop())
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
    ) -> list[tuple[WorkerIncarnation, int]]:
        state = self._state
        acks: list[tuple[WorkerIncarnation, int]] = []
        for incarnation in list(state.changed_workers):
            worker = state.workers_by_incarnation.get(incarnation)
            if worker is None:
                continue
            record = worker_record(worker)
            records.append((worker_key(incarnation), encode_record(record)))
            acks.append((incarnation, worker.known_end))
        state.changed_workers.clear()
        records.extend(
            (worker_key(incarnation), b"") for incarnation in state.removed_workers
        )
        state.removed_workers.clear()
        return acks
