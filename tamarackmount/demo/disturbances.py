"""Faults and planned stops that the harness causes in a running cell."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from tamarackmount.demo.cell import STEP_TIMEOUT_S, Cell, StepFailedError
from tamarackmount.demo.operators import Operator
from tamarackmount.demo.records import Disturbance, DisturbanceWindow
from tamarackmount.demo.recovery import Recovery
from tamarackmount.demo.stand_ins import StandInControl
from tamarackmount.demo.topology import DaemonPlan, VmPlan
from tamarackmount.ids import ConfigPath

REPLACEMENT_S = 1.0
"""Time until a killed entry VM is replaced, in seconds."""

LOG_OUTAGE_S = 10.0
"""Length of an outage of the log service, in seconds."""

LOG_SLOW_S = 3.0
"""Length of the time in which the log service is slow, in seconds."""

LOG_SLOW_MS = 400
"""Delay of the log service's replies while it is slow, in milliseconds."""

PAUSE_S = 6.0
"""Length of an owner's pause, longer than every lease, in seconds."""

UPSTREAM_FAULT_S = 4.0
"""Length of the time in which an upstream fails or is slow, in seconds."""

SLOW_FACTOR = 5
"""Factor by which the work time of a slow upstream grows."""

LEAVE_GRACE_S = 3.0
"""Time after which an upstream listed as leaving must get no work, in seconds."""

LEAVE_WATCH_S = 4.0
"""Length of the check for such work after the grace time, in seconds."""


@dataclass(slots=True)
class FaultInjector:
    """Causes disturbances in a cell and records the time window of each."""

    cell: Cell
    operator: Operator
    control: StandInControl
    recovery: Recovery
    windows: list[DisturbanceWindow] = field(default_factory=list)
    work_after_leaving: int = 0

    async def kill(self, daemon: DaemonPlan) -> None:
        """Kill and replace a daemon and wait until its data centre recovers."""
        async with self._record_window(Disturbance.KILL, daemon.id):
            process = self.cell.daemon_process(daemon)
            process.send(signal.SIGKILL)
            await process.ended()
            await self.cell.http.sleep(REPLACEMENT_S)
            await self._replace(daemon)

    async def stop(self, daemon: DaemonPlan) -> None:
        """Stop a daemon gracefully, replace it and wait for its data centre."""
        async with self._record_window(Disturbance.PLANNED_STOP, daemon.id):
            process = self.cell.daemon_process(daemon)
            process.send(signal.SIGTERM)
            ended = process.ended()
            ended.addTimeout(STEP_TIMEOUT_S, self.cell.http.reactor)
            exit_code = await ended
        if exit_code != 0:
            raise StepFailedError(f"planned stop: {process.describe()}")
        await self._replace(daemon)

    async def pause(self, daemon: DaemonPlan) -> None:
        """Pause a daemon for longer than every lease."""
        async with self._record_window(Disturbance.PAUSE, daemon.id):
            process = self.cell.daemon_process(daemon)
            process.send(signal.SIGSTOP)
            await self.cell.http.sleep(PAUSE_S)
            process.send(signal.SIGCONT)
            await self.cell.wait_healthy(daemon)
            await self.recovery.wait(daemon.data_centre)

    async def break_log(self, path: ConfigPath, text: str) -> None:
        """Make the log unavailable, then slow, then lose the reply to one append."""
        port = self.cell.topology.log.control_port
        async with self._record_window(Disturbance.LOG_OUTAGE, "log"):
            await self.control.set_faults(port, mode="down")
            await self.cell.http.sleep(LOG_OUTAGE_S)
            await self.control.set_faults(port, mode="slow", delay_ms=LOG_SLOW_MS)
            await self.cell.http.sleep(LOG_SLOW_S)
            await self.control.set_faults(port, lose_replies=1)
            await self.operator.put(path, text)
            await self.control.set_faults(port)

    async def fail_upstream(self, upstream: VmPlan) -> None:
        """Make an upstream close connections after it executed the requests."""
        await self._upstream_fault(upstream, mode="cut_after_request")

    async def slow_upstream(self, upstream: VmPlan) -> None:
        """Multiply the work time of an upstream by :data:`SLOW_FACTOR`."""
        await self._upstream_fault(upstream, slow_factor=SLOW_FACTOR)

    async def make_upstream_leave(self, upstream: VmPlan) -> None:
        """Mark an upstream as leaving and count requests sent after the grace time.

        The grace time starts when the list of VMs shows the mark, since the list lags
        behind and entry VMs can't know of the mark before.
        """
        async with self._record_window(Disturbance.UPSTREAM_FAULT, upstream.vm.id):
            await self.control.mark_leaving(upstream)
            await self.cell.wait_until(
                lambda: self.control.is_listed_leaving(upstream), "listed as leaving"
            )
            await self.cell.http.sleep(LEAVE_GRACE_S)
            before = await self.control.executions_of(upstream)
            await self.cell.http.sleep(LEAVE_WATCH_S)
            after = await self.control.executions_of(upstream)
            self.work_after_leaving += after - before

    async def fail_starts(self, worker: VmPlan) -> None:
        """Make a worker fail every start from now on."""
        await self.control.set_faults(worker.control_port, fail_starts=True)

    async def _replace(self, daemon: DaemonPlan) -> None:
        self.cell.start_daemon(daemon)
        await self.cell.wait_healthy(daemon)
        await self.recovery.wait(daemon.data_centre)

    async def _upstream_fault(self, upstream: VmPlan, **faults: str | int) -> None:
        async with self._record_window(Disturbance.UPSTREAM_FAULT, upstream.vm.id):
            await self.control.set_faults(upstream.control_port, **faults)
            await self.cell.http.sleep(UPSTREAM_FAULT_S)
            await self.control.set_faults(upstream.control_port)

    @asynccontextmanager
    async def _record_window(
        self, kind: Disturbance, target: str
    ) -> AsyncIterator[None]:
        started = self.cell.http.now()
        try:
            yield
        finally:
            ended = self.cell.http.now()
            self.windows.append(DisturbanceWindow(kind, target, started, ended))
