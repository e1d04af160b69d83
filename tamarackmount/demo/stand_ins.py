"""Typed client of the control ports of the stand-ins."""

import hashlib
import json
from collections import Counter
from typing import TypeVar

from pydantic import BaseModel, JsonValue, ValidationError

from tamarackmount.adapters.vm_schema import VmList, VmState
from tamarackmount.client_views import UpstreamResponse
from tamarackmount.demo.balancer import HTTP_OK
from tamarackmount.demo.cell import StepFailedError
from tamarackmount.demo.http import HttpCaller
from tamarackmount.demo.ports import LOOPBACK
from tamarackmount.demo.records import TaskRun
from tamarackmount.demo.topology import Topology, VmPlan
from tamarackmount.http_calls import HttpResponse
from tamarackmount.ids import RequestId, TaskId

ModelT = TypeVar("ModelT", bound=BaseModel)


class _Breach(BaseModel):
    rule: str
    detail: str


class _Breaches(BaseModel):
    breaches: list[_Breach]


class _Execution(BaseModel):
    request_id: RequestId
    count: int


class _Executions(BaseModel):
    executions: list[_Execution]


class _UpstreamState(BaseModel):
    executions: int


class _HistoryEntry(BaseModel):
    task: TaskId
    attempt: int
    start: float
    end: float | None


class _WorkerState(BaseModel):
    history: list[_HistoryEntry]


class _Echo(BaseModel):
    request_id: RequestId
    body_sha256: str


def is_own_response(
    response: UpstreamResponse, request_id: RequestId, body: bytes
) -> bool:
    """Return whether a response is complete and belongs to the request."""
    try:
        echo = _Echo.model_validate_json(response.body)
    except ValidationError:
        return False
    if echo.request_id != request_id:
        return False
    return echo.body_sha256 == hashlib.sha256(body).hexdigest()


class StandInControl:
    """Reads the records of the stand-ins and sets their faults.

    Each method raises :class:`StepFailedError` if a stand-in doesn't answer,
    since there is no verdict without its records.
    """

    def __init__(self, http: HttpCaller, topology: Topology) -> None:
        """Control the stand-ins of ``topology``."""
        self._http = http
        self._topology = topology

    async def breaches(self) -> list[str]:
        """Return the breaches that all stand-ins recorded."""
        vms = (*self._topology.upstreams, *self._topology.workers)
        ports = {plan.vm.id: plan.control_port for plan in vms}
        ports["log"] = self._topology.log.control_port
        ports["vm-list"] = self._topology.vm_list.control_port
        found: list[str] = []
        for name, port in ports.items():
            recorded = (await self._read(_Breaches, port, "breaches")).breaches
            found += [f"{name}: {breach.rule}: {breach.detail}" for breach in recorded]
        return found

    async def execution_count_by_id(self) -> dict[RequestId, int]:
        """Return how often the upstreams executed each non-idempotent request."""
        counts: Counter[RequestId] = Counter()
        for plan in self._topology.upstreams:
            port = plan.control_port
            for execution in (
                await self._read(_Executions, port, "executions")
            ).executions:
                counts[execution.request_id] += execution.count
        return dict(counts)

    async def executions_of(self, upstream: VmPlan) -> int:
        """Return how many requests one upstream has begun to execute."""
        state = await self._read(_UpstreamState, upstream.control_port, "state")
        return state.executions

    async def task_runs(self) -> list[TaskRun]:
        """Return the task attempts that all workers ran."""
        return [
            TaskRun(entry.task, plan.vm.id, entry.start, entry.end)
            for plan in self._topology.workers
            for entry in (
                await self._read(_WorkerState, plan.control_port, "state")
            ).history
        ]

    async def set_faults(self, control_port: int, **faults: JsonValue) -> None:
        """Replace the faults of one stand-in; without ``faults``, clear them."""
        body = json.dumps(faults).encode()
        await self._send("POST", control_port, "faults", body)

    async def mark_leaving(self, upstream: VmPlan) -> None:
        """Mark an upstream as leaving; the list of VMs shows it only after its lag."""
        port = self._topology.vm_list.control_port
        await self._send("POST", port, f"vms/{upstream.vm.id}/leave", b"{}")

    async def is_listed_leaving(self, upstream: VmPlan) -> bool:
        """Return whether the list of VMs shows the upstream as leaving yet."""
        listed = await self._read(VmList, self._topology.vm_list.port, "vms")
        return any(
            vm.id == upstream.vm.id and vm.state is VmState.LEAVING for vm in listed.vms
        )

    async def _read(self, model: type[ModelT], port: int, path: str) -> ModelT:
        response = await self._send("GET", port, path)
        return model.model_validate_json(response.body)

    async def _send(
        self, method: str, port: int, path: str, body: bytes = b""
    ) -> HttpResponse:
        url = f"http://{LOOPBACK}:{port}/{path}"
        response = await self._http.call(method, url, body)
        if response is None or response.status != HTTP_OK:
            raise StepFailedError(f"{method} {url}")
        return response
