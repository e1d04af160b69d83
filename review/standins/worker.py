"""A minion over HTTP, as PROTOCOL.md describes it.

The text of a job (``spec``) is a JSON object that tells how its tasks behave:
``work_ms`` is how long a run takes, ``how`` is how it ends (``done`` if left out), and
``checkpoint`` is the length of its checkpoints, 0 if it makes none.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

HEARTBEAT_S = 1.5
TICK_S = 0.02


@dataclass(slots=True)
class Run:
    """A run of a task on one incarnation of a worker."""

    task: str
    number: int
    worker: str
    began_at: float
    ends_at: float
    how: str
    cpu: int
    checkpoint_length: int = 0
    stopping: bool = False

    def checkpoint(self, now: float) -> str:
        """Return the newest checkpoint; there is a new one with each second of work."""
        seconds = int(now - self.began_at)
        if not (self.checkpoint_length and seconds):
            return ""
        return f"{seconds:016x}".ljust(self.checkpoint_length, "0")


@dataclass(slots=True)
class Life:
    """What a worker forgets when it crashes."""

    born_ms: int
    began_at: float
    token: int = 0
    lease_ms: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    ended: list[tuple[int, Run, str]] = field(default_factory=list)
    last_end: int = 0
    highest: dict[str, int] = field(default_factory=dict)


class Worker(Resource):
    """One minion that starts whatever it is told to (``rejectsOverload`` false)."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        cell: Any,
        name: str,
        zone: str,
        cpu: int,
        stop_ms: int,
        max_hold_ms: int,
    ) -> None:
        """Start as a first incarnation; ``stop_ms`` is how long a stop takes."""
        super().__init__()
        self._cell = cell
        self._reactor = cell.reactor
        self.name = name
        self.zone = zone
        self.cpu = cpu
        self.stop_ms = stop_ms
        self.max_hold_ms = max_hold_ms
        self.address = ""
        self.kind = "a"
        self.is_down = False
        self.refuses_starts = False
        self.answers: Callable[[str, dict[str, Any]], bool] = lambda verb, body: True
        self.lapsed_at: list[float] = []
        self._has_lease = False
        self._sequence = 0
        self.life = self._new_life()
        self.site: Any = Site(self)
        self.site.noisy = False
        self._verbs = {
            b"/api/run-start": ("start", self._start),
            b"/api/run-stop": ("stop", self._stop),
            b"/api/hold": ("hold", self._hold),
        }

    def begin(self, address: str) -> None:
        """Register, and keep leases and ends up to date from now on."""
        self.address = address
        self._heartbeat()
        self._tick()

    def crash(self) -> None:
        """Crash: everything that runs ends, and nothing is told of it."""
        self.is_down = True
        for run in self.life.runs.values():
            self._cell.run_over(run, "crashed")
        self._cell.record("crash", worker=self.name)
        self.life = self._new_life()

    def come_back(self) -> None:
        """Start again under the same id, without any memory."""
        self.life = self._new_life()
        self.is_down = False
        self._cell.record("back", worker=self.name, born=self.life.born_ms)
        self._register()

    def _new_life(self) -> Life:
        return Life(self._cell.unix_ms(), self._reactor.seconds())

    def clock_ms(self) -> int:
        """Return the time on this incarnation's clock."""
        return int((self._reactor.seconds() - self.life.began_at) * 1_000)

    def _heartbeat(self) -> None:
        if not self.is_down:
            self._register()
        self._reactor.callLater(HEARTBEAT_S, self._heartbeat)

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": "orders",
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.life.born_ms,
            "labels": [self.kind, f"r-{self.zone}"],
            "capacity": {"cpu": self.cpu, "requestedMemoryMb": 65_536, "gpu": 0},
        }
        self._cell.store.put("keyed.servers", self.name, orjson.dumps(entry))

    def _tick(self) -> None:
        self._update()
        self._reactor.callLater(TICK_S, self._tick)

    def _update(self) -> None:
        now = self._reactor.seconds()
        for run in list(self.life.runs.values()):
            if run.ends_at <= now:
                self._end(run, run.how)
        has_lease = self.clock_ms() <= self.life.lease_ms
        if self._has_lease and not has_lease:
            self.lapsed_at.append(self._cell.now())
            self._cell.record("lease lapsed", worker=self.name)
        self._has_lease = has_lease
        if self.life.runs and not has_lease:
            for run in list(self.life.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        life = self.life
        del life.runs[run.task]
        life.last_end += 1
        life.ended.append((life.last_end, run, how))
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        self._cell.run_over(run, how)

    def render(self, request: Any) -> int:
        """Answer one call, unless the worker is down."""
        request.notifyFinish().addErrback(lambda _: None)
        if self.is_down:
            request.transport.abortConnection()
            return NOT_DONE_YET
        expected = request.getHeader("expect-instance")
        if expected and expected != self.name:
            self._answer(request, 421, {})
            return NOT_DONE_YET
        self._update()
        verb, handler = self._verbs[request.path]
        handler(request, orjson.loads(request.content.read()), verb)
        return NOT_DONE_YET

    def _takes(self, request: Any, body: dict[str, Any]) -> bool:
        """Keep the highest fencing token; refuse calls with a lower one."""
        token = body.get("fencingToken", 0)
        if token < self.life.token:
            self._answer(request, 409, {"reason": "fence"})
            return False
        self.life.token = token
        return True

    def _start(self, request: Any, body: dict[str, Any], verb: str) -> None:
        if not self._takes(request, body):
            return
        task, number = body["task"], body["run"]
        if self.refuses_starts:
            self._cell.record("start turned away", worker=self.name, task=task)
            self._answer(request, 503, {})
            return
        self._renew(body)
        running = self.life.runs.get(task)
        if running is not None and running.number == number:
            self._answer(request, 200, {})
            return
        if running is not None or number <= self.life.highest.get(task, 0):
            self._answer(request, 409, {"reason": "old"})
            return
        if body["untilMs"] <= self.clock_ms():
            self._answer(request, 409, {"reason": "late"})
            return
        plan = orjson.loads(body["spec"])
        now = self._reactor.seconds()
        ends_at = now + plan["work_ms"] / 1_000
        how = plan.get("how", "done")
        length = plan.get("checkpoint", 0)
        run = Run(task, number, self.name, now, ends_at, how, plan["cpu"], length)
        self.life.runs[task] = run
        self._cell.run_began(run, body)
        if self.answers(verb, body):
            self._answer(request, 200, {})

    def _stop(self, request: Any, body: dict[str, Any], verb: str) -> None:
        if not self._takes(request, body):
            return
        task, number = body["task"], body["run"]
        highest = self.life.highest.get(task, 0)
        self.life.highest[task] = max(highest, number)
        run = self.life.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            stops_at = self._reactor.seconds() + self.stop_ms / 1_000
            if stops_at < run.ends_at:
                run.ends_at, run.how = stops_at, "stopped"
            self._cell.record("stop", worker=self.name, task=task, run=number)
        if self.answers(verb, body):
            self._answer(request, 200, {})

    def _hold(self, request: Any, body: dict[str, Any], verb: str) -> None:
        if not self._takes(request, body):
            return
        self._renew(body)
        cursor = body["ackCursor"]
        for number, run, how in self.life.ended:
            if number <= cursor:
                self._cell.end_noted(run, how)
        self.life.ended = [row for row in self.life.ended if row[0] > cursor]
        answer_by = self._reactor.seconds() + body.get("waitMs", 0) / 1_000
        self._answer_hold(request, self.life, answer_by, body)

    def _answer_hold(
        self, request: Any, life: Life, answer_by: float, body: dict[str, Any]
    ) -> None:
        if life is not self.life or self.is_down:
            request.transport and request.transport.abortConnection()
            return
        if not life.ended and self._reactor.seconds() < answer_by:
            self._reactor.callLater(
                TICK_S, self._answer_hold, request, life, answer_by, body
            )
            return
        if not self.answers("hold", body):
            return
        now = self._reactor.seconds()
        running = [
            [
                run.task,
                run.number,
                run.checkpoint(now),
                self._percent(run, now),
                0,
            ]
            for run in life.runs.values()
        ]
        ended = [
            [number, run.task, run.number, how, run.checkpoint(now)]
            for number, run, how in life.ended[:500]
        ]
        self._answer(request, 200, {"running": running, "ended": ended})

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        whole = max(0.001, run.ends_at - run.began_at)
        return int(100 * min(1.0, (now - run.began_at) / whole))

    def _renew(self, body: dict[str, Any]) -> None:
        longest = self.clock_ms() + self.max_hold_ms
        asked = min(body.get("untilMs", 0), longest)
        self.life.lease_ms = max(self.life.lease_ms, asked)

    def _answer(self, request: Any, status: int, body: dict[str, Any]) -> None:
        if getattr(request, "_disconnected", False) or request.channel is None:
            return
        clock = {"clockMs": self.clock_ms(), "born": self.life.born_ms}
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        request.write(orjson.dumps({**clock, **body}))
        request.finish()
