"""What calls to the platform and peer messages cost with real sockets.

Workers and the log service are the stand-ins, each a process of its own on the
loopback address; only the processor time of this process is counted. A peer
message has both of its ends in this process.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from returns.result import Failure, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tamarackmount.adapters.log import LogClient
from tamarackmount.adapters.log_schema import NewRecord
from tamarackmount.adapters.worker_schema import Amount, StartCommand, SyncCommand
from tamarackmount.adapters.workers import WorkerClient
from tamarackmount.bench.costs import Cost
from tamarackmount.bench.counting_reactor import CountingReactor
from tamarackmount.bench.loads import logged_records, record_of
from tamarackmount.bench.measuring import Effort, Line, fit, summarise
from tamarackmount.demo.ports import LOOPBACK, PortReservation
from tamarackmount.demo.processes import Command, ProcessGroup
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    MemberId,
    Offset,
    RecordId,
    TaskId,
    TeamId,
)
from tamarackmount.internal.addresses import Address
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.links import PeerLinks
from tamarackmount.internal.member_codec import MEMBER_CODEC
from tamarackmount.kernel.messages import Heartbeat, JobCopy, PeerMessage

EPOCH = Epoch(65_536)
OWNER = MemberId("dc-01-entry-01")
ENTRY = MemberId("dc-01-entry-02")
LEASE_MS = 3_600_000
LOGGED = 300
"""Records in the log that is read."""

TINY = Amount(millicores=1, memory_mib=1, accelerators=0)
CONNECT_PAUSE_S = 0.05

Sample = Callable[[int], Awaitable[float]]


async def measure_line_later(
    sizes: tuple[int, ...], sample: Sample, repeats: int
) -> Line:
    """Fit a line through the medians of repeated samples that take their time."""
    samples_by_size: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            samples_by_size[size].append(await sample(size))
    points = [summarise(size, values) for size, values in samples_by_size.items()]
    return fit(points)


async def cpu_of_calls(call: Callable[[], Awaitable[object]], rounds: int) -> float:
    """Return the processor time of one of several calls in turn, in seconds."""
    await call()
    began = time.process_time()
    for _ in range(rounds):
        await call()
    return (time.process_time() - began) / rounds


async def bytes_of_call(
    reactor: CountingReactor, call: Callable[[], Awaitable[object]]
) -> float:
    """Return the bytes of one call on a connection that is open already."""
    await call()
    before = reactor.counted_bytes
    await call()
    return float(reactor.counted_bytes - before)


async def good(calling: "Deferred[Result[Any, Any]]") -> Any:
    """Return what a call gives; raises when it failed."""
    result = await calling
    if isinstance(result, Failure):
        raise RuntimeError(f"a stand-in failed: {result.failure()}")
    return result.unwrap()


@dataclass(frozen=True, slots=True)
class SocketBench:
    """Measurements against stand-ins that this bench starts."""

    reactor: Any
    processes: ProcessGroup
    effort: Effort

    async def run(self) -> dict[Cost, Line]:
        """Measure everything."""
        lines = await self._workers()
        lines.update(await self._log())
        lines.update(await self._peers())
        return lines

    async def _listen(self, command: Command) -> int:
        await self.processes.start_listening([command])
        listening = await self.processes.process_by_name[command.name].listening()
        return listening.port

    async def _workers(self) -> dict[Cost, Line]:
        sizes = self.effort.sizes(1, 10, 40)
        ports = {}
        for tasks in sizes:
            arguments = ("--id", f"worker-{tasks}")
            name = f"worker-{tasks}"
            module = "tamarackmount.standins.worker"
            ports[tasks] = await self._listen(Command(name, module, arguments))
            await self._start_tasks(ports[tasks], tasks)
        counting = CountingReactor(self.reactor)
        lines = {
            Cost.HTTP_SYNC: await self._syncs(ports),
            Cost.HTTP_SYNC_BYTES: await self._sync_bytes(ports, counting),
        }
        lines.update(await self._starts(ports[sizes[0]], counting))
        return lines

    async def _start_tasks(self, port: int, tasks: int) -> None:
        client = WorkerClient(self.reactor)
        for index in range(tasks):
            await good(client.start(LOOPBACK, port, _start(index, run_ms=None)))
        await client.close()

    async def _syncs(self, ports: dict[int, int]) -> Line:
        client = WorkerClient(self.reactor)

        async def sample(tasks: int) -> float:
            command = _sync(tasks)
            return await cpu_of_calls(
                lambda: good(client.sync(LOOPBACK, ports[tasks], command)),
                self.effort.rounds,
            )

        line = await measure_line_later(tuple(ports), sample, self.effort.repeats)
        await client.close()
        return line

    async def _sync_bytes(
        self, ports: dict[int, int], counting: CountingReactor
    ) -> Line:
        client = WorkerClient(counting)

        async def sample(tasks: int) -> float:
            command = _sync(tasks)
            return await bytes_of_call(
                counting, lambda: good(client.sync(LOOPBACK, ports[tasks], command))
            )

        line = await measure_line_later(tuple(ports), sample, 1)
        await client.close()
        return line

    async def _starts(self, port: int, counting: CountingReactor) -> dict[Cost, Line]:
        """Measure start calls, each of a new task that ends at once."""
        numbers = count(1_000)
        client = WorkerClient(self.reactor)
        counted = WorkerClient(counting)

        def start(using: WorkerClient) -> Awaitable[object]:
            return good(using.start(LOOPBACK, port, _start(next(numbers), run_ms=1)))

        async def cpu(calls: int) -> float:
            return calls * await cpu_of_calls(lambda: start(client), calls)

        async def size(calls: int) -> float:
            total = 0.0
            for _ in range(calls):
                total += await bytes_of_call(counting, lambda: start(counted))
            return total

        sizes = self.effort.sizes(50, 100, 200)
        lines = {
            Cost.HTTP_START: await measure_line_later(sizes, cpu, self.effort.repeats),
            Cost.HTTP_START_BYTES: await measure_line_later(
                self.effort.sizes(5, 10, 20), size, 1
            ),
        }
        await client.close()
        await counted.close()
        return lines

    async def _log(self) -> dict[Cost, Line]:
        port = await self._listen(Command("log", "tamarackmount.standins.log_service"))
        url = f"http://{LOOPBACK}:{port}"
        client = LogClient(self.reactor, url)
        records = [
            NewRecord(id=RecordId(f"dc-02-entry-01/1764791463123/{index}"), body=text)
            for index, text in enumerate(logged_records(LOGGED, DataCentreId("dc-02")))
        ]
        first = await good(client.append(records))

        def read(using: LogClient, size: int) -> Awaitable[object]:
            position = Offset(first + LOGGED - size)
            return good(using.read(position, max(1, size)))

        counting = CountingReactor(self.reactor)
        counted = LogClient(counting, url)

        async def cpu(size: int) -> float:
            return await cpu_of_calls(lambda: read(client, size), self.effort.rounds)

        async def length(size: int) -> float:
            return await bytes_of_call(counting, lambda: read(counted, size))

        sizes = self.effort.sizes(0, 20, 100)
        lines = {
            Cost.LOG_POLL: await measure_line_later(sizes, cpu, self.effort.repeats),
            Cost.LOG_POLL_BYTES: await measure_line_later(sizes, length, 1),
        }
        await client.close()
        await counted.close()
        return lines

    async def _peers(self) -> dict[Cost, Line]:
        pair = PeerPair(self.reactor)
        await pair.connect()
        copies = {
            size: JobCopy(EPOCH, 1, [record_of(number) for number in range(size)])
            for size in self.effort.sizes(0, 5, 20)
        }

        async def copy(size: int) -> float:
            rounds = self.effort.rounds
            return await cpu_of_calls(lambda: pair.pass_on(copies[size]), rounds)

        async def beats(size: int) -> float:
            return size * await cpu_of_calls(lambda: pair.pass_on(HEARTBEAT), size)

        lines = {
            Cost.FRAME: await measure_line_later(
                tuple(copies), copy, self.effort.repeats
            ),
            Cost.HEARTBEAT_FRAMES: await measure_line_later(
                self.effort.sizes(100, 300, 900), beats, self.effort.repeats
            ),
        }
        pair.stop()
        return lines


class PeerPair:
    """Two ends of a link between members, both in this process."""

    def __init__(self, reactor: Any) -> None:
        """Listen on a free port."""
        self._reactor = reactor
        self._waiter: Deferred[Envelope[PeerMessage]] | None = None
        self._ports = PortReservation()
        address = Address(LOOPBACK, self._ports.take())
        self._receiver = PeerLinks(reactor, ENTRY, {}, MEMBER_CODEC, self._received)
        self._receiver.listen(address)
        self._sender = PeerLinks(
            reactor, OWNER, {ENTRY: address}, MEMBER_CODEC, lambda envelope: None
        )

    async def connect(self) -> None:
        """Wait until messages get through."""
        while not self._sender.send(ENTRY, HEARTBEAT):
            await deferLater(self._reactor, CONNECT_PAUSE_S, lambda: None)
        await deferLater(self._reactor, CONNECT_PAUSE_S, lambda: None)

    async def pass_on(self, message: PeerMessage) -> None:
        """Send one message and wait until it is there."""
        waiter: Deferred[Envelope[PeerMessage]] = Deferred()
        self._waiter = waiter
        if not self._sender.send(ENTRY, message):
            raise RuntimeError("the link broke")
        await waiter

    def stop(self) -> None:
        """Close both ends."""
        self._sender.stop()
        self._receiver.stop()
        self._ports.release()

    def _received(self, envelope: Envelope[PeerMessage]) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(envelope)


HEARTBEAT = Heartbeat(
    member_id=OWNER,
    incarnation=Incarnation(1_764_791_463_123),
    data_centre=DataCentreId("dc-01"),
    sequence=100_000,
    epoch=EPOCH,
    owner=OWNER,
    config_offset=Offset(100_000),
    log_age_ms=250,
)


def _task(index: int) -> TaskId:
    return TaskId(f"dc-01:team-001:render-000001/{index}")


def _sync(tasks: int) -> SyncCommand:
    renewed = [_task(index) for index in range(tasks)]
    return SyncCommand(epoch=EPOCH, owner=OWNER, lease_ms=LEASE_MS, renew=renewed)


def _start(index: int, run_ms: int | None) -> StartCommand:
    return StartCommand(
        epoch=EPOCH,
        task_id=_task(index),
        attempt=68_719_476_737,
        team=TeamId("team-001"),
        amount=TINY,
        lease_ms=LEASE_MS,
        run_ms=run_ms,
    )
