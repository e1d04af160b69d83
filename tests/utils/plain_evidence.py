"""Culprits of crashes, computed from all evidence for each question."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import pairwise, zip_longest

from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.evidence import crash_evidence
from tamarackmount.scheduling.evidence.crash_evidence import (
    CULPRIT_WEIGHT,
    MAX_CRASHES,
    MAX_UNEXPLAINED_CRASHES,
    SHARED_WEIGHT,
    SOLE_WEIGHT,
)
from tamarackmount.scheduling.evidence.gang_crashes import MAX_GANG_CRASHES
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
        weighed = set()
        for task in sorted(state.crash_suspects.tasks_of(worker)):
            step = state.step_of(task)
            if step is None or step.job.phase.is_final:
                continue
            for one in _tasks_to_weigh(step, task):
                if one not in weighed and _is_culprit(state, step, one):
                    yield step, one
                    break
                weighed.add(one)


def _tasks_to_weigh(step: StepState, task: TaskKey) -> list[TaskKey]:
    """Return a task, or all members of a gang that it belongs to."""
    if not step.spec.gang:
        return [task]
    return [step.task(index) for index in range(step.spec.count)]


def _is_culprit(state: SchedulerState, step: StepState, task: TaskKey) -> bool:
    crashes = [
        one
        for one in step.crashes_by_index.get(task.index, ())
        if one.members or not step.spec.gang
    ]
    lone = [one for one in crashes if not one.is_widespread]
    unexplained = [one for one in lone if not one.is_explained]
    if _limited_count(step, unexplained, is_explained=False) >= MAX_UNEXPLAINED_CRASHES:
        return True
    wide = [one for one in crashes if one.is_widespread]
    alike = max(
        ([one for one in wide if 0 <= one.ran_ms - a.ran_ms <= 300] for a in wide),
        key=len,
        default=[],
    )
    if _limited_count(step, lone + alike, is_explained=True) >= MAX_CRASHES:
        return True
    weights_by_address: dict[str, list[int]] = {}
    for one in crashes:
        weights = weights_by_address.setdefault(one.address, [])
        weights.append(_weight(state, task, one))
    return sum(map(max, weights_by_address.values())) >= CULPRIT_WEIGHT


def _limited_count(
    step: StepState, own: Sequence[CrashRecord], *, is_explained: bool
) -> int:
    """Return how many crashes count towards the limits of a task's starts."""
    if not step.spec.gang or len(own) < 2:
        return len(own)
    lone = [
        one
        for rows in step.crashes_by_index.values()
        for one in rows
        if not one.is_widespread and (is_explained or not one.is_explained)
    ]
    unknown = {one.run_number or one.worker for one in lone if not one.members}
    known = {one.run_number for one in lone if one.members}
    if len(unknown) + len(known) >= MAX_GANG_CRASHES:
        return len(unknown) + len(known)
    runs = [*(0 for _ in unknown), *sorted(one.run_number for one in own)]
    if len(runs) < 3:
        return len(runs)
    known.update(one.run_number for one in own)
    later = sorted(number for number in known if number > runs[2])
    if not runs[2]:
        return 3 + len(later)
    gaps = [after - before for before, after in pairwise([runs[2], *later])]
    return 3 + sum(gap if gap < 64 else 1 for gap in gaps)


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
