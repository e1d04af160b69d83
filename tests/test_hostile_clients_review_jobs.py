"""Jobs of clients outside the limits: cases that a review found open."""

import tracemalloc
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant, JobId
from tamarackmount.internal.bounded_channel import CONNECTION_ALLOWANCE_BYTES
from tamarackmount.node.http_api import JobsResource
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.paced_queue import SMALL_BYTES
from tamarackmount.scheduling.domain.fleet_config import FleetConfig, group_by_host
from tests.test_job_limits import Callers
from tests.utils.build_channels import MAX_BODY_BYTES, Port, post
from tests.utils.build_large_jobs import labelled_body
from tests.utils.build_scheduling import LOW_PRIORITY, fleet_config, queue

SLOW_APPEND_S = 30.0
REFUSALS = (429, 503)


def test_a_job_that_waited_for_the_store_was_refused_when_it_came_again() -> None:
    callers = Callers(memory_mib=16)
    callers.store.append_latency_s = SLOW_APPEND_S
    body = labelled_body(SMALL_BYTES)
    for number in range(60):
        callers.submit(number, body)
    callers.network.elapse(1.0)
    assert callers.node.jobs._limits.pending.used > 0
    repeated: list[int] = []
    callers.submit(0, body).addCallback(lambda answer: repeated.append(answer.status))
    callers.network.elapse(1.0)
    callers.store.append_latency_s = 0.002
    callers.network.elapse(600.0)
    (status,) = repeated
    index = callers.node._context.job_index
    assert index.phase(JobId(f"{0:016x}")) is None or status not in REFUSALS


class AskingJobs:
    """Refuses large bodies, after it has asked other nodes that do not answer."""

    sends_callers_away = False
    max_steps = 1

    def __init__(self, fleet: FleetConfig) -> None:
        """Follow a configuration."""
        self.fleet = fleet
        self.asked: list[Deferred[Any]] = []

    async def wait_turn(self, _size: int, _deadline: Instant) -> bool:
        """Return that no body may be decoded."""
        return False

    async def refuse_large(self, _job_id: JobId, _deadline: Instant) -> Any:
        """Wait for ever."""
        self.asked.append(Deferred())
        return await self.asked[-1]


def test_bodies_of_refused_jobs_were_kept_uncounted_after_a_disconnect() -> None:
    public = queue(LOW_PRIORITY, 2, is_public=True, host="h")
    queues = {LOW_PRIORITY: public}
    fleet = replace(
        fleet_config(),
        queues_by_name=queues,
        queues_by_host=group_by_host(queues),
        max_body_bytes=MAX_BODY_BYTES,
    )
    jobs: Any = AskingJobs(fleet)
    port = Port()
    port.site.resource = JobsResource(jobs, NodeMetrics())
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(50):
            connection = port.connect()
            path = f"/{LOW_PRIORITY}/{number:016x}"
            data = post(b"x" * 60_000, path)
            # The policy of this port serves another path; its check is left out.
            connection.channel._is_checked = True
            connection.channel._check_header = lambda: None
            connection.send(data)
            assert not connection.statuses
            connection.lose()
        kept = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert kept <= port.budget.used + 50 * CONNECTION_ALLOWANCE_BYTES
