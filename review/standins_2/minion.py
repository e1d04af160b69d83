"""A minion over HTTP, as PROTOCOL describes it under "Running tasks".

The text of a job's ``spec`` is a JSON object that tells how long its tasks work:
``{"work_s": 0.5}``; tasks that last have ``{"work_s": null}``.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

MAX_HOLD_MS = 10_000
MAX_LISTED_ENDS = 500
POLL_STEP_S = 0.02
STOP_S = 0.1
HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3

Record = Callable[..., None]
Runs = Callable[["Minion", str, int, str], None]


@dataclass
class ActiveRun:
    """A run at work; ``ends_at`` is None for a task that lasts."""

    task: str
    number: int
    began_at: float
    ends_at: float | None
    how: str = "done"


@dataclass
class Life:
    """What a minion knows; a crash loses it."""

    born_unix_ms: int
    began_at: float
    token: int = 0
    until_ms: int = 0
    active_by_task: dict[str, ActiveRun] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end: int = 0
    highest_by_task: dict[str, int] = field(default_factory=dict)


class Minion(Resource):
    """One minion; ``on_start`` and ``on_end`` are told of its runs."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        reactor: Any,
        store: Any,
        name: str,
        entry: dict[str, Any],
        record: Record,
        on_start: Runs,
        on_end: Runs,
    ) -> None:
        """Listen on a free port of the loopback address."""
        super().__init__()
        self._reactor = reactor
        self._store = store
        self.name = name
        self._entry = entry
        self._labels_since = [(0.0, entry["labels"])]
        self._record = record
        self._on_start = on_start
        self._on_end = on_end
        self._sequence = 0
        self.is_down = False
        self.is_dark = False
        self.is_unhealthy = False
        self.ends_by_how: dict[str, int] = {}
        self.noted_at_by_task: dict[str, float] = {}
        site: Any = Site(self)
        site.noisy = False
        self._site = site
        self._channels: list[Any] = []
        self._stale_channels: list[Any] = []
        build = site.buildProtocol
        site.buildProtocol = lambda address: self._keep(build(address))
        self._port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._port_number = self._port.getHost().port
        self.life = self._new_life()
        self._handlers = {
            "/api/run-start": self._start,
            "/api/run-stop": self._stop,
            "/api/hold": self._hold,
        }

    def begin(self) -> None:
        """Register now and at each heartbeat."""
        if not (self.is_down or self.is_dark):
            self._register()
        self.settle()
        self._reactor.callLater(HEARTBEAT_S, self.begin)

    def set_labels(self, labels: list[str]) -> None:
        """Be of another kind from now on; a minion changes it while it is dark."""
        self._entry = {**self._entry, "labels": labels}
        self._labels_since.append((self._reactor.seconds(), labels))
        if not (self.is_dark or self.is_down):
            self._register()

    def labels_at(self, at: float) -> list[str]:
        """Return the labels that it had at some moment."""
        return next(row[1] for row in reversed(self._labels_since) if row[0] <= at)

    def crash(self, down_s: float) -> None:
        """Lose everything and be back as a new life after ``down_s``."""
        self._record("minion crashes", minion=self.name, runs=self.running())
        for run in list(self.life.active_by_task.values()):
            self._on_end(self, run.task, run.number, "crashed")
        self.life = self._new_life()
        self.is_down = True
        self._port.stopListening()
        for channel in self._channels:
            transport = getattr(channel, "_channel", channel).transport
            if transport is not None:
                transport.abortConnection()
        self._channels.clear()
        self._reactor.callLater(HEARTBEAT_S * MISSED_HEARTBEATS, self._expire)
        self._reactor.callLater(down_s, self._come_back)

    def _keep(self, channel: Any) -> Any:
        self._channels.append(channel)
        return channel

    def go_dark(self, dark_s: float, registers_at_once: bool = True) -> None:
        """Lose everything without a word, and be back as a new life.

        Unless it ``registers_at_once``, it registers with its next heartbeat.
        """
        self._record("minion goes dark", minion=self.name, for_s=dark_s)
        for run in list(self.life.active_by_task.values()):
            self._on_end(self, run.task, run.number, "crashed")
        self.life = self._new_life()
        self.is_dark = True
        self._reactor.callLater(dark_s, self._light_up, registers_at_once)

    def _light_up(self, registers_at_once: bool) -> None:
        """Come back: the connections of before are reset once something comes there."""
        self.is_dark = False
        self._stale_channels = self._channels
        self._channels = []
        self.life = self._new_life()
        self._record("minion is back", minion=self.name)
        if registers_at_once:
            self._register()

    def _is_stale(self, request: Any) -> bool:
        return any(
            getattr(channel, "_channel", channel) is request.channel
            for channel in self._stale_channels
        )

    def running(self) -> list[str]:
        """Return the names and numbers of the runs at work."""
        runs = self.life.active_by_task.values()
        return [f"{run.task}#{run.number}" for run in runs]

    def _expire(self) -> None:
        if self.is_down:
            self._store.put("keyed.servers", self.name, b"")

    def _come_back(self) -> None:
        self._port = self._reactor.listenTCP(
            self._port_number, self._site, interface="127.0.0.1"
        )
        self.is_down = False
        self.life = self._new_life()
        self._record("minion is back", minion=self.name)
        self._register()

    def _new_life(self) -> Life:
        return Life(int(time.time() * 1_000), self._reactor.seconds())

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "address": f"127.0.0.1:{self._port_number}",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.life.born_unix_ms,
            **self._entry,
        }
        self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def _clock_ms(self) -> int:
        return int((self._reactor.seconds() - self.life.began_at) * 1_000)

    def settle(self) -> None:
        """End the runs that are due, and all once the lease has lapsed."""
        now = self._reactor.seconds()
        lapsed = self._clock_ms() > self.life.until_ms
        for run in list(self.life.active_by_task.values()):
            if run.ends_at is not None and run.ends_at <= now:
                self._end(run, run.how)
            elif lapsed:
                self._end(run, "lapsed")

    def _end(self, run: ActiveRun, how: str) -> None:
        life = self.life
        del life.active_by_task[run.task]
        life.last_end += 1
        life.ended.append([life.last_end, run.task, run.number, how, ""])
        self.ends_by_how[how] = self.ends_by_how.get(how, 0) + 1
        self._on_end(self, run.task, run.number, how)

    def render(self, request: Any) -> int:
        """Answer one call."""
        request.notifyFinish().addErrback(lambda _: None)
        if self.is_down or self._is_stale(request):
            request.transport.abortConnection()
            return NOT_DONE_YET
        if self.is_dark:
            return NOT_DONE_YET
        self.settle()
        path = request.path.decode()
        if path == "/health":
            self._answer(request, 503 if self.is_unhealthy else 200, {})
            return NOT_DONE_YET
        expected = request.getHeader("expect-instance")
        if expected not in (None, self.name):
            self._answer(request, 421, {})
            return NOT_DONE_YET
        self._handlers[path](request, json.loads(request.content.read()))
        return NOT_DONE_YET

    def _is_fenced(self, request: Any, body: dict[str, Any]) -> bool:
        token = body.get("fencingToken", 0)
        if token < self.life.token:
            self._answer(request, 409, {"reason": "fence"})
            return True
        self.life.token = token
        return False

    def _renew(self, body: dict[str, Any]) -> None:
        limit = self._clock_ms() + MAX_HOLD_MS
        until = min(body.get("untilMs", 0), limit)
        self.life.until_ms = max(self.life.until_ms, until)

    def _start(self, request: Any, body: dict[str, Any]) -> None:
        task, number, life = body["task"], body["run"], self.life
        if self.is_unhealthy:
            self._answer(request, 503, {})
            return
        if self._is_fenced(request, body):
            return
        active = life.active_by_task.get(task)
        if active is not None and active.number == number:
            self._renew(body)
            self._answer(request, 200, {})
            return
        if number <= life.highest_by_task.get(task, 0):
            self._renew(body)
            self._answer(request, 409, {"reason": "old"})
            return
        if body["untilMs"] <= self._clock_ms():
            self._answer(request, 409, {"reason": "late"})
            return
        self._renew(body)
        now = self._reactor.seconds()
        work_s = json.loads(body["spec"])["work_s"]
        ends_at = None if work_s is None else now + work_s
        life.active_by_task[task] = ActiveRun(task, number, now, ends_at)
        if work_s is not None:
            self._reactor.callLater(work_s, self.settle)
        life.highest_by_task[task] = number
        self._on_start(self, task, number, body["spec"])
        self._answer(request, 200, {})

    def _stop(self, request: Any, body: dict[str, Any]) -> None:
        if self._is_fenced(request, body):
            return
        task, number, life = body["task"], body["run"], self.life
        life.highest_by_task[task] = max(life.highest_by_task.get(task, 0), number)
        run = life.active_by_task.get(task)
        if run is not None and run.number <= number:
            due = self._reactor.seconds() + STOP_S
            run.ends_at = due if run.ends_at is None else min(run.ends_at, due)
            run.how = "stopped"
            self._reactor.callLater(STOP_S, self.settle)
        self._answer(request, 200, {})

    def _hold(self, request: Any, body: dict[str, Any]) -> None:
        if self._is_fenced(request, body):
            return
        if "untilMs" in body:
            self._renew(body)
        cursor, life = body["ackCursor"], self.life
        for end, task, number, how, _ in life.ended:
            if end <= cursor and how == "done":
                self.noted_at_by_task[task] = self._reactor.seconds()
                self._record(
                    "end is taken note of",
                    minion=self.name,
                    end=end,
                    task=task,
                    run=number,
                    cursor=cursor,
                )
        life.ended = [end for end in life.ended if end[0] > cursor]
        wait_ends_at = self._reactor.seconds() + body.get("waitMs", 0) / 1_000
        self._answer_hold(request, life, wait_ends_at)

    def _answer_hold(self, request: Any, life: Life, wait_ends_at: float) -> None:
        if life is not self.life or self.is_down or self.is_dark:
            return
        self.settle()
        if not life.ended and self._reactor.seconds() < wait_ends_at:
            self._reactor.callLater(
                POLL_STEP_S, self._answer_hold, request, life, wait_ends_at
            )
            return
        running = [
            [run.task, run.number, "", self._percent(run), 0]
            for run in life.active_by_task.values()
        ]
        ended = life.ended[:MAX_LISTED_ENDS]
        self._answer(request, 200, {"running": running, "ended": ended})

    def _percent(self, run: ActiveRun) -> int:
        if run.ends_at is None:
            return 100
        length = max(0.001, run.ends_at - run.began_at)
        return min(99, int(100 * (self._reactor.seconds() - run.began_at) / length))

    def _answer(self, request: Any, status: int, body: dict[str, Any]) -> None:
        if getattr(request, "_disconnected", False) or request.channel is None:
            return
        clock = {"clockMs": self._clock_ms(), "born": self.life.born_unix_ms}
        request.setResponseCode(status)
        request.setHeader(b"instance-id", self.name.encode())
        request.setHeader(b"content-type", b"application/json")
        request.write(json.dumps({**clock, **body}).encode())
        request.finish()
