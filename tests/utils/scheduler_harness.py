"""A scheduler connected to fake workers, without faults by default."""

import json
from collections.abc import Callable, Sequence
from typing import Any

from tamarackmount.adapters.worker_schema import (
    CommandReply,
    StaleEpoch,
    StartCommand,
    TaskCommand,
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
from tamarackmount.kernel.job_effects import (
    AnswerJob,
    CheckpointTask,
    DropRecords,
    Durability,
    JobEffect,
    ListedWorker,
    SaveRecords,
    SchedulerTiming,
    StartTask,
    StopTask,
    SyncWorker,
)
from tamarackmount.kernel.messages import JobAction, JobAnswer, JobCall
from tamarackmount.kernel.policies import PolicyNames
from tamarackmount.kernel.scheduler import Scheduler
from tests.utils.build_jobs import TEAM, call_on, submit
from tests.utils.fake_workers import FakeWorker, StartNote

DC = DataCentreId("dc1")
ORIGIN = MemberId("m1")
TICK_S = 0.05


class SchedulerHarness:
    """Runs one scheduler in virtual time and carries out its effects at once.

    ``unreachable`` workers do not answer. ``saves_succeed`` tells whether records are
    stored; with ``None``, saves are not answered.
    """

    def __init__(
        self,
        workers: Sequence[ListedWorker] = (),
        timing: SchedulerTiming | None = None,
        policies: PolicyNames | None = None,
    ) -> None:
        """Start under epoch 1 at time 0 and sync all workers."""
        self.now = Instant(0.0)
        self.timing = timing or SchedulerTiming()
        self.policies = policies
        self.workers_by_id = {one.id: FakeWorker(one) for one in workers}
        self.unreachable: set[WorkerId] = set()
        self.saves_succeed: bool | None = True
        self.answers: list[JobAnswer] = []
        self.effects: list[JobEffect] = []
        self.records: list[str] = []
        self.dropped: list[str] = []
        self.epoch = Epoch(0)
        self.scheduler = self.take_over()

    def take_over(self, records: Sequence[str] = ()) -> Scheduler:
        """Replace the scheduler with one of the next epoch."""
        self.epoch = Epoch(self.epoch + 1)
        self.scheduler = Scheduler(
            DC, ORIGIN, self.epoch, self.timing, self.now, self.policies
        )
        self.apply(self.scheduler.restore(records, self.now))
        self.list_workers()
        self.run(0.0)
        return self.scheduler

    def list_workers(self) -> None:
        """Give the scheduler the list of all workers."""
        listed = [worker.listed for worker in self.workers_by_id.values()]
        self.apply(self.scheduler.set_workers(listed, self.now))

    def worker(self, name: str) -> FakeWorker:
        """Return a worker."""
        return self.workers_by_id[WorkerId(name)]

    def run(self, seconds: float) -> None:
        """Advance the time in ticks, by at least one tick."""
        for _ in range(max(1, round(seconds / TICK_S))):
            if seconds:
                self.now = Instant(self.now + TICK_S)
            for worker in self.workers_by_id.values():
                worker.advance(self.now)
            self.apply(self.scheduler.tick(self.now))

    def call(self, call: JobCall) -> JobAnswer | None:
        """Make a call and return its answer, if it came at once."""
        before = len(self.answers)
        self.apply(self.scheduler.call(ORIGIN, call, self.now))
        return self.answers[before] if len(self.answers) > before else None

    def submit(
        self, name: str = "job", team: WorkspaceId = TEAM, **changes: Any
    ) -> None:
        """Submit a job that must be accepted."""
        answer = self.call(submit(name, team, **changes))
        assert answer is not None
        assert answer.status == 201, answer

    def job(self, name: str = "job", team: WorkspaceId = TEAM) -> dict[str, Any]:
        """Return the job view that its team gets."""
        answer = self.call(call_on(JobAction.VIEW, name, team))
        assert answer is not None
        view: dict[str, Any] = json.loads(answer.body)
        return view

    def explain(
        self, name: str = "job", team: WorkspaceId = TEAM
    ) -> list[dict[str, str]]:
        """Return the explanation of each task."""
        answer = self.call(call_on(JobAction.EXPLAIN, name, team))
        assert answer is not None
        tasks: list[dict[str, str]] = json.loads(answer.body)["tasks"]
        return tasks

    def counts(self, name: str = "job", team: WorkspaceId = TEAM) -> dict[str, int]:
        """Return the job's number of tasks by state, without the zeros."""
        tasks = self.job(name, team)["tasks"]
        return {state: count for state, count in tasks.items() if count}

    def places(self, name: str = "job", team: WorkspaceId = TEAM) -> list[str]:
        """Return the workers on which tasks of the job run, in task order."""
        prefix = f"{DC}:{team}:{name}/"
        found: dict[TaskId, str] = {}
        for worker in self.workers_by_id.values():
            for attempt in worker.running():
                if attempt.command.task_id.startswith(prefix):
                    found[attempt.command.task_id] = worker.listed.id
        return [found[task] for task in sorted(found)]

    def starts(self) -> list[StartNote]:
        """Return every start that took effect."""
        workers = self.workers_by_id.values()
        return [note for worker in workers for note in worker.start_notes]

    def apply(self, effects: list[JobEffect]) -> None:
        """Carry out effects, including those that their results cause."""
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            self.effects.append(effect)
            pending += self._carry_out(effect)

    def _carry_out(self, effect: JobEffect) -> list[JobEffect]:
        if isinstance(effect, SyncWorker):
            return self._sync(effect)
        if isinstance(effect, StartTask):
            return self._command(effect.worker_id, effect.command)
        if isinstance(effect, StopTask | CheckpointTask):
            return self._task_command(effect)
        if isinstance(effect, SaveRecords):
            return self._save(effect)
        if isinstance(effect, AnswerJob):
            self.answers.append(effect.answer)
        if isinstance(effect, DropRecords):
            self.dropped += effect.job_ids
        return []

    def _sync(self, effect: SyncWorker) -> list[JobEffect]:
        if effect.worker_id in self.unreachable:
            return self.scheduler.worker_failed(effect.worker_id, self.now)
        worker = self.workers_by_id[effect.worker_id]
        reply = worker.sync(effect.command, self.now)
        if isinstance(reply, StaleEpoch):
            return self.scheduler.worker_stale(
                effect.worker_id, reply.highest, self.now
            )
        return self.scheduler.worker_synced(effect.worker_id, reply, self.now)

    def _command(self, worker_id: WorkerId, command: StartCommand) -> list[JobEffect]:
        worker = self.workers_by_id[worker_id]
        return self._answer(
            worker_id,
            command.task_id,
            command.attempt,
            lambda: worker.start(command, self.now),
        )

    def _task_command(self, effect: StopTask | CheckpointTask) -> list[JobEffect]:
        worker = self.workers_by_id[effect.worker_id]
        command: TaskCommand = effect.command
        act = worker.stop if isinstance(effect, StopTask) else worker.take_checkpoint
        return self._answer(
            effect.worker_id,
            command.task_id,
            command.attempt,
            lambda: act(command, self.now),
        )

    def _answer(
        self,
        worker_id: WorkerId,
        task: TaskId,
        number: int,
        act: Callable[[], CommandReply | StaleEpoch],
    ) -> list[JobEffect]:
        scheduler = self.scheduler
        if worker_id in self.unreachable:
            return scheduler.command_failed(worker_id, task, number, self.now)
        reply = act()
        if isinstance(reply, StaleEpoch):
            return scheduler.worker_stale(worker_id, reply.highest, self.now)
        return scheduler.command_answered(worker_id, task, number, reply, self.now)

    def _save(self, effect: SaveRecords) -> list[JobEffect]:
        if self.saves_succeed is None:
            return []
        if not self.saves_succeed:
            return self.scheduler.records_refused(effect.token, self.now)
        self.records += effect.records
        return self.scheduler.records_saved(effect.token, Durability.LOG, self.now)
