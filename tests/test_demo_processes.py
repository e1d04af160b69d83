"""Tests with real processes: process groups, a small cell and an interrupted run."""

import os
import signal

import pytest

from tamarackmount.demo.options import Options, StepName
from tamarackmount.demo.processes import Command, ProcessFailedError
from tamarackmount.demo.report import table
from tamarackmount.demo.topology import Shape
from tests.utils.processes import (
    ProcessTestCase,
    children_of,
    is_project_process,
    wait_until,
)

STAND_IN = Command("log", "tamarackmount.standins.log_service")
MISSING_MODULE = Command("missing", "tamarackmount.no_such_module")

SMALL_SHAPE = Shape(
    data_centres=1, daemons=2, upstreams=3, workers=1, services=("counter",)
)
"""A data centre with two daemons, three upstreams and a worker."""

REQUESTS = 60
"""Number of requests of the load."""

LOAD_S = 6.0
"""Length of the load, in seconds."""

DEMO_PROCESSES = 26
"""Number of stand-ins and daemons of the demo."""


class ProcessGroupTest(ProcessTestCase):
    async def test_listening_line_is_read(self) -> None:
        group = self.make_group()
        await group.start_listening([STAND_IN])
        listening = await group.process_by_name["log"].listening()
        assert listening.port > 0
        assert listening.control_port > 0
        self.remove_logs()

    async def test_paused_process_is_killed_too(self) -> None:
        group = self.make_group()
        await group.start_listening([STAND_IN])
        process = group.process_by_name["log"]
        assert process.send(signal.SIGSTOP)
        await group.kill_all()
        assert not process.running
        assert not process.send(signal.SIGTERM)
        self.remove_logs()

    async def test_process_that_never_listens_fails_with_its_log(self) -> None:
        group = self.make_group()
        process = group.start(MISSING_MODULE)
        with pytest.raises(ProcessFailedError) as caught:
            await process.listening()
        assert "no_such_module" in str(caught.value)
        assert process.exit_code == 1
        self.remove_logs()

    async def test_no_process_starts_after_kill_all(self) -> None:
        group = self.make_group()
        await group.kill_all()
        with pytest.raises(ProcessFailedError):
            group.start(STAND_IN)
        self.remove_logs()


class SmallCellTest(ProcessTestCase):
    async def test_no_guarantee_is_broken_when_an_owner_is_killed(self) -> None:
        options = Options(
            seed=1,
            requests=REQUESTS,
            load_seconds=LOAD_S,
            tracks=((StepName.KILL_OWNER,),),
        )
        verdict = await self.run_scenario(SMALL_SHAPE, options)
        assert verdict.broken_promises == [], table(verdict)
        assert verdict.answered + verdict.not_run + verdict.unknown == REQUESTS
        self.remove_logs()


class InterruptTest(ProcessTestCase):
    async def test_interrupted_run_ends_all_its_processes(self) -> None:
        environment = {**os.environ, "TMPDIR": str(self.directory)}
        self.patch(os, "environ", environment)  # type: ignore[no-untyped-call]
        group = self.make_group()
        demo = group.start(Command("demo", "tamarackmount.demo"))
        await wait_until(lambda: len(children_of(demo.pid)) >= DEMO_PROCESSES)
        children = children_of(demo.pid)
        demo.send(signal.SIGINT)
        assert await demo.ended() == 1
        assert [pid for pid in children if is_project_process(pid)] == []
        self.remove_logs()
