"""Keep suspects apart, so that a crash tells which of them caused it.

Load pattern: a task that crashes its workers restarts beside others that have just
started. The crash then speaks against all of them, and takes them with it. So a suspect
starts where nothing else has just started and no other suspect runs, and nothing starts
beside it before its worker is known to have survived the start. Where all suitable
workers are taken, a suspect waits for a while; then tasks start there all the same. A
suspect prefers other addresses than those of its crashes, since a worker may be at
fault. Of a gang, only the suspects among its members are kept apart.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.evidence.crash_evidence import (
    crash_addresses,
    has_suspects,
    is_suspect,
)
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState


@dataclass(frozen=True, slots=True)
class GangWorkers:
    """The workers on which the members of a gang may start.

    Suspects may start only on those in ``workers_by_suspect``, which has them by the
    index of the member; they are among ``workers``.
    """

    workers: Sequence[WorkerState]
    workers_by_suspect: Mapping[int, Collection[WorkerIncarnation]] = field(
        default_factory=dict
    )

    def allows(self, index: int, worker: WorkerState) -> bool:
        """Tell whether a member may start on one of the workers."""
        allowed = self.workers_by_suspect.get(index)
        return allowed is None or worker.incarnation in allowed


def isolated_workers(
    state: SchedulerState,
    step: StepState,
    index: int,
    workers: Sequence[WorkerState],
    now: Instant,
) -> Sequence[WorkerState]:
    """Return the workers on which a task can start apart from suspects of other jobs.

    If there are none, return all of them, or none while a suspect waits for one.
    """
    if not state.suspected_tasks:
        return workers
    if not is_suspect(state, step, index):
        return _without_new_suspects(state, step, workers) or workers
    found = _without_interference(state, step, workers)
    if not found and waits_apart(state, step, index, now):
        return []
    return _elsewhere(crash_addresses(step, index), found) or found or workers


def gang_workers(
    state: SchedulerState,
    step: StepState,
    workers: Sequence[WorkerState],
    now: Instant,
) -> list[GangWorkers]:
    """Return on which workers the members of a gang may start, the best choice first.

    The gang may need more workers than the better choices have.
    """
    if not state.suspected_tasks:
        return [GangWorkers(workers)]
    others = _without_new_suspects(state, step, workers)
    if not has_suspects(state, step):
        is_same = len(others) == len(workers)
        return [GangWorkers(others), GangWorkers(workers)][is_same:]
    apart = _without_interference(state, step, workers)
    suspects = [
        index for index in step.crashes_by_index if is_suspect(state, step, index)
    ]
    apart_by_suspect = dict.fromkeys(suspects, _incarnations(apart))
    choices = [
        GangWorkers(others, _elsewhere_by_suspect(step, suspects, apart)),
        GangWorkers(workers, apart_by_suspect),
    ]
    if now >= step.isolate_until:
        choices.append(GangWorkers(workers))
    return choices


def _without_new_suspects(
    state: SchedulerState, step: StepState, workers: Sequence[WorkerState]
) -> list[WorkerState]:
    """Return the workers on which no suspect of another job has just started."""
    has_any, job_id = state.isolation.has_new_suspects, step.key.job_id
    return [worker for worker in workers if not has_any(worker.incarnation, job_id)]


def _without_interference(
    state: SchedulerState, step: StepState, workers: Sequence[WorkerState]
) -> list[WorkerState]:
    """Return the workers on which a crash could be due to no other job."""
    has_any, job_id = state.isolation.has_interfering_runs, step.key.job_id
    return [worker for worker in workers if not has_any(worker.incarnation, job_id)]


def _elsewhere_by_suspect(
    step: StepState, suspects: Sequence[int], workers: Sequence[WorkerState]
) -> dict[int, frozenset[WorkerIncarnation]]:
    """Return the workers at other addresses than those of each suspect's crashes."""
    found_by_addresses: dict[frozenset[str], frozenset[WorkerIncarnation]] = {}
    elsewhere_by_suspect = {}
    for index in suspects:
        crashed_at = frozenset(crash_addresses(step, index))
        if crashed_at not in found_by_addresses:
            found = _incarnations(_elsewhere(crashed_at, workers))
            found_by_addresses[crashed_at] = found
        elsewhere_by_suspect[index] = found_by_addresses[crashed_at]
    return elsewhere_by_suspect


def _elsewhere(
    addresses: Collection[str], workers: Sequence[WorkerState]
) -> list[WorkerState]:
    """Return the workers at other addresses."""
    return [worker for worker in workers if worker.entry.address not in addresses]


def _incarnations(workers: Sequence[WorkerState]) -> frozenset[WorkerIncarnation]:
    return frozenset(worker.incarnation for worker in workers)


def waits_apart(
    state: SchedulerState, step: StepState, index: int, now: Instant
) -> bool:
    """Tell whether a task is a suspect that starts only apart from others for now."""
    return now < step.isolate_until and is_suspect(state, step, index)
