"""Keep capacity of a pool free for urgent and for large tasks.

Load patterns: bursts of urgent jobs, which have half a second of slack, on a pool that
long work would fill. Where a stop may take longer than that, preemption comes too late.
Gangs of tasks on whole workers, where tasks on one accelerator each would leave a few
free on every worker.
"""

from collections.abc import Sequence

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.estimates.peak_use import URGENT_PEAK_AGE_S
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, Tier, tier
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.limits.ceilings import NON_URGENT_SLACK_S
from tamarackmount.scheduling.placement.kept_slots import KeptSlots
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState


class Headroom:
    """What steps that can wait leave free in one round of placement."""

    def __init__(self, state: SchedulerState, now: Instant) -> None:
        """Begin a round."""
        workers = state.workers_by_incarnation.values()
        self.started = 0
        self._state = state
        self._now = now
        self._urgent = KeptSlots(state.urgent_use, workers, now)
        self._is_preemption_late_by_service: dict[ServiceName, bool] = {}
        self._large = KeptSlots(state.large_use, workers, now)

    def allows(self, step: StepState, chosen: Sequence[WorkerState]) -> bool:
        """Return whether a step may start a task on each of the workers.

        A worker may be listed more than once.
        """
        if not _leaves_headroom(step, self._now):
            return True
        service, amount = step.job.accepted.service, step.reserved_amount
        if self._is_preemption_late(service) and not self._urgent.allows(
            service, amount, chosen
        ):
            return False
        if self._state.is_large(service, amount, self._now):
            return True
        return self._large.allows(service, amount, chosen)

    def _is_preemption_late(self, service: ServiceName) -> bool:
        """Return whether a stop may outlast the slack of a pool's urgent jobs.

        Where it does not, preemption frees capacity in time and nothing is kept free.
        """
        is_late = self._is_preemption_late_by_service.get(service)
        if is_late is None:
            config = self._state.fleet_config
            queues = config.queues_by_name.values() if config is not None else ()
            is_late = any(
                queue.target_ms < self._state.stop_timeout_ms
                for queue in queues
                if queue.service == service and queue.priority == URGENT_PRIORITY
            )
            self._is_preemption_late_by_service[service] = is_late
        return is_late

    def record_start(self, worker: WorkerState) -> None:
        """Record that a run has started on a worker."""
        self.started += 1
        self._urgent.record_start(worker)
        self._large.record_start(worker)


def _leaves_headroom(step: StepState, now: Instant) -> bool:
    """Return whether a step has time to wait, or nothing to lose by waiting."""
    job = step.job
    if job.priority == URGENT_PRIORITY or step.spec.perpetual:
        return False
    if now < job.latest_start - NON_URGENT_SLACK_S:
        return True
    # Bounded, as urgent work may come at all times.
    is_recent = now < job.latest_late_start + URGENT_PEAK_AGE_S
    return is_recent and tier(step, now) is Tier.TOO_LATE
