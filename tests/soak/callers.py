"""Callers that hand jobs in, ask for them, and cancel some."""

import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.task import deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.http import Address, HttpClient, Reply
from tamarackmount.resources import Resources
from tests.soak.ledger import Ledger, SoakJob, SoakStep

HOST = "host.example"
CALL_S = 3.0
ASK_PAUSE_S = 0.7
RETRY_PAUSE_S = 0.4
MAX_TRIES = 5
CANCELLED = 0.05
FINAL = ("completed", "failed", "cancelled")
REFUSED = (429, 503)


class Callers:
    """Hands in ``per_s`` jobs a second until it is stopped."""

    def __init__(
        self,
        reactor: Any,
        ledger: Ledger,
        nodes: Callable[[], list[str]],
        teams: list[str],
        seed: int,
    ) -> None:
        """Call the entry VMs that ``nodes`` returns."""
        self._reactor = reactor
        self._ledger = ledger
        self._nodes = nodes
        self._teams = teams
        self._rng = random.Random(seed)
        self._http = HttpClient(reactor)
        self._is_over = False
        self._calls = 0
        self.answers: dict[int, int] = {}

    def start(self, per_s: float) -> None:
        """Begin to hand jobs in."""
        if self._is_over:
            return
        spawn(self._live(self._make_job()))
        pause_s = self._rng.expovariate(per_s)
        self._reactor.callLater(pause_s, self.start, per_s)

    def stop(self) -> None:
        """Hand nothing in any more; jobs that are under way are asked for."""
        self._is_over = True

    def open_jobs(self) -> list[SoakJob]:
        """Return accepted jobs that nobody has seen end."""
        jobs = self._ledger.jobs_by_id.values()
        return [job for job in jobs if job.is_accepted and not job.final_state]

    def _make_job(self) -> SoakJob:
        rng = self._rng
        steps = []
        for number in range(rng.choice((1, 1, 2, 3))):
            amount = Resources(rng.choice((500, 1_000, 4_000)), 500, 0)
            after = (number - 1,) if number else ()
            is_speculative = rng.random() < 0.4
            steps.append(SoakStep(rng.randint(1, 6), amount, after, is_speculative))
        job_id = f"{rng.getrandbits(64):016x}"
        team = rng.choice(self._teams)
        job = SoakJob(job_id, team, f"text {job_id}", steps, max_attempts=4)
        self._ledger.jobs_by_id[job_id] = job
        return job

    async def _live(self, job: SoakJob) -> None:
        if not await self._hand_in(job):
            return
        if self._rng.random() < CANCELLED:
            await self._sleep(self._rng.uniform(0.0, 2.0))
            await self._cancel(job)
        while not job.final_state:
            await self._sleep(ASK_PAUSE_S)
            reply = await self._call(job, "GET")
            if reply is not None and reply.status == 200:
                self._ledger.shown(job.job_id, orjson.loads(reply.body)["state"])

    async def _hand_in(self, job: SoakJob) -> bool:
        body = orjson.dumps(
            {"spec": job.text, "steps": [_step_body(step) for step in job.steps]}
        )
        was_unknown = False
        for _ in range(MAX_TRIES):
            reply = await self._call(job, "POST", body)
            if reply is not None and reply.status == 200:
                job.is_accepted = True
                return True
            if reply is None or reply.status not in REFUSED:
                was_unknown = True
            await self._sleep(RETRY_PAUSE_S)
        job.is_refused = not was_unknown
        return False

    async def _cancel(self, job: SoakJob) -> None:
        while not job.final_state:
            reply = await self._call(job, "DELETE")
            if reply is not None and reply.status in (200, 410):
                job.cancelled_at = self._reactor.seconds()
                return
            await self._sleep(RETRY_PAUSE_S)

    async def _call(
        self, job: SoakJob, method: str, body: bytes | None = None
    ) -> Reply | None:
        address = Address(self._rng.choice(self._nodes()))
        headers = f"Authorization: Bearer key-{job.team}\r\n"
        if body is not None:
            headers += "Content-Type: application/json\r\n"
        deadline = Instant(self._reactor.seconds() + CALL_S)
        outcome = await self._http.call(
            address, method, f"/stock/{job.job_id}", deadline, body, headers, HOST
        )
        if not isinstance(outcome, Reply):
            return None
        self.answers[outcome.status] = self.answers.get(outcome.status, 0) + 1
        return outcome

    def _sleep(self, seconds: float) -> Any:
        return deferLater(self._reactor, seconds, lambda: None)


def _step_body(step: SoakStep) -> dict[str, Any]:
    body: dict[str, Any] = {
        "count": step.count,
        "cpu": step.amount.millicores,
        "requestedMemoryMb": step.amount.memory_mib,
        "estimatedMs": 500,
    }
    if step.after:
        body["after"] = list(step.after)
    if step.speculative:
        body["speculative"] = True
    return body
