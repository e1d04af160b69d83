"""Workers over HTTP: leases, tokens, runs and ends as the platform's page says."""

import random
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from tamarackmount.resources import NOTHING, Resources
from tests.soak.ledger import Ledger, SoakRun, TaskName
from tests.soak.store_server import StoreServer

MAX_LEASE_MS = 10_000
STOP_S = 0.1
POLL_S = 0.02
HEARTBEAT_S = 0.5
CAPACITY = Resources(16_000, 64_000, 0)
LEAST_WORK_S = 0.1
MOST_WORK_S = 1.0


@dataclass(slots=True)
class _Active:
    run: SoakRun
    ends_at: float
    how: str


@dataclass(slots=True)
class _Life:
    """What a worker knows, from its start to its crash."""

    born_unix_ms: int
    token: int = 0
    lease_ends_ms: int = 0
    by_task: dict[TaskName, _Active] = field(default_factory=dict)
    ended: list[tuple[int, SoakRun, str]] = field(default_factory=list)
    last_end: int = 0
    highest_run: dict[TaskName, int] = field(default_factory=dict)


@dataclass(slots=True)
class WorkerFaults:
    """Faults of a worker.

    ``factor`` slows work down, ``fails`` makes all of it fail, ``lost`` is the part of
    orders that get no answer, and a worker that ``is_dark`` answers nothing.
    """

    factor: float = 1.0
    fails: bool = False
    lost: float = 0.0
    is_dark: bool = False


class WorkerServer(Resource):
    """One worker, registered in the store under its proxy's address."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, reactor: Any, name: str, store: StoreServer, ledger: Ledger, seed: int
    ) -> None:
        """Begin a first life."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._name = name
        self._store = store
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._sequence = 0
        self.faults = WorkerFaults()
        self.address = ""
        self.site: Any = Site(self)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self._life = self._born()
        self._handlers = {
            b"/api/run-start": self._start,
            b"/api/run-stop": self._stop,
            b"/api/hold": self._hold,
        }

    def begin(self, address: str) -> None:
        """Register under ``address``, and go on doing so."""
        self.address = address
        self._beat()

    def crash(self) -> None:
        """Lose everything, and be born again."""
        for active in self._life.by_task.values():
            self._ledger.ended(active.run)
        self._life = self._born()
        self._register()

    def settle(self) -> None:
        """End what is done, or everything once the lease is over."""
        life, now = self._life, self._reactor.seconds()
        for active in list(life.by_task.values()):
            if active.ends_at <= now:
                self._end(active, active.how)
        if life.by_task and self._clock_ms() > life.lease_ends_ms:
            for active in list(life.by_task.values()):
                self._end(active, "lapsed")

    def render(self, request: Any) -> int:
        """Answer one call, unless the worker is dark."""
        request.notifyFinish().addErrback(lambda _: None)
        if not self.faults.is_dark:
            self.settle()
            self._handlers[request.path](request, orjson.loads(request.content.read()))
        return NOT_DONE_YET

    def _born(self) -> _Life:
        return _Life(int(self._reactor.seconds() * 1_000))

    def _beat(self) -> None:
        if not self.faults.is_dark:
            self._register()
        self.settle()
        self._reactor.callLater(HEARTBEAT_S, self._beat)

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": "counter",
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._life.born_unix_ms,
            "labels": ["k", "r1"],
            "capacity": {
                "cpu": CAPACITY.millicores,
                "requestedMemoryMb": CAPACITY.memory_mib,
                "gpu": 0,
            },
        }
        self._store.put("keyed.servers", self._name, orjson.dumps(entry))

    def _clock_ms(self) -> int:
        return int(self._reactor.seconds() * 1_000) - self._life.born_unix_ms

    def _start(self, request: Any, body: dict[str, Any]) -> None:
        life = self._life
        task = _task(body["task"])
        refusal = self._refusal(task, body)
        if refusal != "fence":
            self._renew(body)
        if refusal:
            self._answer(request, 409, {"reason": refusal})
            return
        if task not in life.by_task:
            self._begin(task, body)
        if self._rng.random() >= self.faults.lost:
            self._answer(request, 200, {})

    def _refusal(self, task: TaskName, body: dict[str, Any]) -> str:
        life = self._life
        if body["fencingToken"] < life.token:
            return "fence"
        life.token = body["fencingToken"]
        active = life.by_task.get(task)
        if active is not None and active.run.number == body["run"]:
            return ""
        if body["run"] <= life.highest_run.get(task, 0):
            return "old"
        return "late" if body["untilMs"] <= self._clock_ms() else ""

    def _begin(self, task: TaskName, body: dict[str, Any]) -> None:
        run = SoakRun(task, body["run"], f"{self._name}@{self._life.born_unix_ms}")
        took_s = self._rng.uniform(LEAST_WORK_S, MOST_WORK_S) * self.faults.factor
        fails = self.faults.fails or self._rng.random() < 0.02
        now = self._reactor.seconds()
        how = "failed" if fails else "done"
        self._life.by_task[task] = _Active(run, now + took_s, how)
        self._life.highest_run[task] = run.number
        self._ledger.started(run, body["spec"], now)
        self._check_room()

    def _check_room(self) -> None:
        used = NOTHING
        for task in self._life.by_task:
            job = self._ledger.jobs_by_id.get(task[0])
            if job is not None:
                used = used + job.steps[task[1]].amount
        if not used.fits_in(CAPACITY):
            self._ledger.breach("LIMIT", f"{self._name} runs {used}")

    def _stop(self, request: Any, body: dict[str, Any]) -> None:
        life = self._life
        task = _task(body["task"])
        if body["fencingToken"] < life.token:
            self._answer(request, 409, {"reason": "fence"})
            return
        life.token = body["fencingToken"]
        highest = life.highest_run.get(task, 0)
        life.highest_run[task] = max(highest, body["run"])
        active = life.by_task.get(task)
        if active is not None and active.run.number <= body["run"]:
            active.ends_at = min(active.ends_at, self._reactor.seconds() + STOP_S)
            active.how = "stopped"
        if self._rng.random() >= self.faults.lost:
            self._answer(request, 200, {})

    def _hold(self, request: Any, body: dict[str, Any]) -> None:
        life = self._life
        if body["fencingToken"] < life.token:
            self._answer(request, 409, {"reason": "fence"})
            return
        life.token = body["fencingToken"]
        self._renew(body)
        for number, run, how in life.ended:
            if number <= body["ackCursor"]:
                self._ledger.noted(run, how)
        life.ended = [row for row in life.ended if row[0] > body["ackCursor"]]
        until = self._reactor.seconds() + body.get("waitMs", 0) / 1_000
        self._answer_hold(request, life, until)

    def _answer_hold(self, request: Any, life: _Life, until: float) -> None:
        self.settle()
        if life is not self._life:
            return
        if not life.ended and self._reactor.seconds() < until:
            self._reactor.callLater(POLL_S, self._answer_hold, request, life, until)
            return
        running = [
            [_name(task), active.run.number, "", 50, 0]
            for task, active in life.by_task.items()
        ]
        ended = [
            [number, _name(run.task), run.number, how, ""]
            for number, run, how in life.ended
        ]
        self._answer(request, 200, {"running": running, "ended": ended})

    def _renew(self, body: dict[str, Any]) -> None:
        most = self._clock_ms() + MAX_LEASE_MS
        until = min(body.get("untilMs", 0), most)
        self._life.lease_ends_ms = max(self._life.lease_ends_ms, until)

    def _end(self, active: _Active, how: str) -> None:
        life = self._life
        del life.by_task[active.run.task]
        life.last_end += 1
        life.ended.append((life.last_end, active.run, how))
        if how == "done":
            self._ledger.listed_done.add(active.run.task)
        self._ledger.ended(active.run)

    def _answer(self, request: Any, status: int, body: dict[str, Any]) -> None:
        if getattr(request, "_disconnected", False) or request.channel is None:
            return
        clock = {"clockMs": self._clock_ms(), "born": self._life.born_unix_ms}
        request.setResponseCode(status)
        request.write(orjson.dumps({**clock, **body}))
        request.finish()


def _task(name: str) -> TaskName:
    job_id, _occurrence, step, index = name.split(".")
    return job_id, int(step), int(index)


def _name(task: TaskName) -> str:
    return f"{task[0]}.0.{task[1]}.{task[2]}"
