"""Workers that fell silent at the same moment, which no task of one job explains."""

from collections.abc import Iterator
from itertools import islice

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import RemovedWorker, WorkerState

COMMON_CAUSE_WINDOW_S = 0.25
"""Longest time, in seconds, between two crashes with one cause: a crash ends the poll
in flight at once, and two polls of a worker are 0.1 s apart."""

MIN_SILENT_PEERS = 3
"""Number of other workers that crash at the same moment from which on a crash counts as
widespread."""

MAX_PEERS = 32
"""Maximum number of such workers that are looked at, to bound the cost when a whole
data centre crashes."""

RETENTION_S = 10.0
"""Time, in seconds, for which removed workers are remembered; one that crashed is
back, and so removed, within some seconds."""


def remember_removed(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Remember a worker that is being removed, with its runs, if it fell silent."""
    removed = state.removed_after_silence
    while removed and removed[0].removed_at < now - RETENTION_S:
        removed.popleft()
    if worker.fell_silent_at is not None and _has_answered(worker):
        removed.append(RemovedWorker(worker.fell_silent_at, _jobs(worker), now))


def jobs_of_silent_peers(
    state: SchedulerState, worker: WorkerState
) -> list[frozenset[JobId]]:
    """Return the jobs that ran on other workers that fell silent with this one.

    There are ``MAX_PEERS`` at most. There are none if this worker did not fall silent
    under this holder: to a new holder, all workers that crashed before seem to fall
    silent at once.
    """
    at = worker.fell_silent_at
    if at is None or not worker.runs_by_task or not _has_answered(worker):
        return []
    return list(islice(_peers(state, worker, at), MAX_PEERS))


def _peers(
    state: SchedulerState, worker: WorkerState, at: Instant
) -> Iterator[frozenset[JobId]]:
    for removed in state.removed_after_silence:
        if abs(removed.fell_silent_at - at) <= COMMON_CAUSE_WINDOW_S:
            yield removed.job_ids
    for other in state.workers_by_incarnation.values():
        other_at = other.fell_silent_at
        if other_at is None or abs(other_at - at) > COMMON_CAUSE_WINDOW_S:
            continue
        if other is not worker and _counts(other):
            yield _jobs(other)


def _counts(worker: WorkerState) -> bool:
    return _has_answered(worker) and not worker.has_announced_drain


def _has_answered(worker: WorkerState) -> bool:
    return worker.answered_at > 0


def _jobs(worker: WorkerState) -> frozenset[JobId]:
    return frozenset(run.task.job_id for run in worker.runs_by_task.values())
