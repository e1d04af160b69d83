"""Waits until a data centre serves requests on its own."""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Success

from tamarackmount.demo.callers import RequestKind, make_request
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import DataCentreId, QueueName, RequestId

PROBE = RequestKind("POST", False)
"""Kind of the probes: non-idempotent, so served in the data centre of their id."""


@dataclass(frozen=True, slots=True)
class Recovery:
    """Probes every queue through the entry VMs of a data centre.

    ``key`` must be the key of a team without a ceiling.
    """

    cell: Cell
    key: str
    queues: Sequence[QueueName]

    async def wait(self, data_centre: DataCentreId) -> None:
        """Wait until the data centre answers probes through each of its entry VMs."""
        for daemon in self.cell.topology.daemons:
            if daemon.data_centre == data_centre:
                await self._wait_for(daemon)

    async def _wait_for(self, daemon: DaemonPlan) -> None:
        client = self.cell.http.client(daemon, self.key)
        for queue in self.queues:

            async def served(queue: QueueName = queue) -> bool:
                token = secrets.token_hex(8)
                request_id = RequestId(f"{daemon.data_centre}:first-{token}")
                request = make_request(queue, request_id, PROBE)
                return isinstance(await client.send_request(request), Success)

            await self.cell.wait_until(served, f"{daemon.id} serves {queue}")
