"""Processor time and memory of whole daemons without load, as processes.

One data centre of daemons with the stand-ins for the log and the VM list, all on
the loopback address. Figures come from the kernel's accounts of each process.
"""

import os
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.task import deferLater

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.measuring import Effort, Line, Point, fit, summarise
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.ports import PortReservation
from tamarackmount.demo.topology import Shape, plan_topology

SETTLING_S = 4.0
"""Time in which the members choose an owner, in seconds."""

COUNTED_S = 10.0
"""Time over which processor time is counted, in seconds."""

SMALL_COUNTED_S = 0.2
KIB = 1_024
USER_TICKS_FIELD = 11
"""Place of the user time after the command in ``/proc/<pid>/stat``."""


@dataclass(frozen=True, slots=True)
class DaemonUse:
    """Part of a core and resident bytes of one daemon."""

    cores: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class DaemonBench:
    """Measurements of daemons that this bench starts."""

    reactor: Any
    directory: Path
    effort: Effort

    async def run(self) -> dict[Cost, Line]:
        """Measure data centres of several sizes."""
        uses_by_size = {}
        for members in self.effort.sizes(2, 5, 8):
            uses_by_size[members] = await self._uses(members)
        cores = [_cores(size, uses) for size, uses in uses_by_size.items()]
        memory = [_memory(size, uses) for size, uses in uses_by_size.items()]
        return {Cost.DAEMON_CPU: fit(cores), Cost.PROCESS_MEMORY: fit(memory)}

    async def _uses(self, members: int) -> list[DaemonUse]:
        ports = PortReservation()
        topology = plan_topology(Shape(1, members, 0, 0, ()), ports.take)
        directory = self.directory / f"daemons-{members}"
        directory.mkdir()
        cell = Cell(self.reactor, directory, topology, random.Random(members))
        try:
            await cell.start()
            await self._wait(0.0 if self.effort.is_small else SETTLING_S)
            return await self._count(cell)
        finally:
            await cell.stop()
            ports.release()

    async def _count(self, cell: Cell) -> list[DaemonUse]:
        pids = [_pid(cell.daemon_process(daemon)) for daemon in cell.topology.daemons]
        seconds = SMALL_COUNTED_S if self.effort.is_small else COUNTED_S
        before = [cpu_of_process(pid) for pid in pids]
        began = self.reactor.seconds()
        await self._wait(seconds)
        after = [cpu_of_process(pid) for pid in pids]
        passed = self.reactor.seconds() - began
        return [
            DaemonUse((end - start) / passed, resident_bytes(pid))
            for pid, start, end in zip(pids, before, after, strict=True)
        ]

    async def _wait(self, seconds: float) -> None:
        await deferLater(self.reactor, seconds, lambda: None)


def _pid(process: Any) -> int:
    return int(process.transport.pid)


def cpu_of_process(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    user, system = fields[USER_TICKS_FIELD : USER_TICKS_FIELD + 2]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> float:
    """Return the resident memory of a process, in bytes."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in text.splitlines() if line.startswith("VmRSS:"))
    return float(line.split()[1]) * KIB


def _cores(size: int, uses: list[DaemonUse]) -> Point:
    return summarise(size, [use.cores for use in uses])


def _memory(size: int, uses: list[DaemonUse]) -> Point:
    return summarise(size, [use.memory_bytes for use in uses])
