"""Simulated callers that submit jobs, poll their status and cancel some of them."""

import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.task import deferLater

from tamarackmount.ids import Instant
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.http import Address, HttpClient, Reply
from tamarackmount.resources import Resources
from tests.soak.invariants import InvariantChecker, SoakJob, SoakStep

HOST = "host.example"
CALL_TIMEOUT_S = 3.0
STATUS_INTERVAL_S = 0.7
RETRY_DELAY_S = 0.4
MAX_LEAVER_STAY_S = 0.3
MAX_SUBMIT_ATTEMPTS = 5
CANCELLED_FRACTION = 0.05
DEADLY_FRACTION = 0.03
FINAL_STATES = ("completed", "failed", "cancelled")
REFUSAL_STATUSES = (429, 503)


class Callers:
    """Submits jobs at a given mean rate until it is stopped."""

    def __init__(
        self,
        reactor: Any,
        checker: InvariantChecker,
        nodes: Callable[[], list[str]],
        workspaces: list[str],
        seed: int,
    ) -> None:
        """Call the entry VMs whose addresses ``nodes`` returns."""
        self._reactor = reactor
        self._checker = checker
        self._nodes = nodes
        self._workspaces = workspaces
        self._rng = random.Random(seed)
        self._http = HttpClient(reactor)
        self._is_stopped = False
        self._calls = 0
        self.answer_count_by_status: dict[int, int] = {}

    def start(self, jobs_per_s: float) -> None:
        """Submit a job now, and others at random intervals."""
        if self._is_stopped:
            return
        spawn(self._follow_job(self._make_job()))
        delay_s = self._rng.expovariate(jobs_per_s)
        self._reactor.callLater(delay_s, self.start, jobs_per_s)

    def start_leavers(self, leavers_per_s: float) -> None:
        """Let a caller submit a job and leave, and others at random intervals."""
        if self._is_stopped:
            return
        spawn(self._leave(self._make_job()))
        delay_s = self._rng.expovariate(leavers_per_s)
        self._reactor.callLater(delay_s, self.start_leavers, leavers_per_s)

    def stop(self) -> None:
        """Submit no more jobs; the status of submitted ones is still polled."""
        self._is_stopped = True

    def unfinished_jobs(self) -> list[SoakJob]:
        """Return the accepted jobs for which no caller has seen a final state."""
        jobs = self._checker.jobs_by_id.values()
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
        workspace = rng.choice(self._workspaces)
        job = SoakJob(job_id, workspace, f"text {job_id}", steps, max_attempts=4)
        if rng.random() < DEADLY_FRACTION:
            job.deadly.add((job_id, 0, 0))
        self._checker.jobs_by_id[job_id] = job
        return job

    async def _follow_job(self, job: SoakJob) -> None:
        if not await self._submit(job):
            return
        if self._rng.random() < CANCELLED_FRACTION:
            await self._sleep(self._rng.uniform(0.0, 2.0))
            await self._cancel(job)
        while not job.final_state:
            await self._sleep(STATUS_INTERVAL_S)
            reply = await self._call(job, "GET")
            if reply is not None and reply.status == 200:
                self._checker.state_reported(
                    job.job_id, orjson.loads(reply.body)["state"]
                )

    async def _leave(self, job: SoakJob) -> None:
        """Submit a job, leave before the answer, and cancel the job."""
        stays_s = self._rng.uniform(0.0, MAX_LEAVER_STAY_S)
        await self._call(job, "POST", _job_body(job), stays_s)
        await self._cancel(job)

    async def _submit(self, job: SoakJob) -> bool:
        body = _job_body(job)
        may_be_accepted = False
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            reply = await self._call(job, "POST", body)
            if reply is not None and reply.status == 200:
                job.is_accepted = True
                return True
            if reply is None or reply.status not in REFUSAL_STATUSES:
                may_be_accepted = True
            await self._sleep(RETRY_DELAY_S)
        job.is_refused = not may_be_accepted
        return False

    async def _cancel(self, job: SoakJob) -> None:
        while not job.final_state:
            reply = await self._call(job, "DELETE")
            if reply is not None and reply.status in (200, 410):
                job.cancelled_at = self._reactor.seconds()
                return
            await self._sleep(RETRY_DELAY_S)

    async def _call(
        self,
        job: SoakJob,
        method: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply | None:
        address = Address(self._rng.choice(self._nodes()))
        headers = f"Authorization: Bearer key-{job.workspace}\r\n"
        if body is not None:
            headers += "Content-Type: application/json\r\n"
        deadline = Instant(self._reactor.seconds() + timeout_s)
        outcome = await self._http.call(
            address, method, f"/stock/{job.job_id}", deadline, body, headers, HOST
        )
        if not isinstance(outcome, Reply):
            return None
        self.answer_count_by_status[outcome.status] = (
            self.answer_count_by_status.get(outcome.status, 0) + 1
        )
        return outcome

    def _sleep(self, seconds: float) -> Any:
        return deferLater(self._reactor, seconds, lambda: None)


def _job_body(job: SoakJob) -> bytes:
    return orjson.dumps(
        {"spec": job.spec, "steps": [_step_body(step) for step in job.steps]}
    )


def _step_body(step: SoakStep) -> dict[str, Any]:
    body: dict[str, Any] = {
        "count": step.count,
        "cpu": step.amount.millicores,
        "requestedMemoryMb": step.amount.memory_mib,
        "estimatedMs": 500,
    }
    if step.after:
        body["after"] = list(step.after)
    if step.is_speculative:
        body["speculative"] = True
    return body
