"""Evidence of which tasks crash the workers that start them.

A crashed worker does not tell which of its runs crashed it, and most of them only
shared it. So each crash is evidence against every task that the worker may have run,
and weighs more against a task that had just been started there while tasks of other
jobs had not. Crashes at one address count once, as that worker may be at fault. A task
is a culprit once its evidence weighs ``CULPRIT_WEIGHT``; that takes two crashes if both
point at it alone. A crash weighs nothing while nobody knows whether the task had begun
there, but counts towards the limits of all crashes (see below).

Workers that crash at the same moment have a cause in common. Their crashes weigh little
for a task that had just started and nothing for others. But the cause may be tasks that
started together and crash their workers after the same time. So such crashes count
towards ``MAX_CRASHES`` as far as the task's runs lasted equally long, and after some of
them the next start is delayed, differently for each task.

A crash ends the runs of all members of a gang, but is evidence only against those that
were on the worker; ``gang_crashes.py`` limits the starts of a gang by all its crashes.

Evidence is withdrawn when its reason is gone: a task that ends well, or runs for long,
is no suspect any more, and a crash that is put down to a culprit speaks against no
other task. The count of all crashes is limited as well (``MAX_CRASHES``), so that no
chain of such corrections starts a task without end.
"""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import NamedTuple, Protocol
from zlib import crc32

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import StepKey, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.evidence.gang_crashes import (
    MIN_MEMBER_CRASHES,
    gang_crashes,
    is_unattributed,
)
from tamarackmount.scheduling.jobs.runs import JobState, Run, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.units import MS_PER_SECOND

CULPRIT_WEIGHT = 4
"""Weight of evidence from which on a task is taken to crash its workers."""

SOLE_WEIGHT = 2
"""Weight of a crash if the task was just started there, and no other job's was."""

SHARED_WEIGHT = 1
"""Weight of any other crash."""

MAX_UNEXPLAINED_CRASHES = 4
"""Crashes that are not put down to another task from which on a task is a culprit
whatever they weigh: the users allow five starts, and a holder that is lost while the
store is slow may have started it once more than the next one knows."""

MAX_CRASHES = 5
"""The same for all crashes: the users allow two more starts after three workers have
crashed."""

MAX_AGE_DIFFERENCE_MS = 300
"""Difference, in milliseconds, up to which runs count as equally long: a crash shows
when the poll in flight fails, or by the next one."""

ALIKE_CRASHES_BEFORE_DELAY = 3
"""Number of widespread crashes after equally long runs from which on the next start is
delayed, differently for each task: a crash that the task causes is no widespread one
then, and one with another cause ends a run of another length."""

MIN_START_DELAY_S = 0.4
"""Shortest delay of such a start, in seconds."""

MAX_START_DELAY_S = 1.5
"""The longest one, in seconds; the users allow 3 s without a run."""

MAX_ISOLATION_WAIT_S = 1.5
"""Time, in seconds, for which the tasks of a step wait after a crash for workers on
which they can start apart from others; the users allow 3 s without a run."""

MIN_CLEARING_S = 10.0
"""Shortest time, in seconds, after which a run that goes on clears its task."""

CLEARING_FACTOR = 4.0
"""Multiple, without unit, of its longest run at a crash for which a task has to run to
be cleared."""


def is_suspect(state: SchedulerState, step: StepState, index: int) -> bool:
    """Tell whether there is evidence against a task."""
    return step.task(index) in state.suspected_tasks


def has_suspects(state: SchedulerState, step: StepState) -> bool:
    """Tell whether there is evidence against tasks of a step."""
    return state.isolation.has_suspects(step.key)


def has_evidence(step: StepState, index: int) -> bool:
    """Tell whether workers crashed that may have run a task, for any reason."""
    return bool(step.crashes_by_index.get(index))


def crash_addresses(step: StepState, index: int) -> set[str]:
    """Return the addresses at which workers crashed that may have run a task."""
    return {crash.address for crash in step.crashes_by_index.get(index, ())}


def record_crash(
    state: SchedulerState,
    step: StepState,
    index: int,
    crash: CrashRecord,
    now: Instant,
) -> None:
    """Record that a worker crashed that may have run a task; repetitions are ignored.

    The caller gives up the tasks that :func:`find_culprits` yields then.
    """
    task = step.task(index)
    if step.spec.gang:
        crash = replace(crash, members=(index,))
        _drop_unattributed(state, step, crash.worker)
    crashes = step.crashes_by_index.setdefault(index, [])
    if any(known.worker == crash.worker for known in crashes):
        return
    crashes.append(crash)
    step.isolate_until = Instant(now + MAX_ISOLATION_WAIT_S)
    alike = _alike_widespread(_crashes_under(step, task))
    if len(alike) >= ALIKE_CRASHES_BEFORE_DELAY:
        delayed_until = Instant(now + _start_delay_s(task, crash))
        step.not_before = max(step.not_before, delayed_until)
    state.changed_jobs.add(task.job_id)
    _drop_unknown_suspects(state)
    _index_crash(state, task, crash)


def restore_evidence(state: SchedulerState, job: JobState) -> None:
    """Restore the index of a job's stored evidence."""
    for step in job.steps_by_key.values():
        for index, crashes in step.crashes_by_index.items():
            for crash in crashes:
                _index_crash(state, step.task(index), crash)


def find_culprits(
    state: SchedulerState, crashes: Iterable[WorkerIncarnation]
) -> Iterator[tuple[StepState, TaskKey]]:
    """Yield the culprits among the suspects of some crashes.

    A crash under one member of a gang counts towards the limits of others, so that all
    members with evidence are weighed. The evidence may change between two culprits.
    """
    for worker in crashes:
        weighed_gangs: set[StepKey] = set()
        for task in state.crash_suspects.take_unweighed(worker):
            step = state.step_of(task)
            if step is None or step.job.phase.is_final or step.key in weighed_gangs:
                continue
            tasks = [task]
            if step.spec.gang:
                weighed_gangs.add(step.key)
                tasks = [step.task(index) for index in sorted(step.crashes_by_index)]
            culprit = _first_culprit(state, step, tasks)
            if culprit is not None:
                yield step, culprit


def find_member_over_budget(step: StepState) -> TaskKey | None:
    """Return a member of a gang that has had all starts that the users allow."""
    members = [
        index
        for index, crashes in step.crashes_by_index.items()
        if len(crashes) >= MIN_MEMBER_CRASHES
    ]
    if not members:
        return None
    crashes = gang_crashes(step, with_explained=True)
    for index in sorted(members):
        counted = _counted_crashes(_crashes_under(step, step.task(index)))
        if crashes.count_starts_for_member(counted, step.run_number) >= MAX_CRASHES:
            return step.task(index)
    return None


def explain_crashes(state: SchedulerState, step: StepState, task: TaskKey) -> None:
    """Put the crashes of a culprit down to it alone."""
    for crash in step.crashes_by_index.get(task.index, ()):
        for other in state.crash_suspects.remove_crash(crash.worker):
            if other.job_id != task.job_id:
                _mark_explained(state, other, crash.worker)


def clear_task(
    state: SchedulerState, step: StepState, index: int
) -> list[WorkerIncarnation]:
    """Withdraw all evidence against a task; return the crashes that it was about.

    The evidence against their other suspects weighs more from now on.
    """
    task = step.task(index)
    crashes = step.crashes_by_index.pop(index, [])
    if not crashes:
        return []
    state.isolation.remove_suspects([task])
    state.changed_jobs.add(task.job_id)
    workers = [crash.worker for crash in crashes]
    state.crash_suspects.remove(task, workers)
    return workers


def outlives_crashes(step: StepState, run: Run) -> bool:
    """Tell whether a run has gone on for so long that it clears its task."""
    crashes = step.crashes_by_index.get(run.task.index, ())
    longest_ms = max((crash.ran_ms for crash in crashes), default=0)
    longest_s = longest_ms / MS_PER_SECOND
    return run.listed_s >= max(MIN_CLEARING_S, CLEARING_FACTOR * longest_s)


def _first_culprit(
    state: SchedulerState, step: StepState, tasks: Iterable[TaskKey]
) -> TaskKey | None:
    counts = _crash_counts(step)
    return next((one for one in tasks if _is_culprit(state, step, one, counts)), None)


class _CrashCount(Protocol):
    """Returns how many crashes count towards the limits of a task's starts."""

    def __call__(self, crashes: list[CrashRecord], /) -> int: ...


class _CrashCounts(NamedTuple):
    """How crashes are counted: those that are not explained, and all of them."""

    unexplained: _CrashCount
    all: _CrashCount


def _crash_counts(step: StepState) -> _CrashCounts:
    if not step.spec.gang:
        return _CrashCounts(len, len)
    return _CrashCounts(
        gang_crashes(step, with_explained=False).count_for_member,
        gang_crashes(step, with_explained=True).count_for_member,
    )


def _is_culprit(
    state: SchedulerState, step: StepState, task: TaskKey, counts: _CrashCounts
) -> bool:
    crashes = _crashes_under(step, task)
    lone = _lone(crashes)
    unexplained = [crash for crash in lone if not crash.is_explained]
    if counts.unexplained(unexplained) >= MAX_UNEXPLAINED_CRASHES:
        return True
    if counts.all(_counted_crashes(crashes)) >= MAX_CRASHES:
        return True
    weight_by_address: dict[str, int] = {}
    for crash in crashes:
        known = weight_by_address.get(crash.address, 0)
        weight_by_address[crash.address] = max(known, _weight(state, task, crash))
    return sum(weight_by_address.values()) >= CULPRIT_WEIGHT


def _crashes_under(step: StepState, task: TaskKey) -> list[CrashRecord]:
    """Return the crashes of workers that may have run a task."""
    crashes = step.crashes_by_index.get(task.index, ())
    return [crash for crash in crashes if not is_unattributed(step, crash)]


def _counted_crashes(crashes: list[CrashRecord]) -> list[CrashRecord]:
    """Return the crashes that count towards the limit of all crashes."""
    return [*_lone(crashes), *_alike_widespread(crashes)]


def _lone(crashes: list[CrashRecord]) -> list[CrashRecord]:
    return [crash for crash in crashes if not crash.is_widespread]


def _alike_widespread(crashes: Iterable[CrashRecord]) -> list[CrashRecord]:
    """Return the most widespread crashes that came after equally long runs."""
    widespread = [crash for crash in crashes if crash.is_widespread]
    groups = (
        [
            other
            for other in widespread
            if 0 <= other.ran_ms - crash.ran_ms <= MAX_AGE_DIFFERENCE_MS
        ]
        for crash in widespread
    )
    return max(groups, key=len, default=[])


def _start_delay_s(task: TaskKey, crash: CrashRecord) -> float:
    """Return a delay, in seconds, that differs from task to task and run to run."""
    digest = crc32(f"{task.job_id}.{task.index}.{crash.run_number}".encode())
    return MIN_START_DELAY_S + digest / 2**32 * (MAX_START_DELAY_S - MIN_START_DELAY_S)


def _is_confirmed(crash: CrashRecord) -> bool:
    # Records of earlier versions tell it for early runs only.
    return crash.is_confirmed or crash.is_early


def _weight(state: SchedulerState, task: TaskKey, crash: CrashRecord) -> int:
    if crash.is_explained or not _is_confirmed(crash):
        return 0
    if crash.is_widespread:
        return SHARED_WEIGHT if crash.is_early else 0
    if not crash.is_early:
        return SHARED_WEIGHT
    is_shared = state.crash_suspects.is_shared(task, crash.worker)
    return SHARED_WEIGHT if is_shared else SOLE_WEIGHT


def _index_crash(state: SchedulerState, task: TaskKey, crash: CrashRecord) -> None:
    if not crash.is_explained:
        if crash.is_early or not crash.is_widespread:
            state.isolation.add_suspect(task)
        is_known = state.step_of(task) is not None
        state.crash_suspects.add(task, crash, is_known=is_known)


def _drop_unattributed(
    state: SchedulerState, step: StepState, worker: WorkerIncarnation
) -> None:
    """Forget a gang's crash without members, as it is recorded again with them.

    A holder of an earlier version may have stored it, and left its worker's record.
    """
    first = step.task(0)
    crashes = step.crashes_by_index.get(0, [])
    kept = [one for one in crashes if one.members or one.worker != worker]
    if len(kept) == len(crashes):
        return
    step.crashes_by_index[0] = kept
    state.crash_suspects.remove(first, [worker])
    if not kept:
        state.isolation.remove_suspects([first])


def _drop_unknown_suspects(state: SchedulerState) -> None:
    """Forget the suspects whose jobs are not known any more."""
    unknown = state.crash_suspects.remove_unknown(
        lambda task: state.step_of(task) is not None
    )
    state.isolation.remove_suspects(unknown)


def _mark_explained(
    state: SchedulerState, task: TaskKey, worker: WorkerIncarnation
) -> None:
    step = state.step_of(task)
    if step is None or task.index not in step.crashes_by_index:
        return
    crashes = [
        replace(crash, is_explained=True) if crash.worker == worker else crash
        for crash in step.crashes_by_index[task.index]
    ]
    step.crashes_by_index[task.index] = crashes
    state.changed_jobs.add(task.job_id)
    if all(crash.is_explained for crash in crashes):
        state.isolation.remove_suspects([task])
