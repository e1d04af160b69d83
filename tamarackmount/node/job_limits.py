"""Limits of what the callers' jobs may take of a node's memory and time."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tamarackmount.ids import JobId
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.paced_queue import PacedQueue
from tamarackmount.scheduling.store.job_sizes import job_size

WAITING_FRACTION = 1 / 16
"""Part of a process's memory that large jobs may take while they wait for their turn,
without unit."""

PENDING_FRACTION = 1 / 16
"""Part of a process's memory that jobs may take while they wait for the store, without
unit."""

PENDING_RETRY_S = 2
"""Retry time of a job that finds too many waiting for the store, in seconds; the
shortest outage of the store is a second."""

_log = logging.getLogger(__name__)


class JobLimit(Enum):
    """A limit that a job may exceed.

    ``LARGE_JOBS``: large jobs that wait for their turn to be decoded.
    ``PENDING_JOBS``: jobs that wait for the store.
    """

    LARGE_JOBS = "large_jobs"
    PENDING_JOBS = "pending_jobs"


@dataclass(frozen=True, slots=True)
class JobLimitSizes:
    """The limits in bytes.

    ``waiting`` is that of large jobs that wait for their turn, ``pending`` that of jobs
    that wait for the store.
    """

    waiting: int
    pending: int

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "JobLimitSizes":
        """Return the limits of a process that may use ``memory_bytes``."""
        return cls(
            waiting=int(memory_bytes * WAITING_FRACTION),
            pending=int(memory_bytes * PENDING_FRACTION),
        )


class JobReservation:
    """The memory of one job that waits for the store."""

    def __init__(self, pending: BufferBudget, pending_bytes: int) -> None:
        """Hold ``pending_bytes`` of ``pending``, which are reserved already."""
        self._pending = pending
        self._pending_bytes = pending_bytes

    def release(self) -> None:
        """Return the memory; to be called once."""
        self._pending.release(self._pending_bytes)


class JobLimits:
    """Tells whether a node takes another job."""

    def __init__(
        self, reactor: Any, sizes: JobLimitSizes, metrics: NodeMetrics
    ) -> None:
        """Apply the limits ``sizes``, and count refusals in ``metrics``."""
        self._metrics = metrics
        self.turns = PacedQueue(reactor, sizes.waiting)
        self.pending = BufferBudget(sizes.pending)

    def try_reserve(self, text: bytes) -> JobReservation | JobLimit:
        """Reserve memory for a job with this record, which waits for the store.

        Return the limit instead that the job would exceed.
        """
        # It waits as its record, and decoded beside that.
        pending_bytes = len(text) + job_size(text).record
        if not self.pending.try_reserve(pending_bytes):
            return JobLimit.PENDING_JOBS
        return JobReservation(self.pending, pending_bytes)

    def refuse(self, job_id: JobId, limit: JobLimit) -> int:
        """Count a job that exceeds a limit; return after how many seconds to retry."""
        self._metrics.record_job_limit_refusal(limit.value)
        retry_s_by_limit = {
            JobLimit.LARGE_JOBS: self.turns.retry_s,
            JobLimit.PENDING_JOBS: PENDING_RETRY_S,
        }
        retry_after_s = retry_s_by_limit[limit]
        extra = {"job": job_id, "limit": limit.value, "retry_after_s": retry_after_s}
        _log.info("job exceeds a limit", extra=extra)
        return retry_after_s
