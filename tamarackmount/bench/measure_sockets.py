"""Measures platform calls and peer messages over real sockets.

Workers and the log service are stand-ins, each in a process of its own on the loopback
address; only the processor time of this process is counted. Both ends of a peer message
are in this process.
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
from tamarackmount.bench.measuring import Line, SamplingOptions, fit_line, summarise
from tamarackmount.bench.synthetic_data import make_log_records, make_record
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
    WorkspaceId,
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
LOG_RECORDS = 300
"""Number of records in the log that is read."""

MIN_TASK_RESOURCES = Amount(millicores=1, memory_mib=1, accelerators=0)
CONNECT_RETRY_INTERVAL_S = 0.05

Sample = Callable[[int], Awaitable[float]]


async def measure_line_async(
    sizes: tuple[int, ...], sample: Sample, repeats: int
) -> Line:
    """Fit a line through the medians of repeated asynchronous samples."""
    samples_by_size: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            samples_by_size[size].append(await sample(size))
    points = [summarise(size, values) for size, values in samples_by_size.items()]
    return fit_line(points)


async def cpu_per_call(call: Callable[[], Awaitable[object]], rounds: int) -> float:
    """Return the mean processor time of sequential calls, in seconds.

    A first call that is not counted opens the connection.
    """
    await call()
    started_at = time.process_time()
    for _ in range(rounds):
        await call()
    return (time.process_time() - started_at) / rounds


async def bytes_per_call(
    reactor: CountingReactor, call: Callable[[], Awaitable[object]]
) -> float:
    """Return the bytes of one call on an open connection."""
    await call()
    before = reactor.byte_count
    await call()
    return float(reactor.byte_count - before)


async def unwrap_result(call: "Deferred[Result[Any, Any]]") -> Any:
    """Return the value of a call; raise if the call failed."""
    result = await call
    if isinstance(result, Failure):
        raise RuntimeError(f"call to a stand-in failed: {result.failure()}")
    return result.unwrap()


@dataclass(frozen=True, slots=True)
class SocketBench:
    """Starts stand-ins and measures calls and messages."""

    reactor: Any
    processes: ProcessGroup
    sampling: SamplingOptions

    async def run(self) -> dict[Cost, Line]:
        """Measure calls to workers, calls to the log, and peer messages."""
        lines = await self._measure_workers()
        lines.update(await self._measure_log())
        lines.update(await self._measure_peers())
        return lines

    async def _listen(self, command: Command) -> int:
        await self.processes.start_listening([command])
        listening = await self.processes.process_by_name[command.name].listening()
        return listening.port

    async def _measure_workers(self) -> dict[Cost, Line]:
        sizes = self.sampling.sizes(1, 10, 40)
        ports = {}
        for tasks in sizes:
            arguments = ("--id", f"worker-{tasks}")
            name = f"worker-{tasks}"
            module = "tamarackmount.standins.worker"
            ports[tasks] = await self._listen(Command(name, module, arguments))
            await self._start_tasks(ports[tasks], tasks)
        counting = CountingReactor(self.reactor)
        lines = {
            Cost.HTTP_SYNC: await self._measure_syncs(ports),
            Cost.HTTP_SYNC_BYTES: await self._measure_sync_bytes(ports, counting),
        }
        lines.update(await self._measure_starts(ports[sizes[0]], counting))
        return lines

    async def _start_tasks(self, port: int, tasks: int) -> None:
        client = WorkerClient(self.reactor)
        for index in range(tasks):
            await unwrap_result(
                client.start(LOOPBACK, port, _start_command(index, run_ms=None))
            )
        await client.close()

    async def _measure_syncs(self, ports: dict[int, int]) -> Line:
        client = WorkerClient(self.reactor)

        async def sample(tasks: int) -> float:
            command = _sync_command(tasks)
            return await cpu_per_call(
                lambda: unwrap_result(client.sync(LOOPBACK, ports[tasks], command)),
                self.sampling.rounds,
            )

        line = await measure_line_async(tuple(ports), sample, self.sampling.repeats)
        await client.close()
        return line

    async def _measure_sync_bytes(
        self, ports: dict[int, int], counting: CountingReactor
    ) -> Line:
        client = WorkerClient(counting)

        async def sample(tasks: int) -> float:
            command = _sync_command(tasks)
            return await bytes_per_call(
                counting,
                lambda: unwrap_result(client.sync(LOOPBACK, ports[tasks], command)),
            )

        line = await measure_line_async(tuple(ports), sample, 1)
        await client.close()
        return line

    async def _measure_starts(
        self, port: int, counting: CountingReactor
    ) -> dict[Cost, Line]:
        """Measure start calls, each for a new task that ends after 1 ms."""
        numbers = count(1_000)
        client = WorkerClient(self.reactor)
        counted = WorkerClient(counting)

        def start(using: WorkerClient) -> Awaitable[object]:
            return unwrap_result(
                using.start(LOOPBACK, port, _start_command(next(numbers), run_ms=1))
            )

        async def cpu(calls: int) -> float:
            return calls * await cpu_per_call(lambda: start(client), calls)

        async def size(calls: int) -> float:
            total = 0.0
            for _ in range(calls):
                total += await bytes_per_call(counting, lambda: start(counted))
            return total

        sizes = self.sampling.sizes(50, 100, 200)
        lines = {
            Cost.HTTP_START: await measure_line_async(
                sizes, cpu, self.sampling.repeats
            ),
            Cost.HTTP_START_BYTES: await measure_line_async(
                self.sampling.sizes(5, 10, 20), size, 1
            ),
        }
        await client.close()
        await counted.close()
        return lines

    async def _measure_log(self) -> dict[Cost, Line]:
        port = await self._listen(Command("log", "tamarackmount.standins.log_service"))
        url = f"http://{LOOPBACK}:{port}"
        client = LogClient(self.reactor, url)
        records = [
            NewRecord(id=RecordId(f"dc-02-entry-01/1764791463123/{index}"), body=text)
            for index, text in enumerate(
                make_log_records(LOG_RECORDS, DataCentreId("dc-02"))
            )
        ]
        first = await unwrap_result(client.append(records))

        def read(using: LogClient, size: int) -> Awaitable[object]:
            position = Offset(first + LOG_RECORDS - size)
            return unwrap_result(using.read(position, max(1, size)))

        counting = CountingReactor(self.reactor)
        counted = LogClient(counting, url)

        async def cpu(size: int) -> float:
            return await cpu_per_call(lambda: read(client, size), self.sampling.rounds)

        async def response_bytes(size: int) -> float:
            return await bytes_per_call(counting, lambda: read(counted, size))

        sizes = self.sampling.sizes(0, 20, 100)
        lines = {
            Cost.LOG_POLL: await measure_line_async(sizes, cpu, self.sampling.repeats),
            Cost.LOG_POLL_BYTES: await measure_line_async(sizes, response_bytes, 1),
        }
        await client.close()
        await counted.close()
        return lines

    async def _measure_peers(self) -> dict[Cost, Line]:
        pair = PeerPair(self.reactor)
        await pair.connect()
        copies_by_size = {
            size: JobCopy(EPOCH, 1, [make_record(number) for number in range(size)])
            for size in self.sampling.sizes(0, 5, 20)
        }

        async def job_copy(size: int) -> float:
            rounds = self.sampling.rounds
            return await cpu_per_call(
                lambda: pair.deliver(copies_by_size[size]), rounds
            )

        async def heartbeats(size: int) -> float:
            return size * await cpu_per_call(lambda: pair.deliver(HEARTBEAT), size)

        lines = {
            Cost.FRAME: await measure_line_async(
                tuple(copies_by_size), job_copy, self.sampling.repeats
            ),
            Cost.HEARTBEAT_FRAMES: await measure_line_async(
                self.sampling.sizes(100, 300, 900), heartbeats, self.sampling.repeats
            ),
        }
        pair.stop()
        return lines


class PeerPair:
    """Both ends of a link between two members, in this process."""

    def __init__(self, reactor: Any) -> None:
        """Listen on a free port and prepare the sender."""
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
        """Wait until the link is connected."""
        while not self._sender.send(ENTRY, HEARTBEAT):
            await deferLater(self._reactor, CONNECT_RETRY_INTERVAL_S, lambda: None)
        await deferLater(self._reactor, CONNECT_RETRY_INTERVAL_S, lambda: None)

    async def deliver(self, message: PeerMessage) -> None:
        """Send one message and wait until it is received."""
        waiter: Deferred[Envelope[PeerMessage]] = Deferred()
        self._waiter = waiter
        if not self._sender.send(ENTRY, message):
            raise RuntimeError("link between the two members is not connected")
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


def _task_id(index: int) -> TaskId:
    return TaskId(f"dc-01:team-001:render-000001/{index}")


def _sync_command(tasks: int) -> SyncCommand:
    renewed = [_task_id(index) for index in range(tasks)]
    return SyncCommand(epoch=EPOCH, owner=OWNER, lease_ms=LEASE_MS, renew=renewed)


def _start_command(index: int, run_ms: int | None) -> StartCommand:
    return StartCommand(
        epoch=EPOCH,
        task_id=_task_id(index),
        # Attempt 1 of the epoch: EPOCH * ATTEMPTS_PER_EPOCH + 1.
        attempt=68_719_476_737,
        team=WorkspaceId("team-001"),
        amount=MIN_TASK_RESOURCES,
        lease_ms=LEASE_MS,
        run_ms=run_ms,
    )
