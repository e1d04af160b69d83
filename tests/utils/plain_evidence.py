"""Culprits of crashes, computed from all evidence for each question."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import zip_longest

from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.evidence import crash_evidence
from tamarackmount.scheduling.evidence.crash_evidence import (
    CULPRIT_WEIGHT,
    MAX_CRASHES,
    MAX_UNEXPLAINED_CRASHES,
    SHARED_WEIGHT,
    SOLE_WEIGHT,
)
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord


def compared_culprits(
    state: SchedulerState, crashes: Sequence[WorkerIncarnation]
) -> Iterator[tuple[StepState, TaskKey]]:
    """Yield what ``find_culprits`` yields, compared to a search at each of them."""
    found = crash_evidence.find_culprits(state, crashes)
    plain = _plain_culprits(state, crashes)
    for culprit, plain_culprit in zip_longest(found, plain):
        assert culprit == plain_culprit
        assert culprit is not None
        yield culprit


def unknown_suspects(state: SchedulerState) -> set[TaskKey]:
    """Return the suspects whose jobs are not known."""
    return {
        task
        for crash in state.crash_suspects.crashes
        for task in state.crash_suspects.tasks_of(crash)
        if state.step_of(task) is None
    }


def was_shared(state: SchedulerState, task: TaskKey, crash: WorkerIncarnation) -> bool:
    """Tell whether tasks of other jobs had just started where a worker crashed."""
    return any(
        other.job_id != task.job_id and _was_early(state, other, crash)
        for other in state.crash_suspects.tasks_of(crash)
    )


def _plain_culprits(
    state: SchedulerState, crashes: Iterable[WorkerIncarnation]
) -> Iterator[tuple[StepState, TaskKey]]:
    for worker in crashes:
        for task in sorted(state.crash_suspects.tasks_of(worker)):
            step = state.step_of(task)
            if step is None or step.job.phase.is_final:
                continue
            if _is_culprit(state, step, task):
                yield step, task


def _is_culprit(state: SchedulerState, step: StepState, task: TaskKey) -> bool:
    runs = crash_evidence._crashes_by_run(step, task)
    lone = [
        crashes for crashes in runs if not all(one.is_widespread for one in crashes)
    ]
    unexplained = sum(any(not one.is_explained for one in crashes) for crashes in lone)
    alike = crash_evidence._alike_widespread(step, task)
    if unexplained >= MAX_UNEXPLAINED_CRASHES or MAX_CRASHES - len(lone) <= alike:
        return True
    weight_by_address: dict[str, int] = {}
    for crashes in runs:
        unseen = [one for one in crashes if one.address not in weight_by_address]
        weight, address = max(
            (_weight(state, task, one), one.address) for one in unseen or crashes
        )
        known = weight_by_address.get(address, 0)
        weight_by_address[address] = max(weight, known)
    return sum(weight_by_address.values()) >= CULPRIT_WEIGHT


def _weight(state: SchedulerState, task: TaskKey, crash: CrashRecord) -> int:
    if crash.is_explained or not (crash.is_confirmed or crash.is_early):
        return 0
    if crash.is_widespread:
        return SHARED_WEIGHT if crash.is_early else 0
    if not crash.is_early:
        return SHARED_WEIGHT
    is_shared = was_shared(state, task, crash.worker)
    return SHARED_WEIGHT if is_shared else SOLE_WEIGHT


def _was_early(state: SchedulerState, task: TaskKey, worker: WorkerIncarnation) -> bool:
    step = state.step_of(task)
    crashes = step.crashes_by_index.get(task.index, ()) if step is not None else ()
    return any(crash.is_early for crash in crashes if crash.worker == worker)
