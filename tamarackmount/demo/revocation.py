"""Measures the time until a revoked key is refused everywhere."""

from twisted.internet.defer import Deferred, gatherResults

from tamarackmount.demo.callers import classify, make_request
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.records import Ending, Revocation
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import MemberId, QueueName, RequestId

PROBE_PERIOD_S = 0.1
"""Pause between two requests to one entry VM, in seconds."""

REFUSED_KEY_ERROR = "bad_key"
"""Error of a request whose key is not accepted."""

ACCEPTED_ENDINGS = frozenset({Ending.ANSWERED, Ending.UNKNOWN})
"""Endings of requests whose key was accepted."""


class RevocationProbe:
    """Sends requests with a revoked key to every entry VM until :meth:`stop`."""

    def __init__(self, cell: Cell, queue: QueueName, key: str) -> None:
        """Probe with idempotent requests to ``queue``."""
        self._cell = cell
        self._queue = queue
        self._key = key
        self._probing = True
        self._revoked_at = cell.http.now()
        self._first_refusal_by_id: dict[MemberId, float] = {}
        self._accepted_at: list[tuple[MemberId, float]] = []

    async def is_accepted_everywhere(self) -> bool:
        """Return whether every entry VM accepts the key, before it is revoked."""
        for daemon in self._cell.topology.daemons:
            ending, _ = await self._send_with_key(daemon)
            if ending is not Ending.ANSWERED:
                return False
        return True

    async def run(self) -> None:
        """Probe all entry VMs concurrently; call right after the revocation."""
        self._revoked_at = self._cell.http.now()
        daemons = self._cell.topology.daemons
        probes = [
            Deferred.fromCoroutine(self._probe_entry_vm(daemon)) for daemon in daemons
        ]
        await gatherResults(probes, consumeErrors=True)

    def stop(self) -> None:
        """Stop probing."""
        self._probing = False

    async def is_refused_everywhere(self) -> bool:
        """Return whether every entry VM has refused the key at least once."""
        return len(self._first_refusal_by_id) == len(self._cell.topology.daemons)

    def result(self) -> Revocation:
        """Return the result of the probes so far."""
        if len(self._first_refusal_by_id) < len(self._cell.topology.daemons):
            return Revocation(None, self._accepted_after(float("inf")))
        refused_everywhere_at = max(self._first_refusal_by_id.values())
        seconds = round(refused_everywhere_at - self._revoked_at, 2)
        return Revocation(seconds, self._accepted_after(refused_everywhere_at))

    def _accepted_after(self, refused_everywhere_at: float) -> int:
        first_refusal_by_id = self._first_refusal_by_id
        return sum(
            sent_at
            > min(
                refused_everywhere_at,
                first_refusal_by_id.get(member_id, refused_everywhere_at),
            )
            for member_id, sent_at in self._accepted_at
        )

    async def _probe_entry_vm(self, daemon: DaemonPlan) -> None:
        http = self._cell.http
        while self._probing:
            sent_at = http.now()
            ending, error = await self._send_with_key(daemon)
            if error == REFUSED_KEY_ERROR:
                self._first_refusal_by_id.setdefault(daemon.id, http.now())
            elif ending in ACCEPTED_ENDINGS:
                self._accepted_at.append((daemon.id, sent_at))
            await http.sleep(PROBE_PERIOD_S)

    async def _send_with_key(self, daemon: DaemonPlan) -> tuple[Ending, str]:
        client = self._cell.http.client(daemon, self._key)
        request_id = RequestId(f"probe-{client.make_request_id()}")
        return classify(
            await client.send_request(make_request(self._queue, request_id))
        )
