"""Simulated workers over HTTP.

They keep leases, fencing tokens, runs and ends as the platform's interface specifies,
and report starts and ends to the invariant checker.
"""

import random
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from tamarackmount.resources import NOTHING, Resources
from tests.soak.invariants import InvariantChecker, SoakRun, TaskKey
from tests.soak.store_server import StoreServer

MAX_LEASE_MS = 10_000
STOP_DELAY_S = 0.1
POLL_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.5
CAPACITY = Resources(16_000, 64_000, 0)
MAX_LISTED_ENDS = 500
"""Number of ends that one report lists at most."""

COUNTED_LATER_S = 3.5
"""Time after which a shrunk capacity counts, in seconds: ``contactMs`` and a beat."""

MIN_DOWNTIME_S = 0.5
MAX_DOWNTIME_S = 4.0
MIN_WORK_S = 0.1
MAX_WORK_S = 1.0


@dataclass(slots=True)
class _ActiveRun:
    run: SoakRun
    began_at: float
    ends_at: float
    outcome: str

    def progress_percent(self, now: float) -> int:
        """Return the part of its work that is done."""
        duration_s = self.ends_at - self.began_at
        return int(100 * min(1.0, (now - self.began_at) / duration_s))


@dataclass(slots=True)
class _Incarnation:
    """State of a worker, which a crash loses."""

    born_unix_ms: int
    fencing_token: int = 0
    lease_ends_ms: int = 0
    active_by_task: dict[TaskKey, _ActiveRun] = field(default_factory=dict)
    unacknowledged_ends: list[tuple[int, SoakRun, str]] = field(default_factory=list)
    last_end_number: int = 0
    highest_run_by_task: dict[TaskKey, int] = field(default_factory=dict)


@dataclass(slots=True)
class WorkerFaults:
    """Faults of a worker.

    ``slowdown`` multiplies the duration of work, ``lost_reply_fraction`` is the part of
    orders that are carried out but not answered, and a worker that ``is_dark`` neither
    answers nor registers. The ``capacity`` is what the worker registers.
    """

    slowdown: float = 1.0
    fails_all_work: bool = False
    lost_reply_fraction: float = 0.0
    is_dark: bool = False
    capacity: Resources = CAPACITY


class WorkerServer(Resource):
    """One worker, registered in the store under the address of its proxy."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        reactor: Any,
        name: str,
        zone: str,
        store: StoreServer,
        checker: InvariantChecker,
        seed: int,
    ) -> None:
        """Start as a new incarnation."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._name = name
        self._zone = zone
        self._store = store
        self._checker = checker
        self._rng = random.Random(seed)
        self._sequence = 0
        self.faults = WorkerFaults()
        self._is_down = False
        self._capacities: list[tuple[float, Resources]] = []
        self.address = ""
        self.site: Any = Site(self)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self._incarnation = self._new_incarnation()
        self._handlers = {
            b"/api/run-start": self._start,
            b"/api/run-stop": self._stop,
            b"/api/hold": self._poll,
        }

    def start_heartbeats(self, address: str) -> None:
        """Register under ``address``, now and at each heartbeat."""
        self.address = address
        self._heartbeat()

    def crash(self) -> None:
        """Lose all state and start as a new incarnation."""
        self._lose_state()
        self._register()

    def set_capacity(self, capacity: Resources) -> None:
        """Let the capacity shrink or grow, and register it at once."""
        self.faults.capacity = capacity
        if not (self.faults.is_dark or self._is_down):
            self._register()

    def _lose_state(self) -> None:
        active_by_task = self._incarnation.active_by_task
        self._checker.worker_crashed(active_by_task)
        for active in active_by_task.values():
            self._checker.run_ended(active.run)
        self._incarnation = self._new_incarnation()

    def _crash_under(self, run: SoakRun, incarnation: _Incarnation) -> None:
        """Crash if a deadly run goes on, and be back after some seconds."""
        active = incarnation.active_by_task.get(run.task)
        if incarnation is not self._incarnation or active is None or active.run != run:
            return
        self._lose_state()
        self._is_down = True
        downtime_s = self._rng.uniform(MIN_DOWNTIME_S, MAX_DOWNTIME_S)
        self._reactor.callLater(downtime_s, self._come_back)

    def _come_back(self) -> None:
        self._is_down = False
        self._incarnation = self._new_incarnation()
        if not self.faults.is_dark:
            self._register()

    def end_due_runs(self) -> None:
        """End finished runs, and all runs once the lease has expired."""
        incarnation, now = self._incarnation, self._reactor.seconds()
        for active in list(incarnation.active_by_task.values()):
            if active.ends_at <= now:
                self._end_run(active, active.outcome)
        if incarnation.active_by_task and self._clock_ms() > incarnation.lease_ends_ms:
            for active in list(incarnation.active_by_task.values()):
                self._end_run(active, "lapsed")

    def render(self, request: Any) -> int:
        """Answer one call, unless the worker is dark (see ``WorkerFaults``)."""
        request.notifyFinish().addErrback(lambda _: None)
        if self._is_down:
            request.transport.abortConnection()
        elif not self.faults.is_dark:
            self.end_due_runs()
            self._handlers[request.path](request, orjson.loads(request.content.read()))
        return NOT_DONE_YET

    def _new_incarnation(self) -> _Incarnation:
        return _Incarnation(int(self._reactor.seconds() * 1_000))

    def _heartbeat(self) -> None:
        if not (self.faults.is_dark or self._is_down):
            self._register()
        self.end_due_runs()
        self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _register(self) -> None:
        self._sequence += 1
        capacity = self.faults.capacity
        self._note_capacity(capacity)
        entry = {
            "service": "counter",
            "address": self.address,
            "zone": self._zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._incarnation.born_unix_ms,
            "labels": ["k", "r1"],
            "capacity": {
                "cpu": capacity.millicores,
                "requestedMemoryMb": capacity.memory_mib,
                "gpu": 0,
            },
        }
        self._store.put("keyed.servers", self._name, orjson.dumps(entry))

    def _clock_ms(self) -> int:
        return int(self._reactor.seconds() * 1_000) - self._incarnation.born_unix_ms

    def _start(self, request: Any, body: dict[str, Any]) -> None:
        incarnation = self._incarnation
        task = _parse_task(body["task"])
        refusal = self._refusal_reason(task, body)
        if refusal != "fence":
            self._renew_lease(body)
        if refusal:
            self._answer(request, 409, {"reason": refusal})
            return
        if task not in incarnation.active_by_task:
            self._start_run(task, body)
        if self._rng.random() >= self.faults.lost_reply_fraction:
            self._answer(request, 200, {})

    def _refusal_reason(self, task: TaskKey, body: dict[str, Any]) -> str:
        incarnation = self._incarnation
        if body["fencingToken"] < incarnation.fencing_token:
            return "fence"
        incarnation.fencing_token = body["fencingToken"]
        active = incarnation.active_by_task.get(task)
        if active is not None and active.run.number == body["run"]:
            return ""
        if body["run"] <= incarnation.highest_run_by_task.get(task, 0):
            return "old"
        return "late" if body["untilMs"] <= self._clock_ms() else ""

    def _start_run(self, task: TaskKey, body: dict[str, Any]) -> None:
        run = SoakRun(
            task, body["run"], f"{self._name}@{self._incarnation.born_unix_ms}"
        )
        work_s = self._rng.uniform(MIN_WORK_S, MAX_WORK_S) * self.faults.slowdown
        fails = self.faults.fails_all_work or self._rng.random() < 0.02
        now = self._reactor.seconds()
        outcome = "failed" if fails else "done"
        self._incarnation.active_by_task[task] = _ActiveRun(
            run, now, now + work_s, outcome
        )
        self._incarnation.highest_run_by_task[task] = run.number
        self._checker.run_started(run, body["spec"], now)
        self._checker.check_zone(run, self._zone, now)
        self._check_capacity()
        if self._checker.is_deadly(task):
            delay_s = self._rng.choice((0.01, 0.01, 0.3))
            self._reactor.callLater(delay_s, self._crash_under, run, self._incarnation)

    def _note_capacity(self, capacity: Resources) -> None:
        """Keep the capacities that were registered within ``COUNTED_LATER_S``."""
        now = self._reactor.seconds()
        if not self._capacities or self._capacities[-1][1] != capacity:
            self._capacities.append((now, capacity))
        while len(self._capacities) > 1 and (
            self._capacities[1][0] + COUNTED_LATER_S < now
        ):
            self._capacities.pop(0)

    def _check_capacity(self) -> None:
        usage = NOTHING
        for task in self._incarnation.active_by_task:
            job = self._checker.jobs_by_id.get(task[0])
            if job is not None:
                usage = usage + job.steps[task[1]].amount
        self._note_capacity(self.faults.capacity)
        if not any(usage.fits_in(capacity) for _, capacity in self._capacities):
            self._checker.report_violation(
                "LIMIT", f"{self._name} uses {usage} of {self._capacities}"
            )

    def _stop(self, request: Any, body: dict[str, Any]) -> None:
        incarnation = self._incarnation
        task = _parse_task(body["task"])
        if body["fencingToken"] < incarnation.fencing_token:
            self._answer(request, 409, {"reason": "fence"})
            return
        incarnation.fencing_token = body["fencingToken"]
        highest = incarnation.highest_run_by_task.get(task, 0)
        incarnation.highest_run_by_task[task] = max(highest, body["run"])
        active = incarnation.active_by_task.get(task)
        if active is not None and active.run.number <= body["run"]:
            active.ends_at = min(active.ends_at, self._reactor.seconds() + STOP_DELAY_S)
            active.outcome = "stopped"
        if self._rng.random() >= self.faults.lost_reply_fraction:
            self._answer(request, 200, {})

    def _poll(self, request: Any, body: dict[str, Any]) -> None:
        incarnation = self._incarnation
        if body["fencingToken"] < incarnation.fencing_token:
            self._answer(request, 409, {"reason": "fence"})
            return
        incarnation.fencing_token = body["fencingToken"]
        self._renew_lease(body)
        for number, run, outcome in incarnation.unacknowledged_ends:
            if number <= body["ackCursor"]:
                self._checker.end_acknowledged(run, outcome)
        incarnation.unacknowledged_ends = [
            end for end in incarnation.unacknowledged_ends if end[0] > body["ackCursor"]
        ]
        poll_ends_at = self._reactor.seconds() + body.get("waitMs", 0) / 1_000
        self._answer_poll(request, incarnation, poll_ends_at)

    def _answer_poll(
        self, request: Any, incarnation: _Incarnation, poll_ends_at: float
    ) -> None:
        self.end_due_runs()
        if incarnation is not self._incarnation:
            return
        if (
            not incarnation.unacknowledged_ends
            and self._reactor.seconds() < poll_ends_at
        ):
            self._reactor.callLater(
                POLL_INTERVAL_S, self._answer_poll, request, incarnation, poll_ends_at
            )
            return
        now = self._reactor.seconds()
        running = [
            [_task_name(task), active.run.number, "", active.progress_percent(now), 0]
            for task, active in incarnation.active_by_task.items()
        ]
        listed_ends = incarnation.unacknowledged_ends[:MAX_LISTED_ENDS]
        ended = [
            [number, _task_name(run.task), run.number, outcome, ""]
            for number, run, outcome in listed_ends
        ]
        self._answer(request, 200, {"running": running, "ended": ended})

    def _renew_lease(self, body: dict[str, Any]) -> None:
        max_lease_end_ms = self._clock_ms() + MAX_LEASE_MS
        lease_ends_ms = min(body.get("untilMs", 0), max_lease_end_ms)
        self._incarnation.lease_ends_ms = max(
            self._incarnation.lease_ends_ms, lease_ends_ms
        )

    def _end_run(self, active: _ActiveRun, outcome: str) -> None:
        incarnation = self._incarnation
        del incarnation.active_by_task[active.run.task]
        incarnation.last_end_number += 1
        incarnation.unacknowledged_ends.append(
            (incarnation.last_end_number, active.run, outcome)
        )
        if outcome == "done":
            self._checker.reported_done.add(active.run.task)
        self._checker.run_ended(active.run)

    def _answer(self, request: Any, status: int, body: dict[str, Any]) -> None:
        if getattr(request, "_disconnected", False) or request.channel is None:
            return
        clock = {"clockMs": self._clock_ms(), "born": self._incarnation.born_unix_ms}
        request.setResponseCode(status)
        request.write(orjson.dumps({**clock, **body}))
        request.finish()


def _parse_task(name: str) -> TaskKey:
    job_id, _occurrence, step, index = name.split(".")
    return job_id, int(step), int(index)


def _task_name(task: TaskKey) -> str:
    return f"{task[0]}.0.{task[1]}.{task[2]}"
