"""Keep capacity of a pool free for urgent and for large tasks.

Load patterns: bursts of urgent jobs, which have half a second of slack, on a pool that
long work would fill. A stop takes up to 0.9 s, so preemption comes too late for them.
Gangs of tasks on whole workers, where tasks on one accelerator each would leave a few
free on every worker.
"""

from collections.abc import Sequence

from tamarackmount.ids import Instant
from tamarackmount.scheduling.ceilings import NON_URGENT_SLACK_S
from tamarackmount.scheduling.kept_slots import KeptSlots
from tamarackmount.scheduling.ranking import URGENT_PRIORITY, Tier, tier
from tamarackmount.scheduling.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import WorkerState


class UrgentHeadroom:
    """What steps that can wait leave free in one round of placement."""

    def __init__(self, state: SchedulerState, now: Instant) -> None:
        """Begin a round."""
        workers = state.workers_by_incarnation.values()
        self._state = state
        self._now = now
        self._urgent = KeptSlots(state.urgent_use, workers, now)
        self._large = KeptSlots(state.large_use, workers, now)

    def allows(self, step: StepState, chosen: Sequence[WorkerState]) -> bool:
        """Return whether a step may start a task on each of the workers.

        A worker may be listed more than once.
        """
        if not _leaves_headroom(step, self._now):
            return True
        service, amount = step.job.accepted.service, step.reserved_amount
        if not self._urgent.allows(service, amount, chosen):
            return False
        if self._state.is_large(service, amount, self._now):
            return True
        return self._large.allows(service, amount, chosen)

    def record_start(self, worker: WorkerState) -> None:
        """Record that a run has started on a worker."""
        self._urgent.record_start(worker)
        self._large.record_start(worker)


def _leaves_headroom(step: StepState, now: Instant) -> bool:
    """Return whether a step has time to wait, or nothing to lose by waiting."""
    job = step.job
    if job.priority == URGENT_PRIORITY or step.spec.perpetual:
        return False
    has_slack = now < job.latest_start - NON_URGENT_SLACK_S
    return has_slack or tier(step, now) is Tier.TOO_LATE
