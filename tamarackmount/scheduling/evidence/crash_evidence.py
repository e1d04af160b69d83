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

Evidence is withdrawn when its reason is gone: a task that ends well, or runs for long,
is no suspect any more, and a crash that is put down to a culprit speaks against no
other task. The count of all crashes is limited as well (``MAX_CRASHES``), so that no
chain of such corrections starts a task without end.
"""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from zlib import crc32

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import JobState, Run, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.scheduling.workers.isolation_index import evidence_key
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
    return evidence_key(step, index) in state.suspected_tasks


def has_evidence(step: StepState, index: int) -> bool:
    """Tell whether workers crashed that may have run a task, for any reason."""
    return bool(step.crashes_by_index.get(evidence_key(step, index).index))


def crash_addresses(step: StepState, index: int) -> set[str]:
    """Return the addresses at which workers crashed that may have run a task."""
    crashes = step.crashes_by_index.get(evidence_key(step, index).index, ())
    return {crash.address for crash in crashes}


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
    task = evidence_key(step, index)
    crashes = step.crashes_by_index.setdefault(task.index, [])
    if any(known.worker == crash.worker for known in crashes):
        return
    crashes.append(crash)
    step.isolate_until = Instant(now + MAX_ISOLATION_WAIT_S)
    if _alike_widespread(step, task) >= ALIKE_CRASHES_BEFORE_DELAY:
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

    The evidence may change between two of them.
    """
    for worker in crashes:
        for task in state.crash_suspects.take_unweighed(worker):
            step = state.step_of(task)
            if step is None or step.job.phase.is_final:
                continue
            if _is_culprit(state, step, task):
                yield step, task


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
    task = evidence_key(step, index)
    crashes = step.crashes_by_index.pop(task.index, [])
    if not crashes:
        return []
    state.isolation.remove_suspects([task])
    state.changed_jobs.add(task.job_id)
    workers = [crash.worker for crash in crashes]
    state.crash_suspects.remove(task, workers)
    return workers


def outlives_crashes(step: StepState, run: Run) -> bool:
    """Tell whether a run has gone on for so long that it clears its task."""
    crashes = step.crashes_by_index.get(0 if step.spec.gang else run.task.index, ())
    longest_ms = max((crash.ran_ms for crash in crashes), default=0)
    longest_s = longest_ms / MS_PER_SECOND
    return run.listed_s >= max(MIN_CLEARING_S, CLEARING_FACTOR * longest_s)


def _is_culprit(state: SchedulerState, step: StepState, task: TaskKey) -> bool:
    runs = _crashes_by_run(step, task)
    lone = [crashes for crashes in runs if not _is_widespread(crashes)]
    unexplained = sum(
        any(not crash.is_explained for crash in crashes) for crashes in lone
    )
    limit = MAX_CRASHES - len(lone)
    if unexplained >= MAX_UNEXPLAINED_CRASHES or limit <= _alike_widespread(step, task):
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


def _is_widespread(crashes: Iterable[CrashRecord]) -> bool:
    return all(crash.is_widespread for crash in crashes)


def _alike_widespread(step: StepState, task: TaskKey) -> int:
    """Return how many widespread crashes came after equally long runs of a task."""
    runs = _crashes_by_run(step, task)
    return _count_alike([crashes for crashes in runs if _is_widespread(crashes)])


def _count_alike(runs: Iterable[list[CrashRecord]]) -> int:
    """Return how many of some runs lasted equally long."""
    ages = [max(crash.ran_ms for crash in crashes) for crashes in runs]
    return max(
        (
            sum(age <= other <= age + MAX_AGE_DIFFERENCE_MS for other in ages)
            for age in ages
        ),
        default=0,
    )


def _start_delay_s(task: TaskKey, crash: CrashRecord) -> float:
    """Return a delay, in seconds, that differs from task to task and run to run."""
    digest = crc32(f"{task.job_id}.{task.index}.{crash.run_number}".encode())
    return MIN_START_DELAY_S + digest / 2**32 * (MAX_START_DELAY_S - MIN_START_DELAY_S)


def _crashes_by_run(step: StepState, task: TaskKey) -> list[list[CrashRecord]]:
    """Return the crashes under a task, those under one run of a gang together.

    A gang that is spread over several workers may lose more than one of them at once.
    """
    crashes = step.crashes_by_index.get(task.index, [])
    if not step.spec.gang:
        return [[crash] for crash in crashes]
    by_run: dict[int | WorkerIncarnation, list[CrashRecord]] = {}
    for crash in crashes:
        by_run.setdefault(crash.run_number or crash.worker, []).append(crash)
    return list(by_run.values())


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
