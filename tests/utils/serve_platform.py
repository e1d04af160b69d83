"""Run stand-ins on an in-memory network, each with a control port."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.adapters.http_exchange import ExchangeResult, HttpExchanger
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.adapters.worker_schema import Amount
from tamarackmount.ids import Instant, UpstreamId, WorkerId
from tamarackmount.standins.control import ControlResource
from tamarackmount.standins.log_service import LogFront
from tamarackmount.standins.log_store import LogStore
from tamarackmount.standins.process import ServicePort
from tamarackmount.standins.upstream import UpstreamFront
from tamarackmount.standins.upstream_model import UpstreamModel
from tamarackmount.standins.vm_list import VmListFront
from tamarackmount.standins.vm_registry import VmRegistry
from tamarackmount.standins.web import make_site
from tamarackmount.standins.worker import WorkerFront
from tamarackmount.standins.worker_model import WorkerModel, WorkerPlan
from tests.utils.memory_network import MemoryNetwork

HOST = "127.0.0.1"
CAPACITY = Amount(millicores=4_000, memory_mib=8_192, accelerators=1)


@dataclass(frozen=True, slots=True)
class Served:
    """A running stand-in: its logic and its ports."""

    logic: Any
    port: int
    control_port: int

    @property
    def url(self) -> str:
        return f"http://{HOST}:{self.port}"

    @property
    def control_url(self) -> str:
        return f"http://{HOST}:{self.control_port}"


def serve_log(network: MemoryNetwork, keep: int = 100) -> Served:
    store = LogStore(keep, max_appends_per_second=500)
    front = LogFront(store, network)
    site = make_site(front.resource())
    return _serve(network, store, site, make_site(ControlResource(store)))


def serve_vm_list(network: MemoryNetwork, lag_s: float = 0.0) -> Served:
    front = VmListFront(VmRegistry(lag_s, []), network)
    site = make_site(front.resource())
    return _serve(network, front.registry, site, make_site(front.control()))


def serve_worker(network: MemoryNetwork) -> Served:
    model = WorkerModel(WorkerPlan(WorkerId("w1"), CAPACITY))
    front = WorkerFront(model, network)
    site = make_site(front.resource())
    return _serve(network, model, site, make_site(ControlResource(front)))


def serve_upstream(network: MemoryNetwork) -> Served:
    model = UpstreamModel(UpstreamId("u1"))
    front = UpstreamFront(model, network)
    front.port = ServicePort(network, HOST, 0, front.factory)
    control = ServicePort(network, HOST, 0, make_site(front.control()))
    return Served(front, front.port.port, control.port)


def serve_bytes(network: MemoryNetwork, factory: Any) -> int:
    """Serve a raw protocol and return its port."""
    return ServicePort(network, HOST, 0, factory).port


def call(
    network: MemoryNetwork, method: str, url: str, body: bytes = b""
) -> "Deferred[ExchangeResult]":
    """Send one request over a new connection."""
    exchanger = HttpExchanger(network, Limits(0, 1.0, 1_000_000))
    return exchanger.send(method, url, [], body, Instant(network.seconds() + 60))


def _serve(network: MemoryNetwork, logic: Any, site: Any, control: Any) -> Served:
    port = ServicePort(network, HOST, 0, site).port
    control_port = ServicePort(network, HOST, 0, control).port
    return Served(logic, port, control_port)
