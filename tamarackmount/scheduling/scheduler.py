"""The scheduler: the holder's decisions about all jobs and workers.

It performs no network I/O and reads no clock: methods take an event and the current
time, and :meth:`Scheduler.take_effects` returns the actions to carry out. Each order,
poll and advice request is answered by exactly one call.
"""

import logging
from collections.abc import Callable, Iterable, Iterator, Sequence

from tamarackmount.ids import DataCentreId, Epoch, Instant, JobId, QueueName
from tamarackmount.scheduling.admission.admission import Refusal
from tamarackmount.scheduling.admission.admission_control import AdmissionControl
from tamarackmount.scheduling.advice.advice_requests import AdviceRequests
from tamarackmount.scheduling.contact.order_results import (
    may_send_start,
    start_answered,
    stop_answered,
)
from tamarackmount.scheduling.contact.store_batches import Batch, StoreBatcher
from tamarackmount.scheduling.contact.worker_leases import (
    poll_answered,
    restore_worker,
    update_registered_workers,
)
from tamarackmount.scheduling.contact.worker_polls import (
    may_send_poll,
    poll_and_expire_workers,
)
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import Effect, PollWorker
from tamarackmount.scheduling.domain.fleet_config import FleetConfig, Queue
from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    StepKey,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    PollFailure,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from tamarackmount.scheduling.evidence.crash_evidence import restore_evidence
from tamarackmount.scheduling.execution.occurrences import begin_due, may_begin_more
from tamarackmount.scheduling.execution.run_ends import (
    end_if_all_steps_done,
    end_job,
    give_up_culprits,
)
from tamarackmount.scheduling.jobs.objectives import set_deadlines
from tamarackmount.scheduling.jobs.runs import JobState, StepState, make_job
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer
from tamarackmount.scheduling.limits.ceilings import (
    set_non_urgent_fraction,
    update_non_urgent_fractions,
)
from tamarackmount.scheduling.limits.share_round import mark_new_steps, update_shares
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.placement.evacuated_workers import (
    count_evacuated_runs,
    set_evacuated_data_centres,
)
from tamarackmount.scheduling.placement.placement import place
from tamarackmount.scheduling.placement.preemption import PreemptionRound
from tamarackmount.scheduling.placement.stragglers import handle_stragglers
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.shares.contention import ContentionReports
from tamarackmount.scheduling.shares.observer import NoObserver, Observer
from tamarackmount.scheduling.shares.shares import ShareRow
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import ForecastRecord, WorkerRecord
from tamarackmount.scheduling.workers.free_capacity import FreeCapacityIndex
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

PREEMPTION_INTERVAL_S = 0.05
"""Minimum time between two rounds of preemption, in seconds; a stop takes 0.2 s or
more."""

SHARES_INTERVAL_S = 0.02
"""Minimum time between two rounds in which shares are computed, in seconds. A round
takes 1.4 ms with 180 workers and 210 waiting steps of 20 workspaces, and the holder
ticks after each event."""

MAX_PREEMPTING_STEPS = 8
"""Steps for which one round preempts runs, the most urgent ones first; the search for
runs to preempt takes time."""


class Scheduler:
    """Admits, places, monitors and ends jobs under one fencing token."""

    def __init__(
        self,
        fencing_token: Epoch,
        find_job: Callable[[JobId], AcceptedJob | None],
        observer: Observer | None = None,
    ) -> None:
        """Begin under ``fencing_token``; ``find_job`` looks up any accepted job."""
        self._state = SchedulerState(
            fencing_token, find_job, observer=observer or NoObserver()
        )
        self._advice_requests = AdviceRequests(self._state)
        self._batcher = StoreBatcher(self._state)
        self._admission = AdmissionControl(self._state)
        self._contention = ContentionReports(self, self._admission.forecast)
        self._next_preemption_at = Instant(0.0)
        self._next_shares_at = Instant(0.0)
        self._has_more_to_place = False

    @property
    def fencing_token(self) -> Epoch:
        """The fencing token that all orders carry."""
        return self._state.fencing_token

    @property
    def authority(self) -> HolderAuthority:
        """What this holder is still allowed to do."""
        return self._state.authority

    def restore(
        self,
        jobs: Iterable[JobRecords],
        workers: Iterable[WorkerRecord],
        forecast: ForecastRecord | None,
        former_orders_end_at: Instant,
        runs_are_complete: bool,
        now: Instant,
        unix_ms: int,
    ) -> None:
        """Restore the state from the store's records, all at once."""
        steps = self.restore_in_steps(
            jobs,
            workers,
            forecast,
            former_orders_end_at,
            runs_are_complete,
            now,
            unix_ms,
        )
        for _ in steps:
            pass

    def restore_in_steps(
        self,
        jobs: Iterable[JobRecords],
        workers: Iterable[WorkerRecord],
        forecast: ForecastRecord | None,
        former_orders_end_at: Instant,
        runs_are_complete: bool,
        now: Instant,
        unix_ms: int,
    ) -> Iterator[None]:
        """Restore the state from the store's records; yield after each of them.

        Former holders send no orders after ``former_orders_end_at``. Unless the stored
        ``runs_are_complete``, they may have started runs that are not stored. Nothing
        else may be asked of the scheduler until all steps are done.
        """
        self._state.runs_may_be_incomplete = not runs_are_complete
        self._state.write_ahead.runs_are_complete = runs_are_complete
        if forecast is not None:
            self._state.forecast.restore(forecast)
            self._state.worker_speeds.restore(forecast.means_by_worker)
        for records in jobs:
            self._restore_job(records, now, unix_ms)
            yield
        for worker in workers:
            restore_worker(self._state, worker, former_orders_end_at, now)
            yield
        give_up_culprits(self._state, self._state.crash_suspects.crashes, now)

    def set_fleet_config(self, fleet_config: FleetConfig, now: Instant) -> None:
        """Apply a new version of the configuration."""
        self._state.fleet_config = fleet_config
        for job in self._state.jobs_by_id.values():
            self._apply_queue_settings(job)

    def add_duration_sample(
        self, queue: QueueName, estimated_ms: int, took_s: float
    ) -> None:
        """Add the duration of a task that ended before this holder began."""
        self._state.forecast.add_sample(queue, estimated_ms, took_s)

    def set_stop_timeout(self, stop_timeout_ms: int) -> None:
        """Set the longest time that a worker takes to stop a run, in milliseconds."""
        self._state.stop_timeout_ms = stop_timeout_ms

    def set_max_lease(self, max_lease_ms: int) -> None:
        """Set the longest lease that a worker takes, in milliseconds."""
        self._state.max_lease_ms = max_lease_ms

    def set_max_record_bytes(self, max_record_bytes: int) -> None:
        """Set the length of the longest record that the store takes, in bytes."""
        self._state.max_record_bytes = max_record_bytes

    def set_advice_concurrency(self, max_concurrent: int) -> None:
        """Set the number of entry VMs that can request advice."""
        self._advice_requests.max_concurrent = max(1, max_concurrent)

    def set_authority(self, authority: HolderAuthority) -> None:
        """Set what this holder is still allowed to do."""
        if authority is not self._state.authority:
            # Message and key are kept for operators' tools.
            _log.info("licence changed", extra={"licence": authority.value})
        self._state.authority = authority

    def set_evacuated_data_centres(
        self,
        data_centres: frozenset[DataCentreId],
        now: Instant,  # noqa: ARG002  (as the other events have it)
    ) -> None:
        """Start no more runs in these data centres, and in no others unless listed.

        Runs in them go on; tickets and reservations for their workers are released.
        """
        if data_centres != self._state.evacuated_data_centres:
            set_evacuated_data_centres(self._state, data_centres)
            self._admission.forecast.invalidate()

    @property
    def evacuated_run_count(self) -> int:
        """The number of runs that go on in evacuated data centres."""
        return count_evacuated_runs(self._state)

    def may_send(self, order: StartOrder) -> bool:
        """Return whether a start order may be sent now."""
        return may_send_start(self._state, order)

    def may_poll(self, poll: PollWorker) -> bool:
        """Return whether a poll may be sent now."""
        return may_send_poll(self._state, poll)

    def set_registered_workers(self, entries: list[WorkerEntry], now: Instant) -> None:
        """Replace the list of registered workers."""
        update_registered_workers(self._state, entries, now)

    def add_job(self, records: JobRecords, now: Instant, unix_ms: int) -> None:
        """Add a stored job with all of its records.

        A job that is already known or has ended is left unchanged: its record may be
        read again, even after another holder has ended it.
        """
        state = self._state
        accepted, progress = records.accepted, records.progress
        if accepted is None or accepted.job_id in state.jobs_by_id:
            return
        if accepted.job_id in state.stored_final_phase_by_job:
            return
        if progress is not None and progress.phase.is_final:
            return
        self._restore_job(records, now, unix_ms, is_new=progress is None)

    def check_admission(self, accepted: AcceptedJob, now: Instant) -> Refusal | None:
        """Return why a job submitted now is not accepted, or None if it is."""
        state = self._state
        if (
            accepted.job_id in state.jobs_by_id
            or accepted.job_id in state.stored_final_phase_by_job
        ):
            return None
        job = make_job(accepted, None, now)
        self._apply_queue_settings(job)
        refusal = self._admission.check(job, now)
        # The steps refer to the job; without the cycle their memory is free at once.
        job.steps_by_key.clear()
        return refusal

    def share_rows(self) -> Sequence[ShareRow]:
        """Return what each workspace has of each pool, as of the last round."""
        return self._state.shares.rows()

    def cancel_job(self, job_id: JobId, now: Instant, unix_ms: int) -> None:
        """End a job whose cancellation is stored."""
        job = self._state.jobs_by_id.get(job_id)
        if job is None or job.phase.is_final:
            return
        job.final_unix_ms = unix_ms
        end_job(self._state, job, JobPhase.CANCELLED, now)
        self._state.stored_final_phase_by_job[job_id] = JobPhase.CANCELLED

    def poll_answered(
        self,
        incarnation: WorkerIncarnation,
        answer: WorkerReport | PollFailure,
        sent: Instant,
        now: Instant,
        *,
        is_extra: bool = False,
    ) -> None:
        """Handle the answer to a poll that was sent at ``sent``."""
        poll_answered(self._state, incarnation, answer, sent, now, is_extra=is_extra)

    def start_answered(
        self,
        incarnation: WorkerIncarnation,
        task: TaskKey,
        run_number: int,
        result: OrderResult,
        now: Instant,
        *,
        clock_ms: int | None = None,
    ) -> None:
        """Handle the result of a start order and the worker's clock in its reply."""
        start_answered(
            self._state, incarnation, task, run_number, result, now, clock_ms
        )

    def stop_answered(
        self,
        incarnation: WorkerIncarnation,
        task: TaskKey,
        run_number: int,
        result: OrderResult,
        now: Instant,
    ) -> None:
        """Handle the result of a stop order."""
        stop_answered(self._state, incarnation, task, run_number, result, now)

    def advice_answered(
        self, step: StepKey, answer: AdviceAnswer | None, now: Instant
    ) -> None:
        """Handle the answer to an advice request, or None if there was none."""
        self._advice_requests.handle_answer(step, answer, now)

    def tick(self, now: Instant, unix_ms: int) -> None:
        """Do what is due.

        Call this every few tens of milliseconds and after each event.
        """
        state = self._state
        begin_due(state, unix_ms)
        poll_and_expire_workers(state, now)
        if state.authority is HolderAuthority.FULL:
            handle_stragglers(state, now)
        capacity_index = FreeCapacityIndex(state.workers_by_incarnation.values(), now)
        if now >= self._next_shares_at:
            self._next_shares_at = Instant(now + SHARES_INTERVAL_S)
            update_shares(state, now)
            update_non_urgent_fractions(state, now)
        self._has_more_to_place = False
        if state.ready_steps_by_key:
            placed = place(state, capacity_index, now)
            self._has_more_to_place = not placed.is_complete or may_begin_more(state)
            if now >= self._next_preemption_at:
                self._next_preemption_at = Instant(now + PREEMPTION_INTERVAL_S)
                self._preempt(placed.blocked_steps[:MAX_PREEMPTING_STEPS], now)
        self._advice_requests.send_due_requests(capacity_index, now)
        self._contention.report_if_due(state.observer, now)

    @property
    def has_more_to_place(self) -> bool:
        """Whether the last tick ended before all ready steps were looked at.

        The next one should follow at once.
        """
        return self._has_more_to_place

    def remove_jobs(self, job_ids: list[JobId]) -> None:
        """Remove jobs from the store with the next batch."""
        self._batcher.remove_jobs(job_ids)

    def remove_cancels(self, job_ids: list[JobId]) -> None:
        """Remove cancellations of unknown jobs from the store with the next batch."""
        self._batcher.remove_cancels(job_ids)

    def take_effects(self) -> list[Effect]:
        """Return the actions that were requested since the last call."""
        effects, self._state.effects = self._state.effects, []
        return effects

    @property
    def waits_for_store(self) -> bool:
        """Whether start orders are held back until their runs are stored."""
        return bool(self._state.unstored_starts)

    def take_batch(self, now: Instant, unix_ms: int) -> Batch | None:
        """Return the changes to store, or None if there are none."""
        return self._batcher.next_batch(now, unix_ms)

    def batch_stored(self, batch: Batch, now: Instant) -> None:
        """Apply the consequences of a batch that is now stored."""
        self._batcher.batch_stored(batch, now)

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return the phase to report to callers; a final one only once it is stored."""
        state = self._state
        stored = state.stored_final_phase_by_job.get(job_id)
        if stored is not None:
            return stored
        job = state.jobs_by_id.get(job_id)
        if job is None:
            return None
        return JobPhase.RUNNING if job.phase.is_final else job.phase

    def failure_cause(self, job_id: JobId) -> FailureCause | None:
        """Return why a job has failed, if it has."""
        return self._state.failure_cause_by_job.get(job_id)

    def _restore_job(
        self, records: JobRecords, now: Instant, unix_ms: int, is_new: bool = False
    ) -> None:
        if records.accepted is None:
            return
        state = self._state
        age_s = max(0.0, (unix_ms - records.accepted.accepted_unix_ms) / MS_PER_SECOND)
        job = make_job(records.accepted, records.progress, Instant(now - age_s))
        job.is_restored = not is_new
        self._apply_queue_settings(job)
        if is_new:
            job.is_over_share = self._is_over_share(job, now)
            job.forecast_wait_s = self._admission.take_forecast_wait_s(job.job_id)
            set_non_urgent_fraction(state, job)
            mark_new_steps(state, job)
        state.add_job(job)
        restore_evidence(state, job)
        if records.is_cancelled:
            self.cancel_job(job.job_id, now, unix_ms)
            return
        for step in job.steps_by_key.values():
            state.make_ready(step)
        end_if_all_steps_done(state, job, now)

    def _preempt(
        self, blocked_steps: list[tuple[StepState, Queue]], now: Instant
    ) -> None:
        if not blocked_steps:
            return
        round_ = PreemptionRound(self._state, now)
        for step, queue in blocked_steps:
            round_.preempt_for(step, queue)

    def _apply_queue_settings(self, job: JobState) -> None:
        state = self._state
        queue = state.queue_of(job)
        job.priority = queue.priority
        set_deadlines(job, queue, state.forecast)

    def _is_over_share(self, job: JobState, now: Instant) -> bool:
        state = self._state
        workspace = state.workspace_of_job(job)
        return workspace is not None and state.workspace_rate_limiter.count_and_check(
            job, workspace.weight, now
        )
