"""React at once when a worker may be lost, long before its lease expires."""

import logging

from tamarackmount.ids import Instant
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState

_log = logging.getLogger(__name__)


def mark_suspected(
    state: SchedulerState, worker: WorkerState, sent_at: Instant
) -> None:
    """Mark a worker as suspected after a call sent at ``sent_at`` had no answer.

    Nothing changes if the worker has answered another call since.

    Load pattern: a few answers of a healthy worker are lost, or a worker is cut off. In
    the second case, each second of orders sent to it is lost until a poll fails.
    """
    if worker.is_suspected or worker.answered_at > sent_at:
        return
    worker.is_suspected = True
    # The message is kept for operators' tools.
    _log.info("worker doubted", extra={"worker": worker.incarnation.worker_id})
    request_speculative_copies(state, worker)


def request_speculative_copies(state: SchedulerState, worker: WorkerState) -> None:
    """Request copies elsewhere of a worker's tasks that allow them."""
    runs = list(worker.runs_by_task.values())
    copied = [run for run in runs if state.request_speculative_copy(run)]
    if copied:
        extra = {"worker": worker.incarnation.worker_id, "copies": len(copied)}
        _log.info("copies wanted", extra=extra)
