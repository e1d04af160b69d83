"""Measures the kernel's cost of log records, configuration and the VM list."""

from tamarackmount.adapters.vm_schema import VmList
from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import Periods
from tamarackmount.bench.measuring import (
    Line,
    SamplingOptions,
    cpu_seconds,
    measure_line,
    memory_bytes,
)
from tamarackmount.bench.owner import make_owner
from tamarackmount.bench.synthetic_data import (
    START_TIME,
    configured_node,
    make_change,
    make_log_records,
    make_members,
    make_node,
    make_page,
    make_vms,
    team_document,
)
from tamarackmount.ids import ConfigPath, DataCentreId, Instant, Offset
from tamarackmount.kernel.fleet_config import HISTORY_LENGTH, FleetConfig
from tamarackmount.kernel.log_records import record_to_text
from tamarackmount.kernel.messages import ConfigEntry

DATA_CENTRES = 11
ENTRY_VMS = 8
OTHER_DATA_CENTRE = DataCentreId("dc-02")


def measure_config(sampling: SamplingOptions, periods: Periods) -> dict[Cost, Line]:
    """Measure job records in the log, configuration documents and the VM list."""
    return {
        Cost.LOG_RECORD: _log_records(sampling),
        Cost.RECORD_BYTES: _record_bytes(sampling),
        Cost.CONFIG_CHANGE: _config_change(sampling, periods),
        Cost.CONFIG_MEMORY: _config_memory(sampling),
        Cost.CONFIG_HISTORY: _config_history(sampling),
        Cost.SNAPSHOT_BYTES: _snapshot_bytes(sampling),
        Cost.VM_LIST: _vm_list(sampling),
        Cost.VM_LIST_BYTES: _vm_list_bytes(sampling),
    }


def _log_records(sampling: SamplingOptions) -> Line:
    members = make_members(DATA_CENTRES, ENTRY_VMS)

    def sample(size: int) -> float:
        node = make_node(members)
        page = make_page(make_log_records(size, OTHER_DATA_CENTRE))
        return cpu_seconds(lambda: node.log_read(page, START_TIME, START_TIME))

    return measure_line(sampling.sizes(50, 200, 800), sample, sampling.repeats)


def _record_bytes(sampling: SamplingOptions) -> Line:
    def sample(size: int) -> float:
        page = make_page(make_log_records(size, OTHER_DATA_CENTRE), first=1_000_000)
        return float(len(page.model_dump_json()))

    return measure_line(sampling.sizes(10, 100, 500), sample, 1)


def _config_change(sampling: SamplingOptions, periods: Periods) -> Line:
    members = make_members(DATA_CENTRES, ENTRY_VMS)
    rounds = min(sampling.rounds, 20)

    def sample(size: int) -> float:
        node = make_owner(members, size, periods)
        path = ConfigPath("teams/team-000")
        pages = []
        version = node.log.config.version(path)
        first = node.log.config.applied
        for number in range(rounds):
            text = record_to_text(make_change(0, version, team_document(number)))
            version = Offset(first + number)
            pages.append(make_page([text], first=version))
        now = Instant(START_TIME + 10.0)
        cpu_s = cpu_seconds(lambda: [node.log_read(page, now, now) for page in pages])
        return cpu_s / rounds

    return measure_line(sampling.sizes(100, 350, 700), sample, sampling.repeats)


def _config_memory(sampling: SamplingOptions) -> Line:
    members = make_members(1, 1)
    return measure_line(
        sampling.sizes(100, 350, 700),
        lambda size: memory_bytes(lambda: configured_node(members, size)),
        min(sampling.repeats, 3),
    )


def _config_history(sampling: SamplingOptions) -> Line:
    def build(versions: int) -> FleetConfig:
        config = FleetConfig()
        path = ConfigPath("teams/team-000")
        for number in range(1, versions + 1):
            entry = ConfigEntry(path, Offset(number), team_document(number))
            config.apply_entries(Offset(number), [entry])
        return config

    return measure_line(
        sampling.sizes(2, 10, HISTORY_LENGTH),
        lambda size: memory_bytes(lambda: build(size)),
        min(sampling.repeats, 3),
    )


def _snapshot_bytes(sampling: SamplingOptions) -> Line:
    def sample(size: int) -> float:
        node = configured_node(make_members(1, 1), size)
        return float(len(record_to_text(node.log.config.snapshot([]))))

    return measure_line(sampling.sizes(100, 350, 700), sample, 1)


def _vm_list(sampling: SamplingOptions) -> Line:
    members = make_members(DATA_CENTRES, ENTRY_VMS)

    def sample(size: int) -> float:
        node = make_node(members)
        text = VmList(vms=make_vms(size, DATA_CENTRES)).model_dump_json()
        return cpu_seconds(
            lambda: node.vms_listed(VmList.model_validate_json(text), START_TIME)
        )

    return measure_line(sampling.sizes(1_000, 2_500, 4_200), sample, sampling.repeats)


def _vm_list_bytes(sampling: SamplingOptions) -> Line:
    def sample(size: int) -> float:
        return float(len(VmList(vms=make_vms(size, DATA_CENTRES)).model_dump_json()))

    return measure_line(sampling.sizes(1_000, 2_500, 4_200), sample, 1)
