"""The measured costs, with their units and size dimensions."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from tamarackmount.bench.measuring import Line


class Unit(Enum):
    """Unit of a measured value."""

    CPU_SECONDS = "s of CPU"
    BYTES = "bytes"
    MEMORY = "bytes of memory"
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class CostInfo:
    """Description of a cost: what is measured, its unit, and what the size counts."""

    text: str
    unit: Unit
    size: str


class Cost(Enum):
    """The measured costs; the report's JSON keys are made from the names."""

    TICK = CostInfo("one tick of an idle node", Unit.CPU_SECONDS, "members of fleet")
    # "with 8" means 8 entry VMs (``ENTRY_VMS`` in ``measure_members``).
    HEARTBEATS = CostInfo(
        "heartbeats a second sent by a node of a data centre with 8",
        Unit.COUNT,
        "data centres",
    )
    HEARTBEATS_LOCAL = CostInfo(
        "heartbeats a second sent by a node of the only data centre",
        Unit.COUNT,
        "members of data centre",
    )
    HEARTBEAT_HEARD = CostInfo(
        "kernel processes one heartbeat", Unit.CPU_SECONDS, "members of fleet"
    )
    HEARTBEAT_BYTES = CostInfo("heartbeats with frames", Unit.BYTES, "heartbeats")
    FRAME = CostInfo(
        "one peer message sent and one received, codec and socket",
        Unit.CPU_SECONDS,
        "job records in it",
    )
    HTTP_SYNC = CostInfo(
        "one sync call of a worker, HTTP and JSON, client side",
        Unit.CPU_SECONDS,
        "tasks on the worker",
    )
    HTTP_SYNC_BYTES = CostInfo(
        "one sync call of a worker, both ways", Unit.BYTES, "tasks on the worker"
    )
    HTTP_START = CostInfo(
        "start calls, HTTP and JSON, client side", Unit.CPU_SECONDS, "calls"
    )
    HTTP_START_BYTES = CostInfo("start calls, both ways", Unit.BYTES, "calls")
    LOG_POLL = CostInfo(
        "one read of the log, HTTP and JSON, client side",
        Unit.CPU_SECONDS,
        "records read",
    )
    LOG_POLL_BYTES = CostInfo(
        "one read of the log, both ways", Unit.BYTES, "records read"
    )
    LOG_RECORD = CostInfo(
        "kernel processes a page of another data centre's job records",
        Unit.CPU_SECONDS,
        "records in the page",
    )
    CONFIG_CHANGE = CostInfo(
        "an owner processes one change of configuration", Unit.CPU_SECONDS, "documents"
    )
    CONFIG_MEMORY = CostInfo(
        "configuration and directory of a node", Unit.MEMORY, "documents"
    )
    CONFIG_HISTORY = CostInfo(
        "stored versions of one document", Unit.MEMORY, "versions"
    )
    SNAPSHOT_BYTES = CostInfo("snapshot record in the log", Unit.BYTES, "documents")
    SNAPSHOTS = CostInfo(
        "snapshots that a fleet writes when the log holds none",
        Unit.COUNT,
        "data centres with 8 members",
    )
    VM_LIST = CostInfo(
        "VM list parsed and processed by a follower", Unit.CPU_SECONDS, "VMs"
    )
    VM_LIST_BYTES = CostInfo("VM list", Unit.BYTES, "VMs")
    VM_LIST_OWNER = CostInfo(
        "scheduler processes the listed workers",
        Unit.CPU_SECONDS,
        "workers in the data centre",
    )
    SYNC_KERNEL = CostInfo(
        "kernel sends one sync and reads its report",
        Unit.CPU_SECONDS,
        "tasks on the worker",
    )
    JOB_LIFE = CostInfo(
        "kernel accepts, places, starts and ends one job",
        Unit.CPU_SECONDS,
        "tasks of the job",
    )
    JOB_RECORDS = CostInfo(
        "records saved from submission to end of a job of 20 tasks",
        Unit.COUNT,
        "different times at which tasks end",
    )
    PLACE = CostInfo(
        "kernel accepts and places a job of one task", Unit.CPU_SECONDS, "workers"
    )
    RECORD_BYTES = CostInfo("job records in a log page", Unit.BYTES, "records")
    COPY_BYTES = CostInfo("job records in a peer message", Unit.BYTES, "records")
    HELD_MEMORY = CostInfo("job records that a follower stores", Unit.MEMORY, "jobs")
    # The scheduler state of a data centre, which only its owner has.
    CELL_MEMORY = CostInfo(
        "an owner's jobs, 20 running tasks each", Unit.MEMORY, "jobs"
    )
    WORKER_MEMORY = CostInfo("an owner's idle workers", Unit.MEMORY, "workers")
    ENTRY_REQUEST = CostInfo(
        "kernel of an entry VM serves requests", Unit.CPU_SECONDS, "requests"
    )
    OWNER_REQUEST = CostInfo(
        "kernel of the owner lends slots to requests", Unit.CPU_SECONDS, "requests"
    )
    REQUEST_MESSAGES = CostInfo("ticket messages", Unit.COUNT, "requests")
    REQUEST_BYTES = CostInfo("ticket messages with frames", Unit.BYTES, "requests")
    TAKEOVER = CostInfo(
        "a new owner reads one peer's records", Unit.CPU_SECONDS, "jobs"
    )
    RESTORE = CostInfo(
        "a new owner restores the jobs of its records", Unit.CPU_SECONDS, "jobs"
    )
    RESTORE_MANY = CostInfo(
        "a new owner restores the jobs of many records", Unit.CPU_SECONDS, "jobs"
    )
    TAKEOVER_BYTES = CostInfo("one peer's records", Unit.BYTES, "jobs")
    # Holdings are the slots and the attempts that a peer reports to a new owner.
    HOLDINGS = CostInfo(
        "a new owner reads one peer's holdings", Unit.CPU_SECONDS, "attempts"
    )
    HOLDINGS_BYTES = CostInfo("one peer's holdings", Unit.BYTES, "attempts")
    PROCESS_MEMORY = CostInfo(
        "resident memory of an idle daemon's process",
        Unit.MEMORY,
        "members of the only data centre",
    )
    DAEMON_CPU = CostInfo(
        "an idle daemon's process, a second",
        Unit.CPU_SECONDS,
        "members of the only data centre",
    )
    HEARTBEAT_FRAMES = CostInfo(
        "heartbeats sent and received, codec and socket",
        Unit.CPU_SECONDS,
        "heartbeats",
    )


MeasuredLines = Mapping[Cost, Line]
"""Measured lines by cost."""
