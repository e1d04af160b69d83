"""Time for which the holder's work holds the event loop."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

from tamarackmount.node import clock
from tamarackmount.scheduling.membership.holder_watch import HEARTBEAT_INTERVAL_S

_log = logging.getLogger(__name__)

LONG_TURN_S = HEARTBEAT_INTERVAL_S / 2
"""Length, in seconds, from which on a turn is logged: longer ones delay heartbeats."""


class TurnWork(Enum):
    """What a turn of the event loop does."""

    RESTORE = "restore"
    DECISIONS = "decisions"
    WORKER_REPORT = "worker report"
    STORED_BATCH = "stored batch"
    NEW_JOB = "new job"


class TurnMetrics(Protocol):
    """Where the lengths of turns are counted."""

    def record_turn(self, work: str, took_s: float) -> None:
        """Record how long a turn took, in seconds."""


@contextmanager
def measured_turn(metrics: TurnMetrics, work: TurnWork) -> Iterator[None]:
    """Measure a turn, and log it if it is long."""
    began = clock.now()
    try:
        yield
    finally:
        took_s = clock.now() - began
        metrics.record_turn(work.value, took_s)
        if took_s >= LONG_TURN_S:
            extra = {"work": work.value, "took_s": round(took_s, 3)}
            _log.warning("event loop held", extra=extra)
