"""Base class and helpers of tests that run real processes in Twisted's reactor."""

import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import cast

from twisted.internet import reactor
from twisted.internet.base import DelayedCall, ReactorBase
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from tamarackmount.demo.checks import Verdict
from tamarackmount.demo.options import Options
from tamarackmount.demo.ports import PortReservation
from tamarackmount.demo.processes import ProcessGroup
from tamarackmount.demo.scenario import Scenario
from tamarackmount.demo.topology import Shape, plan_topology

POLL_S = 0.05
"""Pause between two checks of a condition that is waited for, in seconds."""


class ProcessTestCase(TestCase):
    """Test case that kills all processes that it started, also when it fails.

    ``timeout`` bounds a hanging test, in seconds; no verdict depends on it. Logs
    stay in the temporary directory of a test that failed.
    """

    timeout = 300

    def setUp(self) -> None:
        # Trial looks for calls left in the reactor, which all tests share.
        for call in cast(ReactorBase, reactor).getDelayedCalls():
            cast(DelayedCall, call).cancel()
        self.directory = Path(tempfile.mkdtemp(prefix="tamarackmount-test-"))

    def make_group(self) -> ProcessGroup:
        """Return a group whose processes are killed when the test ends."""
        group = ProcessGroup(IReactorTime(reactor), self.directory)
        self.addCleanup(group.kill_all)
        return group

    async def run_scenario(self, shape: Shape, options: Options) -> Verdict:
        """Run a scenario and return its verdict."""
        ports = PortReservation()
        self.addCleanup(ports.release)
        topology = plan_topology(shape, ports.take)
        scenario = Scenario(IReactorTime(reactor), self.directory, topology, options)
        self.addCleanup(scenario.cell.stop)
        return await scenario.run()

    def remove_logs(self) -> None:
        """Remove the logs of a test that passed."""
        shutil.rmtree(self.directory)


async def wait_until(check: Callable[[], bool]) -> None:
    """Poll until ``check`` returns true; the time limit of the test bounds the wait."""
    clock = IReactorTime(reactor)
    while not check():
        await deferLater(clock, POLL_S, lambda: None)


def children_of(pid: int) -> list[int]:
    """Return the process ids of the children of a process."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text(encoding="ascii").split()]


def is_project_process(pid: int) -> bool:
    """Return whether a process of this project is running under an id."""
    try:
        command_line = Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return b"tamarackmount" in command_line
