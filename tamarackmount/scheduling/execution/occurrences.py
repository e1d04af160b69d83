"""Begin the repetitions of jobs as they become due.

Load pattern: jobs with thousands of repetitions that are due at once, or far ahead.
State for each of them would make every turn of the holder as long as there are
repetitions. So a job has state for those that have begun, and for the next few.
"""

from tamarackmount.scheduling.jobs.runs import JobState
from tamarackmount.scheduling.scheduler_state import SchedulerState

MAX_WAITING_OCCURRENCES = 4
"""Number of occurrences of a job that wait for their start, from which on no further
one begins. The next ones begin as soon as these have started."""

MAX_READY_STEPS = 100
"""Number of ready steps of a job from which on no further occurrence of it begins, also
if those that are ready are the later steps of occurrences that have begun."""


def begin_due(state: SchedulerState, unix_ms: int) -> None:
    """Mark the steps that are due as ready, and begin the occurrences that are due."""
    state.unix_ms = unix_ms
    for key in state.due_steps.take_due(unix_ms):
        step = state.delayed_steps_by_key.pop(key, None)
        if step is not None:
            state.make_ready(step)
    for job_id in state.due_jobs.take_due(unix_ms):
        job = state.jobs_by_id.get(job_id)
        if job is not None and not job.phase.is_final:
            state.jobs_with_due_occurrences[job_id] = job
    for job in list(state.jobs_with_due_occurrences.values()):
        _begin_occurrences(state, job)


def _begin_occurrences(state: SchedulerState, job: JobState) -> None:
    """Begin the next due occurrences of a job, as many as may be ready at once."""
    while (occurrence := job.next_occurrence) is not None:
        if job.due_unix_ms(occurrence) > state.unix_ms:
            break
        if not _may_begin(state, job):
            return
        state.open_occurrence(job, occurrence)
    del state.jobs_with_due_occurrences[job.job_id]
    state.wait_for_next_occurrence(job)


def may_begin_more(state: SchedulerState) -> bool:
    """Tell whether a job may begin further occurrences now."""
    return any(
        _may_begin(state, job) for job in state.jobs_with_due_occurrences.values()
    )


def _may_begin(state: SchedulerState, job: JobState) -> bool:
    """Tell whether few enough steps of a job are ready for another occurrence.

    Later steps, or those with other needs, may wait for what the first ones don't need.
    """
    counts = state.ready_counts_by_job.get(job.job_id)
    if counts is None:
        return True
    waiting = min(counts[number] for number in job.first_steps)
    return waiting < MAX_WAITING_OCCURRENCES and counts.total() < MAX_READY_STEPS


def unbegun_due_count(state: SchedulerState, job: JobState) -> int:
    """Return how many occurrences of a job are due and have not begun."""
    occurrence = job.next_occurrence
    if occurrence is None:
        return 0
    late_ms = state.unix_ms - job.due_unix_ms(occurrence)
    interval_ms = job.accepted.spec.interval_ms
    due = 1 + late_ms // interval_ms if interval_ms else len(job.unopened)
    return max(0, min(due, len(job.unopened)))
