"""Build platform messages with default values for fields that a test leaves out."""

from dataclasses import replace
from typing import Any

from tamarackmount.adapters.log_schema import AppendRequest, NewRecord
from tamarackmount.adapters.upstreams import UpstreamRequest
from tamarackmount.adapters.vm_schema import Vm, VmKind
from tamarackmount.adapters.worker_schema import (
    Amount,
    StartCommand,
    SyncCommand,
    TaskCommand,
    ThrottleCommand,
)
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Instant,
    MemberId,
    RackId,
    RecordId,
    RequestId,
    TaskId,
    WorkspaceId,
)
from tamarackmount.standins.upstream_model import Arrival

TASK = TaskId("dc1:retail:nightly/0")
OWNER = MemberId("m1")


def an_amount(millicores: int = 1_000, memory_mib: int = 1_024) -> Amount:
    return Amount(millicores=millicores, memory_mib=memory_mib, accelerators=0)


def a_record(name: str = "r1", body: str = "{}") -> NewRecord:
    return NewRecord(id=RecordId(name), body=body)


def an_append(*names: str) -> AppendRequest:
    return AppendRequest(records=[a_record(name) for name in names])


def a_vm(vm_id: str = "w1", **fields: Any) -> Vm:
    values = {
        "id": vm_id,
        "kind": VmKind.WORKER,
        "data_centre": DataCentreId("dc1"),
        "rack": RackId("r1"),
        "host": "127.0.0.1",
        "port": 7_000,
    }
    return Vm.model_validate(values | fields)


def a_start(task_id: TaskId = TASK, **fields: Any) -> StartCommand:
    values = {
        "epoch": Epoch(1),
        "task_id": task_id,
        "attempt": 1,
        "team": WorkspaceId("retail"),
        "amount": an_amount(),
        "lease_ms": 4_000,
    }
    return StartCommand.model_validate(values | fields)


def a_sync(epoch: int = 1, **fields: Any) -> SyncCommand:
    values = {"epoch": epoch, "owner": OWNER, "lease_ms": 4_000}
    return SyncCommand.model_validate(values | fields)


def a_command(epoch: int = 1, attempt: int = 1) -> TaskCommand:
    return TaskCommand(epoch=Epoch(epoch), task_id=TASK, attempt=attempt)


def a_throttle(percent: int) -> ThrottleCommand:
    return ThrottleCommand(epoch=Epoch(1), task_id=TASK, attempt=1, percent=percent)


def an_arrival(request_id: str = "q1", **fields: Any) -> Arrival:
    return replace(Arrival(RequestId(request_id), idempotent=True), **fields)


def an_upstream_request(port: int, **fields: Any) -> UpstreamRequest:
    request = UpstreamRequest(
        host="127.0.0.1",
        port=port,
        method="POST",
        path="/swatches?colour=7",
        headers=[],
        body=b"two books",
        request_id=RequestId("q1"),
        idempotent=False,
        deadline=Instant(10.0),
        traceparent="",
    )
    return replace(request, **fields)
