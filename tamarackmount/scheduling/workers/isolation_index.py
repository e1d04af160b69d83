"""Index of the runs that tasks are kept apart from.

Placement asks for each task and worker whether a suspect has just started there, or
whether any run there could be to blame for a crash. The counts that answer it are
updated as runs start, are listed and end, and as tasks become suspects or are cleared.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from tamarackmount.ids import JobId
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import JobState, Run, StepState
from tamarackmount.scheduling.workers.job_counts import JobCounts


def evidence_key(step: StepState, index: int) -> TaskKey:
    """Return the task under which evidence is kept; members of a gang share one."""
    return step.task(0 if step.spec.gang else index)


@dataclass(slots=True)
class _IndexedRun:
    """A run, its task's evidence key, and whether it counts as just started."""

    run: Run
    key: TaskKey
    is_new: bool


@dataclass(slots=True)
class IsolationIndex:
    """The suspects, and counts of the runs that tasks are kept apart from.

    Runs are indexed by their evidence keys, and below these by worker and task. A run
    ``is_new`` until a poll that was sent after its start has shown it.
    """

    _suspects: set[TaskKey] = field(default_factory=set)
    _runs_by_key: defaultdict[
        TaskKey, dict[tuple[WorkerIncarnation, TaskKey], _IndexedRun]
    ] = field(default_factory=lambda: defaultdict(dict))
    _new_suspects: JobCounts = field(default_factory=JobCounts)
    _interfering: JobCounts = field(default_factory=JobCounts)

    @property
    def suspects(self) -> AbstractSet[TaskKey]:
        """The tasks with evidence that they crash their workers."""
        return self._suspects

    def has_new_suspects(self, worker: WorkerIncarnation, job_id: JobId) -> bool:
        """Tell whether suspects of jobs other than ``job_id`` just started there.

        Orphaned runs are left out.
        """
        return self._new_suspects.has_any_besides(worker, job_id)

    def has_interfering_runs(self, worker: WorkerIncarnation, job_id: JobId) -> bool:
        """Tell whether a crash could be due to runs of jobs other than ``job_id``."""
        return self._interfering.has_any_besides(worker, job_id)

    def add_suspect(self, task: TaskKey) -> None:
        """Add a suspect."""
        self._set_suspects(task, is_suspect=True)

    def remove_suspects(self, tasks: Iterable[TaskKey]) -> None:
        """Remove those of the tasks that are suspects."""
        for task in tasks:
            self._set_suspects(task, is_suspect=False)

    def add_run(self, run: Run, step: StepState | None) -> None:
        """Add a run that has started; ``step`` is None if its task is not known."""
        key = run.task if step is None else evidence_key(step, run.task.index)
        self._add(_IndexedRun(run, key, run.listed_s <= 0))

    def remove_run(self, run: Run, step: StepState | None) -> None:
        """Remove a run that has ended."""
        key = run.task if step is None else evidence_key(step, run.task.index)
        indexed = self._runs_by_key.get(key, {}).get((run.incarnation, run.task))
        if indexed is not None and indexed.run is run:
            self._remove(indexed)

    def update_run(self, run: Run, step: StepState | None) -> None:
        """Update the counts after a poll has shown a run for the first time."""
        self.remove_run(run, step)
        self.add_run(run, step)

    def job_added(self, job: JobState) -> None:
        """Index the runs of gangs of a job anew, which was not known before."""
        self.steps_added(job.steps_by_key.values())

    def steps_added(self, steps: Iterable[StepState]) -> None:
        """Index the runs of gangs anew whose steps were not known before."""
        for step in steps:
            if not step.spec.gang:
                continue
            for key in self._known_tasks(step):
                self._move(key, step)

    def _known_tasks(self, step: StepState) -> list[TaskKey]:
        """Return the tasks of a gang but the first that may have indexed runs."""
        if step.spec.count <= len(self._runs_by_key):
            return [step.task(index) for index in range(1, step.spec.count)]
        return [
            key
            for key in self._runs_by_key
            if key.step_key == step.key and 0 < key.index < step.spec.count
        ]

    def job_removed(self, job: JobState) -> None:
        """Index the runs of gangs of a job anew, which is not known any more."""
        for key in self._gang_keys(job):
            self._move(key, None)

    def _gang_keys(self, job: JobState) -> list[TaskKey]:
        """Return the keys under which runs of a job's gangs may be indexed."""
        if job.accepted.spec.occurrences == 1:
            steps = job.steps_by_key.values()
            return [step.task(0) for step in steps if step.spec.gang]
        # Occurrences that are done have no steps any more.
        return [
            key
            for key in self._runs_by_key
            if key.job_id == job.job_id and job.accepted.spec.steps[key.step].gang
        ]

    def _move(self, key: TaskKey, step: StepState | None) -> None:
        for indexed in list(self._runs_by_key.get(key, {}).values()):
            self._remove(indexed)
            self.add_run(indexed.run, step)

    def _set_suspects(self, task: TaskKey, *, is_suspect: bool) -> None:
        if (task in self._suspects) is is_suspect:
            return
        runs = self._runs_by_key.get(task, {}).values()
        for indexed in runs:
            self._count(indexed, -1)
        if is_suspect:
            self._suspects.add(task)
        else:
            self._suspects.discard(task)
        for indexed in runs:
            self._count(indexed, 1)

    def _add(self, indexed: _IndexedRun) -> None:
        run = indexed.run
        self._runs_by_key[indexed.key][run.incarnation, run.task] = indexed
        self._count(indexed, 1)

    def _remove(self, indexed: _IndexedRun) -> None:
        run = indexed.run
        self._count(indexed, -1)
        runs = self._runs_by_key[indexed.key]
        del runs[run.incarnation, run.task]
        if not runs:
            del self._runs_by_key[indexed.key]

    def _count(self, indexed: _IndexedRun, count: int) -> None:
        run, is_suspect = indexed.run, indexed.key in self._suspects
        if indexed.is_new or is_suspect:
            self._interfering.add(run.incarnation, run.task.job_id, count)
        if indexed.is_new and is_suspect and not run.is_orphaned:
            self._new_suspects.add(run.incarnation, run.task.job_id, count)
