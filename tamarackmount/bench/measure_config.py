"""What the log, the configuration and the VM list cost in the kernel."""

from tamarackmount.adapters.vm_schema import VmList
from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import Periods
from tamarackmount.bench.loads import (
    START,
    change_of,
    configured_node,
    logged_records,
    make_node,
    members_of,
    page_of,
    team_text,
    vms_of,
)
from tamarackmount.bench.measuring import (
    Effort,
    Line,
    cpu_seconds,
    measure_line,
    memory_bytes,
)
from tamarackmount.bench.owner import make_owner
from tamarackmount.ids import ConfigPath, DataCentreId, Instant, Offset
from tamarackmount.kernel.fleet_config import HISTORY_LENGTH, FleetConfig
from tamarackmount.kernel.log_records import record_to_text
from tamarackmount.kernel.messages import ConfigEntry

DATA_CENTRES = 11
ENTRY_VMS = 8
ELSEWHERE = DataCentreId("dc-02")


def measure_config(effort: Effort, periods: Periods) -> dict[Cost, Line]:
    """Measure the log's records, documents and the VM list."""
    return {
        Cost.LOG_RECORD: _log_records(effort),
        Cost.RECORD_BYTES: _record_bytes(effort),
        Cost.CONFIG_CHANGE: _config_change(effort, periods),
        Cost.CONFIG_MEMORY: _config_memory(effort),
        Cost.CONFIG_HISTORY: _config_history(effort),
        Cost.SNAPSHOT_BYTES: _snapshot_bytes(effort),
        Cost.VM_LIST: _vm_list(effort),
        Cost.VM_LIST_BYTES: _vm_list_bytes(effort),
    }


def _log_records(effort: Effort) -> Line:
    members = members_of(DATA_CENTRES, ENTRY_VMS)

    def sample(size: int) -> float:
        node = make_node(members)
        page = page_of(logged_records(size, ELSEWHERE))
        return cpu_seconds(lambda: node.log_read(page, START, START))

    return measure_line(effort.sizes(50, 200, 800), sample, effort.repeats)


def _record_bytes(effort: Effort) -> Line:
    def sample(size: int) -> float:
        page = page_of(logged_records(size, ELSEWHERE), first=1_000_000)
        return float(len(page.model_dump_json()))

    return measure_line(effort.sizes(10, 100, 500), sample, 1)


def _config_change(effort: Effort, periods: Periods) -> Line:
    members = members_of(DATA_CENTRES, ENTRY_VMS)
    rounds = min(effort.rounds, 20)

    def sample(size: int) -> float:
        node = make_owner(members, size, periods)
        path = ConfigPath("teams/team-000")
        pages = []
        version = node.log.config.version(path)
        first = node.log.config.applied
        for number in range(rounds):
            text = record_to_text(change_of(0, version, team_text(number)))
            version = Offset(first + number)
            pages.append(page_of([text], first=version))
        now = Instant(START + 10.0)
        taken = cpu_seconds(lambda: [node.log_read(page, now, now) for page in pages])
        return taken / rounds

    return measure_line(effort.sizes(100, 350, 700), sample, effort.repeats)


def _config_memory(effort: Effort) -> Line:
    members = members_of(1, 1)
    return measure_line(
        effort.sizes(100, 350, 700),
        lambda size: memory_bytes(lambda: configured_node(members, size)),
        min(effort.repeats, 3),
    )


def _config_history(effort: Effort) -> Line:
    def build(versions: int) -> FleetConfig:
        config = FleetConfig()
        path = ConfigPath("teams/team-000")
        for number in range(1, versions + 1):
            entry = ConfigEntry(path, Offset(number), team_text(number))
            config.apply_entries(Offset(number), [entry])
        return config

    return measure_line(
        effort.sizes(2, 10, HISTORY_LENGTH),
        lambda size: memory_bytes(lambda: build(size)),
        min(effort.repeats, 3),
    )


def _snapshot_bytes(effort: Effort) -> Line:
    def sample(size: int) -> float:
        node = configured_node(members_of(1, 1), size)
        return float(len(record_to_text(node.log.config.snapshot([]))))

    return measure_line(effort.sizes(100, 350, 700), sample, 1)


def _vm_list(effort: Effort) -> Line:
    members = members_of(DATA_CENTRES, ENTRY_VMS)

    def sample(size: int) -> float:
        node = make_node(members)
        text = VmList(vms=vms_of(size, DATA_CENTRES)).model_dump_json()
        return cpu_seconds(
            lambda: node.vms_listed(VmList.model_validate_json(text), START)
        )

    return measure_line(effort.sizes(1_000, 2_500, 4_200), sample, effort.repeats)


def _vm_list_bytes(effort: Effort) -> Line:
    def sample(size: int) -> float:
        return float(len(VmList(vms=vms_of(size, DATA_CENTRES)).model_dump_json()))

    return measure_line(effort.sizes(1_000, 2_500, 4_200), sample, 1)
