"""Workers that restart under their ids and speak the platform's protocol."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import orjson

from tamarackmount.ids import JobId
from tamarackmount.scheduling.domain.model import StepSpec, TaskKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tests.utils.restarting_pool import MAX_LEASE_MS, Life, Machine, Work

GANG_TIMEOUT_S = 3.0
"""Longest time that a member of a gang waits for the others, in seconds."""

LATEST_S = 12.0
"""Longest time after which an unanswered call is carried out, in seconds."""

Respond = Callable[[int, dict[str, Any]], None]
"""Takes the status and the body of a response."""

RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class WaitingPoll:
    """A poll that is answered at ``answers_at``, or once a run has ended."""

    life: Life
    answers_at: float
    respond: Respond


@dataclass(slots=True)
class LateCall:
    """A call without an answer, which is carried out at ``due_at``."""

    due_at: float
    machine: Machine
    life: Life
    path: str
    body: dict[str, Any]


def task_key(name: str) -> TaskKey:
    """Return the task that a name on the wire names."""
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))


def task_name(task: TaskKey) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


class ConnectedWorkers:
    """Carries out calls; ``violations`` lists two runs of one task and the like.

    ``late_share`` of the calls get no answer and are carried out up to ``LATEST_S``
    later, by the next incarnation too if ``outlives_crashes``.
    """

    def __init__(
        self,
        machines: dict[str, Machine],
        specs: dict[JobId, tuple[StepSpec, ...]],
        work_s: Callable[[], float],
        rng: Random,
    ) -> None:
        """Serve with ``machines``; ``specs`` are those of the jobs."""
        self.violations: list[str] = []
        self.late_share = 0.0
        self.outlives_crashes = False
        self.late_calls = 0
        self.foreign_starts = 0
        self.foreign_leases = 0
        self.starts = 0
        self.now = 0.0
        self._machines = machines
        self._specs = specs
        self._work_s = work_s
        self._rng = rng
        self._polls: list[tuple[Machine, WaitingPoll]] = []
        self._late: list[LateCall] = []
        self._noted: set[TaskKey] = set()

    def handle(self, name: str, request: bytes, respond: Respond) -> None:
        """Carry out a request, now or late."""
        head, _, payload = request.partition(b"\r\n\r\n")
        path = head.split(b" ", 2)[1].decode()
        machine, body = self._machines[name], orjson.loads(payload)
        if self._rng.random() < self.late_share:
            due_at = self.now + LATEST_S * self._rng.random()
            self._late.append(LateCall(due_at, machine, machine.life, path, body))
            return
        self._carry_out(machine, path, body, respond)

    def advance(self, now: float) -> None:
        """Let time pass."""
        self.now = now
        due = [call for call in self._late if call.due_at <= now]
        self._late = [call for call in self._late if call.due_at > now]
        for call in due:
            is_there = call.life is call.machine.life or self.outlives_crashes
            if is_there and now >= call.machine.down_until:
                self.late_calls += 1
                self._carry_out(call.machine, call.path, call.body, ignore)
        self._advance_gangs()
        for machine in self._machines.values():
            self._advance_runs(machine.life)
        polls, self._polls = self._polls, []
        for machine, poll in polls:
            if poll.life is machine.life:
                self._answer(machine, poll)

    def running(self) -> list[tuple[str, RunKey, Work]]:
        """Return all runs, with the names of their machines."""
        return [
            (machine.name, key, work)
            for machine in self._machines.values()
            if self.now >= machine.down_until
            for key, work in machine.life.work_by_run.items()
        ]

    def _carry_out(
        self, machine: Machine, path: str, body: dict[str, Any], respond: Respond
    ) -> None:
        life = machine.life
        if body["fencingToken"] < life.fencing_token:
            respond(409, {"reason": "fence", "clockMs": life.clock_ms(self.now)})
            return
        life.fencing_token = body["fencingToken"]
        if path == "/api/hold":
            self._renew(life, body.get("untilMs"))
            self._acknowledge(life, body["ackCursor"])
            answers_at = self.now + body.get("waitMs", 0) / 1_000
            self._answer(machine, WaitingPoll(life, answers_at, respond))
            return
        task, number = task_key(body["task"]), body["run"]
        if path == "/api/run-stop":
            self._stop(life, task, number)
            respond(200, {"clockMs": life.clock_ms(self.now)})
            return
        reason = self._start(machine, (task, number), body["untilMs"])
        answer: dict[str, Any] = {"clockMs": life.clock_ms(self.now)}
        if reason:
            answer["reason"] = reason
        respond(409 if reason else 200, answer)

    def _renew(self, life: Life, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = life.clock_ms(self.now) + MAX_LEASE_MS
            self.foreign_leases += until_ms > longest
            life.lease_until_ms = max(life.lease_until_ms, min(until_ms, longest))

    def _acknowledge(self, life: Life, cursor: int) -> None:
        for end in life.ended:
            if end.end_number <= cursor and end.outcome is RunEnd.DONE:
                self._noted.add(end.task)
        life.ended = [end for end in life.ended if end.end_number > cursor]

    def _answer(self, machine: Machine, poll: WaitingPoll) -> None:
        life = poll.life
        if not life.ended and self.now < poll.answers_at:
            self._polls.append((machine, poll))
            return
        running = [
            [task_name(task), number, "", self._percent(task, work)]
            for (task, number), work in life.work_by_run.items()
        ]
        ended = [
            [end.end_number, task_name(end.task), end.run_number, end.outcome.value, ""]
            for end in life.ended
        ]
        clock_ms = life.clock_ms(self.now)
        body = {"born": life.born_unix_ms, "clockMs": clock_ms}
        poll.respond(200, {**body, "running": running, "ended": ended})

    def _start(self, machine: Machine, key: RunKey, until_ms: int) -> str:
        life = machine.life
        if key in life.work_by_run:
            return ""
        task, number = key
        if number <= life.highest_by_task.get(task, 0):
            self._renew(life, until_ms)
            return "old"
        if until_ms <= life.clock_ms(self.now):
            return "late"
        self._check_start(machine, key)
        self.starts += 1
        self.foreign_starts += until_ms > life.clock_ms(self.now) + MAX_LEASE_MS
        self._renew(life, until_ms)
        spec = self._step(task)
        is_endless = spec.gang or spec.perpetual
        ends_at = float("inf") if is_endless else self.now + self._work_s()
        life.work_by_run[key] = Work(self.now, ends_at)
        life.highest_by_task[task] = number
        return ""

    def _check_start(self, machine: Machine, key: RunKey) -> None:
        task = key[0]
        if self._step(task).speculative:
            return
        for name, other, _ in self.running():
            if other[0] == task:
                there = f"{key} on {machine.name} beside {other} on {name}"
                self.violations.append(f"{self.now:.2f} {there}")
        if task in self._noted:
            self.violations.append(f"{self.now:.2f} {key} on {machine.name} after done")

    def _stop(self, life: Life, task: TaskKey, number: int) -> None:
        life.highest_by_task[task] = max(life.highest_by_task.get(task, 0), number)
        for key in list(life.work_by_run):
            if key[0] == task and key[1] <= number:
                life.end(key, RunEnd.STOPPED)

    def _advance_runs(self, life: Life) -> None:
        has_lapsed = life.clock_ms(self.now) > life.lease_until_ms
        for key, work in list(life.work_by_run.items()):
            if has_lapsed:
                life.end(key, RunEnd.LEASE_EXPIRED)
            elif work.ends_at <= self.now:
                life.end(key, RunEnd.DONE)

    def _advance_gangs(self) -> None:
        """Let gangs work once all members of a run are there, and end together."""
        members: dict[tuple[TaskKey, int], list[tuple[Life, RunKey, Work]]] = {}
        for machine in self._machines.values():
            for key, work in machine.life.work_by_run.items():
                if self.now >= machine.down_until and self._step(key[0]).gang:
                    task, number = key
                    first = TaskKey(task.job_id, task.occurrence, task.step, 0)
                    row = (machine.life, key, work)
                    members.setdefault((first, number), []).append(row)
        for (first, _), rows in members.items():
            is_whole = len(rows) == self._step(first).count
            self._advance_gang(rows, is_whole)

    def _advance_gang(
        self, rows: Iterable[tuple[Life, RunKey, Work]], is_whole: bool
    ) -> None:
        ends_at = self.now + self._work_s()
        for life, key, work in rows:
            is_working = work.ends_at < float("inf")
            if is_whole and not is_working:
                life.work_by_run[key] = Work(work.began_at, ends_at)
            elif not is_whole and is_working and work.ends_at > self.now:
                life.end(key, RunEnd.GANG_BROKEN)
            elif not is_whole and self.now > work.began_at + GANG_TIMEOUT_S:
                life.end(key, RunEnd.GANG_INCOMPLETE)

    def _percent(self, task: TaskKey, work: Work) -> int:
        return 100 if self._step(task).perpetual else work.percent(self.now)

    def _step(self, task: TaskKey) -> StepSpec:
        return self._specs[task.job_id][task.step]


def ignore(_status: int, _body: dict[str, Any]) -> None:
    """Ignore the response to a call that nobody waits for."""
