"""Terms and periods of the kernel, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Terms that the members of one fleet share.

    A member claims ownership after an owner was silent for ``owner_lease_s``; an
    owner gives up after a pause of its own of half that, so that it has stopped
    before anyone may claim. ``clock_margin_s`` bounds how far two clocks drift
    apart over one term.
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
        """Longest gap between two ticks after which an owner may go on."""
        return self.owner_lease_s / 2
