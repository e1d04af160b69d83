"""Rank workers for a step by how long its tasks take on them."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.workers.worker_speeds import WorkerSpeeds
from tamarackmount.scheduling.workers.workers import WorkerState

SAME_SPEED_RATIO = 1.2
"""Ratio of duration factors within which workers count as equally fast, without unit;
learned factors are off by a twentieth."""

MUCH_SLOWER_CLASSES = 2
"""Number of steps of ``SAME_SPEED_RATIO`` from which on a worker is much slower than
the best one: more than 1.3 times, which uses up an urgent job's slack."""

EXTRA_TIME_MARGIN = 2.0
"""Multiple of the extra time on a slower worker that a step has to have as slack to be
sent there, without unit: durations within a step differ by up to two times."""

SpeedRank = tuple[bool, int]
"""Whether a worker is used only if no other has capacity, and its order among the
others, the lowest first."""

NEUTRAL_RANK: SpeedRank = (False, 0)


def speed_ranks(
    speeds: WorkerSpeeds,
    step: StepState,
    workers: Iterable[WorkerState],
    usual_s: float,
    now: Instant,
) -> dict[WorkerIncarnation, SpeedRank]:
    """Return the ranks of workers with capacity for a task of the step.

    ``usual_s`` is a task's forecast duration, in seconds, on a usual worker. Urgent
    steps, and others that would be late on a slower worker, prefer faster workers;
    others leave those free. Perpetual tasks have no end to be early or late.
    """
    if step.spec.perpetual:
        return {}
    amount = step.reserved_amount
    class_by_worker = {
        worker.incarnation: _speed_class(speeds.duration_factor(worker))
        for worker in workers
        if amount.fits_in(worker.available)
    }
    if len(set(class_by_worker.values())) <= 1:
        return {}
    best = min(class_by_worker.values())
    slowest = _slowest_class_in_time(step, usual_s, now)
    return {
        incarnation: (
            (False, -speed_class)
            if speed_class <= slowest
            else (speed_class - best >= MUCH_SLOWER_CLASSES, speed_class)
        )
        for incarnation, speed_class in class_by_worker.items()
    }


def speed_groups(
    workers: Sequence[WorkerState], ranks: Mapping[WorkerIncarnation, SpeedRank]
) -> Iterator[Sequence[WorkerState]]:
    """Yield groups of workers for a gang: those of one rank, the best first, then all.

    Members wait for the slowest one, so a mixed gang wastes its fast workers.
    """
    found = {ranks.get(worker.incarnation, NEUTRAL_RANK) for worker in workers}
    if len(found) > 1:
        for rank in sorted(found):
            yield [
                worker
                for worker in workers
                if ranks.get(worker.incarnation, NEUTRAL_RANK) == rank
            ]
    yield workers


def _speed_class(factor: float) -> int:
    return round(math.log(factor) / math.log(SAME_SPEED_RATIO))


def _slowest_class_in_time(step: StepState, usual_s: float, now: Instant) -> float:
    """Return the slowest class of workers on which the step is surely in time."""
    slack_s = step.job.latest_start - now
    if step.job.priority == URGENT_PRIORITY or slack_s <= 0 or usual_s <= 0:
        return -math.inf
    max_factor = 1.0 + slack_s / (EXTRA_TIME_MARGIN * usual_s)
    return math.floor(math.log(max_factor) / math.log(SAME_SPEED_RATIO))
