"""A simulated pool whose holders call workers over connections, with their own client.

Workers crash, restart under their ids and are cut off; holders are killed or suspended.
What a holder has written still arrives after that.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import orjson

from tamarackmount.ids import Epoch, Instant, JobId
from tamarackmount.node.start_orders import ORDER_TIMEOUT_S, StartOrders
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.http import HttpClient
from tamarackmount.platform.workers import PollRequest, WorkerCalls
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import PollWorker, StopRun
from tamarackmount.scheduling.domain.model import JobPhase, StepSpec
from tamarackmount.scheduling.domain.worker_reports import OrderReply, StartOrder
from tamarackmount.scheduling.membership.holder_authority import (
    HolderAuthority,
    holder_authority,
)
from tamarackmount.scheduling.membership.holder_watch import (
    FORMER_ORDERS_LIMIT_S,
    MIN_FORMER_HOLDER_GRACE_S,
)
from tests.utils.build_scheduling import START, SchedulerHarness
from tests.utils.build_takeover import build_job_index, build_next_holder
from tests.utils.connected_workers import ConnectedWorkers
from tests.utils.restarting_pool import FORMER_CLOCK_S, POLL_MARGIN_S, Life, Machine
from tests.utils.worker_network import STEP_S, Connection, HolderReactor, WorkerNetwork

CEILING = Resources(1_000_000, 1_000_000, 0)


class Holder:
    """A holder's process: its scheduler, and its calls to workers."""

    def __init__(
        self, pool: "ConnectedPool", harness: SchedulerHarness, epoch: Epoch
    ) -> None:
        """Call workers over the pool's network."""
        self.harness = harness
        self.reactor = HolderReactor(pool.network)
        self.frozen_until = 0.0
        self.last_heartbeat_at = pool.now
        self.is_stopped = False
        self._pool = pool
        self._epoch = epoch
        self._calls = WorkerCalls(HttpClient(self.reactor))
        self._orders = StartOrders(
            self._calls, epoch, self._may_send, self._start_answered
        )

    def step(self) -> None:
        """Run until now, unless the process is suspended."""
        if self.reactor.is_killed or self._pool.now < self.frozen_until:
            return
        harness = self.harness
        harness.now = self._pool.now
        self.reactor.catch_up()
        if self.is_stopped:
            return
        if self._pool.holder is self:
            self.last_heartbeat_at = self._pool.now
        self._update_authority()
        harness.tick()
        self._send()

    def _send(self) -> None:
        harness = self.harness
        for abort in harness.aborts:
            self._calls.abort_calls(abort.address)
        polls, harness.polls = harness.polls, []
        starts, harness.starts = harness.starts, []
        stops, harness.stops = harness.stops, []
        harness.aborts.clear()
        for poll in polls:
            spawn(self._poll(poll))
        for start in starts:
            self._orders.send(start)
        for stop in stops:
            spawn(self._stop(stop))

    async def _poll(self, effect: PollWorker) -> None:
        sent = self._pool.now
        request = PollRequest(
            self._epoch, effect.ack_cursor, effect.lease_end_clock_ms, effect.wait_ms
        )
        answer = await self._calls.poll(
            effect.address,
            effect.incarnation,
            request,
            Instant(sent + effect.wait_ms / 1_000 + POLL_MARGIN_S),
            lambda: not self.is_stopped and self.harness.scheduler.may_poll(effect),
        )
        if not self.is_stopped:
            self.harness.scheduler.poll_answered(
                effect.incarnation,
                answer,
                sent,
                self._pool.now,
                is_extra=effect.is_extra,
            )

    async def _stop(self, effect: StopRun) -> None:
        result = await self._calls.stop(
            effect.address,
            effect.incarnation,
            effect.task,
            effect.run_number,
            self._epoch,
            Instant(self._pool.now + ORDER_TIMEOUT_S),
        )
        if not self.is_stopped:
            self.harness.scheduler.stop_answered(
                effect.incarnation,
                effect.task,
                effect.run_number,
                result,
                self._pool.now,
            )

    def _start_answered(self, order: StartOrder, reply: OrderReply) -> None:
        if not self.is_stopped:
            self.harness.scheduler.start_answered(
                order.incarnation,
                order.task,
                order.run_number,
                reply.result,
                self._pool.now,
                clock_ms=reply.clock_ms,
            )

    def _may_send(self, order: StartOrder) -> bool:
        self._update_authority()
        return not self.is_stopped and self.harness.scheduler.may_send(order)

    def _update_authority(self) -> None:
        authority = holder_authority(self._pool.now - self.last_heartbeat_at, 0, ())
        if self.harness.scheduler._state.superseded:
            authority = HolderAuthority.NONE
        self.harness.scheduler.set_authority(authority)
        self.is_stopped = authority is HolderAuthority.NONE


@dataclass(slots=True)
class Counts:
    """What has happened."""

    restarts: int = 0
    cuts: int = 0
    kills: int = 0
    freezes: int = 0


class ConnectedPool:
    """Workers, holders and a network in virtual time."""

    def __init__(self, workers: int, work_s: Callable[[], float], rng: Random) -> None:
        """Begin with workers that have been there for a while."""
        self.now = START
        self.counts = Counts()
        self.machines: dict[str, Machine] = {
            name: Machine(name, Life(1, START - FORMER_CLOCK_S))
            for name in (f"w{number}" for number in range(workers))
        }
        self._specs: dict[JobId, tuple[StepSpec, ...]] = {}
        self.workers = ConnectedWorkers(self.machines, self._specs, work_s, rng)
        self.network = WorkerNetwork(self.now, dict(self.machines), self._arrive)
        self._epoch = Epoch(7)
        self._former: list[Holder] = []
        self._jobs: list[AcceptedJob] = []
        self._cancelled: list[JobId] = []
        self.holder = Holder(self, SchedulerHarness(ceiling=CEILING), self._epoch)
        self._register()

    @property
    def violations(self) -> list[str]:
        """What must not happen, and did."""
        return self.workers.violations

    def submit(self, accepted: AcceptedJob) -> None:
        """Submit a job."""
        self._jobs.append(accepted)
        self._specs[accepted.job_id] = accepted.spec.steps
        self.holder.harness.submit_job(accepted)

    def cancel(self, accepted: AcceptedJob) -> None:
        """Cancel a job."""
        self._cancelled.append(accepted.job_id)
        harness = self.holder.harness
        harness.scheduler.cancel_job(accepted.job_id, self.now, harness.unix_ms)

    def restart(
        self, name: str, down_s: float, registered_after_s: float, resets: bool
    ) -> None:
        """Let a worker crash, and be back under its id as the next incarnation.

        Connections that it does not reset go silent.
        """
        machine = self.machines[name]
        back_at = self.now + down_s
        if resets:
            self.network.reset_connections(machine.life)
        born = int(self.holder.harness.unix_ms + down_s * 1_000)
        machine.life = Life(born, back_at)
        machine.down_until = back_at
        machine.registered_at = back_at + registered_after_s
        machine.is_registered = False
        self.counts.restarts += 1

    def cut(self, name: str, for_s: float) -> None:
        """Cut a worker off from holders and from the store."""
        machine = self.machines[name]
        machine.cut_until = self.now + for_s
        machine.registered_at = max(machine.registered_at, machine.cut_until)
        self.counts.cuts += 1

    def kill_holder(self, vacant_s: float = 1.0) -> None:
        """Kill the holder; another one takes over later."""
        self.network.kill(self.holder.reactor)
        self.counts.kills += 1
        ends_at = self.now
        self.run(vacant_s)
        self._take_over(ends_at)

    def freeze_holder(self, for_s: float, vacant_s: float = 1.0) -> None:
        """Suspend the holder's process; another one takes over meanwhile."""
        holder = self.holder
        holder.frozen_until = self.now + for_s
        self.counts.freezes += 1
        self.run(vacant_s)
        limit = holder.last_heartbeat_at + FORMER_ORDERS_LIMIT_S
        self._former.append(holder)
        self._take_over(max(limit, self.now + MIN_FORMER_HOLDER_GRACE_S))

    def phase(self, accepted: AcceptedJob) -> JobPhase | None:
        """Return the phase that callers are told."""
        harness = self.holder.harness
        index = build_job_index(self._jobs, harness.records)
        job_id = accepted.job_id
        return harness.scheduler.phase(job_id) or index.phase(job_id)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.run_until(lambda: False, seconds)

    def run_until(self, is_met: Callable[[], bool], limit_s: float) -> None:
        """Let time pass until a condition is met, or up to a limit."""
        end = self.now + limit_s
        while self.now < end and not is_met():
            self._step()

    def has_runs(self, name: str) -> bool:
        """Tell whether a worker that is up runs anything."""
        machine = self.machines[name]
        return self.now >= machine.down_until and bool(machine.life.work_by_run)

    def _step(self) -> None:
        self.now = Instant(self.now + STEP_S)
        self.network.now = self.now
        self.workers.advance(self.now)
        for machine in self.machines.values():
            if not machine.is_registered and self.now >= machine.registered_at:
                machine.is_registered = True
                self._register()
        self.network.step()
        self.holder.step()
        for former in self._former:
            former.step()

    def _take_over(self, former_orders_end_at: float) -> None:
        former = self.holder.harness
        former.is_store_healthy = False
        index = build_job_index(self._jobs, former.records)
        former.now = self.now
        grace_s = max(0.0, former_orders_end_at - self.now)
        harness = build_next_holder(former, index, grace_s, ceiling=CEILING)
        harness.records.update(former.records)
        self._epoch = Epoch(self._epoch + 1)
        self.holder = Holder(self, harness, self._epoch)
        for job_id in self._cancelled:
            harness.scheduler.cancel_job(job_id, self.now, harness.unix_ms)
        self._register()

    def _register(self) -> None:
        entries = [
            machine.entry for machine in self.machines.values() if machine.is_registered
        ]
        self.holder.harness.scheduler.set_registered_workers(entries, self.now)

    def _arrive(self, name: str, request: bytes, connection: Connection) -> None:
        machine = self.machines[name]

        def respond(status: int, body: dict[str, Any]) -> None:
            self._respond(machine, connection, status, orjson.dumps(body))

        self.workers.handle(name, request, respond)

    def _respond(
        self, machine: Machine, connection: Connection, status: int, body: bytes
    ) -> None:
        if machine.life is connection.life and machine.is_reached(self.now):
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.respond(head.encode() + body)
