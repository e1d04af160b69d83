"""The service that knows which workers a queue's policy allows for a step."""

from collections.abc import Sequence

import orjson

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.platform.http import Address, HttpClient, Reply
from tamarackmount.platform.store import JSON_HEADER
from tamarackmount.scheduling.model import StepKey
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission

MAX_WORKERS = 100
"""Most workers in one question; the platform's bound."""


class AdviceClient:
    """Questions to the advice service."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        """Ask at ``address``."""
        self._http = http
        self._address = address

    async def ask(
        self, step: StepKey, workers: Sequence[WorkerId], deadline: Instant
    ) -> AdviceAnswer | None:
        """Return which of ``workers`` may run the step; nothing if unanswered."""
        body = {"step": f"{step.job_id}.{step.occurrence}.{step.step}"}
        outcome = await self._http.call(
            self._address,
            "POST",
            "/api/advise",
            deadline,
            orjson.dumps({**body, "workers": list(workers)[:MAX_WORKERS]}),
            JSON_HEADER,
        )
        if not isinstance(outcome, Reply) or outcome.status != 200:
            return None
        try:
            raw = orjson.loads(outcome.body)
            permissions = tuple(
                Permission(WorkerId(row[0]), str(row[1])) for row in raw["good"]
            )
            return AdviceAnswer(permissions, float(raw["validityMs"]))
        except (KeyError, TypeError, ValueError):
            return None
