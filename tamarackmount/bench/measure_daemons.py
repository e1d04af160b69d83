"""Measures processor time and memory of idle daemon processes.

The daemons of one data centre run with stand-ins for the log and the VM list, all on
the loopback address. The figures come from each process's entries in ``/proc``.
"""

import os
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.task import deferLater

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.measuring import (
    Line,
    Point,
    SamplingOptions,
    fit_line,
    summarise,
)
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.ports import PortReservation
from tamarackmount.demo.topology import Shape, plan_topology

OWNER_ELECTION_S = 4.0
"""Time allowed for the members to choose an owner, in seconds."""

MEASUREMENT_S = 10.0
"""Time over which processor time is measured, in seconds."""

SMALL_MEASUREMENT_S = 0.2
"""Measurement time of a small run, in seconds."""

KIB = 1_024
USER_TICKS_INDEX = 11
"""Index of the user time among the fields after the command in ``/proc/<pid>/stat``.

The system time follows it; both are in clock ticks.
"""


@dataclass(frozen=True, slots=True)
class DaemonUsage:
    """Cores and resident memory that one daemon uses."""

    cores: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class DaemonBench:
    """Starts daemons and measures them."""

    reactor: Any
    directory: Path
    sampling: SamplingOptions

    async def run(self) -> dict[Cost, Line]:
        """Measure data centres with different numbers of members."""
        usages_by_size = {}
        for members in self.sampling.sizes(2, 5, 8):
            usages_by_size[members] = await self._measure(members)
        cores = [_cores_point(size, usages) for size, usages in usages_by_size.items()]
        memory = [
            _memory_point(size, usages) for size, usages in usages_by_size.items()
        ]
        return {Cost.DAEMON_CPU: fit_line(cores), Cost.PROCESS_MEMORY: fit_line(memory)}

    async def _measure(self, members: int) -> list[DaemonUsage]:
        ports = PortReservation()
        topology = plan_topology(Shape(1, members, 0, 0, ()), ports.take)
        directory = self.directory / f"daemons-{members}"
        directory.mkdir()
        cell = Cell(self.reactor, directory, topology, random.Random(members))
        try:
            await cell.start()
            await self._wait(0.0 if self.sampling.is_small else OWNER_ELECTION_S)
            return await self._usages(cell)
        finally:
            await cell.stop()
            ports.release()

    async def _usages(self, cell: Cell) -> list[DaemonUsage]:
        pids = [_pid(cell.daemon_process(daemon)) for daemon in cell.topology.daemons]
        seconds = SMALL_MEASUREMENT_S if self.sampling.is_small else MEASUREMENT_S
        before = [process_cpu_s(pid) for pid in pids]
        started_at = self.reactor.seconds()
        await self._wait(seconds)
        after = [process_cpu_s(pid) for pid in pids]
        elapsed_s = self.reactor.seconds() - started_at
        return [
            DaemonUsage((end - start) / elapsed_s, resident_memory_bytes(pid))
            for pid, start, end in zip(pids, before, after, strict=True)
        ]

    async def _wait(self, seconds: float) -> None:
        await deferLater(self.reactor, seconds, lambda: None)


def _pid(process: Any) -> int:
    return int(process.transport.pid)


def process_cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    user, system = fields[USER_TICKS_INDEX : USER_TICKS_INDEX + 2]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_memory_bytes(pid: int) -> float:
    """Return the resident memory of a process, in bytes."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in text.splitlines() if line.startswith("VmRSS:"))
    return float(line.split()[1]) * KIB


def _cores_point(size: int, usages: list[DaemonUsage]) -> Point:
    return summarise(size, [usage.cores for usage in usages])


def _memory_point(size: int, usages: list[DaemonUsage]) -> Point:
    return summarise(size, [usage.memory_bytes for usage in usages])
