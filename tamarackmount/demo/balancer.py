"""Picks entry VMs for callers, as the platform's balancer would."""

import random
from collections.abc import Sequence

from tamarackmount.demo.http import HttpCaller
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import MemberId

CHECK_PERIOD_S = 0.2
"""Pause between two health checks of one entry VM, in seconds."""

CHECK_TIMEOUT_S = 2.0
"""Time limit of a health check, in seconds."""

HTTP_OK = 200
"""HTTP status of a success."""


class Balancer:
    """Checks the health of entry VMs and picks healthy ones for callers."""

    def __init__(
        self, http: HttpCaller, daemons: Sequence[DaemonPlan], rng: random.Random
    ) -> None:
        """Treat every entry VM as unhealthy until its first check."""
        self._http = http
        self._rng = rng
        self._watching = True
        self.daemon_by_id = {daemon.id: daemon for daemon in daemons}
        self.healthy: set[MemberId] = set()

    async def check(self, daemon: DaemonPlan) -> bool:
        """Check one entry VM and return whether it accepts work."""
        response = await self._http.call(
            "GET", f"{daemon.url}/healthz", timeout=CHECK_TIMEOUT_S
        )
        if response is None or response.status != HTTP_OK:
            self.healthy.discard(daemon.id)
            return False
        self.healthy.add(daemon.id)
        return True

    async def watch(self, daemon: DaemonPlan) -> None:
        """Check one entry VM periodically until :meth:`stop`."""
        while self._watching:
            await self.check(daemon)
            await self._http.sleep(CHECK_PERIOD_S)

    def stop(self) -> None:
        """End the health checks."""
        self._watching = False

    def pick(self, other_than: MemberId | None = None) -> DaemonPlan:
        """Return a random healthy entry VM, if possible not ``other_than``.

        Without any healthy entry VM, all of them are candidates.
        """
        candidates = self.healthy or set(self.daemon_by_id)
        others = candidates - {other_than}
        member_id = self._rng.choice(sorted(others or candidates))
        return self.daemon_by_id[member_id]
