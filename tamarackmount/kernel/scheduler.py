"""Schedules the jobs of one data centre on behalf of its owner.

A :class:`Scheduler` does no I/O: each method takes an event and the time, and
returns the effects to carry out. It relies on these guarantees of its daemon and of
the platform:

- every command is sent at most once and is answered by exactly one method call
  (``worker_synced``, ``worker_failed`` or ``worker_stale`` for a sync,
  ``command_answered``, ``command_failed`` or ``worker_stale`` for the others);
- a command reaches a worker within ``command_timeout_s`` after it was sent or not
  at all; ``command_timeout_s`` after this owner's takeover, a command of a former
  owner reaches only workers that have answered a sync of this epoch and so refuse it;
- a worker ends an attempt whose lease was not renewed in time, and its clock loses
  less than ``clock_margin_s`` over one lease;
- after the stored records were given to ``restore``, no further records of a former
  owner are stored;
- a worker reports every attempt that it has not been told to forget.
"""

from collections.abc import Mapping, Sequence

from tamarackmount.adapters.worker_schema import (
    CommandReply,
    CommandResult,
    WorkerReport,
)
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Instant,
    MemberId,
    TaskId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.kernel import ceilings, feasibility
from tamarackmount.kernel.job_calls import JobCalls
from tamarackmount.kernel.job_effects import (
    DropRecords,
    Durability,
    JobEffect,
    ListedWorker,
    SchedulerTiming,
    TeamLimits,
    TeamUsage,
)
from tamarackmount.kernel.job_records import record_text
from tamarackmount.kernel.job_recovery import JobRecovery
from tamarackmount.kernel.job_table import JobTable
from tamarackmount.kernel.jobs import Attempt, AttemptEnd, AttemptPhase
from tamarackmount.kernel.messages import JobCall
from tamarackmount.kernel.policies import Policies, PolicyNames
from tamarackmount.kernel.record_saves import RecordSaves
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import TaskAttempts
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.task_placement import TaskPlacer, is_current
from tamarackmount.kernel.worker_health import WorkerHealth
from tamarackmount.kernel.worker_links import WorkerLink
from tamarackmount.kernel.worker_syncs import WorkerSyncs

END_BY_RESULT = {
    CommandResult.NO_CAPACITY: AttemptEnd.NO_CAPACITY,
    CommandResult.START_FAILED: AttemptEnd.START_FAILED,
}
"""End of an attempt for each result of a start that did not run it."""


class Scheduler:
    """Accepts, places, monitors and ends the jobs of one data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        owner: MemberId,
        epoch: Epoch,
        timing: SchedulerTiming,
        now: Instant,
        policies: PolicyNames | None = None,
    ) -> None:
        """Take over the data centre under ``epoch`` at ``now``."""
        table = JobTable(data_centre)
        self._state = SchedulerState(
            data_centre=data_centre,
            owner=owner,
            epoch=epoch,
            timing=timing,
            table=table,
            saves=RecordSaves(epoch, table, timing.record_save_s),
            health=WorkerHealth(timing.worker_backoff_s),
        )
        state = self._state
        self._attempts = TaskAttempts(state)
        self._ends = TaskEnds(state, self._attempts)
        self._syncs = WorkerSyncs(state, self._attempts, self._ends)
        selected = Policies(policies or PolicyNames())
        self._placer = TaskPlacer(state, self._attempts, self._ends, selected)
        self._recovery = JobRecovery(state, self._ends, self._placer)
        self._calls = JobCalls(state, self._ends, self._placer)

    def restore(self, records: Sequence[str], now: Instant) -> list[JobEffect]:
        """Take over jobs from records that members or the log stored."""
        self._begin_step()
        self._recovery.restore(records, now)
        return self._finish_step(now)

    def set_teams(
        self, teams_by_id: Mapping[WorkspaceId, TeamLimits], now: Instant
    ) -> list[JobEffect]:
        """Replace the shares and ceilings of all teams in this data centre."""
        self._begin_step()
        if not self._state.accounts.set_limits(teams_by_id):
            return self._finish_step(now)
        self._state.place_needed = True
        feasibility.check_all(self._state, now)
        ceilings.enforce_all(self._state, self._ends, now)
        return self._finish_step(now)

    def set_workers(
        self, workers: Sequence[ListedWorker], now: Instant
    ) -> list[JobEffect]:
        """Replace the list of workers; those no longer listed get no new tasks."""
        self._begin_step()
        for worker in workers:
            self._add_listed_worker(worker, now)
        listed = {worker.id for worker in workers}
        for link in self._state.links_by_worker.values():
            if link.worker_id not in listed:
                link.listed = False
                self._state.refresh_worker(link.worker_id)
        before = dict(self._state.ledger.worker_count_by_capacity)
        self._state.ledger.set_listed(
            (worker.capacity, not worker.leaving) for worker in workers
        )
        if before != self._state.ledger.worker_count_by_capacity:
            feasibility.check_all(self._state, now)
            self._state.place_needed = True
        return self._finish_step(now)

    def call(self, origin: MemberId, call: JobCall, now: Instant) -> list[JobEffect]:
        """Carry out a caller's call."""
        self._begin_step()
        self._calls.handle(origin, call, now)
        return self._finish_step(now)

    def records_saved(
        self, token: int, durability: Durability, now: Instant
    ) -> list[JobEffect]:
        """Answer the callers and send the starts that waited for saved records."""
        self._begin_step()
        jobs = self._state.saves.jobs_of(token)
        attempts = self._state.saves.saved(token, durability)
        new_jobs = [job for job in jobs if not job.accepted]
        for job in new_jobs:
            self._calls.record_saved(job, now)
        for attempt in attempts:
            if _awaits_save(attempt):
                self._attempts.send_start(attempt, now)
        self._placer.run_for(new_jobs, now)
        return self._finish_step(now)

    def records_refused(self, token: int, now: Instant) -> list[JobEffect]:
        """Remove the unsent attempts and refuse the new jobs of records not stored."""
        self._begin_step()
        jobs = self._state.saves.jobs_of(token)
        attempts = self._state.saves.refused(token, now)
        for attempt in attempts:
            if _awaits_save(attempt):
                self._attempts.drop_unsent(attempt, now)
        for job in jobs:
            self._calls.record_refused(job)
        return self._finish_step(now)

    def worker_synced(
        self, worker_id: WorkerId, report: WorkerReport, now: Instant
    ) -> list[JobEffect]:
        """Handle a worker's answer to a sync."""
        self._begin_step()
        link = self._state.links_by_worker.get(worker_id)
        if link is not None:
            self._syncs.synced(link, report, now)
        return self._finish_step(now)

    def worker_failed(self, worker_id: WorkerId, now: Instant) -> list[JobEffect]:
        """Handle a sync that failed or timed out, whose effect is unknown."""
        self._begin_step()
        link = self._state.links_by_worker.get(worker_id)
        if link is not None:
            self._syncs.failed(link, now)
        return self._finish_step(now)

    def worker_stale(
        self, worker_id: WorkerId, highest: Epoch, now: Instant
    ) -> list[JobEffect]:
        """Stop sending commands if a worker knows a higher epoch."""
        self._begin_step()
        if highest > self._state.epoch:
            self._state.superseded = True
        return self._finish_step(now)

    def command_answered(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        attempt: int,
        reply: CommandReply,
        now: Instant,
    ) -> list[JobEffect]:
        """Handle a worker's answer to a start, stop or checkpoint.

        The reply does not name its command, so it ends an attempt only with a result
        that only a start can have. All other ends are taken from worker reports.
        """
        self._begin_step()
        found = self._find_attempt(worker_id, task_id, attempt)
        if found is not None:
            self._handle_reply(found, reply, now)
        return self._finish_step(now)

    def command_failed(
        self, worker_id: WorkerId, task_id: TaskId, attempt: int, now: Instant
    ) -> list[JobEffect]:
        """Handle a start, stop or checkpoint that was not answered."""
        self._begin_step()
        found = self._find_attempt(worker_id, task_id, attempt)
        if found is not None and found.phase is AttemptPhase.CHECKPOINTING:
            self._attempts.stop(found, found.stop_reason, now)
        return self._finish_step(now)

    def tick(self, now: Instant) -> list[JobEffect]:
        """Do what is due; call this at least every few tens of milliseconds."""
        self._begin_step()
        state = self._state
        self._recovery.release_quarantined(now)
        state.end_backoffs(now)
        for worker_id in state.health.end_backoffs(now):
            if worker_id in state.links_by_worker:
                state.refresh_worker(worker_id)
        self._placer.run(now)
        self._syncs.send_due(now)
        self._drop_expired_jobs(now)
        return self._finish_step(now)

    def records(self) -> list[str]:
        """Return the records of all accepted jobs."""
        jobs = self._state.table.jobs_by_id.values()
        return [record_text(job) for job in jobs if job.accepted and job.version]

    def usage(self) -> Mapping[WorkspaceId, TeamUsage]:
        """Return the resource use and the number of waiting tasks of every team."""
        teams = list(self._state.accounts.accounts_by_team)
        return {team_id: self._state.usage_of(team_id) for team_id in teams}

    def _begin_step(self) -> None:
        self._state.step += 1

    def _finish_step(self, now: Instant) -> list[JobEffect]:
        state = self._state
        for save in state.saves.flush(now):
            state.emit(save)
        return state.take_effects()

    def _add_listed_worker(self, worker: ListedWorker, now: Instant) -> None:
        state = self._state
        link = state.links_by_worker.get(worker.id)
        if link is None:
            link = WorkerLink(worker.id, now, worker.rack, worker.capacity)
            state.links_by_worker[worker.id] = link
            self._syncs.schedule(link, now)
        link.listed = True
        link.leaving = worker.leaving
        link.listed_capacity = worker.capacity
        state.ledger.add(worker.id, link.rack, link.capacity())
        state.refresh_worker(worker.id)

    def _find_attempt(
        self, worker_id: WorkerId, task_id: TaskId, number: int
    ) -> Attempt | None:
        link = self._state.links_by_worker.get(worker_id)
        attempt = link.attempts_by_task.get(task_id) if link is not None else None
        if attempt is None or attempt.number != number:
            return None
        return attempt

    def _handle_reply(
        self, attempt: Attempt, reply: CommandReply, now: Instant
    ) -> None:
        end = END_BY_RESULT.get(reply.result)
        if end is not None:
            self._ends.attempt_ended(attempt, end, now)
            return
        is_start_reply = not attempt.start_answered and not reply.checkpoint
        attempt.start_answered = True
        if reply.result is CommandResult.DONE:
            attempt.seen_at_step = attempt.seen_at_step or self._state.step
        if reply.checkpoint:
            job = attempt.job
            job.checkpoints_by_index[attempt.index] = reply.checkpoint
        if attempt.phase is AttemptPhase.CHECKPOINTING:
            if not is_start_reply:
                self._attempts.stop(attempt, attempt.stop_reason, now)
        elif attempt.phase is AttemptPhase.STOPPING:
            link = self._state.links_by_worker[attempt.worker_id]
            self._syncs.sync_soon(link, now)
        elif reply.result is CommandResult.DONE:
            attempt.phase = AttemptPhase.RUNNING

    def _drop_expired_jobs(self, now: Instant) -> None:
        dropped = self._state.table.remove_expired(now)
        if not dropped:
            return
        for job_id in dropped:
            self._state.health.forget_job(job_id)
        self._state.emit(DropRecords(dropped))


def _awaits_save(attempt: Attempt) -> bool:
    return is_current(attempt) and attempt.phase is AttemptPhase.SAVING
