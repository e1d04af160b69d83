"""The owner's decisions about the jobs of one data centre.

A :class:`Scheduler` does no I/O: every method takes what happened and the time,
and returns what is to be done. It assumes of its daemon and of the platform:

- every command is sent at most once and is answered by exactly one method call
  (``worker_synced``, ``worker_failed`` or ``worker_stale`` for a sync,
  ``command_answered``, ``command_failed`` or ``worker_stale`` for the others);
- no command reaches a worker later than ``command_timeout_s`` after it was sent,
  and none that a former owner sends reaches one after that time from this owner's
  takeover, unless the worker has answered a sync of this epoch and so refuses it;
- a worker ends an attempt whose lease it did not see renewed, and its clock runs
  slow by less than ``clock_margin_s`` over a lease;
- records that a former owner saves are held no more once those held so far were
  given to ``restore``;
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
    TeamId,
    WorkerId,
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
    CommandResult.NO_CAPACITY: AttemptEnd.NO_ROOM,
    CommandResult.START_FAILED: AttemptEnd.REFUSED,
}
"""Results of a start after which the attempt does not run."""


class Scheduler:
    """Accepts, places, watches and ends the jobs of one data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        owner: MemberId,
        epoch: Epoch,
        timing: SchedulerTiming,
        now: Instant,
        policies: PolicyNames | None = None,
    ) -> None:
        """Take over the data centre under ``epoch``, at ``now``."""
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
        chosen = Policies(policies or PolicyNames())
        self._placer = TaskPlacer(state, self._attempts, self._ends, chosen)
        self._recovery = JobRecovery(state, self._ends, self._placer)
        self._calls = JobCalls(state, self._ends, self._placer)

    def restore(self, records: Sequence[str], now: Instant) -> list[JobEffect]:
        """Take over jobs from records that peers or the log hold."""
        self._begin()
        self._recovery.restore(records, now)
        return self._finish(now)

    def set_teams(
        self, teams_by_id: Mapping[TeamId, TeamLimits], now: Instant
    ) -> list[JobEffect]:
        """Replace the shares and ceilings of all teams in this data centre."""
        self._begin()
        if not self._state.accounts.set_limits(teams_by_id):
            return self._finish(now)
        self._state.place_needed = True
        feasibility.check_all(self._state, now)
        ceilings.enforce_all(self._state, self._ends, now)
        return self._finish(now)

    def set_workers(
        self, workers: Sequence[ListedWorker], now: Instant
    ) -> list[JobEffect]:
        """Take the workers of the platform's list; others get nothing new."""
        self._begin()
        for worker in workers:
            self._list_worker(worker, now)
        listed = {worker.id for worker in workers}
        for link in self._state.links_by_worker.values():
            if link.worker_id not in listed:
                link.listed = False
                self._state.refresh_worker(link.worker_id)
        before = dict(self._state.ledger.workers_by_capacity)
        self._state.ledger.set_listed(
            (worker.capacity, not worker.leaving) for worker in workers
        )
        if before != self._state.ledger.workers_by_capacity:
            feasibility.check_all(self._state, now)
            self._state.place_needed = True
        return self._finish(now)

    def call(self, origin: MemberId, call: JobCall, now: Instant) -> list[JobEffect]:
        """Carry out a caller's call."""
        self._begin()
        self._calls.take(origin, call, now)
        return self._finish(now)

    def records_saved(
        self, token: int, durability: Durability, now: Instant
    ) -> list[JobEffect]:
        """Go on with what waited for records that are held now."""
        self._begin()
        jobs = self._state.saves.jobs_of(token)
        attempts = self._state.saves.saved(token, durability)
        new = [job for job in jobs if not job.accepted]
        for job in new:
            self._calls.accepted(job, now)
        for attempt in attempts:
            if _awaits_save(attempt):
                self._attempts.send_start(attempt, now)
        self._placer.run_for(new, now)
        return self._finish(now)

    def records_refused(self, token: int, now: Instant) -> list[JobEffect]:
        """Take back what waited for records that nobody could hold."""
        self._begin()
        jobs = self._state.saves.jobs_of(token)
        attempts = self._state.saves.refused(token, now)
        for attempt in attempts:
            if _awaits_save(attempt):
                self._attempts.drop_unsent(attempt, now)
        for job in jobs:
            self._calls.refused(job)
        return self._finish(now)

    def worker_synced(
        self, worker_id: WorkerId, report: WorkerReport, now: Instant
    ) -> list[JobEffect]:
        """Read a worker's answer to a sync."""
        self._begin()
        link = self._state.links_by_worker.get(worker_id)
        if link is not None:
            self._syncs.synced(link, report, now)
        return self._finish(now)

    def worker_failed(self, worker_id: WorkerId, now: Instant) -> list[JobEffect]:
        """Note that a sync failed or timed out; its effect is unknown."""
        self._begin()
        link = self._state.links_by_worker.get(worker_id)
        if link is not None:
            self._syncs.failed(link, now)
        return self._finish(now)

    def worker_stale(
        self, worker_id: WorkerId, highest: Epoch, now: Instant
    ) -> list[JobEffect]:
        """Stop commanding, since a worker knows a later owner."""
        self._begin()
        if highest > self._state.epoch:
            self._state.superseded = True
        return self._finish(now)

    def command_answered(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        attempt: int,
        reply: CommandReply,
        now: Instant,
    ) -> list[JobEffect]:
        """Read a worker's answer to a start, stop or checkpoint.

        The reply does not say to which command it belongs, so it ends an attempt
        only with results that starts alone have; the rest is left to reports.
        """
        self._begin()
        found = self._find(worker_id, task_id, attempt)
        if found is not None:
            self._read_reply(found, reply, now)
        return self._finish(now)

    def command_failed(
        self, worker_id: WorkerId, task_id: TaskId, attempt: int, now: Instant
    ) -> list[JobEffect]:
        """Note that a start, stop or checkpoint had no answer."""
        self._begin()
        found = self._find(worker_id, task_id, attempt)
        if found is not None and found.phase is AttemptPhase.CHECKPOINTING:
            self._attempts.stop(found, found.stop_reason, now)
        return self._finish(now)

    def tick(self, now: Instant) -> list[JobEffect]:
        """Do what is due; wanted at least every few tens of milliseconds."""
        self._begin()
        state = self._state
        self._recovery.release_quarantined(now)
        state.end_backoffs(now)
        for worker_id in state.health.end_backoffs(now):
            if worker_id in state.links_by_worker:
                state.refresh_worker(worker_id)
        self._placer.run(now)
        self._syncs.send_due(now)
        self._drop_old(now)
        return self._finish(now)

    def records(self) -> list[str]:
        """Return the records of all accepted jobs."""
        jobs = self._state.table.jobs_by_id.values()
        return [record_text(job) for job in jobs if job.accepted and job.version]

    def usage(self) -> Mapping[TeamId, TeamUsage]:
        """Return what every team uses and has waiting."""
        teams = list(self._state.accounts.accounts_by_team)
        return {team_id: self._state.usage_of(team_id) for team_id in teams}

    def _begin(self) -> None:
        self._state.step += 1

    def _finish(self, now: Instant) -> list[JobEffect]:
        state = self._state
        for save in state.saves.flush(now):
            state.emit(save)
        return state.take_effects()

    def _list_worker(self, worker: ListedWorker, now: Instant) -> None:
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

    def _find(
        self, worker_id: WorkerId, task_id: TaskId, number: int
    ) -> Attempt | None:
        link = self._state.links_by_worker.get(worker_id)
        attempt = link.attempts_by_task.get(task_id) if link is not None else None
        if attempt is None or attempt.number != number:
            return None
        return attempt

    def _read_reply(self, attempt: Attempt, reply: CommandReply, now: Instant) -> None:
        end = END_BY_RESULT.get(reply.result)
        if end is not None:
            self._ends.over(attempt, end, now)
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

    def _drop_old(self, now: Instant) -> None:
        dropped = self._state.table.take_dropped(now)
        if not dropped:
            return
        for job_id in dropped:
            self._state.health.forget_job(job_id)
        self._state.emit(DropRecords(dropped))


def _awaits_save(attempt: Attempt) -> bool:
    return is_current(attempt) and attempt.phase is AttemptPhase.SAVING
