"""Measures the cost of each operation and extrapolates it to the fleet's size.

The measurements are fitted with straight lines (``measuring``), from which ``planner``
derives what each role uses. ``report`` prints both.
"""

import os
import platform
import shutil
import subprocess
import tempfile
from contextlib import suppress
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.measure_config import measure_config
from tamarackmount.bench.measure_daemons import DaemonBench
from tamarackmount.bench.measure_jobs import measure_jobs
from tamarackmount.bench.measure_members import measure_members
from tamarackmount.bench.measure_requests import measure_requests
from tamarackmount.bench.measure_sockets import SocketBench
from tamarackmount.bench.measure_takeover import measure_takeover
from tamarackmount.bench.measuring import Line, SamplingOptions
from tamarackmount.bench.planner import Planner
from tamarackmount.bench.proposed_changes import proposed_changes
from tamarackmount.bench.registry import BENCHES, BenchOptions
from tamarackmount.bench.report import Report, RunNote, json_line, tables
from tamarackmount.daemon.service import TICKS_PER_HEARTBEAT
from tamarackmount.demo.processes import ProcessGroup
from tamarackmount.kernel.job_effects import SchedulerTiming
from tamarackmount.kernel.member_core import APPENDS_PER_SECOND
from tamarackmount.kernel.timing import Timing
from tamarackmount.settings import PlatformSection
from tamarackmount.units import MS_PER_SECOND

COMMAND = "make capacity"
SMALL_ROUNDS = 5

LinesByCost = dict[Cost, Line]


def daemon_periods() -> Periods:
    """Return a daemon's default periods."""
    timing = Timing()
    platform_section = PlatformSection(log_url="http://log", vms_url="http://vms")
    jobs = SchedulerTiming()
    return Periods(
        tick_s=timing.heartbeat_s / TICKS_PER_HEARTBEAT,
        log_poll_s=platform_section.log_poll_ms / MS_PER_SECOND,
        vms_poll_s=platform_section.vms_poll_ms / MS_PER_SECOND,
        worker_sync_s=jobs.worker_sync_s,
        ended_job_retention_s=jobs.ended_job_retention_s,
        appends_per_second=APPENDS_PER_SECOND,
    )


@BENCHES.register("capacity")
def run_capacity(options: BenchOptions) -> str:
    """Run all measurements in sequence and return the report."""
    sampling = (
        SamplingOptions(1, SMALL_ROUNDS, is_small=True)
        if options.is_small
        else SamplingOptions()
    )
    load_before = os.getloadavg()[0]
    periods = daemon_periods()
    measured_lines = {
        **measure_kernel(sampling, periods),
        **measure_with_reactor(sampling),
    }
    size = FleetSize()
    note = RunNote(
        command=COMMAND,
        date=datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
        commit=describe_commit(),
        machine=describe_machine(),
        load_before=load_before,
        load_after=os.getloadavg()[0],
    )
    planner = Planner(size, periods, measured_lines)
    report = Report(
        note, size, periods, measured_lines, planner.plan(), proposed_changes(planner)
    )
    return json_line(report) if options.as_json else tables(report)


def measure_kernel(sampling: SamplingOptions, periods: Periods) -> LinesByCost:
    """Run the measurements that need neither sockets nor processes."""
    lines: LinesByCost = {}
    lines.update(measure_members(sampling, periods))
    lines.update(measure_config(sampling, periods))
    lines.update(measure_jobs(sampling))
    lines.update(measure_requests(sampling))
    lines.update(measure_takeover(sampling))
    return lines


def measure_with_reactor(sampling: SamplingOptions) -> LinesByCost:
    """Run the measurements that need sockets or processes.

    They share one run of the reactor, which cannot be restarted.
    """
    directory = Path(tempfile.mkdtemp(prefix="tamarackmount-bench-"))
    lines: LinesByCost = {}

    async def measure(reactor: Any) -> None:
        lines.update(await measure_sockets(reactor, directory, sampling))
        lines.update(await DaemonBench(reactor, directory, sampling).run())

    def start(reactor: Any) -> "Deferred[None]":
        return Deferred.fromCoroutine(measure(reactor))

    with suppress(SystemExit):
        react(start)
    if Cost.DAEMON_CPU not in lines:
        raise RuntimeError(
            f"a measurement with sockets or processes failed; logs are in {directory}"
        )
    shutil.rmtree(directory)
    return lines


async def measure_sockets(
    reactor: Any, directory: Path, sampling: SamplingOptions
) -> LinesByCost:
    """Measure calls and messages against stand-ins, then stop the stand-ins."""
    processes = ProcessGroup(reactor, directory)
    try:
        return await SocketBench(reactor, processes, sampling).run()
    finally:
        await processes.kill_all()


def describe_commit() -> str:
    """Return the commit of the working directory, or ``unknown``."""
    command = ["git", "describe", "--always", "--dirty"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


def describe_machine() -> str:
    """Return the core count, architecture and Python version of this machine."""
    python = platform.python_version()
    return f"{os.cpu_count()} cores, {platform.machine()}, Python {python}"
