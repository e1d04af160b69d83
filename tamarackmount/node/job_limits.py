"""Limits of what the callers' jobs may take of a node's memory and time."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tamarackmount.ids import JobId
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.paced_queue import PacedQueue

WAITING_FRACTION = 1 / 16
"""Part of a process's memory that large jobs may take while they wait for their turn,
without unit."""

_log = logging.getLogger(__name__)


class JobLimit(Enum):
    """A limit that a job may exceed.

    ``LARGE_JOBS``: large jobs that wait for their turn to be decoded.
    """

    LARGE_JOBS = "large_jobs"


@dataclass(frozen=True, slots=True)
class JobLimitSizes:
    """The limits in bytes: ``waiting`` is that of large jobs that wait for a turn."""

    waiting: int

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "JobLimitSizes":
        """Return the limits of a process that may use ``memory_bytes``."""
        return cls(waiting=int(memory_bytes * WAITING_FRACTION))


class JobLimits:
    """Tells whether a node takes another job."""

    def __init__(
        self, reactor: Any, sizes: JobLimitSizes, metrics: NodeMetrics
    ) -> None:
        """Apply the limits ``sizes``, and count refusals in ``metrics``."""
        self._metrics = metrics
        self.turns = PacedQueue(reactor, sizes.waiting)

    def refuse(self, job_id: JobId, limit: JobLimit) -> int:
        """Count a job that exceeds a limit; return after how many seconds to retry."""
        self._metrics.record_job_limit_refusal(limit.value)
        retry_after_s = self.turns.retry_s
        extra = {"job": job_id, "limit": limit.value, "retry_after_s": retry_after_s}
        _log.info("job exceeds a limit", extra=extra)
        return retry_after_s
