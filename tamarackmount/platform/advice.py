"""Client of the advice service.

The service tells which workers may run a step, and gives a ticket for each of them.
"""

from collections.abc import Sequence

import orjson

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.platform.decoding import DECODING_ERRORS
from tamarackmount.platform.http import Address, HttpClient, Reply
from tamarackmount.platform.store import JSON_HEADER
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket

MAX_WORKERS_PER_REQUEST = 100
"""Maximum number of workers in one request, set by the platform."""


class AdviceClient:
    """Client of the advice service."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        """Send requests to ``address``."""
        self._http = http
        self._address = address

    async def ask(
        self, step: StepKey, workers: Sequence[WorkerId], deadline: Instant
    ) -> AdviceAnswer | None:
        """Return tickets for those of ``workers`` that may run the step.

        Return None if the call fails or the reply can't be decoded.
        """
        body = {"step": f"{step.job_id}.{step.occurrence}.{step.step}"}
        result = await self._http.call(
            self._address,
            "POST",
            "/api/advise",
            deadline,
            orjson.dumps({**body, "workers": list(workers)[:MAX_WORKERS_PER_REQUEST]}),
            JSON_HEADER,
        )
        if not isinstance(result, Reply) or result.status != 200:
            return None
        try:
            raw = orjson.loads(result.body)
            # ``good`` lists pairs of a worker's id and its ticket.
            tickets = tuple(
                WorkerTicket(WorkerId(str(row[0])), str(row[1])) for row in raw["good"]
            )
            return AdviceAnswer(tickets, float(raw["validityMs"]))
        except DECODING_ERRORS:
            return None
