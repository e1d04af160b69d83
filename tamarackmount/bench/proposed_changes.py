"""Estimated cost of mechanisms that are not implemented, from the measured lines."""

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.rates import Rates
from tamarackmount.bench.resource_usage import Load, ProposedChange

VM_LIST_PERIOD_S = 10.0
"""Period of an owner's reads of its data centre's part of the VM list, in seconds."""

WORKER_SYNC_PERIOD_S = 5.0
"""Period of syncs whose reports contain only changes, in seconds."""

HEARTBEAT_PERIOD_FACTOR = 2.0
"""Factor by which the period of heartbeats in a data centre would be longer."""


def proposed_changes(rates: Rates) -> list[ProposedChange]:
    """Return the estimates of all proposed changes."""
    return [
        _vm_list(rates),
        _syncs(rates),
        _heartbeats(rates),
        _job_records(rates, Load.MEAN),
        _job_records(rates, Load.PEAK),
    ]


def _vm_list(rates: Rates) -> ProposedChange:
    here = rates.size.vms / rates.size.data_centres
    call, call_bytes = rates.base(Cost.LOG_POLL), rates.base(Cost.LOG_POLL_BYTES)
    today_s = rates.periods.vms_poll_s
    return ProposedChange(
        "VM list",
        "the owner alone reads its data centre's part every "
        f"{VM_LIST_PERIOD_S:.0f} s and tells its peers what changed",
        (call + rates.at(Cost.VM_LIST, rates.size.vms)) / today_s,
        (call_bytes + rates.at(Cost.VM_LIST_BYTES, rates.size.vms)) / today_s,
        (call + rates.at(Cost.VM_LIST, here)) / VM_LIST_PERIOD_S,
        (call_bytes + rates.at(Cost.VM_LIST_BYTES, here)) / VM_LIST_PERIOD_S,
    )


def _syncs(rates: Rates) -> ProposedChange:
    workers = rates.size.workers_per_data_centre
    tasks = rates.size.tasks_per_worker
    syncs_per_second_today = workers / rates.periods.worker_sync_s
    syncs_per_second = workers / rates.size.entry_vms / WORKER_SYNC_PERIOD_S
    cpu = rates.at(Cost.SYNC_KERNEL, tasks) + rates.at(Cost.HTTP_SYNC, tasks)
    unchanged = rates.base(Cost.SYNC_KERNEL) + rates.base(Cost.HTTP_SYNC)
    return ProposedChange(
        "syncs with workers",
        "shared among the members under the owner's epoch, every "
        f"{WORKER_SYNC_PERIOD_S:.0f} s, with reports of changes only",
        syncs_per_second_today * cpu,
        syncs_per_second_today * rates.at(Cost.HTTP_SYNC_BYTES, tasks),
        syncs_per_second * unchanged,
        syncs_per_second * rates.base(Cost.HTTP_SYNC_BYTES),
    )


def _heartbeats(rates: Rates) -> ProposedChange:
    sent = rates.at(Cost.HEARTBEATS, rates.size.data_centres)
    local = rates.at(Cost.HEARTBEATS_LOCAL, rates.size.entry_vms)
    reduced = sent - local + local / HEARTBEAT_PERIOD_FACTOR
    receive_cpu_s = rates.at(Cost.HEARTBEAT_HEARD, rates.size.members)
    cpu = rates.unit(Cost.HEARTBEAT_FRAMES) + receive_cpu_s
    size = 2 * rates.unit(Cost.HEARTBEAT_BYTES)
    return ProposedChange(
        "heartbeats",
        f"{HEARTBEAT_PERIOD_FACTOR:.0f} times the period and the lease "
        "in a data centre",
        sent * cpu,
        sent * size,
        reduced * cpu,
        reduced * size,
    )


def _job_records(rates: Rates, load: Load) -> ProposedChange:
    records = rates.records_per_second(load)
    cpu = rates.unit(Cost.LOG_POLL) + rates.unit(Cost.LOG_RECORD)
    size = rates.unit(Cost.LOG_POLL_BYTES)
    part = records / rates.size.data_centres
    return ProposedChange(
        f"job records from the log, {load.value}",
        "a stream of the log for each data centre",
        records * cpu,
        records * size,
        part * cpu,
        part * size,
    )
