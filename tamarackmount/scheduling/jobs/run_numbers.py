"""Numbers of the runs of a step; each start of a task has a higher one."""

from tamarackmount.scheduling.jobs.runs import StepState

FIRST_RUN_NUMBER_AFTER_TAKEOVER = 64
"""First run number of a task that a former holder may have started.

It is above any number that the former holder is likely to have used, and is added to
the highest one that is known from failures. Workers refuse lower numbers, and each such
refusal raises the number further.
"""


def next_run_number(step: StepState) -> int:
    """Return the run number of a step's next start."""
    known = max(step.run_number, step.highest_failed_run)
    is_first = step.run_number == 0 and step.job.is_restored
    return known + (FIRST_RUN_NUMBER_AFTER_TAKEOVER if is_first else 1)
