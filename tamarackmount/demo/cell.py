"""Starts the processes of a planned cell and waits until they serve.

A cell is a complete cluster on one machine: the daemons of all entry VMs, and the
stand-ins for the log service, the list of VMs, the upstreams and the workers.
"""

import hashlib
import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from twisted.internet.defer import Deferred, FirstError, gatherResults
from twisted.internet.interfaces import IReactorTime

from tamarackmount.demo.balancer import Balancer
from tamarackmount.demo.http import HttpCaller
from tamarackmount.demo.ports import LOOPBACK
from tamarackmount.demo.processes import (
    Command,
    ManagedProcess,
    ProcessFailedError,
    ProcessGroup,
)
from tamarackmount.demo.topology import (
    DaemonPlan,
    PortPair,
    Topology,
    VmPlan,
    settings_text,
)
from tamarackmount.ids import KeyHash

STEP_TIMEOUT_S = 60.0
"""Time limit of a step of a run, in seconds."""

POLL_S = 0.1
"""Pause between two checks of a condition that is waited for, in seconds."""

VM_LIST_LAG_MS = 500
"""Delay until the list of VMs shows a change, in milliseconds."""


class StepFailedError(Exception):
    """A step of a run failed or did not complete in time."""


def hash_key(key: str) -> KeyHash:
    """Return the hash under which the system stores a key."""
    return KeyHash(hashlib.sha256(key.encode()).hexdigest())


class Cell:
    """The processes of a cell and the means to call and signal them."""

    def __init__(
        self,
        reactor: IReactorTime,
        directory: Path,
        topology: Topology,
        rng: random.Random,
    ) -> None:
        """Prepare the cell; settings and logs are written to ``directory``."""
        self.topology = topology
        self.directory = directory
        self.http = HttpCaller(reactor)
        self.processes = ProcessGroup(reactor, directory)
        self.balancer = Balancer(self.http, topology.daemons, rng)
        self.operator_key = secrets.token_hex(16)

    async def start(self) -> None:
        """Start all processes and wait until every entry VM accepts work."""
        vms_file = self.directory / "vms.json"
        vms_file.write_text(self.topology.vms().model_dump_json(), encoding="utf-8")
        await self.processes.start_listening(stand_in_commands(self.topology, vms_file))
        for daemon in self.topology.daemons:
            self.start_daemon(daemon)
        waits = [self.wait_healthy(daemon) for daemon in self.topology.daemons]
        await in_parallel(waits)

    def start_daemon(self, daemon: DaemonPlan) -> ManagedProcess:
        """Write the settings of one daemon and start or restart it."""
        path = self.directory / f"{daemon.id}.toml"
        text = settings_text(self.topology, daemon, hash_key(self.operator_key))
        path.write_text(text, encoding="utf-8")
        command = Command(daemon.id, "tamarackmount.daemon", (str(path),))
        return self.processes.start(command)

    def daemon_process(self, daemon: DaemonPlan) -> ManagedProcess:
        """Return the latest process of one daemon."""
        return self.processes.process_by_name[daemon.id]

    async def wait_healthy(self, daemon: DaemonPlan) -> None:
        """Wait until one entry VM accepts work; raise if its process ends."""
        process = self.daemon_process(daemon)

        async def healthy() -> bool:
            if not process.running:
                raise ProcessFailedError(process.describe())
            return await self.balancer.check(daemon)

        await self.wait_until(healthy, f"{daemon.id} accepts work")

    async def wait_until(
        self, check: Callable[[], Awaitable[bool]], description: str
    ) -> None:
        """Poll until ``check`` returns true; raise after the time limit of a step."""
        deadline = self.http.now() + STEP_TIMEOUT_S
        while not await check():
            if self.http.now() > deadline:
                raise StepFailedError(description)
            await self.http.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop the health checks and kill every process of this cell."""
        self.balancer.stop()
        await self.processes.kill_all()


async def in_parallel(steps: Sequence[Awaitable[None]]) -> None:
    """Run steps concurrently and wait for all; raise the first error."""

    async def run(step: Awaitable[None]) -> None:
        await step

    running = [Deferred.fromCoroutine(run(step)) for step in steps]
    try:
        await gatherResults(running, consumeErrors=True)
    except FirstError as error:
        error.subFailure.raiseException()


def stand_in_commands(topology: Topology, vms_file: Path) -> list[Command]:
    """Return the commands that start all stand-ins."""
    return [
        _stand_in_command("log", "log_service", topology.log),
        _stand_in_command(
            "vm-list",
            "vm_list",
            topology.vm_list,
            "--vms-file",
            str(vms_file),
            "--lag-ms",
            str(VM_LIST_LAG_MS),
        ),
        *(_upstream_command(plan) for plan in topology.upstreams),
        *(_worker_command(plan) for plan in topology.workers),
    ]


def _stand_in_command(
    name: str, module: str, ports: PortPair, *arguments: str
) -> Command:
    listen = (
        "--host",
        LOOPBACK,
        "--port",
        str(ports.port),
        "--control-port",
        str(ports.control_port),
    )
    return Command(name, f"tamarackmount.standins.{module}", (*listen, *arguments))


def _upstream_command(plan: VmPlan) -> Command:
    vm = plan.vm
    return _stand_in_command(
        vm.id,
        "upstream",
        PortPair(vm.port, plan.control_port),
        "--id",
        vm.id,
        "--slots",
        str(vm.slots),
        "--connections",
        str(vm.connections),
    )


def _worker_command(plan: VmPlan) -> Command:
    vm = plan.vm
    return _stand_in_command(
        vm.id,
        "worker",
        PortPair(vm.port, plan.control_port),
        "--id",
        vm.id,
        "--millicores",
        str(vm.millicores),
        "--memory-mib",
        str(vm.memory_mib),
        "--accelerators",
        str(vm.accelerators),
    )
