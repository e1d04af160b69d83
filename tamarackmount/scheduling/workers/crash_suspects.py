"""The suspects of each crash, and those whose evidence may have become heavier.

A task that was no culprit when its evidence was weighed is none until it has another
crash, or no other job has an early suspect of one of its crashes any more. Only tasks
of which one of these holds are weighed again.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import JobState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.scheduling.workers.job_counts import JobCounts


@dataclass(slots=True)
class CrashSuspects:
    """The suspects of each crash that is not explained, by the crashed worker.

    ``_early_tasks`` are those with an early run at a crash, ``_early_counts`` their
    numbers by job. ``_unweighed`` are tasks that may have become culprits.
    ``_unknown_tasks`` are suspects of crashes whose jobs are not known any more.
    """

    _tasks_by_crash: dict[WorkerIncarnation, set[TaskKey]] = field(default_factory=dict)
    _early_tasks: set[tuple[WorkerIncarnation, TaskKey]] = field(default_factory=set)
    _early_counts: JobCounts = field(default_factory=JobCounts)
    _unweighed: set[TaskKey] = field(default_factory=set)
    _unknown_tasks: set[tuple[WorkerIncarnation, TaskKey]] = field(default_factory=set)

    @property
    def crashes(self) -> list[WorkerIncarnation]:
        """The crashes that are not explained and have suspects."""
        return list(self._tasks_by_crash)

    @property
    def has_any(self) -> bool:
        """Whether there are crashes that are not explained and have suspects."""
        return bool(self._tasks_by_crash)

    def tasks_of(self, crash: WorkerIncarnation) -> frozenset[TaskKey]:
        """Return the suspects of a crash."""
        return frozenset(self._tasks_by_crash.get(crash, ()))

    def is_shared(self, task: TaskKey, crash: WorkerIncarnation) -> bool:
        """Tell whether tasks of other jobs had just started there as well."""
        return self._early_counts.has_any_besides(crash, task.job_id)

    def add(self, task: TaskKey, crash: CrashRecord, *, is_known: bool) -> None:
        """Add a suspect of a crash; ``is_known`` tells whether its job has the task."""
        entry = crash.worker, task
        self._tasks_by_crash.setdefault(crash.worker, set()).add(task)
        self._unweighed.add(task)
        if not is_known:
            self._unknown_tasks.add(entry)
        elif crash.is_early and entry not in self._early_tasks:
            self._early_tasks.add(entry)
            self._early_counts.add(crash.worker, task.job_id, 1)

    def remove(self, task: TaskKey, crashes: Iterable[WorkerIncarnation]) -> None:
        """Remove a suspect of all its crashes that are not explained."""
        for crash in crashes:
            self._remove_early(task, crash)
            tasks = self._tasks_by_crash.get(crash)
            if tasks is None:
                continue
            tasks.discard(task)
            if not tasks:
                del self._tasks_by_crash[crash]
        self._unweighed.discard(task)

    def remove_crash(self, crash: WorkerIncarnation) -> set[TaskKey]:
        """Remove a crash that is explained; return its suspects."""
        tasks = self._tasks_by_crash.pop(crash, set())
        self._early_tasks.difference_update((crash, task) for task in tasks)
        self._early_counts.remove_worker(crash)
        return tasks

    def take_unweighed(self, crash: WorkerIncarnation) -> list[TaskKey]:
        """Return the suspects of a crash that have to be weighed again, in order."""
        tasks = self._unweighed & self._tasks_by_crash.get(crash, set())
        self._unweighed -= tasks
        return sorted(tasks)

    def job_removed(self, job: JobState) -> None:
        """Ignore the early runs of a job that is not known any more."""
        for step in job.steps_by_key.values():
            for index, crashes in step.crashes_by_index.items():
                task = step.task(index)
                for crash in crashes:
                    self._remove_early(task, crash.worker)
                    if task in self._tasks_by_crash.get(crash.worker, ()):
                        self._unknown_tasks.add((crash.worker, task))
                self._unweighed.discard(task)

    def remove_unknown(self, is_known: Callable[[TaskKey], bool]) -> set[TaskKey]:
        """Remove and return the suspects whose jobs are not known any more."""
        if not self._unknown_tasks:
            return set()
        removed = {entry for entry in self._unknown_tasks if not is_known(entry[1])}
        self._unknown_tasks -= removed
        for crash, task in removed:
            self.remove(task, [crash])
        return {task for _, task in removed}

    def _remove_early(self, task: TaskKey, crash: WorkerIncarnation) -> None:
        entry = crash, task
        if entry not in self._early_tasks:
            return
        self._early_tasks.discard(entry)
        was_shared = self._early_counts.job_count(crash) > 1
        self._early_counts.add(crash, task.job_id, -1)
        if was_shared and self._early_counts.job_count(crash) == 1:
            # The crash weighs more for the suspects of the only job that is left.
            self._unweighed |= self._tasks_by_crash.get(crash, set())
