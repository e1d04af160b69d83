"""The groups of workers on which a gang is placed together."""

from collections.abc import Iterable, Sequence

from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.workers.workers import WorkerState


def gang_groups(
    step: StepState, workers: Sequence[WorkerState]
) -> Iterable[Sequence[WorkerState]]:
    """Yield groups of workers, the best first.

    If the step asks for one rack, these are the workers of each rack, then all.
    """
    if step.spec.same_rack:
        racks = sorted({worker.entry.rack for worker in workers})
        for rack in racks:
            yield [worker for worker in workers if worker.entry.rack == rack]
    yield workers
