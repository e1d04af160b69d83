"""The capacity benchmark: its arithmetic, and that every measurement runs."""

import json
from dataclasses import replace

import pytest

from tamarackmount.bench.capacity import daemon_periods
from tamarackmount.bench.commands import run_bench
from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import Budget, FleetSize
from tamarackmount.bench.measure_config import measure_config
from tamarackmount.bench.measure_daemons import DaemonBench
from tamarackmount.bench.measure_jobs import measure_jobs
from tamarackmount.bench.measure_members import measure_members
from tamarackmount.bench.measure_requests import make_request_run, measure_requests
from tamarackmount.bench.measure_sockets import SocketBench
from tamarackmount.bench.measure_takeover import measure_takeover
from tamarackmount.bench.measuring import Line, Point, fit_line, summarise
from tamarackmount.bench.planner import Planner
from tamarackmount.bench.proposed_changes import proposed_changes
from tamarackmount.bench.report import Report, RunNote, json_line, tables
from tamarackmount.bench.resource_usage import Load, ResourceUsage, Role
from tamarackmount.kernel.messages import TicketGrant, TicketRelease, TicketRequest
from tests.utils.build_bench import PERIODS, SIZE, SMALL, build_line, build_planner
from tests.utils.processes import ProcessTestCase

SOCKET_COSTS = {
    Cost.HTTP_SYNC,
    Cost.HTTP_SYNC_BYTES,
    Cost.HTTP_START,
    Cost.HTTP_START_BYTES,
    Cost.LOG_POLL,
    Cost.LOG_POLL_BYTES,
    Cost.FRAME,
    Cost.HEARTBEAT_FRAMES,
}
PROCESS_COSTS = {Cost.DAEMON_CPU, Cost.PROCESS_MEMORY}


def find_usage(planner: Planner, role: Role, load: Load, item: str) -> ResourceUsage:
    """Return the only usage whose item starts with ``item``."""
    found = [
        usage
        for usage in planner.plan().usages
        if usage.role is role and usage.load is load and usage.item.startswith(item)
    ]
    assert len(found) == 1, found
    return found[0]


# Lines


def test_line_goes_through_points_that_lie_on_one() -> None:
    line = fit_line([Point(size, 5.0 + 2.0 * size, 0.0) for size in (10, 20, 40)])
    assert line.base == pytest.approx(5.0)
    assert line.per_unit == pytest.approx(2.0)
    assert line.at(100) == pytest.approx(205.0)


def test_line_through_two_sizes_is_refused() -> None:
    with pytest.raises(ValueError, match="3 sizes"):
        fit_line([Point(1, 1.0, 0.0), Point(2, 2.0, 0.0)])


def test_samples_become_median_and_half_range() -> None:
    assert summarise(7, [4.0, 1.0, 2.0]) == Point(7, 2.0, 0.75)


def test_spread_of_a_line_is_that_of_its_worst_point() -> None:
    line = Line(0.0, 1.0, (Point(1, 1.0, 0.1), Point(2, 2.0, 0.4)))
    assert line.spread == 0.4


# From measured lines to usages


def test_heartbeats_are_sent_and_received_alike() -> None:
    planner = build_planner(
        HEARTBEATS=build_line(10.0, 2.0),
        HEARTBEAT_BYTES=build_line(0.0, 150.0),
        HEARTBEAT_FRAMES=build_line(0.0, 80e-6),
        HEARTBEAT_HEARD=build_line(20e-6, 0.0),
    )
    heartbeats = find_usage(planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "heartbeats")
    assert heartbeats.messages == pytest.approx(60.0)
    assert heartbeats.bytes == pytest.approx(9_000.0)
    assert heartbeats.cores == pytest.approx(30 * 100e-6)


def test_larger_data_centres_add_local_heartbeats() -> None:
    planner = build_planner(
        HEARTBEATS=build_line(10.0, 2.0), HEARTBEATS_LOCAL=build_line(-4.0, 4.0)
    )
    larger = replace(planner, size=replace(SIZE, entry_vms=10))
    heartbeats = find_usage(larger, Role.EVERY_ENTRY_VM, Load.ALWAYS, "heartbeats")
    assert heartbeats.messages == pytest.approx(2 * (30.0 + 8.0))


def test_ticks_cost_by_their_rate_and_the_members() -> None:
    planner = build_planner(TICK=build_line(10e-6, 1e-6))
    ticks = find_usage(planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "ticks")
    assert ticks.cores == pytest.approx(40 * 90e-6)


def test_rest_of_the_daemon_is_its_total_less_the_measured_parts() -> None:
    planner = build_planner(
        DAEMON_CPU=build_line(0.02, 0.0),
        TICK=build_line(100e-6, 0.0),
        LOG_POLL=build_line(1e-3, 0.0),
        HEARTBEATS_LOCAL=build_line(0.0, 4.0),
        HEARTBEAT_FRAMES=build_line(0.0, 100e-6),
    )
    rest = find_usage(planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "rest of the daemon")
    assert rest.cores == pytest.approx(0.02 - 0.004 - 0.003 - 0.0032)


def test_vm_list_is_read_whole_every_period() -> None:
    planner = build_planner(
        VM_LIST=build_line(0.0, 5e-6), VM_LIST_BYTES=build_line(0.0, 200.0)
    )
    vm_list = find_usage(planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "VM list")
    assert vm_list.bytes == pytest.approx(1_120 * 200.0)
    assert vm_list.cores == pytest.approx(1_120 * 5e-6)


def test_every_member_reads_the_records_of_the_whole_fleet() -> None:
    planner = build_planner(
        JOB_RECORDS=build_line(1.0, 1.0), LOG_POLL_BYTES=build_line(0.0, 500.0)
    )
    mean = find_usage(planner, Role.EVERY_ENTRY_VM, Load.MEAN, "job records")
    peak = find_usage(planner, Role.EVERY_ENTRY_VM, Load.PEAK, "job records")
    assert mean.bytes == pytest.approx(1 * 11 * 500.0)
    assert peak.bytes == pytest.approx(100 * 2 * 500.0)


def test_stored_records_grow_over_the_lifetime_of_a_vm() -> None:
    planner = build_planner(
        PROCESS_MEMORY=build_line(50e6, 0.0), HELD_MEMORY=build_line(0.0, 1_000.0)
    )
    process = find_usage(planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "process")
    assert SIZE.vm_lifetime_days == pytest.approx(10.0)
    assert process.memory_bytes == pytest.approx(50e6 + 86_400 * 1_000.0)


def test_owner_syncs_each_of_its_workers_at_the_period() -> None:
    planner = build_planner(
        SYNC_KERNEL=build_line(10e-6, 1e-6),
        HTTP_SYNC=build_line(200e-6, 2e-6),
        HTTP_SYNC_BYTES=build_line(400.0, 100.0),
    )
    syncs = find_usage(planner, Role.OWNER, Load.ALWAYS, "syncs")
    assert syncs.messages == pytest.approx(400.0)
    assert syncs.cores == pytest.approx(200 * 240e-6)
    assert syncs.bytes == pytest.approx(200 * 1_400.0)


def test_peak_in_one_data_centre_is_the_peak_of_the_whole_fleet() -> None:
    planner = build_planner(HTTP_START=build_line(0.0, 100e-6))
    evenly = find_usage(planner, Role.OWNER, Load.PEAK, "100.0 task starts")
    in_one = find_usage(
        planner, Role.OWNER, Load.PEAK_IN_ONE_DATA_CENTRE, "1,000.0 task starts"
    )
    assert evenly.cores == pytest.approx(0.01)
    assert in_one.cores == pytest.approx(0.1)


def test_record_copies_go_to_every_peer_of_the_data_centre() -> None:
    planner = build_planner(
        JOB_RECORDS=build_line(2.0, 0.0),
        FRAME=build_line(80e-6, 20e-6),
        COPY_BYTES=build_line(50.0, 300.0),
    )
    copies = find_usage(planner, Role.OWNER, Load.PEAK, "copies")
    assert copies.messages == pytest.approx(2 * 140.0)
    assert copies.cores == pytest.approx(140 * 100e-6)
    assert copies.bytes == pytest.approx(140 * 400.0)


def test_appends_stay_within_a_members_part_of_the_limit() -> None:
    planner = build_planner(JOB_RECORDS=build_line(2.0, 0.0))
    mean = find_usage(planner, Role.OWNER, Load.MEAN, "appends")
    in_one = find_usage(planner, Role.OWNER, Load.PEAK_IN_ONE_DATA_CENTRE, "appends")
    assert mean.messages == pytest.approx(2 * 0.2)
    assert in_one.messages == pytest.approx(2 * 300.0 / 80)


def test_log_serves_every_reader() -> None:
    planner = build_planner(
        JOB_RECORDS=build_line(1.0, 0.0), LOG_POLL_BYTES=build_line(300.0, 500.0)
    )
    mean = find_usage(planner, Role.LOG, Load.MEAN, "1.1 appends")
    assert mean.messages == pytest.approx(2 * (1.1 + 160.0))
    assert mean.bytes == pytest.approx(160 * 300.0 + 1.1 * 500.0 * 81)


def test_takeover_reads_every_peer() -> None:
    planner = build_planner(
        TAKEOVER=build_line(0.0, 100e-6), TAKEOVER_BYTES=build_line(0.0, 300.0)
    )
    needed = find_usage(
        planner, Role.TAKEOVER, Load.ALWAYS, "reading records that are needed"
    )
    assert needed.cores == pytest.approx(7 * 460 * 100e-6)
    assert needed.bytes == pytest.approx(7 * 460 * 300.0)


def test_restoring_is_one_step_of_the_new_owner() -> None:
    planner = build_planner(
        RESTORE=build_line(0.0, 1e-3), RESTORE_MANY=build_line(0.0, 2e-3)
    )
    restored = find_usage(
        planner, Role.TAKEOVER, Load.ALWAYS, "restoring records that are needed"
    )
    assert restored.cores == pytest.approx(0.46)
    many = find_usage(
        planner, Role.TAKEOVER, Load.ALWAYS, "restoring records of a VM's"
    )
    assert many.cores == pytest.approx(86_400 * 2e-3)


def test_size_of_snapshots_follows_from_their_documents() -> None:
    planner = build_planner(
        SNAPSHOTS=build_line(0.0, 8.0), SNAPSHOT_BYTES=build_line(0.0, 300.0)
    )
    (snapshots,) = planner.snapshots()
    assert snapshots.messages == pytest.approx(80.0)
    assert snapshots.bytes == pytest.approx(80 * 100 * 300.0)


def test_shared_syncs_of_changes_cost_only_their_base() -> None:
    planner = build_planner(
        HTTP_SYNC=build_line(1e-3, 1e-4), HTTP_SYNC_BYTES=build_line(400.0, 100.0)
    )
    (syncs,) = [
        change
        for change in proposed_changes(planner)
        if change.item.startswith("syncs")
    ]
    assert syncs.cores_today == pytest.approx(200 * 2e-3)
    assert syncs.cores == pytest.approx(100 / 8 / 5 * 1e-3)
    assert syncs.bytes == pytest.approx(100 / 8 / 5 * 400.0)


def test_slower_heartbeats_leave_those_between_data_centres_unchanged() -> None:
    planner = build_planner(
        HEARTBEATS=build_line(28.0, 2.0),
        HEARTBEATS_LOCAL=build_line(-4.0, 4.0),
        HEARTBEAT_BYTES=build_line(0.0, 100.0),
    )
    (heartbeats,) = [
        change for change in proposed_changes(planner) if change.item == "heartbeats"
    ]
    assert heartbeats.bytes_today == pytest.approx(2 * 48 * 100.0)
    assert heartbeats.bytes == pytest.approx(2 * 34 * 100.0)


def test_vm_list_of_a_data_centre_costs_its_part_of_the_whole() -> None:
    planner = build_planner(VM_LIST_BYTES=build_line(0.0, 200.0))
    (vm_list,) = [
        change for change in proposed_changes(planner) if change.item == "VM list"
    ]
    assert vm_list.bytes_today == pytest.approx(224_000.0)
    assert vm_list.bytes == pytest.approx(2_240.0)


def test_stream_per_data_centre_divides_the_records() -> None:
    planner = build_planner(
        JOB_RECORDS=build_line(1.0, 0.0), LOG_POLL_BYTES=build_line(0.0, 500.0)
    )
    peak = proposed_changes(planner)[-1]
    assert peak.bytes_today == pytest.approx(50_000.0)
    assert peak.bytes == pytest.approx(5_000.0)


def test_totals_are_relative_to_the_budget() -> None:
    planner = build_planner()
    lines = [
        ResourceUsage(Role.EVERY_ENTRY_VM, Load.ALWAYS, "a", cores=0.02, bytes=9e3),
        ResourceUsage(
            Role.EVERY_ENTRY_VM, Load.ALWAYS, "b", cores=0.01, memory_bytes=512e6
        ),
    ]
    total = replace(planner, budget=Budget(0.01, 256e6, 18e3)).total("node", lines)
    assert total.cores_of_budget == pytest.approx(3.0)
    assert total.bytes_of_budget == pytest.approx(0.5)
    assert total.memory_of_budget == pytest.approx(2.0)


def test_total_of_an_owner_includes_what_every_entry_vm_uses() -> None:
    planner = build_planner(
        TICK=build_line(100e-6, 0.0), HTTP_SYNC=build_line(200e-6, 0.0)
    )
    totals_by_name = {total.name: total for total in planner.plan().totals}
    rest = find_usage(
        planner, Role.EVERY_ENTRY_VM, Load.ALWAYS, "rest of the daemon"
    ).cores
    owner = totals_by_name["owner, no work in the fleet"]
    assert owner.cores == pytest.approx(0.004 + rest + 0.04)


def test_default_size_is_that_of_the_whole_fleet() -> None:
    size = FleetSize()
    assert size.members == 88
    assert size.workers_per_data_centre == pytest.approx(354.5, abs=0.1)
    assert size.tasks_per_worker == pytest.approx(10.0)


# Report and command


def test_report_contains_every_line_as_table_and_as_json() -> None:
    planner = build_planner(TICK=build_line(100e-6, 0.0))
    note = RunNote("make capacity", "a day", "abc", "12 cores", 0.5, 0.75)
    report = Report(
        note,
        SIZE,
        PERIODS,
        planner.measured_lines,
        planner.plan(),
        proposed_changes(planner),
    )
    body = json.loads(json_line(report))
    assert set(body["slopes"]) == {cost.name.lower() for cost in Cost}
    assert body["slopes"]["tick"]["base"] == pytest.approx(100e-6)
    assert body["spendings"][0]["role"] == "every entry VM"
    text = tables(report)
    assert "12 cores" in text
    assert "| every entry VM | always | ticks | - | 0.4 | - | - |" in text
    restored = "restoring records that are needed, in one step"
    assert f"| new owner, once | {restored} | - | - | - |" in text


def test_unknown_bench_is_refused() -> None:
    with pytest.raises(SystemExit) as caught:
        run_bench(["no-such-bench"])
    assert caught.value.code == 2


def test_periods_are_the_defaults_of_the_daemon() -> None:
    periods = daemon_periods()
    assert periods.tick_s == pytest.approx(0.025)
    assert periods.log_poll_s == pytest.approx(0.5)


# Measurements at tiny sizes


def test_every_kernel_measurement_runs() -> None:
    lines = {
        **measure_members(SMALL, PERIODS),
        **measure_config(SMALL, PERIODS),
        **measure_jobs(SMALL),
        **measure_requests(SMALL),
        **measure_takeover(SMALL),
    }
    assert set(lines) == set(Cost) - SOCKET_COSTS - PROCESS_COSTS
    assert all(len(line.points) == 3 for line in lines.values())
    assert lines[Cost.REQUEST_MESSAGES].per_unit == pytest.approx(3.0)
    assert lines[Cost.JOB_RECORDS].points[0].value >= 2


def test_measured_requests_are_all_served() -> None:
    run = make_request_run()
    run.serve(500)
    for kind in (TicketRequest, TicketGrant, TicketRelease):
        assert sum(isinstance(message, kind) for message in run.messages) == 500
    assert run.dispatcher.snapshot().lent == 0


class ProcessMeasurementsTest(ProcessTestCase):
    async def test_every_socket_measurement_runs(self) -> None:
        from twisted.internet import reactor

        lines = await SocketBench(reactor, self.make_group(), SMALL).run()
        assert set(lines) == SOCKET_COSTS
        assert all(point.value > 0 for point in lines[Cost.HTTP_SYNC_BYTES].points)
        self.remove_logs()

    async def test_daemons_are_measured_and_stopped(self) -> None:
        from twisted.internet import reactor

        lines = await DaemonBench(reactor, self.directory, SMALL).run()
        assert set(lines) == PROCESS_COSTS
        assert all(point.value > 0 for point in lines[Cost.PROCESS_MEMORY].points)
        self.remove_logs()
