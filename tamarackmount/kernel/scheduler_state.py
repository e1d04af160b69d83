"""State that the components of a scheduler share."""

import heapq
from dataclasses import dataclass, field

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Instant,
    JobId,
    MemberId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.kernel.capacity import CapacityLedger
from tamarackmount.kernel.job_effects import (
    AnswerJob,
    JobEffect,
    SchedulerTiming,
    TeamUsage,
)
from tamarackmount.kernel.job_table import JobTable
from tamarackmount.kernel.jobs import Job, TaskState
from tamarackmount.kernel.record_saves import RecordSaves
from tamarackmount.kernel.shares import TeamAccounts
from tamarackmount.kernel.waiting_queue import WaitingQueue
from tamarackmount.kernel.worker_health import WorkerHealth
from tamarackmount.kernel.worker_links import WorkerLink


@dataclass(frozen=True, slots=True, order=True)
class RetryBackoff:
    """A task that must not be started again before ``until``."""

    until: Instant
    job_id: JobId
    index: int


@dataclass(slots=True)
class SchedulerState:
    """One data centre as its owner sees it.

    ``step`` counts the calls of the scheduler; the effects of a call are collected
    in ``effects``. ``place_needed`` is set when a waiting task may have become
    placeable.
    """

    data_centre: DataCentreId
    owner: MemberId
    epoch: Epoch
    timing: SchedulerTiming
    table: JobTable
    saves: RecordSaves
    health: WorkerHealth
    ledger: CapacityLedger = field(default_factory=CapacityLedger)
    accounts: TeamAccounts = field(default_factory=TeamAccounts)
    queue: WaitingQueue = field(default_factory=WaitingQueue)
    links_by_worker: dict[WorkerId, WorkerLink] = field(default_factory=dict)
    backoffs: list[RetryBackoff] = field(default_factory=list)
    effects: list[JobEffect] = field(default_factory=list)
    step: int = 0
    superseded: bool = False
    place_needed: bool = True

    def emit(self, effect: JobEffect) -> None:
        """Add an effect; once superseded, add only answers to callers."""
        if self.superseded and not isinstance(effect, AnswerJob):
            return
        self.effects.append(effect)

    def take_effects(self) -> list[JobEffect]:
        """Return and clear the collected effects."""
        effects = self.effects
        self.effects = []
        return effects

    def lease_deadline(self, sent_at: Instant) -> Instant:
        """Return when a lease that a call of ``sent_at`` renewed ends at the latest."""
        timing = self.timing
        term = timing.command_timeout_s + timing.task_lease_s + timing.clock_margin_s
        return Instant(sent_at + term)

    def back_off(self, job: Job, index: int, now: Instant) -> None:
        """Delay the next attempt of a task by the retry backoff."""
        until = Instant(now + self.timing.retry_backoff_s)
        job.backoff_until_by_index[index] = until
        heapq.heappush(self.backoffs, RetryBackoff(until, job.id, index))

    def end_backoffs(self, now: Instant) -> None:
        """Put tasks whose backoff is over back into the queue."""
        while self.backoffs and self.backoffs[0].until <= now:
            backoff = heapq.heappop(self.backoffs)
            job = self.table.jobs_by_id.get(backoff.job_id)
            if job is None:
                continue
            if job.backoff_until_by_index.get(backoff.index) != backoff.until:
                continue
            del job.backoff_until_by_index[backoff.index]
            job.waiting.add(backoff.index)
            self.queue.refresh(job)
            self.place_needed = True

    def refresh_worker(self, worker_id: WorkerId) -> None:
        """Update whether a worker is schedulable, from its link and health."""
        link = self.links_by_worker[worker_id]
        is_schedulable = link.takes_work and self.health.accepts(worker_id)
        if self.ledger.set_schedulable(worker_id, is_schedulable) and is_schedulable:
            self.place_needed = True

    def job_changed(self, job: Job, now: Instant) -> None:
        """Update the queue and mark the record for saving after a job changed.

        A job that has just ended is saved soon and scheduled for removal.
        """
        self.queue.refresh(job)
        self.saves.mark(job, now)
        if not job.is_over() or job.ended:
            return
        job.ended = True
        self.saves.mark(job, now, soon=True)
        self.table.schedule_removal(
            job, Instant(now + self.timing.ended_job_retention_s)
        )

    def usage_of(self, team_id: WorkspaceId) -> TeamUsage:
        """Return the resource use and the number of waiting tasks of a team."""
        account = self.accounts.account(team_id)
        jobs = self.table.of_team(team_id)
        waiting = sum(job.counts()[TaskState.WAITING] for job in jobs)
        return TeamUsage(account.running_tasks, account.amount, waiting)
