"""What is done at once when a worker may be lost, long before its lease is over."""

import logging

from tamarackmount.ids import Instant
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import WorkerState

_log = logging.getLogger(__name__)


def mark_suspected(state: SchedulerState, worker: WorkerState, sent: Instant) -> None:
    """Take that a call sent at ``sent`` had no answer; others may have had one since.

    Load pattern: a few answers are lost while a worker is well, or a worker is cut off:
    then each second of orders to it is lost until a look fails.
    """
    if worker.is_suspected or worker.answered_at > sent:
        return
    worker.is_suspected = True
    _log.info("worker doubted", extra={"worker": worker.incarnation.worker_id})
    request_speculative_copies(state, worker)


def request_speculative_copies(state: SchedulerState, worker: WorkerState) -> None:
    """Start what may have copies elsewhere, as the worker may be lost."""
    runs = list(worker.runs_by_task.values())
    copied = [run for run in runs if state.request_speculative_copy(run)]
    if copied:
        extra = {"worker": worker.incarnation.worker_id, "copies": len(copied)}
        _log.info("copies wanted", extra=extra)
