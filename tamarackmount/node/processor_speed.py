"""How fast this node's processor is, compared with its own best.

Load pattern: the VM of the holder becomes several times slower, as its processor is
shared with others. Its heartbeats still arrive, so that no other node claims the role,
but its polls and orders time out for as long as the VM is slow.
"""

import logging
import time
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any

from twisted.internet.task import LoopingCall

from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.tasks import stop_process_on_error

SAMPLE_INTERVAL_S = 0.2
"""Interval between two samples, in seconds. Each takes a fifth of a millisecond."""

SAMPLE_COUNT = 3
"""Number of recent samples whose median counts: single ones are interrupted by other
processes."""

SLOW_FACTOR = 2.5
"""Slowdown, without unit, from which on a VM counts as slow."""

_SAMPLE_ITERATIONS = 10_000

_log = logging.getLogger(__name__)


def time_sample() -> float:
    """Return how long a fixed amount of work takes now, in seconds."""
    started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    sum(range(_SAMPLE_ITERATIONS))
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_at


class ProcessorSpeed:
    """Samples how long a fixed amount of work takes."""

    def __init__(
        self,
        reactor: Any,
        metrics: NodeMetrics,
        is_needed: Callable[[], bool],
        take_sample: Callable[[], float],
    ) -> None:
        """Sample with ``take_sample`` while ``is_needed``."""
        self._metrics = metrics
        self._is_needed = is_needed
        self._take_sample = take_sample
        self._samples: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._best_s: float | None = None
        self._was_slow = False
        self.slowdown = 1.0
        self._loop = LoopingCall(stop_process_on_error(self._sample))
        self._loop.clock = reactor

    @property
    def is_slow(self) -> bool:
        """Whether the processor is much slower than it was at its best."""
        return self.slowdown >= SLOW_FACTOR

    def start(self) -> None:
        """Start sampling."""
        self._loop.start(SAMPLE_INTERVAL_S, now=False)

    def _sample(self) -> None:
        if not self._is_needed():
            return
        self._samples.append(self._take_sample())
        if len(self._samples) < SAMPLE_COUNT:
            return
        recent_s = median(self._samples)
        best_s = recent_s if self._best_s is None else min(self._best_s, recent_s)
        self._best_s = best_s
        # A coarse clock may show no time at all; nothing follows from that.
        self.slowdown = recent_s / best_s if best_s > 0 else 1.0
        self._metrics.set_processor_slowdown(self.slowdown)
        if self.is_slow != self._was_slow:
            self._was_slow = self.is_slow
            extra = {"slow": self.is_slow, "slowdown": round(self.slowdown, 1)}
            _log.info("processor speed changed", extra=extra)
