"""What mechanisms that are not built would cost, worked out from the same lines."""

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.rates import Rates
from tamarackmount.bench.spending import Load, Remedy

LIST_PERIOD_S = 10.0
"""Period at which an owner would read its data centre's part of the VM list."""

SYNC_PERIOD_S = 5.0
"""Period of syncs whose reports hold only what changed."""

HEARTBEAT_FACTOR = 2.0
"""How much longer the period of heartbeats in a data centre would be."""


def remedies(rates: Rates) -> list[Remedy]:
    """Return every remedy."""
    return [
        _vm_list(rates),
        _syncs(rates),
        _heartbeats(rates),
        _job_records(rates, Load.MEAN),
        _job_records(rates, Load.PEAK),
    ]


def _vm_list(rates: Rates) -> Remedy:
    here = rates.size.vms / rates.size.data_centres
    call, call_bytes = rates.base(Cost.LOG_POLL), rates.base(Cost.LOG_POLL_BYTES)
    today_s = rates.periods.vms_poll_s
    return Remedy(
        "VM list",
        "the owner alone reads its data centre's part every "
        f"{LIST_PERIOD_S:.0f} s and tells its peers what changed",
        (call + rates.at(Cost.VM_LIST, rates.size.vms)) / today_s,
        (call_bytes + rates.at(Cost.VM_LIST_BYTES, rates.size.vms)) / today_s,
        (call + rates.at(Cost.VM_LIST, here)) / LIST_PERIOD_S,
        (call_bytes + rates.at(Cost.VM_LIST_BYTES, here)) / LIST_PERIOD_S,
    )


def _syncs(rates: Rates) -> Remedy:
    workers = rates.size.workers_here
    tasks = rates.size.tasks_per_worker
    today = workers / rates.periods.worker_sync_s
    rate = workers / rates.size.entry_vms / SYNC_PERIOD_S
    cpu = rates.at(Cost.SYNC_KERNEL, tasks) + rates.at(Cost.HTTP_SYNC, tasks)
    unchanged = rates.base(Cost.SYNC_KERNEL) + rates.base(Cost.HTTP_SYNC)
    return Remedy(
        "syncs with workers",
        "shared among the members under the owner's epoch, every "
        f"{SYNC_PERIOD_S:.0f} s, with reports of changes alone",
        today * cpu,
        today * rates.at(Cost.HTTP_SYNC_BYTES, tasks),
        rate * unchanged,
        rate * rates.base(Cost.HTTP_SYNC_BYTES),
    )


def _heartbeats(rates: Rates) -> Remedy:
    sent = rates.at(Cost.HEARTBEATS, rates.size.data_centres)
    local = rates.at(Cost.HEARTBEATS_LOCAL, rates.size.entry_vms)
    fewer = sent - local + local / HEARTBEAT_FACTOR
    heard = rates.at(Cost.HEARTBEAT_HEARD, rates.size.members)
    cpu = rates.unit(Cost.HEARTBEAT_FRAMES) + heard
    size = 2 * rates.unit(Cost.HEARTBEAT_BYTES)
    return Remedy(
        "heartbeats",
        f"{HEARTBEAT_FACTOR:.0f} times the period and the lease in a data centre",
        sent * cpu,
        sent * size,
        fewer * cpu,
        fewer * size,
    )


def _job_records(rates: Rates, load: Load) -> Remedy:
    records = rates.records_per_second(load)
    cpu = rates.unit(Cost.LOG_POLL) + rates.unit(Cost.LOG_RECORD)
    size = rates.unit(Cost.LOG_POLL_BYTES)
    part = records / rates.size.data_centres
    return Remedy(
        f"job records from the log, {load.value}",
        "a stream of the log for each data centre",
        records * cpu,
        records * size,
        part * cpu,
        part * size,
    )
