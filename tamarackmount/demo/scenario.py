"""Runs the harness: starts a cell, sends the load, causes faults and checks."""

import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from tamarackmount.demo.callers import (
    WORK_MS,
    Caller,
    Load,
)
from tamarackmount.demo.cell import Cell, StepFailedError, in_parallel
from tamarackmount.demo.checks import RunData, Verdict, check_run
from tamarackmount.demo.disturbances import FaultInjector
from tamarackmount.demo.jobs import JobWatch, plan_jobs
from tamarackmount.demo.operators import Operator
from tamarackmount.demo.options import Options, StepName
from tamarackmount.demo.processes import ProcessFailedError
from tamarackmount.demo.records import Revocation
from tamarackmount.demo.recovery import Recovery
from tamarackmount.demo.report import write_run_data
from tamarackmount.demo.revocation import RevocationProbe
from tamarackmount.demo.stand_ins import StandInControl, is_own_response
from tamarackmount.demo.teams import MAIN_KEY, TEMPORARY_KEY, plan_teams
from tamarackmount.demo.topology import DaemonPlan, Topology, VmPlan
from tamarackmount.ids import ConfigPath, QueueName

logger = logging.getLogger(__name__)

STEP_PAUSE_S = 2.0
"""Pause before each step of a track, in seconds."""

STEP_ERRORS = (StepFailedError, ProcessFailedError, DeferredTimeoutError)
"""Errors that mark a step as failed without ending the run."""

Step = Callable[[], Awaitable[None]]
"""Starts a step of a run."""


class Scenario:
    """One run of the harness with a cell of its own."""

    def __init__(
        self,
        reactor: IReactorTime,
        directory: Path,
        topology: Topology,
        options: Options,
    ) -> None:
        """Prepare the cell, the callers and the jobs."""
        self._options = options
        self._rng = random.Random(options.seed)
        self.cell = Cell(reactor, directory, topology, self._new_rng())
        self._operator = Operator(self.cell)
        self._control = StandInControl(self.cell.http, topology)
        self._teams = plan_teams()
        services = sorted({plan.vm.service for plan in topology.upstreams})
        self._queues = [QueueName(service) for service in services]
        main_key = self._teams[0].keys[MAIN_KEY]
        self._recovery = Recovery(self.cell, main_key, self._queues)
        self._fault_injector = FaultInjector(
            self.cell, self._operator, self._control, self._recovery
        )
        self._failed_steps: list[str] = []
        self._background: list[Deferred[None]] = []
        revoked = self._teams[-1].keys[TEMPORARY_KEY]
        self._revocation_probe = RevocationProbe(self.cell, self._queues[0], revoked)
        self._callers = self._plan_callers()
        keys = [team.keys[MAIN_KEY] for team in self._teams]
        job_plans = plan_jobs(*keys) if options.jobs else []
        self._jobs = [JobWatch(self.cell, plan) for plan in job_plans]

    async def run(self) -> Verdict:
        """Run all steps and return the verdict."""
        logger.info("starting the processes, logs in %s", self.cell.directory)
        await self.cell.start()
        await self._set_up()
        if self._options.failing_worker:
            await self._fault_injector.fail_starts(
                self._rng.choice(self._plain_workers())
            )
        self._background += [
            Deferred.fromCoroutine(self.cell.balancer.watch(daemon))
            for daemon in self.cell.topology.daemons
        ]
        logger.info("sending %d requests", self._options.requests)
        await in_parallel(
            [
                *(caller.run() for caller in self._callers),
                *(self._run_step("job", job.run) for job in self._jobs),
                self._run_tracks(),
            ]
        )
        self._revocation_probe.stop()
        self.cell.balancer.stop()
        await gatherResults(self._background, consumeErrors=True)
        run_data = await self._collect_run_data()
        write_run_data(run_data, self.cell.directory)
        return check_run(run_data)

    async def _set_up(self) -> None:
        logger.info("setting up queues, teams and keys")
        text_by_path = {
            ConfigPath(f"queues/{queue}"): f'service = "{queue}"\n'
            for queue in self._queues
        }
        for team in self._teams:
            text_by_path[team.path] = team.document()
        for path, text in text_by_path.items():
            await self._operator.put(path, text)
        await self._operator.wait_everywhere(list(text_by_path))
        for data_centre in {plan.data_centre for plan in self.cell.topology.daemons}:
            await self._recovery.wait(data_centre)

    async def _run_tracks(self) -> None:
        steps = self._step_by_name()
        tracks = [
            self._run_track([(name, steps[name]) for name in track])
            for track in self._options.tracks
        ]
        await in_parallel(tracks)

    def _step_by_name(self) -> dict[StepName, Step]:
        fault_injector = self._fault_injector
        failing, slow, leaving = self._rng.sample(self.cell.topology.upstreams, 3)
        path = ConfigPath(f"queues/{self._queues[0]}")
        document = f'service = "{self._queues[0]}"\nmax_waiting = 900\n'
        return {
            StepName.KILL_OWNER: lambda: self._run_on_owner(0, fault_injector.kill),
            StepName.REVOKE_KEY: self._revoke_key,
            StepName.PLANNED_STOP: lambda: self._run_on_owner(-1, fault_injector.stop),
            StepName.PAUSE_OWNER: lambda: self._run_on_owner(-1, fault_injector.pause),
            StepName.LOG_OUTAGE: lambda: fault_injector.break_log(path, document),
            StepName.FAILING_UPSTREAM: lambda: fault_injector.fail_upstream(failing),
            StepName.SLOW_UPSTREAM: lambda: fault_injector.slow_upstream(slow),
            StepName.LEAVING_UPSTREAM: lambda: fault_injector.make_upstream_leave(
                leaving
            ),
        }

    def _plain_workers(self) -> list[VmPlan]:
        workers = self.cell.topology.workers
        return [plan for plan in workers if not plan.vm.accelerators]

    async def _run_track(self, steps: Sequence[tuple[StepName, Step]]) -> None:
        for name, step in steps:
            await self.cell.http.sleep(STEP_PAUSE_S)
            await self._run_step(name.value, step)

    async def _run_step(self, name: str, step: Step) -> None:
        logger.info("step begins: %s", name)
        try:
            await step()
        except STEP_ERRORS as error:
            logger.error("step failed: %s: %s", name, error)
            self._failed_steps.append(f"{name}: {error}")
            return
        logger.info("step ended: %s", name)

    async def _run_on_owner(
        self, index: int, step: Callable[[DaemonPlan], Awaitable[None]]
    ) -> None:
        data_centre = self.cell.topology.daemons[index].data_centre
        owner = await self._operator.owner(data_centre)
        logger.info("owner of %s: %s", data_centre, owner.id)
        await step(owner)

    async def _revoke_key(self) -> None:
        await self.cell.wait_until(
            self._revocation_probe.is_accepted_everywhere,
            "the key is accepted everywhere",
        )
        team = replace(self._teams[-1], revoked=frozenset({TEMPORARY_KEY}))
        await self._operator.put(team.path, team.document())
        self._background.append(Deferred.fromCoroutine(self._revocation_probe.run()))
        await self.cell.wait_until(
            self._revocation_probe.is_refused_everywhere,
            "the revoked key is refused everywhere",
        )

    async def _collect_run_data(self) -> RunData:
        callers = self._callers
        return RunData(
            records=[record for caller in callers for record in caller.records],
            windows=self._fault_injector.windows,
            execution_count_by_id=await self._control.execution_count_by_id(),
            work_ms=WORK_MS,
            breaches=await self._control.breaches(),
            task_runs=await self._control.task_runs(),
            revocation=self._revocation(),
            jobs=[job.end() for job in self._jobs],
            work_after_leaving=self._fault_injector.work_after_leaving,
            failed_steps=self._failed_steps,
        )

    def _revocation(self) -> Revocation | None:
        if any(StepName.REVOKE_KEY in track for track in self._options.tracks):
            return self._revocation_probe.result()
        return None

    def _plan_callers(self) -> list[Caller]:
        pairs = [(team, queue) for team in self._teams for queue in self._queues]
        requests_per_caller, remainder = divmod(self._options.requests, len(pairs))
        return [
            Caller(
                Load(
                    name=f"{team.id}-{queue}",
                    team_id=team.id,
                    key=team.keys[MAIN_KEY],
                    queue=queue,
                    requests=requests_per_caller + (number < remainder),
                    seconds=self._options.load_seconds,
                ),
                self.cell.http,
                self.cell.balancer,
                is_own_response,
                self._new_rng(),
            )
            for number, (team, queue) in enumerate(pairs)
        ]

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))
