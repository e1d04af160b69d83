"""Index of the runs that tasks are kept apart from.

Placement asks for each task and worker whether a suspect has just started there, or
whether any run there could be to blame for a crash. The counts that answer it are
updated as runs start, are listed and end, and as tasks become suspects or are cleared.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from tamarackmount.ids import JobId
from tamarackmount.scheduling.domain.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import Run
from tamarackmount.scheduling.workers.job_counts import JobCounts


@dataclass(slots=True)
class _IndexedRun:
    """A run, and whether it counts as just started."""

    run: Run
    is_new: bool


@dataclass(slots=True)
class IsolationIndex:
    """The suspects, and counts of the runs that tasks are kept apart from.

    Runs are indexed by their tasks, and below these by worker. A run ``is_new`` until a
    poll that was sent after its start has shown it.
    """

    _suspects: set[TaskKey] = field(default_factory=set)
    _suspect_count_by_step: Counter[StepKey] = field(default_factory=Counter)
    _runs_by_task: defaultdict[TaskKey, dict[WorkerIncarnation, _IndexedRun]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _new_suspects: JobCounts = field(default_factory=JobCounts)
    _interfering: JobCounts = field(default_factory=JobCounts)

    @property
    def suspects(self) -> AbstractSet[TaskKey]:
        """The tasks with evidence that they crash their workers."""
        return self._suspects

    def has_suspects(self, step: StepKey) -> bool:
        """Tell whether tasks of a step are suspects."""
        return step in self._suspect_count_by_step

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

    def add_run(self, run: Run) -> None:
        """Add a run that has started."""
        indexed = _IndexedRun(run, run.listed_s <= 0)
        self._runs_by_task[run.task][run.incarnation] = indexed
        self._count(indexed, 1)

    def remove_run(self, run: Run) -> None:
        """Remove a run that has ended."""
        runs = self._runs_by_task.get(run.task, {})
        indexed = runs.get(run.incarnation)
        if indexed is None or indexed.run is not run:
            return
        self._count(indexed, -1)
        del runs[run.incarnation]
        if not runs:
            del self._runs_by_task[run.task]

    def update_run(self, run: Run) -> None:
        """Update the counts after a poll has shown a run for the first time."""
        self.remove_run(run)
        self.add_run(run)

    def _set_suspects(self, task: TaskKey, *, is_suspect: bool) -> None:
        if (task in self._suspects) is is_suspect:
            return
        runs = self._runs_by_task.get(task, {}).values()
        for indexed in runs:
            self._count(indexed, -1)
        step = task.step_key
        if is_suspect:
            self._suspects.add(task)
            self._suspect_count_by_step[step] += 1
        else:
            self._suspects.discard(task)
            self._suspect_count_by_step[step] -= 1
            if not self._suspect_count_by_step[step]:
                del self._suspect_count_by_step[step]
        for indexed in runs:
            self._count(indexed, 1)

    def _count(self, indexed: _IndexedRun, count: int) -> None:
        run, is_suspect = indexed.run, indexed.run.task in self._suspects
        if indexed.is_new or is_suspect:
            self._interfering.add(run.incarnation, run.task.job_id, count)
        if indexed.is_new and is_suspect and not run.is_orphaned:
            self._new_suspects.add(run.incarnation, run.task.job_id, count)
