"""The holder's state, which the parts of its decisions share."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant, JobId, TeamId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.effects import Effect, StartRun, StopRun
from tamarackmount.scheduling.fleet_config import Fleet, Queue, Team
from tamarackmount.scheduling.forecast import Forecast
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.model import JobPhase, StepKey, TaskKey, WorkerLife
from tamarackmount.scheduling.observer import NoObserver, Observer
from tamarackmount.scheduling.ranking import TeamShares
from tamarackmount.scheduling.runs import JobState, Run, RunPhase, StepState
from tamarackmount.scheduling.workers import WorkerState
from tamarackmount.scheduling.write_ahead import Recording

_log = logging.getLogger(__name__)

STOP_RETRY_S = 0.2
"""Least time between two stops of one run, in seconds; an order takes milliseconds."""


@dataclass(slots=True)
class Cell:
    """Jobs, workers and teams under one holder's token.

    ``ready_by_key`` are steps that may start now and have tasks without a run.
    ``changed_jobs`` and ``changed_workers`` have news that the store does not hold;
    ``unrecorded`` are orders that are not sent before it holds their runs. After a
    takeover without such records there may be ``has_unknown_starts``.
    ``strays_by_task`` counts runs that nobody wants and that are not surely over.
    ``phase_by_job`` is what callers are told of jobs in a final phase: what the store
    holds.
    """

    token: Epoch
    find_job: Callable[[JobId], AcceptedJob | None]
    fleet: Fleet | None = None
    jobs_by_id: dict[JobId, JobState] = field(default_factory=dict)
    ready_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    timed_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    workers_by_life: dict[WorkerLife, WorkerState] = field(default_factory=dict)
    strays_by_task: Counter[TaskKey] = field(default_factory=Counter)
    used_by_team: dict[TeamId, Resources] = field(default_factory=dict)
    phase_by_job: dict[JobId, JobPhase] = field(default_factory=dict)
    changed_jobs: set[JobId] = field(default_factory=set)
    changed_workers: set[WorkerLife] = field(default_factory=set)
    removed_workers: set[WorkerLife] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    unrecorded: list[StartRun] = field(default_factory=list)
    recording: Recording = field(default_factory=Recording)
    has_unknown_starts: bool = False
    observer: Observer = field(default_factory=NoObserver)
    forecast: Forecast = field(default_factory=Forecast)
    shares: TeamShares = field(default_factory=TeamShares)
    licence: Licence = Licence.FULL
    check_stragglers_at: Instant = Instant(0.0)
    superseded: bool = False

    def emit(self, effect: Effect) -> None:
        """Ask for something."""
        self.effects.append(effect)

    def queue_of(self, job: JobState) -> Queue:
        """Return the terms of a job: its queue's, or those that it came under."""
        terms = job.accepted.terms
        if self.fleet is None:
            return terms
        return self.fleet.queues_by_name.get(terms.name, terms)

    def step_of(self, task: TaskKey) -> StepState | None:
        """Return the step of a task of an open job."""
        job = self.jobs_by_id.get(task.job_id)
        if job is None:
            return None
        step = job.steps_by_key.get(task.step_key)
        if step is None or not 0 <= task.index < step.spec.count:
            return None
        return step

    def add_stray(self, worker: WorkerState, run: Run, now: Instant) -> None:
        """Count the room of a run that nobody wants, and stop it.

        Its team is not charged: it ends within the time that a stop takes. Its task
        starts nowhere before.
        """
        run.is_stray = True
        run.charged = NOTHING
        self.strays_by_task[run.task] += 1
        worker.hold_room(run)
        self.stop_run(run, now)

    def team(self, job: JobState) -> Team | None:
        """Return a job's team, unless the configuration lacks it."""
        if self.fleet is None:
            return None
        return self.fleet.teams_by_id.get(job.accepted.team_id)

    def team_of(self, run: Run) -> TeamId | None:
        """Return the team of a run of an open job."""
        job = self.jobs_by_id.get(run.task.job_id)
        return job.accepted.team_id if job is not None else None

    def find_run(self, life: WorkerLife, task: TaskKey, number: int) -> Run | None:
        """Return a run that is not surely over."""
        worker = self.workers_by_life.get(life)
        run = worker.runs_by_task.get(task) if worker is not None else None
        return run if run is not None and run.number == number else None

    def add_run(self, worker: WorkerState, step: StepState, run: Run) -> None:
        """Count a new run."""
        worker.hold_room(run)
        self.changed_workers.add(worker.life)
        step.runs_by_index[run.task.index] = run
        step.pending.discard(run.task.index)
        if not step.pending:
            self.ready_by_key.pop(step.key, None)
        team = step.job.accepted.team_id
        self.used_by_team[team] = self.used_by_team.get(team, NOTHING) + run.charged

    def drop_run(self, run: Run, now: Instant) -> None:
        """Count a run no more; its task waits again unless it is done."""
        worker = self.workers_by_life.get(run.life)
        if worker is not None:
            worker.free_room(run)
            self.changed_workers.add(worker.life)
        if run.is_stray:
            self.strays_by_task -= Counter([run.task])
            return
        job = self.jobs_by_id.get(run.task.job_id)
        if job is None:
            return
        team = job.accepted.team_id
        self.used_by_team[team] = self.used_by_team.get(team, NOTHING) - run.charged
        step = job.steps_by_key[run.task.step_key]
        if step.runs_by_index.get(run.task.index) is run:
            del step.runs_by_index[run.task.index]
        step.copies = [copy for copy in step.copies if copy is not run]
        self.wait_again(step, run.task.index)
        self.forget_if_over(job)

    def copy_elsewhere(self, run: Run) -> bool:
        """Let a task start again beside a run that may be lost, if its step allows it.

        Load pattern: a worker is cut off, hangs or turns slow under urgent tasks, which
        would be late long before its lease is over. A task has one copy at a time.
        """
        step = self.step_of(run.task)
        index = run.task.index
        if step is None or not step.may_copy or index in step.done:
            return False
        if step.runs_by_index.get(index) is not run:
            return False
        if any(copy.task == run.task for copy in step.copies):
            return False
        del step.runs_by_index[index]
        step.copies.append(run)
        self.wait_again(step, index)
        return True

    def wait_again(self, step: StepState, index: int) -> None:
        """Let a task wait for a start, if there is anything left to do."""
        if step.job.phase.is_final or index in step.done:
            return
        if index in step.runs_by_index:
            return
        step.pending.add(index)
        self.ready_by_key[step.key] = step
        if (0 if step.spec.gang else index) in step.checkpoints_by_index:
            self.changed_jobs.add(step.key.job_id)

    def forget_if_over(self, job: JobState) -> None:
        """Forget a job that is over and has no run left."""
        if not job.phase.is_final or job.job_id in self.changed_jobs:
            return
        if any(step.runs() for step in job.steps_by_key.values()):
            return
        self.jobs_by_id.pop(job.job_id, None)

    def stop_run(self, run: Run, now: Instant) -> None:
        """Order a run to stop, now and again until that is confirmed."""
        if run.phase is RunPhase.RUNNING:
            run.phase = RunPhase.STOPPING
        elif run.phase is RunPhase.STARTING:
            run.phase = RunPhase.UNSETTLED
        worker = self.workers_by_life.get(run.life)
        if worker is None or run.stop_in_flight or now < run.next_stop_at:
            return
        run.stop_in_flight = True
        run.next_stop_at = Instant(now + STOP_RETRY_S)
        self.emit(StopRun(run.life, worker.entry.address, run.task, run.number))
