"""Choose which workers an advice request names.

Load pattern: dozens of steps a second need tickets on a pool of hundreds of workers.
The advice service takes longer the more workers a request names, and takes one request
at a time from each entry VM. Requests that name more workers than their steps can use
keep the entry VMs busy, and urgent steps wait for one of them; requests that name too
few have to be followed by others, each of which takes the base time again. So a request
names a fixed number of workers, and more only for a step whose tasks need more. Steps
are spread over the workers, as those that name the same ones would compete for their
capacity.
"""

import zlib
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from tamarackmount.ids import QueueName, RackId
from tamarackmount.scheduling.jobs.runs import StepState, WaitReason
from tamarackmount.scheduling.workers.free_capacity import count_startable_tasks
from tamarackmount.scheduling.workers.workers import WorkerState

MAX_WORKERS_PER_REQUEST = 60
"""Maximum number of workers in one request: enough for a wide gang, while the advice
service still decides quickly."""

MIN_WORKERS_PER_REQUEST = 30
"""Number of workers that a request names at least, if there are as many: naming them
takes the service less than half as long again, and a second request twice as long. The
platform's targets allow for one request of this size a step."""

CAPACITY_MARGIN = 2.0
"""Multiple of the capacity that a step needs, without unit, that is expected from the
workers of one request; other steps may take some of it."""

MIN_ALLOWED_WORKERS = 8
"""Number of allowed workers from which on a step may wait for their capacity, rather
than ask about workers that have none either."""

WAITING_MARGIN = 4.0
"""Multiple of the capacity that a step needs, without unit, which its allowed workers
have to have when they are idle for the step to wait for them: tasks that need a whole
worker wait long for one of a few."""

INITIAL_APPROVAL = 0.5
"""Fraction of the workers in a request that are assumed to be allowed before a queue's
first answer, without unit."""

APPROVAL_SMOOTHING = 0.1
"""Weight of the newest answer in a queue's approval fraction, without unit."""

MIN_APPROVAL = 0.05
"""Lower limit of a queue's approval fraction, without unit."""


@dataclass(slots=True)
class ApprovalRates:
    """Fraction of the workers in requests that the advice service allows, by queue."""

    _fraction_by_queue: dict[QueueName, float] = field(default_factory=dict)

    def fraction(self, queue: QueueName) -> float:
        """Return a queue's fraction of allowed workers, without unit."""
        return self._fraction_by_queue.get(queue, INITIAL_APPROVAL)

    def record_answer(self, queue: QueueName, asked: int, allowed: int) -> None:
        """Add an answer that allows ``allowed`` of ``asked`` workers."""
        if asked <= 0:
            return
        mean = self.fraction(queue)
        mean += APPROVAL_SMOOTHING * (allowed / asked - mean)
        self._fraction_by_queue[queue] = max(MIN_APPROVAL, mean)


def lacks_capacity(step: StepState, allowed: Iterable[WorkerState]) -> bool:
    """Tell whether allowed workers have too little free capacity for a step's tasks.

    They have too little, too, if the last placement found none that could take a task.
    """
    if step.wait_reason is WaitReason.NO_CAPACITY:
        return True
    return _count_fitting(step, allowed) < len(step.pending)


def may_wait_for(step: StepState, allowed: Sequence[WorkerState]) -> bool:
    """Tell whether enough workers are allowed for a step to wait for their capacity."""
    fits_when_idle = sum(
        count_startable_tasks(step, worker, worker.entry.capacity, len(step.pending))
        for worker in allowed
    )
    if len(allowed) < MIN_ALLOWED_WORKERS:
        return False
    return fits_when_idle >= WAITING_MARGIN * len(step.pending)


def workers_to_ask_about(
    step: StepState,
    undecided: Sequence[WorkerState],
    allowed: Sequence[WorkerState],
    approval: float,
) -> list[WorkerState]:
    """Return the workers that a step's next request names; none if it needs none.

    ``undecided`` are suitable workers on which the advice service has not decided yet,
    ``allowed`` those that may run the step, ``approval`` the fraction of workers that
    it is expected to allow.
    """
    if not lacks_capacity(step, allowed):
        return []
    missing = max(1, len(step.pending) - _count_fitting(step, allowed))
    has_capacity = any(_fits(step, worker) for worker in undecided)
    if not has_capacity and may_wait_for(step, allowed):
        return []
    return _select(step, undecided, missing, approval)


def _select(
    step: StepState, workers: Sequence[WorkerState], missing: int, approval: float
) -> list[WorkerState]:
    """Return workers whose expected capacity is ``CAPACITY_MARGIN`` of the missing."""
    selected: list[WorkerState] = []
    expected = 0.0
    for worker in _by_preference(step, workers):
        is_enough = expected >= CAPACITY_MARGIN * missing
        if is_enough and len(selected) >= MIN_WORKERS_PER_REQUEST:
            break
        if len(selected) >= MAX_WORKERS_PER_REQUEST:
            break
        selected.append(worker)
        expected += approval * _fits(step, worker)
    return selected


def _by_preference(
    step: StepState, workers: Sequence[WorkerState]
) -> list[WorkerState]:
    """Sort workers: those near the step's data first, a gang's by rack if it asks so.

    Then come those with capacity, in an order that differs from step to step.
    """
    spec = step.spec
    count_by_rack: Counter[RackId] = Counter()
    if spec.same_rack:
        for worker in workers:
            count_by_rack[worker.entry.rack] += _fits(step, worker)

    def key(worker: WorkerState) -> tuple[bool, int, str, bool, int]:
        rack = worker.entry.rack
        is_remote = bool(spec.rack) and rack != spec.rack
        rack_order = rack if spec.same_rack else ""
        return (
            is_remote,
            -count_by_rack[rack],
            rack_order,
            not _fits(step, worker),
            _spread_key(step, worker),
        )

    return sorted(workers, key=key)


def _spread_key(step: StepState, worker: WorkerState) -> int:
    text = f"{step.key.job_id}.{step.key.step}.{worker.incarnation.worker_id}"
    return zlib.crc32(text.encode())


def _count_fitting(step: StepState, workers: Iterable[WorkerState]) -> int:
    return sum(_fits(step, worker) for worker in workers)


def _fits(step: StepState, worker: WorkerState) -> int:
    """Return how many of the step's pending tasks fit on a worker now."""
    return count_startable_tasks(step, worker, worker.free, len(step.pending))
