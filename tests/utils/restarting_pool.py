"""A simulated pool whose workers restart under their ids, and calls that come late.

A call reaches the incarnation that is there when it arrives, whichever it is meant for.
While a worker is down, calls to it are transmitted again until their deadline.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import (
    AbortCalls,
    PollWorker,
    StartRun,
    StopRun,
)
from tamarackmount.scheduling.domain.model import JobPhase, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    OrderResult,
    PollFailure,
    RunEnd,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)
from tests.utils.build_scheduling import (
    START,
    SchedulerHarness,
    incarnation,
    worker_entry,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

STEP_S = 0.05
ORDER_TIMEOUT_S = 0.2
POLL_MARGIN_S = 0.2
MAX_LEASE_MS = 10_000
CLOCK_RATE = 0.98
REGISTRATION_EXPIRY_S = 4.5
FORMER_CLOCK_S = 40.0
"""Age of the first incarnations when the simulation begins, in seconds."""

Order = StartRun | StopRun


@dataclass(frozen=True, slots=True)
class Work:
    """When a run began, and when its work ends."""

    began_at: float
    ends_at: float

    def percent(self, now: float) -> int:
        """Return how much of the work is done, in percent."""
        return int(100 * (now - self.began_at) / (self.ends_at - self.began_at))


@dataclass(slots=True)
class Life:
    """What one incarnation of a worker knows; a crash loses it."""

    born_unix_ms: int
    began_at: float
    lease_until_ms: float = 0.0
    fencing_token: int = 0
    work_by_run: dict[tuple[TaskKey, int], Work] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_number: int = 0
    highest_by_task: dict[TaskKey, int] = field(default_factory=dict)

    def clock_ms(self, now: float) -> int:
        """Return a reading of the worker's clock."""
        return int((now - self.began_at) * 1_000 * CLOCK_RATE)

    def end(self, key: tuple[TaskKey, int], outcome: RunEnd) -> None:
        """End a run."""
        del self.work_by_run[key]
        self.end_number += 1
        self.ended.append(EndedRun(self.end_number, *key, outcome, ""))


@dataclass(slots=True)
class Machine:
    """A worker's machine: its incarnation, and whether calls reach it."""

    name: str
    life: Life
    down_until: float = 0.0
    cut_until: float = 0.0
    registered_at: float = 0.0
    is_registered: bool = True

    def is_reached(self, now: float) -> bool:
        """Tell whether a call arrives now."""
        return now >= self.down_until and now >= self.cut_until

    @property
    def entry(self) -> WorkerEntry:
        """The registration of the incarnation."""
        life = incarnation(self.name, self.life.born_unix_ms)
        return worker_entry(self.name, cores=8, incarnation=life)


@dataclass(slots=True)
class Call:
    """A call that has not been answered; a poll waits until ``answers_at``."""

    effect: PollWorker | Order
    sent: Instant
    deadline: float
    holder: SchedulerHarness
    life: Life | None = None
    answers_at: float = 0.0

    @property
    def where(self) -> WorkerIncarnation:
        """The incarnation that the call is meant for."""
        effect = self.effect
        return (
            effect.order.incarnation
            if isinstance(effect, StartRun)
            else (effect.incarnation)
        )


class RestartingPool:
    """Workers, calls and a holder in virtual time; ``violations`` must stay empty."""

    def __init__(self, workers: int, work_s: Callable[[], float]) -> None:
        """Begin with workers that have been there for a while."""
        self.harness = SchedulerHarness()
        self.machines = {
            f"w{number}": Machine(f"w{number}", Life(1, START - FORMER_CLOCK_S))
            for number in range(workers)
        }
        self.violations: list[str] = []
        self.restarts = 0
        self.cuts = 0
        self._work_s = work_s
        self._calls: list[Call] = []
        self._noted: set[TaskKey] = set()
        self._jobs: list[AcceptedJob] = []
        self._register()

    @property
    def now(self) -> Instant:
        """The virtual time."""
        return self.harness.now

    def submit(self, accepted: AcceptedJob) -> None:
        """Submit a job."""
        self._jobs.append(accepted)
        self.harness.submit_job(accepted)

    def restart(self, name: str, down_s: float, registered_after_s: float) -> None:
        """Let a worker crash, and be back under its id as the next incarnation."""
        machine = self.machines[name]
        back_at = self.now + down_s
        machine.life = Life(int(self.harness.unix_ms + down_s * 1_000), back_at)
        machine.down_until = back_at
        machine.registered_at = back_at + registered_after_s
        machine.is_registered = False
        self.restarts += 1

    def cut(self, name: str, for_s: float) -> None:
        """Cut a worker off from the holder and from the store."""
        machine = self.machines[name]
        machine.cut_until = self.now + for_s
        machine.registered_at = max(machine.registered_at, machine.cut_until)
        self.cuts += 1

    def kill_holder(self) -> None:
        """Replace the holder by one that knows what the store holds."""
        former = self.harness
        index = build_job_index(self._jobs, former.records)
        self.harness = build_next_holder(former, index)
        self.harness.records.update(former.records)
        self._calls.clear()
        self._register()

    def phase(self, accepted: AcceptedJob) -> JobPhase | None:
        """Return the phase that callers are told."""
        index = build_job_index(self._jobs, self.harness.records)
        job_id = accepted.job_id
        return self.harness.scheduler.phase(job_id) or index.phase(job_id)

    def reserved(self) -> list[str]:
        """Return what the holder keeps reserved, be it on a worker or for a task."""
        state = self.harness.scheduler._state
        workers = state.workers_by_incarnation.values()
        return [
            *(
                f"{one.incarnation}: {one.used}"
                for one in workers
                if one.used != NOTHING
            ),
            *(
                f"{key}: {use}"
                for key, use in state.used_by_workspace.items()
                if use != NOTHING
            ),
            *map(str, state.orphaned_run_count_by_task),
        ]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self._step()

    def _step(self) -> None:
        self.harness.now = Instant(self.harness.now + STEP_S)
        for machine in self.machines.values():
            self._advance(machine)
        self._send()
        for call in list(self._calls):
            self._advance_call(call)
        self.harness.store_pending()
        self.harness.tick()

    def _advance(self, machine: Machine) -> None:
        life, now = machine.life, self.now
        has_lapsed = life.clock_ms(now) > life.lease_until_ms
        for key, work in list(life.work_by_run.items()):
            if work.ends_at <= now:
                life.end(key, RunEnd.DONE)
            elif has_lapsed:
                life.end(key, RunEnd.LEASE_EXPIRED)
        if not machine.is_registered and now >= machine.registered_at:
            machine.is_registered = True
            self._register()

    def _register(self) -> None:
        entries = [
            machine.entry for machine in self.machines.values() if machine.is_registered
        ]
        self.harness.scheduler.set_registered_workers(entries, self.now)

    def _send(self) -> None:
        """Send what the holder asks for; polls and orders ask for permission."""
        harness = self.harness
        polls, harness.polls = harness.polls, []
        starts, harness.starts = harness.starts, []
        stops, harness.stops = harness.stops, []
        for abort in harness.aborts:
            self._abort(abort)
        harness.aborts.clear()
        for poll in polls:
            wait_s = poll.wait_ms / 1_000 + POLL_MARGIN_S
            self._add_call(poll, wait_s, harness.scheduler.may_poll(poll))
        for start in starts:
            may_send = harness.scheduler.may_send(start.order)
            self._add_call(start, ORDER_TIMEOUT_S, may_send)
        for stop in stops:
            self._add_call(stop, ORDER_TIMEOUT_S, True)

    def _add_call(
        self, effect: PollWorker | Order, timeout_s: float, may_send: bool
    ) -> None:
        call = Call(effect, self.now, self.now + timeout_s, self.harness)
        if may_send:
            self._calls.append(call)
        else:
            self._fail(call, OrderResult.NOT_SENT)

    def _abort(self, abort: AbortCalls) -> None:
        for call in list(self._calls):
            address = worker_entry(call.where.worker_id).address
            if call.life is None and address == abort.address:
                self._calls.remove(call)
                self._fail(call, OrderResult.UNKNOWN)

    def _advance_call(self, call: Call) -> None:
        machine = self.machines[call.where.worker_id]
        if call.life is None and machine.is_reached(self.now):
            call.life = machine.life
            self._arrive(call, machine)
        elif isinstance(call.effect, PollWorker) and call.life is machine.life:
            self._answer_poll(call, call.effect, machine)
        if call in self._calls and self.now >= call.deadline:
            self._calls.remove(call)
            self._fail(call, OrderResult.UNKNOWN)

    def _arrive(self, call: Call, machine: Machine) -> None:
        effect = call.effect
        if isinstance(effect, PollWorker):
            self._renew(machine.life, effect.lease_end_clock_ms)
            self._acknowledge(machine.life, effect.ack_cursor)
            call.answers_at = self.now + effect.wait_ms / 1_000
            self._answer_poll(call, effect, machine)
            return
        self._calls.remove(call)
        if isinstance(effect, StopRun):
            self._stop(machine.life, effect)
            self._finish(call, OrderResult.DONE)
        else:
            result = self._start(machine, effect)
            self._finish(call, result, machine.life.clock_ms(self.now))

    def _renew(self, life: Life, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = life.clock_ms(self.now) + MAX_LEASE_MS
            life.lease_until_ms = max(life.lease_until_ms, min(until_ms, longest))

    def _acknowledge(self, life: Life, cursor: int) -> None:
        for end in life.ended:
            if end.end_number <= cursor and end.outcome is RunEnd.DONE:
                self._noted.add(end.task)
        life.ended = [end for end in life.ended if end.end_number > cursor]

    def _answer_poll(self, call: Call, poll: PollWorker, machine: Machine) -> None:
        life = machine.life
        may_answer = life.ended or self.now >= call.answers_at
        if not may_answer or not machine.is_reached(self.now):
            return
        running = tuple(
            RunningRun(task, number, "", work.percent(self.now))
            for (task, number), work in life.work_by_run.items()
        )
        report = WorkerReport(
            life.born_unix_ms, life.clock_ms(self.now), running, tuple(life.ended)
        )
        self._calls.remove(call)
        if call.holder is self.harness:
            call.holder.scheduler.poll_answered(
                poll.incarnation, report, call.sent, self.now, is_extra=poll.is_extra
            )

    def _start(self, machine: Machine, effect: StartRun) -> OrderResult:
        life, order = machine.life, effect.order
        key = (order.task, order.run_number)
        if key in life.work_by_run:
            return OrderResult.DONE
        if order.run_number <= life.highest_by_task.get(order.task, 0):
            self._renew(life, order.lease_end_clock_ms)
            return OrderResult.STALE_RUN
        if order.lease_end_clock_ms <= life.clock_ms(self.now):
            return OrderResult.LATE
        for other in self.machines.values():
            if any(task == order.task for task, _ in other.life.work_by_run):
                self.violations.append(f"{key} on {machine.name} beside {other.name}")
        if order.task in self._noted:
            self.violations.append(f"{key} on {machine.name} after it was done")
        self._renew(life, order.lease_end_clock_ms)
        life.work_by_run[key] = Work(self.now, self.now + self._work_s())
        life.highest_by_task[order.task] = order.run_number
        return OrderResult.DONE

    def _stop(self, life: Life, stop: StopRun) -> None:
        highest = life.highest_by_task.get(stop.task, 0)
        life.highest_by_task[stop.task] = max(highest, stop.run_number)
        for key in list(life.work_by_run):
            if key[0] == stop.task and key[1] <= stop.run_number:
                life.end(key, RunEnd.STOPPED)

    def _fail(self, call: Call, result: OrderResult) -> None:
        effect = call.effect
        if not isinstance(effect, PollWorker):
            self._finish(call, result)
        elif call.holder is self.harness:
            call.holder.scheduler.poll_answered(
                effect.incarnation,
                PollFailure.NO_ANSWER,
                call.sent,
                self.now,
                is_extra=effect.is_extra,
            )

    def _finish(
        self, call: Call, result: OrderResult, clock_ms: int | None = None
    ) -> None:
        if call.holder is not self.harness:
            return
        scheduler, effect = self.harness.scheduler, call.effect
        if isinstance(effect, StartRun):
            order = effect.order
            scheduler.start_answered(
                order.incarnation,
                order.task,
                order.run_number,
                result,
                self.now,
                clock_ms=clock_ms,
            )
        elif isinstance(effect, StopRun):
            scheduler.stop_answered(
                effect.incarnation, effect.task, effect.run_number, result, self.now
            )
