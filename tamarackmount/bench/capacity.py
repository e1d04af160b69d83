"""Measures what each role costs and works it out at the fleet's size."""

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
from tamarackmount.bench.measuring import Effort, Line
from tamarackmount.bench.registry import BENCHES, BenchOptions
from tamarackmount.bench.remedies import remedies
from tamarackmount.bench.report import Report, RunNote, json_line, tables
from tamarackmount.bench.roles import Planner
from tamarackmount.daemon.service import TICKS_PER_HEARTBEAT
from tamarackmount.demo.processes import ProcessGroup
from tamarackmount.kernel.job_effects import SchedulerTiming
from tamarackmount.kernel.member_core import APPENDS_PER_SECOND
from tamarackmount.kernel.timing import Timing
from tamarackmount.settings import PlatformSection
from tamarackmount.units import MS_PER_SECOND

COMMAND = "make capacity"
SMALL_ROUNDS = 5

Lines = dict[Cost, Line]


def daemon_periods() -> Periods:
    """Return the periods that a daemon has by default."""
    timing = Timing()
    platform_section = PlatformSection(log_url="http://log", vms_url="http://vms")
    jobs = SchedulerTiming()
    return Periods(
        tick_s=timing.heartbeat_s / TICKS_PER_HEARTBEAT,
        log_poll_s=platform_section.log_poll_ms / MS_PER_SECOND,
        vms_poll_s=platform_section.vms_poll_ms / MS_PER_SECOND,
        worker_sync_s=jobs.worker_sync_s,
        job_memory_s=jobs.job_memory_s,
        appends_per_second=APPENDS_PER_SECOND,
    )


@BENCHES.register("capacity")
def run_capacity(options: BenchOptions) -> str:
    """Measure every slope, one after another, and return the report."""
    effort = Effort(1, SMALL_ROUNDS, is_small=True) if options.is_small else Effort()
    load_before = os.getloadavg()[0]
    periods = daemon_periods()
    slopes = {**measure_kernel(effort, periods), **measure_with_reactor(effort)}
    size = FleetSize()
    note = RunNote(
        command=COMMAND,
        date=datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
        commit=commit_name(),
        machine=machine_name(),
        load_before=load_before,
        load_after=os.getloadavg()[0],
    )
    planner = Planner(size, periods, slopes)
    report = Report(note, size, periods, slopes, planner.plan(), remedies(planner))
    return json_line(report) if options.as_json else tables(report)


def measure_kernel(effort: Effort, periods: Periods) -> Lines:
    """Measure what needs no sockets."""
    lines: Lines = {}
    lines.update(measure_members(effort, periods))
    lines.update(measure_config(effort, periods))
    lines.update(measure_jobs(effort))
    lines.update(measure_requests(effort))
    lines.update(measure_takeover(effort))
    return lines


def measure_with_reactor(effort: Effort) -> Lines:
    """Run the reactor once, for everything that needs sockets and processes."""
    directory = Path(tempfile.mkdtemp(prefix="tamarackmount-bench-"))
    lines: Lines = {}

    async def measure(reactor: Any) -> None:
        lines.update(await measure_sockets(reactor, directory, effort))
        lines.update(await DaemonBench(reactor, directory, effort).run())

    def start(reactor: Any) -> "Deferred[None]":
        return Deferred.fromCoroutine(measure(reactor))

    with suppress(SystemExit):
        react(start)
    if Cost.DAEMON_CPU not in lines:
        raise RuntimeError(f"a measurement failed; logs are in {directory}")
    shutil.rmtree(directory)
    return lines


async def measure_sockets(reactor: Any, directory: Path, effort: Effort) -> Lines:
    """Measure calls and messages against stand-ins, and end those."""
    processes = ProcessGroup(reactor, directory)
    try:
        return await SocketBench(reactor, processes, effort).run()
    finally:
        await processes.kill_all()


def commit_name() -> str:
    """Return the commit of the working directory, or ``unknown``."""
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def machine_name() -> str:
    """Return the kind of machine that this is."""
    python = platform.python_version()
    return f"{os.cpu_count()} cores, {platform.machine()}, Python {python}"
