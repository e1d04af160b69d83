"""Reserve workers for gangs and perpetual tasks that wait for capacity.

Load pattern: gangs of large tasks need many slots at one moment, on a pool that smaller
steps keep busy. These take each slot as soon as it is free, also one that was freed by
preemption for a gang, and the gang waits until the whole pool is idle. So the workers
that have capacity for all members soonest are reserved for it. Other steps use them
only if they end there before the gang can start (backfill), and urgent ones if they
fit nowhere else. A gang is planned beside those of higher rank, so that no two gangs
keep parts idle that the other one needs.

Load pattern: a perpetual task has ended, few workers are allowed for it, and smaller
urgent tasks take what is freed there a slot at a time. These use its workers only for
backfill until it has started.

Load pattern: a pool is mostly idle, but every worker with free capacity is reserved
for a wide gang that waits for the last one. Other steps wait for a bounded time only,
and use reserved workers after that.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from math import inf
from operator import attrgetter

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.domain.model import (
    ServiceName,
    StepKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.execution.run_ends import expected_duration_s
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, Tier, tier
from tamarackmount.scheduling.jobs.runs import Reservation, Run, StepState, WaitReason
from tamarackmount.scheduling.placement.gang_groups import gang_groups
from tamarackmount.scheduling.placement.worker_choice import eligible_workers
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.free_capacity import count_startable_tasks
from tamarackmount.scheduling.workers.workers import WorkerState

MAX_RESERVATIONS = 3
"""Maximum number of gangs with reserved workers at once: capacity that is kept free for
one is lost to all others."""

MAX_RESERVED_FRACTION = 0.3
"""Fraction of a service's workers that may be reserved, without unit. A wider gang gets
its workers only while no other gang has any. Perpetual tasks start one by one, and get
no more than this at once."""

MAX_KEPT_OFF_S = 2.0
"""Time for which reservations keep a step from starting on a pool that is mostly idle,
in seconds; the users allow 3 s without a run while under half of a pool is in use."""

MOSTLY_IDLE_FRACTION = 0.5
"""Fraction of a pool's capacity below which it counts as mostly idle, without unit."""

CHECK_INTERVAL_S = 0.2
"""Time after which a reservation is planned anew, in seconds; the search takes about a
millisecond on hundreds of workers."""

MAX_AGE_S = 3.0
"""Time for which a reservation is kept while its gang waits for tickets, in seconds;
the advice service takes a second for a wide gang."""

MOVE_MARGIN_S = 1.0
"""Time that another worker has to be free sooner to be reserved in place of one that
was, in seconds: a reservation that moves around keeps nothing free."""

MIN_LEFT_S = 0.2
"""Time for which an overdue run is expected to go on, in seconds."""


_RESERVING_REASONS = frozenset(
    {WaitReason.NO_CAPACITY, WaitReason.NO_ELIGIBLE_WORKER, WaitReason.HEADROOM}
)
"""Why steps wait that keep a reservation."""

_RESOURCES = tuple(map(attrgetter, ("millicores", "memory_mib", "accelerators")))


class Reservations:
    """The reserved workers in one round of placement.

    Steps are passed in order of rank, so a reservation binds those of lower rank only.
    """

    def __init__(self, state: SchedulerState, now: Instant) -> None:
        """Begin with no worker reserved."""
        self._state = state
        self._now = now
        self._count = 0
        self._starts_at_by_worker: dict[WorkerIncarnation, Instant] = {}
        self._reserved_by_worker: dict[WorkerIncarnation, Resources] = {}
        self._kept_for_perpetual: set[WorkerIncarnation] = set()
        self._kept_off: set[StepKey] = set()
        self._is_mostly_idle_by_service: dict[ServiceName, bool] = {}

    @property
    def reserved_workers(self) -> AbstractSet[WorkerIncarnation]:
        """The workers that are reserved for a step."""
        return self._starts_at_by_worker.keys()

    def is_reserved(self, worker: WorkerState) -> bool:
        """Tell whether a worker is reserved for a step."""
        return worker.incarnation in self._starts_at_by_worker

    def usable_workers(
        self, step: StepState, workers: Sequence[WorkerState]
    ) -> Sequence[WorkerState]:
        """Return the workers on which a step of lower rank may start tasks now."""
        starts_at = self._starts_at_by_worker
        binding: AbstractSet[WorkerIncarnation] = starts_at.keys()
        if step.job.priority == URGENT_PRIORITY:
            binding = self._kept_for_perpetual
        if not binding:
            return workers
        usual_s = self._state.forecast.estimate_s(
            step.job.accepted.queue_name, step.spec.estimated_ms
        )
        factor = self._state.worker_speeds.duration_factor
        usable = [
            worker
            for worker in workers
            if worker.incarnation not in binding
            or self._now + usual_s * factor(worker) <= starts_at[worker.incarnation]
        ]
        if len(usable) == len(workers):
            return workers
        if self._now >= step.uses_reserved_at and self._is_mostly_idle(step):
            return workers
        self._kept_off.add(step.key)
        return usable

    def update(self, step: StepState, queue: Queue, reason: WaitReason) -> None:
        """Reserve workers for a step that was passed to placement, if it needs any.

        ``reason`` is why its tasks did not start.
        """
        self._update_time_kept_off(step, reason)
        if not self._may_reserve(step, reason):
            step.reservation = None
            return
        planned = step.reservation
        if reason is WaitReason.NO_CAPACITY and (
            planned is None or self._now >= planned.planned_at + CHECK_INTERVAL_S
        ):
            step.reservation = planned = self._plan(step, queue)
        if planned is None or self._now > planned.planned_at + MAX_AGE_S:
            step.reservation = None
            return
        if self._fits_limits(step, planned):
            self._count += 1
            if step.is_restart and reason is WaitReason.NO_CAPACITY:
                self._kept_for_perpetual.update(planned.workers)
            for worker, count in planned.count_by_worker.items():
                starts_at = planned.starts_at_by_worker[worker]
                self._starts_at_by_worker.setdefault(worker, starts_at)
                reserved = self._reserved_by_worker.get(worker, NOTHING)
                self._reserved_by_worker[worker] = (
                    reserved + step.reserved_amount * count
                )

    def _update_time_kept_off(self, step: StepState, reason: WaitReason) -> None:
        """Set when a step that reservations keep from starting may ignore them."""
        if step.key not in self._kept_off or reason is not WaitReason.NO_CAPACITY:
            step.uses_reserved_at = Instant(inf)
        elif step.uses_reserved_at == inf:
            step.uses_reserved_at = Instant(self._now + MAX_KEPT_OFF_S)

    def _is_mostly_idle(self, step: StepState) -> bool:
        """Tell whether a step's pool has a small part of each resource in use."""
        service = step.job.accepted.service
        is_idle = self._is_mostly_idle_by_service.get(service)
        if is_idle is None:
            rows = [
                (worker.used, worker.entry.capacity)
                for worker in self._state.workers_by_incarnation.values()
                if worker.entry.service == service
            ]
            is_idle = all(
                sum(get(used) for used, _ in rows) < MOSTLY_IDLE_FRACTION * limit
                for get in _RESOURCES
                if (limit := sum(get(capacity) for _, capacity in rows))
            )
            self._is_mostly_idle_by_service[service] = is_idle
        return is_idle

    def _may_reserve(self, step: StepState, reason: WaitReason) -> bool:
        return (
            (step.spec.gang or step.is_restart)
            and reason in _RESERVING_REASONS
            and self._count < MAX_RESERVATIONS
            and tier(step, self._now) <= Tier.LATE
        )

    def _fits_limits(self, step: StepState, planned: Reservation) -> bool:
        if not self._starts_at_by_worker:
            return True
        reserved = self._starts_at_by_worker.keys() | planned.workers
        return len(reserved) <= MAX_RESERVED_FRACTION * self._count_workers(step)

    def _count_workers(self, step: StepState) -> int:
        service = step.job.accepted.service
        return sum(
            worker.entry.service == service
            for worker in self._state.workers_by_incarnation.values()
        )

    def _plan(self, step: StepState, queue: Queue) -> Reservation | None:
        """Return the workers that have capacity for all waiting tasks soonest."""
        workers = eligible_workers(self._state, step, queue, self._now)
        plans = (self._plan_on(step, group) for group in gang_groups(step, workers))
        return min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: plan.starts_at,
            default=None,
        )

    def _plan_on(
        self, step: StepState, workers: Iterable[WorkerState]
    ) -> Reservation | None:
        """Return the workers of a group that have capacity soonest.

        None is returned if a gang does not fit as a whole, or no perpetual task does.
        """
        previous = step.reservation.workers if step.reservation else frozenset()
        slots = [slot for worker in workers for slot in self._slots(step, worker)]
        slots.sort(key=lambda slot: slot[0] + MOVE_MARGIN_S * (slot[2] not in previous))
        missing = step.spec.count if step.spec.gang else len(step.pending)
        chosen: Counter[WorkerIncarnation] = Counter()
        starts_at_by_worker: dict[WorkerIncarnation, Instant] = {}
        last_free_at = self._now
        max_workers = self._max_workers(step)
        for free_at, count, incarnation in slots:
            if missing <= 0:
                break
            if incarnation not in chosen and len(chosen) >= max_workers:
                continue
            taken = min(count, missing)
            missing -= taken
            chosen[incarnation] += taken
            starts_at_by_worker.setdefault(incarnation, free_at)
            last_free_at = max(last_free_at, free_at)
        if not chosen or (step.spec.gang and missing > 0):
            return None
        if step.spec.gang:
            starts_at_by_worker = dict.fromkeys(chosen, last_free_at)
        return Reservation(chosen, starts_at_by_worker, self._now)

    def _max_workers(self, step: StepState) -> int:
        """Return how many workers may be reserved for a step."""
        if step.spec.gang:
            return step.spec.count
        return max(1, int(MAX_RESERVED_FRACTION * self._count_workers(step)))

    def _slots(
        self, step: StepState, worker: WorkerState
    ) -> list[tuple[Instant, int, WorkerIncarnation]]:
        """Return when a worker gets how many more slots for the step's tasks."""
        rows = []
        # What gangs of higher rank will use counts as used from now on.
        free = worker.free - self._reserved_by_worker.get(worker.incarnation, NOTHING)
        known = 0
        runs = ((self._expected_end(run), run) for run in worker.runs_by_task.values())
        ends = [(self._now, None), *sorted(runs, key=lambda row: row[0])]
        for free_at, run in ends:
            free = free if run is None else free + run.amount
            count = count_startable_tasks(step, worker, free, step.spec.count)
            if count > known and free_at < inf:
                rows.append((free_at, count - known, worker.incarnation))
                known = count
        return rows

    def _expected_end(self, run: Run) -> Instant:
        step = self._state.step_of(run.task)
        if step is None:
            return self._now
        if step.spec.perpetual:
            return Instant(inf)
        duration_s = expected_duration_s(self._state, step, run)
        return Instant(max(run.began_at + duration_s, self._now + MIN_LEFT_S))
