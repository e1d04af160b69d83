"""Batches of records for the store, and what follows once a batch is stored."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.contact.order_results import send_stored_start
from tamarackmount.scheduling.contact.worker_leases import worker_record
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import JobPhase, WorkerIncarnation
from tamarackmount.scheduling.estimates.forecast import FORECAST_STORE_INTERVAL_S
from tamarackmount.scheduling.execution.run_starts import waits_for_its_record
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import (
    CompletenessRecord,
    RecordKind,
    encode_record,
    record_key,
    worker_key,
)
from tamarackmount.scheduling.store.record_limits import encode_progress
from tamarackmount.scheduling.store.retention import (
    cancel_tombstones,
    tombstones,
)
from tamarackmount.units import MS_PER_SECOND

MAX_BATCH_JOB_BYTES = 256 * 1024
"""Bytes of job records from which a batch takes no further ones: the time to encode and
to store them grows with their length."""

MAX_BATCH_RECORDS = 500
"""Number of records from which a batch takes no further job records. Records of workers
follow in the batch that has the last of them, without a limit; the journal writer
splits what is too large for one append."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to append, and what follows once they are stored.

    ``records`` may be stored in several appends: jobs come before the workers whose
    acknowledged run ends they contain, and a completeness record comes last.
    ``phases`` are the phases of the jobs in the batch. ``acks`` are the highest run
    end numbers of its workers, which may be acknowledged then. ``starts`` are start
    orders whose runs are in the batch; they may be sent then. ``completeness`` is set
    if the batch changes whether the store holds every run that may exist.
    """

    records: tuple[tuple[str, bytes], ...]
    phases: tuple[tuple[JobId, JobPhase], ...]
    acks: tuple[tuple[WorkerIncarnation, int], ...]
    starts: tuple[StartRun, ...] = ()
    completeness: CompletenessRecord | None = None


class StoreBatcher:
    """Collects changes into batches.

    The caller takes a batch only after the one before it is stored.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Begin with the changes in ``state``."""
        self._state = state
        self._store_forecast_at_unix_ms = 0
        self._tombstones: list[tuple[str, bytes]] = []

    def remove_jobs(self, job_ids: list[JobId]) -> None:
        """Remove jobs from the store with the next batch."""
        for job_id in job_ids:
            self._state.stored_final_phase_by_job.pop(job_id, None)
            self._state.failure_cause_by_job.pop(job_id, None)
        self._tombstones.extend(tombstones(job_ids))

    def remove_cancels(self, job_ids: list[JobId]) -> None:
        """Remove cancellations of unknown jobs from the store with the next batch."""
        self._tombstones.extend(cancel_tombstones(job_ids))

    def next_batch(self, now: Instant, unix_ms: int) -> Batch | None:
        """Return the changes to store, or None if there are none."""
        state = self._state
        completeness = self._next_completeness(now)
        changes = (
            state.changed_jobs,
            state.changed_workers,
            state.removed_workers,
            self._tombstones,
        )
        if not any(changes) and completeness is None:
            return None
        state.write_ahead.append_sent(now)
        records, self._tombstones = self._tombstones, []
        self._add_forecast_record(records, unix_ms)
        phases = self._add_job_records(records, unix_ms)
        if state.changed_jobs:
            # What the jobs learned from their workers is stored before these forget it.
            return Batch(tuple(records), tuple(phases), ())
        acks = self._add_worker_records(records, now)
        if completeness is not None:
            records.append(
                (record_key(RecordKind.COMPLETENESS), encode_record(completeness))
            )
        starts, state.unstored_starts = state.unstored_starts, []
        return Batch(
            tuple(records), tuple(phases), tuple(acks), tuple(starts), completeness
        )

    def batch_stored(self, batch: Batch, now: Instant) -> None:
        """Apply the consequences of a batch that is now stored."""
        self._state.write_ahead.append_stored(now)
        self._apply_stored_phases(batch.phases)
        self._apply_stored_acks(batch.acks, now)
        starts = list(batch.starts)
        if batch.completeness is not None:
            starts += self._apply_stored_completeness(batch.completeness)
        for start in starts:
            send_stored_start(self._state, start, now)

    def _apply_stored_phases(self, phases: Iterable[tuple[JobId, JobPhase]]) -> None:
        state = self._state
        for job_id, phase in phases:
            if phase.is_final:
                state.stored_final_phase_by_job[job_id] = phase
            job = state.jobs_by_id.get(job_id)
            if job is not None:
                state.remove_if_finished(job)

    def _apply_stored_acks(
        self, acks: Iterable[tuple[WorkerIncarnation, int]], now: Instant
    ) -> None:
        for incarnation, ack in acks:
            worker = self._state.workers_by_incarnation.get(incarnation)
            if worker is None:
                continue
            worker.is_stored = True
            if ack > worker.stored_end_number:
                worker.stored_end_number = ack
                worker.next_poll_at = max(now, worker.earliest_poll_at)

    def _apply_stored_completeness(
        self, completeness: CompletenessRecord
    ) -> list[StartRun]:
        """Apply a stored completeness record; return orders that may be sent now."""
        state = self._state
        state.write_ahead.runs_are_complete = completeness.is_complete
        if completeness.is_complete:
            return []
        state.write_ahead.is_enabled = False
        # The others wait for the batch that has their runs.
        unstored, state.unstored_starts = state.unstored_starts, []
        released: list[StartRun] = []
        for start in unstored:
            order = start.order
            run = state.find_run(order.incarnation, order.task, order.run_number)
            is_held = run is not None and waits_for_its_record(state, run)
            (state.unstored_starts if is_held else released).append(start)
        return released

    def _next_completeness(self, now: Instant) -> CompletenessRecord | None:
        """Return a completeness record if the stored one has to change.

        Start orders wait from the moment at which a record that says "complete" is
        written; its batch contains all runs that are not stored yet. No such record is
        written while workers that may have unstored runs have not answered. Orders are
        sent at once only after a record that says "incomplete" is stored.
        """
        state = self._state
        write_ahead = state.write_ahead
        should_enable = write_ahead.should_enable(now)
        if (
            should_enable
            and state.runs_may_be_incomplete
            and self._has_unconfirmed_workers()
        ):
            return None
        if should_enable:
            write_ahead.is_enabled = True
            state.runs_may_be_incomplete = False
        if should_enable is write_ahead.runs_are_complete:
            return None
        return CompletenessRecord(should_enable)

    def _has_unconfirmed_workers(self) -> bool:
        workers = self._state.workers_by_incarnation.values()
        return any(worker.may_have_unknown_runs for worker in workers)

    def _add_forecast_record(
        self, records: list[tuple[str, bytes]], unix_ms: int
    ) -> None:
        if unix_ms < self._store_forecast_at_unix_ms:
            return
        interval_ms = int(FORECAST_STORE_INTERVAL_S * MS_PER_SECOND)
        self._store_forecast_at_unix_ms = unix_ms + interval_ms
        state = self._state
        record = replace(
            state.forecast.to_record(), means_by_worker=state.worker_speeds.to_record()
        )
        records.append((record_key(RecordKind.FORECAST), encode_record(record)))

    def _add_job_records(
        self, records: list[tuple[str, bytes]], unix_ms: int
    ) -> list[tuple[JobId, JobPhase]]:
        state = self._state
        phases: list[tuple[JobId, JobPhase]] = []
        job_bytes = 0
        while (
            state.changed_jobs
            and len(records) < MAX_BATCH_RECORDS
            and job_bytes < MAX_BATCH_JOB_BYTES
        ):
            job = state.jobs_by_id.get(state.changed_jobs.pop())
            if job is None:
                continue
            if job.phase.is_final and not job.final_unix_ms:
                job.final_unix_ms = unix_ms
            key = record_key(RecordKind.PROGRESS, job.job_id)
            text = encode_progress(job.job_id, job.progress(), state.max_record_bytes)
            records.append((key, text))
            job_bytes += len(text)
            phases.append((job.job_id, job.phase))
        return phases

    def _add_worker_records(
        self, records: list[tuple[str, bytes]], now: Instant
    ) -> list[tuple[WorkerIncarnation, int]]:
        state = self._state
        acks: list[tuple[WorkerIncarnation, int]] = []
        for incarnation in list(state.changed_workers):
            worker = state.workers_by_incarnation.get(incarnation)
            if worker is None:
                continue
            record = worker_record(worker, now)
            records.append((worker_key(incarnation), encode_record(record)))
            acks.append((incarnation, worker.reported_end_number))
        state.changed_workers.clear()
        records.extend(
            (worker_key(incarnation), b"") for incarnation in state.removed_workers
        )
        state.removed_workers.clear()
        return acks
