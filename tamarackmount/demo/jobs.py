"""Jobs of a run: submitted by teams and watched to their ends."""

import json
from dataclasses import dataclass

from pydantic import BaseModel, JsonValue

from tamarackmount.demo.cell import Cell, StepFailedError
from tamarackmount.demo.http import Reply
from tamarackmount.demo.records import JobEnd
from tamarackmount.ids import JobId

SERVICE_SECONDS = 5.0
"""Time that a service is left running before it is cancelled, in seconds."""

ACCEPTED_STATUSES = frozenset({200, 201})
"""Statuses of a submission that was accepted, now or before."""

ENDED_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown"})
"""States that a job doesn't leave."""


class _Job(BaseModel):
    id: JobId
    state: str


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A job to submit: its specification, its team's key and how it should end."""

    spec: dict[str, JsonValue]
    key: str
    expected: str

    @property
    def is_service(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return self.spec["kind"] == "service"


def plan_jobs(batch_key: str, service_key: str, gang_key: str) -> list[JobPlan]:
    """Return a batch job, a service and a gang, each of the team of its key."""
    batch = _spec(id="batch", kind="batch", tasks=24, run_ms=1_500)
    service = _spec(id="service", kind="service", tasks=4)
    gang = _spec(id="gang", kind="gang", tasks=4, run_ms=2_000, accelerators=1)
    return [
        JobPlan(batch, batch_key, "succeeded"),
        JobPlan(service, service_key, "cancelled"),
        JobPlan(gang, gang_key, "succeeded"),
    ]


def _spec(**fields: JsonValue) -> dict[str, JsonValue]:
    return {"cores": 2, "memory_gib": 4, "max_attempts": 20, **fields}


class JobWatch:
    """One job from its submission to its end, through any healthy entry VM."""

    def __init__(self, cell: Cell, plan: JobPlan) -> None:
        """Submit nothing yet."""
        self._cell = cell
        self._plan = plan
        self._job = _Job(id=JobId(str(plan.spec["id"])), state="not submitted")

    async def run(self) -> None:
        """Submit the job and watch it to its end; a service is cancelled."""
        await self._cell.wait_until(self._submit, f"submit {self._job.id}")
        if self._plan.is_service:
            await self._cell.wait_until(self._runs, f"{self._job.id} runs")
            await self._cell.http.sleep(SERVICE_SECONDS)
            await self._cell.wait_until(self._cancel, f"cancel {self._job.id}")
        await self._cell.wait_until(self._has_ended, f"{self._job.id} ends")

    def end(self) -> JobEnd:
        """Return the last state seen."""
        return JobEnd(self._job.id, self._job.state, self._plan.expected)

    async def _submit(self) -> bool:
        body = json.dumps(self._plan.spec).encode()
        reply = await self._call("POST", "/v1/jobs", body)
        if reply is not None and reply.status in (400, 401, 409):
            raise StepFailedError(f"submit {self._job.id}: {reply.body.decode()}")
        return self._note(reply, ACCEPTED_STATUSES)

    async def _cancel(self) -> bool:
        reply = await self._call("DELETE", f"/v1/jobs/{self._job.id}")
        return self._note(reply, frozenset({200, 202}))

    async def _runs(self) -> bool:
        await self._look()
        return self._job.state == "running"

    async def _has_ended(self) -> bool:
        await self._look()
        return self._job.state in ENDED_STATES

    async def _look(self) -> None:
        reply = await self._call("GET", f"/v1/jobs/{self._job.id}")
        self._note(reply, frozenset({200}))

    def _note(self, reply: Reply | None, statuses: frozenset[int]) -> bool:
        if reply is None or reply.status not in statuses:
            return False
        self._job = _Job.model_validate_json(reply.body)
        return True

    async def _call(self, method: str, path: str, body: bytes = b"") -> Reply | None:
        daemon = self._cell.balancer.pick()
        result = await self._cell.http.call(
            method,
            f"{daemon.url}{path}",
            {"Authorization": f"Bearer {self._plan.key}"},
            body,
        )
        return result.value_or(None)
