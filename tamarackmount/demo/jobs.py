"""Submits the jobs of a run and polls them until they end."""

from dataclasses import dataclass

from pydantic import JsonValue
from returns.result import Failure, Result

from tamarackmount.client import Client
from tamarackmount.client_views import (
    ENDED_JOB_STATES,
    CallError,
    JobState,
    JobView,
)
from tamarackmount.demo.cell import Cell, StepFailedError
from tamarackmount.demo.records import JobEnd
from tamarackmount.ids import JobId

SERVICE_S = 5.0
"""Time that a service runs before it is cancelled, in seconds."""

FINAL_ERRORS = frozenset({"bad_request", "bad_key", "conflict"})
"""Errors of a submission that a retry can't change."""


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A job to submit: its specification, its team's key and its expected state."""

    spec: dict[str, JsonValue]
    key: str
    expected: JobState

    @property
    def is_service(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return self.spec["kind"] == "service"


def plan_jobs(batch_key: str, service_key: str, gang_key: str) -> list[JobPlan]:
    """Return a batch job, a service and a gang, each submitted with its key."""
    batch = _spec(id="batch", kind="batch", tasks=24, run_ms=6_000)
    service = _spec(id="service", kind="service", tasks=4)
    gang = _spec(id="gang", kind="gang", tasks=4, run_ms=6_000, accelerators=1)
    return [
        JobPlan(batch, batch_key, JobState.SUCCEEDED),
        JobPlan(service, service_key, JobState.CANCELLED),
        JobPlan(gang, gang_key, JobState.SUCCEEDED),
    ]


def _spec(**fields: JsonValue) -> dict[str, JsonValue]:
    return {"cores": 2, "memory_gib": 4, "max_attempts": 20, **fields}


class JobWatch:
    """Submits one job and polls it to its end, through any healthy entry VM."""

    def __init__(self, cell: Cell, plan: JobPlan) -> None:
        """Prepare the job, which :meth:`run` submits."""
        self._cell = cell
        self._plan = plan
        self._job_id = str(plan.spec["id"])
        self._state: JobState | None = None

    async def run(self) -> None:
        """Submit the job and poll it to its end; cancel it if it is a service."""
        await self._cell.wait_until(self._submit, f"submit {self._job_id}")
        if self._plan.is_service:
            await self._cell.wait_until(self._is_running, f"{self._job_id} runs")
            await self._cell.http.sleep(SERVICE_S)
            await self._cell.wait_until(self._cancel, f"cancel {self._job_id}")
        await self._cell.wait_until(self._has_ended, f"{self._job_id} ends")

    def end(self) -> JobEnd:
        """Return the last known state and the expected one."""
        state = self._state.value if self._state else "not submitted"
        return JobEnd(JobId(self._job_id), state, self._plan.expected.value)

    async def _submit(self) -> bool:
        result = await self._client().submit_job(self._plan.spec)
        if isinstance(result, Failure) and result.failure().error in FINAL_ERRORS:
            raise StepFailedError(f"submit {self._job_id}: {result.failure()}")
        return self._update(result)

    async def _cancel(self) -> bool:
        return self._update(await self._client().cancel_job(self._job_id))

    async def _is_running(self) -> bool:
        self._update(await self._client().view_job(self._job_id))
        return self._state is JobState.RUNNING

    async def _has_ended(self) -> bool:
        self._update(await self._client().view_job(self._job_id))
        return self._state in ENDED_JOB_STATES

    def _update(self, result: Result[JobView, CallError]) -> bool:
        if isinstance(result, Failure):
            return False
        job = result.unwrap()
        self._job_id = job.id
        self._state = job.state
        return True

    def _client(self) -> Client:
        daemon = self._cell.balancer.pick()
        return self._cell.http.client(daemon, self._plan.key)
