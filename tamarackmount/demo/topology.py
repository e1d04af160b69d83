"""Plans a cell: its processes, their ports and the settings of the daemons."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from tamarackmount.adapters.vm_schema import Vm, VmKind, VmList
from tamarackmount.demo.ports import LOOPBACK
from tamarackmount.ids import DataCentreId, KeyHash, MemberId, RackId

TakePort = Callable[[], int]
"""Returns a free port, a different one on each call."""

UPSTREAM_SLOTS = 8
"""Number of requests that one upstream executes at once."""

UPSTREAM_CONNECTIONS = 64
"""Number of connections that one upstream accepts."""

WORKER_MILLICORES = 32_000
"""Processors of a worker, in thousandths of a core."""

WORKER_MEMORY_MIB = 64 * 1_024
"""Memory of a worker without accelerators, in mebibytes."""

ACCELERATOR_WORKER_MEMORY_MIB = 128 * 1_024
"""Memory of a worker with accelerators, in mebibytes."""

WORKER_ACCELERATORS = 8
"""Number of accelerators of a worker that has any."""

WORKERS_PER_RACK = 2
"""Number of workers in one rack."""


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a cell; all numbers but ``data_centres`` are per data centre.

    ``upstreams`` counts the upstreams of each service. The last worker of a data
    centre has accelerators.
    """

    data_centres: int
    daemons: int
    upstreams: int
    workers: int
    services: tuple[str, ...]


DEMO_SHAPE = Shape(2, 2, 3, 4, ("counter", "orders"))
"""Size of the cell of ``make demo``."""


@dataclass(frozen=True, slots=True)
class PortPair:
    """The service port and the control port of a stand-in."""

    port: int
    control_port: int


@dataclass(frozen=True, slots=True)
class DaemonPlan:
    """The daemon of one entry VM: its id, data centre and ports."""

    id: MemberId
    data_centre: DataCentreId
    http_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL of its HTTP interface."""
        return f"http://{LOOPBACK}:{self.http_port}"


@dataclass(frozen=True, slots=True)
class VmPlan:
    """One upstream or worker: its entry in the list of VMs and its control port."""

    vm: Vm
    control_port: int


@dataclass(frozen=True, slots=True)
class Topology:
    """The processes of a cell."""

    log: PortPair
    vm_list: PortPair
    daemons: tuple[DaemonPlan, ...]
    upstreams: tuple[VmPlan, ...]
    workers: tuple[VmPlan, ...]

    def vms(self) -> VmList:
        """Return the upstreams and workers as the platform's list of VMs."""
        return VmList(vms=[plan.vm for plan in (*self.upstreams, *self.workers)])

    def daemon(self, member_id: MemberId) -> DaemonPlan:
        """Return the plan of one entry VM."""
        return next(plan for plan in self.daemons if plan.id == member_id)


def plan_topology(shape: Shape, take_port: TakePort) -> Topology:
    """Plan a cell of a given size."""
    data_centres = [
        DataCentreId(f"dc{number}") for number in range(1, shape.data_centres + 1)
    ]
    return Topology(
        log=PortPair(take_port(), take_port()),
        vm_list=PortPair(take_port(), take_port()),
        daemons=tuple(
            DaemonPlan(
                MemberId(f"{data_centre}-m{number}"),
                data_centre,
                take_port(),
                take_port(),
            )
            for data_centre in data_centres
            for number in range(1, shape.daemons + 1)
        ),
        upstreams=tuple(
            _plan_upstream(data_centre, service, number, take_port)
            for data_centre in data_centres
            for service in shape.services
            for number in range(1, shape.upstreams + 1)
        ),
        workers=tuple(
            _plan_worker(data_centre, number, number == shape.workers, take_port)
            for data_centre in data_centres
            for number in range(1, shape.workers + 1)
        ),
    )


def _plan_upstream(
    data_centre: DataCentreId, service: str, number: int, take_port: TakePort
) -> VmPlan:
    vm = Vm(
        id=f"{data_centre}-{service}{number}",
        kind=VmKind.UPSTREAM,
        data_centre=data_centre,
        rack=RackId(f"{data_centre}-u"),
        host=LOOPBACK,
        port=take_port(),
        service=service,
        slots=UPSTREAM_SLOTS,
        connections=UPSTREAM_CONNECTIONS,
    )
    return VmPlan(vm, take_port())


def _plan_worker(
    data_centre: DataCentreId, number: int, accelerated: bool, take_port: TakePort
) -> VmPlan:
    rack = (number - 1) // WORKERS_PER_RACK + 1
    vm = Vm(
        id=f"{data_centre}-w{number}",
        kind=VmKind.WORKER,
        data_centre=data_centre,
        rack=RackId(f"{data_centre}-r{rack}"),
        host=LOOPBACK,
        port=take_port(),
        millicores=WORKER_MILLICORES,
        memory_mib=ACCELERATOR_WORKER_MEMORY_MIB if accelerated else WORKER_MEMORY_MIB,
        accelerators=WORKER_ACCELERATORS if accelerated else 0,
    )
    return VmPlan(vm, take_port())


def settings_text(topology: Topology, daemon: DaemonPlan, key: KeyHash) -> str:
    """Return the TOML settings of a daemon; ``key`` is the operators' key hash."""
    peers = [peer for peer in topology.daemons if peer.id != daemon.id]
    sections = [
        _section("[member]", id=daemon.id, data_centre=daemon.data_centre),
        _section(
            "[listen]",
            host=LOOPBACK,
            http_port=daemon.http_port,
            peer_port=daemon.peer_port,
        ),
        _section(
            "[platform]",
            log_url=f"http://{LOOPBACK}:{topology.log.port}",
            vms_url=f"http://{LOOPBACK}:{topology.vm_list.port}",
        ),
        _section("[operators]", key_sha256=[key]),
        *(
            _section(
                "[[peers]]",
                id=peer.id,
                data_centre=peer.data_centre,
                host=LOOPBACK,
                peer_port=peer.peer_port,
            )
            for peer in peers
        ),
    ]
    return "\n".join(sections)


def _section(header: str, **values: str | int | list[KeyHash]) -> str:
    # Strings, integers and lists of strings have the same syntax in JSON and TOML.
    lines = [f"{name} = {json.dumps(value)}" for name, value in values.items()]
    return "\n".join([header, *lines, ""])
