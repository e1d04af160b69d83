"""Minions that run tasks, as the users' PROTOCOL page has them.

The text of a job says of each step how long its tasks take (``workMs``), whether they
last (``lasts``) or save their progress (``saves``), and how many are in a gang.
"""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from review.standins_3.store import Store
from review.standins_3.web import SILENCE, Answer, Request, WebServer, answer

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
STEP_S = 0.02
CHECKPOINT_MS = 1_000
MAX_LISTED_ENDS = 500
BEATS_UNTIL_REMOVED = 3

Record = Callable[..., None]


@dataclass
class Run:
    """One run of a task on a minion.

    ``worked_ms`` is the work that is done, also that before its checkpoint. A member
    of a gang has ``joined`` once all members of its run were present.
    """

    task: str
    number: int
    plan: dict[str, Any]
    started_at: float
    worked_ms: float = 0.0
    stops_at: float | None = None
    joined: bool = False

    @property
    def gang_key(self) -> tuple[str, int]:
        """The step and run that the members of a gang share."""
        return self.task.rpartition(".")[0], self.number


@dataclass
class Life:
    """What a minion knows in one incarnation."""

    worker_id: str
    born: int
    started_at: float
    fence: int = 0
    lease_ms: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        """Return the time on the minion's clock."""
        return int((time.monotonic() - self.started_at) * 1_000)


class Minion:
    """One minion: its address stays, and each start is a new incarnation."""

    def __init__(
        self, pool: "Pool", name: str, zone: str, rack: str, capacity: dict[str, int]
    ) -> None:
        """Prepare; nothing is served before :meth:`start`."""
        self.pool = pool
        self.name = name
        self.zone = zone
        self.labels = ["a", rack]
        self.capacity = capacity
        self.server = WebServer(self._handle)
        self.life: Life | None = None
        self.is_dark = False
        self._lives = 0
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a new incarnation under a new id, at the same address."""
        self._lives += 1
        self._sequence = 0
        now = time.monotonic()
        worker_id = f"i-{self.name}-{self._lives}"
        self.life = Life(worker_id, int(time.time() * 1_000), now)
        await self.server.start()
        self._beats = asyncio.create_task(self._beat(self.life))

    async def crash(self) -> None:
        """Lose everything; the entry goes after three silent intervals."""
        life, self.life = self.life, None
        if life is None:
            return
        await self.server.stop()
        if self._beats is not None:
            self._beats.cancel()
        lost = [f"{run.task}#{run.number}" for run in life.runs.values()]
        self.pool.crashes_by_task.update(run.task for run in life.runs.values())
        self.pool.record("minion crashes", worker=life.worker_id, lost=lost)
        asyncio.get_running_loop().call_later(
            BEATS_UNTIL_REMOVED * HEARTBEAT_S, self._remove_entry, life.worker_id
        )

    def _remove_entry(self, worker_id: str) -> None:
        self.pool.store.put("keyed.servers", worker_id, b"")

    async def _beat(self, life: Life) -> None:
        while True:
            if not self.is_dark:
                self._sequence += 1
                entry = {
                    "service": self.pool.service,
                    "address": self.server.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "capacity": self.capacity,
                    "labels": self.labels,
                    "clockMs": life.clock_ms(),
                    "sequence": self._sequence,
                    "born": life.born,
                }
                text = json.dumps(entry).encode()
                self.pool.store.put("keyed.servers", life.worker_id, text)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Request) -> Answer:
        life = self.life
        if life is None or self.is_dark:
            return SILENCE
        expected = request.headers.get("expect-instance", life.worker_id)
        if expected != life.worker_id:
            return self._answer(life, 421)
        body = request.json()
        if body.get("fencingToken", 0) < life.fence:
            return self._answer(life, 409, reason="fence")
        life.fence = body.get("fencingToken", 0)
        if request.path == "/api/run-start":
            return self._start_run(life, body)
        if request.path == "/api/run-stop":
            return self._stop_run(life, body)
        if request.path == "/api/hold":
            return await self._hold(life, body)
        return answer(404)

    def _answer(self, life: Life, status: int = 200, **fields: Any) -> Answer:
        return answer(status, clockMs=life.clock_ms(), born=life.born, **fields)

    def _renew(self, life: Life, body: dict[str, Any]) -> None:
        until = min(int(body.get("untilMs", 0)), life.clock_ms() + MAX_HOLD_MS)
        life.lease_ms = max(life.lease_ms, until)

    def _start_run(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        self._renew(life, body)
        if (task, number) in life.runs:
            return self._answer(life)
        if number <= life.highest.get(task, 0):
            return self._answer(life, 409, reason="old")
        if body["untilMs"] <= life.clock_ms():
            return self._answer(life, 409, reason="late")
        plan = json.loads(body["spec"])["steps"][int(task.split(".")[2])]
        run = Run(task, number, plan, time.monotonic())
        run.worked_ms = float(int(body.get("checkpoint") or "0", 16))
        life.runs[task, number] = run
        self.pool.record(
            "run starts",
            task=task,
            run=number,
            worker=life.worker_id,
            checkpoint=body.get("checkpoint", ""),
        )
        return self._answer(life)

    def _stop_run(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return self._answer(life)

    async def _hold(self, life: Life, body: dict[str, Any]) -> Answer:
        self._renew(life, body)
        cursor = body.get("ackCursor", 0)
        life.ended = [row for row in life.ended if row[0] > cursor]
        wait_s = body.get("waitMs", 0) / 1_000
        if wait_s and not life.ended:
            changed = life.changed
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_s)
        if self.life is not life or self.is_dark:
            return SILENCE
        running = [
            [run.task, run.number, _checkpoint(run), _percent(run), 0]
            for run in life.runs.values()
        ]
        return self._answer(life, running=running, ended=life.ended[:MAX_LISTED_ENDS])

    def end(self, life: Life, run: Run, how: str) -> None:
        """End a run and list its end."""
        del life.runs[run.task, run.number]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        life.last_end += 1
        life.ended.append([life.last_end, run.task, run.number, how, _checkpoint(run)])
        life.changed.set()
        life.changed = asyncio.Event()
        self.pool.run_ended(run.task, how)
        self.pool.record(
            "run ends", task=run.task, run=run.number, worker=life.worker_id, how=how
        )


class Pool:
    """All minions of one service, and the work of their tasks."""

    def __init__(self, store: Store, service: str, record: Record) -> None:
        """Begin without minions."""
        self.store = store
        self.service = service
        self.record = record
        self.minions: list[Minion] = []
        self._done: set[str] = set()
        self.crashes_by_task: Counter[str] = Counter()
        self.failed_ends_by_task: Counter[str] = Counter()

    def add(self, count: int, zones: list[str], capacity: dict[str, int]) -> None:
        """Add minions, one rack a zone."""
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f"{self.service}{number}"
            self.minions.append(Minion(self, name, zone, f"r-{zone}", dict(capacity)))

    def runs_of(self, job_id: str) -> list[str]:
        """Return the tasks of a job that run now."""
        return [run.task for _, _, run in self._rows() if job_id in run.task]

    def ages_of(self, job_id: str) -> list[float]:
        """Return for how long the runs of a job have been going on, in seconds."""
        now = time.monotonic()
        return [
            now - run.started_at for _, _, run in self._rows() if job_id in run.task
        ]

    def run_ended(self, task: str, how: str) -> None:
        """Keep the jobs that have a task which ended well, and count failures."""
        if how == "done":
            self._done.add(task.partition(".")[0])
        if how == "failed":
            self.failed_ends_by_task[task] += 1

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a task of a job has ended well."""
        return job_id in self._done

    def minion_with(self, task: str) -> Minion | None:
        """Return a minion that runs a task."""
        rows = ((minion, run) for minion, _, run in self._rows())
        return next((minion for minion, run in rows if run.task == task), None)

    def fail_runs_of(self, job_id: str) -> None:
        """End the runs of a job as failed, through their own fault."""
        for minion, life, run in self._rows():
            if job_id in run.task:
                minion.end(life, run, "failed")

    async def work(self) -> None:
        """Let the tasks work until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            self._advance((now - last) * 1_000, now)
            last = now

    def _rows(self) -> list[tuple[Minion, Life, Run]]:
        return [
            (minion, minion.life, run)
            for minion in self.minions
            if minion.life is not None
            for run in list(minion.life.runs.values())
        ]

    def _advance(self, passed_ms: float, now: float) -> None:
        for minion, life, run in self._rows():
            if life.clock_ms() > life.lease_ms:
                minion.end(life, run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                minion.end(life, run, "stopped")
        rows = self._rows()
        present: dict[tuple[str, int], set[str]] = {}
        for _, _, run in rows:
            present.setdefault(run.gang_key, set()).add(run.task)
        done: set[tuple[str, int]] = set()
        for minion, life, run in rows:
            self._work_on(minion, life, run, present, passed_ms, now, done)
        for minion, life, run in self._rows():
            if run.gang_key in done:
                minion.end(life, run, "done")

    def _work_on(
        self,
        minion: Minion,
        life: Life,
        run: Run,
        present: dict[tuple[str, int], set[str]],
        passed_ms: float,
        now: float,
        done: set[tuple[str, int]],
    ) -> None:
        size = run.plan.get("gang", 0)
        if size and len(present[run.gang_key]) < size:
            if run.joined:
                minion.end(life, run, "broken")
            elif now > run.started_at + GANG_TIMEOUT_S:
                minion.end(life, run, "alone")
            return
        run.joined = True
        run.worked_ms += passed_ms
        if run.plan.get("lasts") or run.worked_ms < run.plan.get("workMs", 0):
            return
        if size:
            done.add(run.gang_key)
        else:
            minion.end(life, run, "done")


def _checkpoint(run: Run) -> str:
    if not run.plan.get("saves"):
        return ""
    return f"{int(run.worked_ms) // CHECKPOINT_MS * CHECKPOINT_MS:016x}"


def _percent(run: Run) -> int:
    if run.plan.get("lasts"):
        return 100
    return min(100, int(100 * run.worked_ms / max(1, run.plan.get("workMs", 1))))
