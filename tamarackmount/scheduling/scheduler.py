"""The holder's decisions about all jobs and workers.

Every method takes what happened and the time; :meth:`Scheduler.take_effects` returns
what is to be done. Orders and looks are answered by one call each.
"""

import logging
from collections.abc import Callable, Iterable

from tamarackmount.ids import Epoch, Instant, JobId, QueueName
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.admission import Refusal, admit
from tamarackmount.scheduling.advice_requests import Advising
from tamarackmount.scheduling.effects import Effect
from tamarackmount.scheduling.fleet_config import Fleet, Queue
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.job_index import KnownJob
from tamarackmount.scheduling.journal import (
    ForecastRecord,
    WorkerRecord,
)
from tamarackmount.scheduling.model import JobPhase, StepKey, TaskKey, WorkerLife
from tamarackmount.scheduling.objectives import set_objective
from tamarackmount.scheduling.observer import NoObserver, Observer
from tamarackmount.scheduling.order_results import (
    start_answered,
    stop_answered,
)
from tamarackmount.scheduling.placement import place
from tamarackmount.scheduling.preemption import Preemption
from tamarackmount.scheduling.run_ends import end_job, make_ready
from tamarackmount.scheduling.runs import JobState, StepState, make_job
from tamarackmount.scheduling.scheduler_state import Cell
from tamarackmount.scheduling.step_advice import AdviceAnswer
from tamarackmount.scheduling.store_batches import Batch, News
from tamarackmount.scheduling.stragglers import stop_stragglers
from tamarackmount.scheduling.worker_leases import (
    list_workers,
    restore_worker,
    watch_workers,
    worker_held,
)
from tamarackmount.scheduling.worker_reports import (
    OrderResult,
    WorkerEntry,
    WorkerReport,
    WorkerTrouble,
)
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

MAKE_ROOM_PAUSE_S = 0.05
"""Pause between two rounds of making room, in seconds; a stop takes 0.2 s or more."""

MAX_PREEMPTING = 8
"""Steps for which room is made at once: the most urgent ones; looking costs time."""


class Scheduler:
    """Accepts, places, watches and ends jobs under one token."""

    def __init__(
        self,
        token: Epoch,
        find_job: Callable[[JobId], AcceptedJob | None],
        observer: Observer | None = None,
    ) -> None:
        """Begin under ``token``; ``find_job`` looks any accepted job up."""
        self._cell = Cell(token, find_job, observer=observer or NoObserver())
        self._advising = Advising(self._cell)
        self._news = News(self._cell)
        self._make_room_at = Instant(0.0)

    @property
    def token(self) -> Epoch:
        """The fencing token of all orders."""
        return self._cell.token

    def restore(
        self,
        jobs: Iterable[KnownJob],
        workers: Iterable[WorkerRecord],
        forecast: ForecastRecord | None,
        last_order: Instant,
        is_complete: bool,
        now: Instant,
        unix_ms: int,
    ) -> None:
        """Take over what the store holds.

        Earlier holders send no more orders after ``last_order``. Unless the store
        ``is_complete``, they may have started tasks that it does not know of.
        """
        self._cell.has_unknown_starts = not is_complete
        self._cell.recording.is_marked_complete = is_complete
        if forecast is not None:
            self._cell.forecast.restore(forecast)
        for known in list(jobs):
            self._restore_job(known, now, unix_ms)
        for record in list(workers):
            restore_worker(self._cell, record, last_order, now)

    def set_fleet(self, fleet: Fleet, now: Instant) -> None:
        """Take a new version of the configuration."""
        self._cell.fleet = fleet
        for job in self._cell.jobs_by_id.values():
            self._set_queue(job)

    def learn(self, queue: QueueName, estimated_ms: int, took_s: float) -> None:
        """Take the duration of a task that ended before this holder began."""
        self._cell.forecast.learn(queue, estimated_ms, took_s)

    def set_lanes(self, lanes: int) -> None:
        """Take the number of entry VMs that can ask for advice."""
        self._advising.lanes = max(1, lanes)

    def set_licence(self, licence: Licence) -> None:
        """Take what this holder may still do."""
        if licence is not self._cell.licence:
            _log.info("licence changed", extra={"licence": licence.value})
        self._cell.licence = licence

    def set_workers(self, entries: list[WorkerEntry], now: Instant) -> None:
        """Take the workers that are registered now."""
        list_workers(self._cell, entries, now)

    def add_job(self, known: KnownJob, now: Instant, unix_ms: int) -> None:
        """Take a job that the store holds, with all that the store knows of it.

        One that is worked on is left alone, and one that is over stays so: the record
        of a job may come again, also after another holder has ended it.
        """
        cell = self._cell
        accepted, progress = known.accepted, known.progress
        if accepted is None or accepted.job_id in cell.jobs_by_id:
            return
        if accepted.job_id in cell.phase_by_job:
            return
        if progress is not None and progress.phase.is_final:
            return
        self._restore_job(known, now, unix_ms, is_new=progress is None)

    def refusal(self, accepted: AcceptedJob, now: Instant) -> Refusal | None:
        """Return why a job that comes now is not accepted; nothing if it is."""
        cell = self._cell
        if accepted.job_id in cell.jobs_by_id or accepted.job_id in cell.phase_by_job:
            return None
        job = make_job(accepted, None, now)
        self._set_queue(job)
        found = admit(cell, job, now)
        if found is not None:
            extra = {
                "job": accepted.job_id,
                "team": accepted.team_id,
                "queue": accepted.queue,
                "reason": found.reason.value,
                "retry_after_s": round(found.retry_after_s, 1),
            }
            _log.info("job refused", extra=extra)
        return found

    def cancel_job(self, job_id: JobId, now: Instant, unix_ms: int) -> None:
        """End a job whose cancelling the store holds."""
        job = self._cell.jobs_by_id.get(job_id)
        if job is None or job.phase.is_final:
            return
        job.final_unix_ms = unix_ms
        end_job(self._cell, job, JobPhase.CANCELLED, now)
        self._cell.phase_by_job[job_id] = JobPhase.CANCELLED

    def worker_held(
        self,
        life: WorkerLife,
        answer: WorkerReport | WorkerTrouble,
        sent: Instant,
        now: Instant,
    ) -> None:
        """Take the answer of a look at a worker that was sent at ``sent``."""
        worker_held(self._cell, life, answer, sent, now)

    def start_answered(
        self,
        life: WorkerLife,
        task: TaskKey,
        run: int,
        result: OrderResult,
        now: Instant,
    ) -> None:
        """Take the answer to an order to start."""
        start_answered(self._cell, life, task, run, result, now)

    def stop_answered(
        self,
        life: WorkerLife,
        task: TaskKey,
        run: int,
        result: OrderResult,
        now: Instant,
    ) -> None:
        """Take the answer to an order to stop."""
        stop_answered(self._cell, life, task, run, result, now)

    def advice_answered(
        self, step: StepKey, answer: AdviceAnswer | None, now: Instant
    ) -> None:
        """Take the answer to a question about a step."""
        self._advising.answered(step, answer, now)

    def tick(self, now: Instant, unix_ms: int) -> None:
        """Do what is due; wanted every few tens of milliseconds and after inputs."""
        cell = self._cell
        for step in list(cell.timed_by_key.values()):
            if unix_ms >= step.due_unix_ms:
                del cell.timed_by_key[step.key]
                cell.ready_by_key[step.key] = step
        watch_workers(cell, now)
        if cell.licence is Licence.FULL:
            stop_stragglers(cell, now)
        if cell.ready_by_key:
            starved = place(cell, now)
            if now >= self._make_room_at:
                self._make_room_at = Instant(now + MAKE_ROOM_PAUSE_S)
                self._make_room(starved[:MAX_PREEMPTING], now)
        self._advising.ask(now)

    def forget(self, job_ids: list[JobId]) -> None:
        """Remove jobs from the store with the next batch."""
        self._news.forget(job_ids)

    def take_effects(self) -> list[Effect]:
        """Return what is to be done since the last call."""
        effects, self._cell.effects = self._cell.effects, []
        return effects

    @property
    def waits_for_record(self) -> bool:
        """Whether orders are held back until the store holds their runs."""
        return bool(self._cell.unrecorded)

    def take_batch(self, now: Instant, unix_ms: int) -> Batch | None:
        """Return news for the store, or nothing if there are none."""
        return self._news.take(now, unix_ms)

    def stored(self, batch: Batch, now: Instant) -> None:
        """Take that the store holds a batch."""
        self._news.stored(batch, now)

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return what a caller is told; final phases once the store holds them."""
        cell = self._cell
        known = cell.phase_by_job.get(job_id)
        if known is not None:
            return known
        job = cell.jobs_by_id.get(job_id)
        if job is None:
            return None
        return JobPhase.RUNNING if job.phase.is_final else job.phase

    def _restore_job(
        self, known: KnownJob, now: Instant, unix_ms: int, is_new: bool = False
    ) -> None:
        if known.accepted is None:
            return
        cell = self._cell
        age_s = max(0.0, (unix_ms - known.accepted.accepted_unix_ms) / MS_PER_SECOND)
        job = make_job(known.accepted, known.progress, Instant(now - age_s))
        job.is_restored = not is_new
        self._set_queue(job)
        if is_new:
            job.over_share = self._is_over_share(job, now)
        cell.jobs_by_id[job.job_id] = job
        if known.cancelled_unix_ms is not None:
            self.cancel_job(job.job_id, now, unix_ms)
            return
        for step in job.steps_by_key.values():
            make_ready(cell, step)
        self._end_if_over(job.job_id, now)

    def _make_room(self, starved: list[tuple[StepState, Queue]], now: Instant) -> None:
        if not starved:
            return
        round_ = Preemption(self._cell, now)
        for step, queue in starved:
            round_.make_room(step, queue)

    def _set_queue(self, job: JobState) -> None:
        cell = self._cell
        queue = cell.queue_of(job)
        job.priority = queue.priority
        set_objective(job, queue, cell.forecast)

    def _is_over_share(self, job: JobState, now: Instant) -> bool:
        cell = self._cell
        team = cell.team(job)
        return team is not None and cell.shares.is_over(job, team.weight, now)

    def _end_if_over(self, job_id: JobId, now: Instant) -> None:
        """End a restored job whose last end was stored, but not its phase."""
        job = self._cell.jobs_by_id[job_id]
        if all(step.is_done for step in job.steps_by_key.values()):
            end_job(self._cell, job, JobPhase.COMPLETED, now)
