"""Lease durations and intervals of the kernel, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Timing that all members of a fleet share.

    A member may claim ownership once the owner has been silent for ``owner_lease_s``.
    An owner gives up ownership after half that time without a tick, so that it has
    stopped before another member may claim. ``clock_margin_s`` is the maximum drift
    between two clocks during one lease. The log counts as available while its end was
    read within ``log_fresh_s``.
    """

    heartbeat_s: float = 0.25
    remote_heartbeat_s: float = 1.0
    owner_lease_s: float = 1.5
    clock_margin_s: float = 0.1
    log_fresh_s: float = 2.0
    worker_sync_s: float = 0.5
    task_lease_s: float = 4.0
    attempt_memory_s: float = 3_600.0

    @property
    def pause_limit_s(self) -> float:
        """Maximum gap between two ticks after which an owner remains the owner."""
        return self.owner_lease_s / 2
