"""Workers and their runs in virtual time."""

from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    RunEnd,
    WorkerEntry,
)
from tamarackmount.scheduling.workers.workers import LEASE_MS
from tamarackmount.units import MS_PER_SECOND

REGISTRATION_EXPIRY_S = 4.5
"""Time after which the platform removes the registration of a silent worker."""

LEASE_S = LEASE_MS / MS_PER_SECOND
"""Length of a lease in seconds."""


@dataclass(slots=True)
class SimulatedRun:
    """A run on a worker; ``ends_at`` and ``crashes_at`` are virtual times.

    ``resumed_ms`` is the work, in milliseconds, that its checkpoint saved.
    """

    began_at: float
    ends_at: float
    crashes_at: float = float("inf")
    outcome: RunEnd = RunEnd.DONE
    resumed_ms: int = 0


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a worker.

    A worker that ``is_cut`` goes on without answers; its runs end at ``lease_ends_at``.
    """

    entry: WorkerEntry
    lease_ends_at: float
    runs: dict[tuple[TaskKey, int], SimulatedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_number: int = 0
    is_cut: bool = False
    unanswered: list[tuple[PollWorker, Instant]] = field(default_factory=list)

    @property
    def capacity(self) -> Resources:
        """The capacity that the worker's registration tells."""
        return self.entry.capacity
