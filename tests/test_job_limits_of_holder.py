"""What the jobs that other nodes pass to the holder may take of its memory and time."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.defer import ensureDeferred

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.holder import Holder
from tamarackmount.node.http_api import ApiResponse, HttpStatus
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.admission.admission import Refusal, RefusalReason
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobSpec
from tamarackmount.scheduling.store.job_sizes import job_size
from tamarackmount.scheduling.store.journal import encode_record
from tests.utils.build_scheduling import job, step
from tests.utils.memory_peers import MemoryFleet

HOLDER = 0
OTHERS = range(1, 8)
LARGE_STEPS = 700
CHECK_S = 0.125
FAR_UNIX_MS = 4_102_444_800_000


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> MemoryFleet:
    """Return eight nodes that have elected the first one."""
    fleet = MemoryFleet(8, ("kyushu-a", "kyushu-b"), cores=1.0)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    assert fleet.holder() == MemberId(f"n{HOLDER}")
    return fleet


def large_job(number: int) -> AcceptedJob:
    """Return a job whose record is almost as long as one can be."""
    return replace(job(number), spec=JobSpec("text", (step(),) * LARGE_STEPS))


class Submitted:
    """Jobs that were submitted at nodes of a fleet, with the responses so far."""

    def __init__(self, fleet: MemoryFleet) -> None:
        """Begin without jobs."""
        self._fleet = fleet
        self.responses: list[ApiResponse] = []

    def add(self, number: int, accepted: AcceptedJob) -> None:
        """Submit a job at a node."""
        jobs = self._fleet.node(number).jobs
        call: Any = jobs.submit(accepted, self._fleet.deadline())
        ensureDeferred(call).addCallback(self.responses.append)

    @property
    def statuses(self) -> list[HttpStatus]:
        """The statuses of the responses so far."""
        return [response.status for response in self.responses]


def scheduled_job(number: int) -> AcceptedJob:
    """Return a job with a short record whose one task runs many times."""
    spec = JobSpec("text", (step(),), FAR_UNIX_MS, 1_000, LARGE_STEPS)
    return replace(job(number), spec=spec)


def check_slowly(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> list[KeyedRecord]:
    """Let the check of a large job take ``CHECK_S``; return the records checked."""
    checked: list[KeyedRecord] = []
    check = Holder._check_admission

    def check_record(holder: Holder, record: KeyedRecord) -> Refusal | None:
        if job_size(record.value).state > 1_000_000:
            checked.append(record)
            fleet.clock.rightNow += CHECK_S
        return check(holder, record)

    monkeypatch.setattr(Holder, "_check_admission", check_record)
    return checked


@pytest.mark.parametrize("build", [large_job, scheduled_job])
def test_large_jobs_of_other_nodes_kept_a_small_one_waiting_at_the_holder(
    build: Callable[[int], AcceptedJob],
    fleet: MemoryFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    checked = check_slowly(fleet, monkeypatch)
    large, small = Submitted(fleet), Submitted(fleet)
    for number in range(14):
        large.add(OTHERS[number % len(OTHERS)], build(100 + number))
    fleet.clock.advance(0.005)
    small.add(OTHERS[0], job(1))
    while not small.responses:
        fleet.clock.advance(0.005)
    assert small.statuses == [HttpStatus.OK]
    assert len(checked) < 5


def test_a_large_job_of_another_node_is_stored_at_once(fleet: MemoryFleet) -> None:
    large = Submitted(fleet)
    large.add(OTHERS[0], large_job(100))
    fleet.run_for(0.1)
    assert large.statuses == [HttpStatus.OK]


def test_jobs_of_other_nodes_were_kept_at_the_holder_without_bound(
    fleet: MemoryFleet,
) -> None:
    pending = fleet.node(HOLDER).jobs._limits.pending
    pending.limit = 50_000
    fleet.store.append_latency_s = 2.0
    jobs = Submitted(fleet)
    for number in range(30):
        jobs.add(OTHERS[number % len(OTHERS)], job(100 + number))
    fleet.run_for(0.1)
    assert pending.peak <= pending.limit
    assert jobs.responses
    assert set(jobs.statuses) == {HttpStatus.TOO_MANY_REQUESTS}
    assert all(response.retry_after_s for response in jobs.responses)
    fleet.store.append_latency_s = 0.002
    fleet.run_for(60.0)
    assert pending.used == 0
    assert len(jobs.responses) == 30


def test_a_job_that_waited_at_the_holder_was_refused_through_another_node(
    fleet: MemoryFleet,
) -> None:
    limits = fleet.node(HOLDER).jobs._limits
    fleet.store.append_latency_s = 0.4
    first, again, other = Submitted(fleet), Submitted(fleet), Submitted(fleet)
    first.add(OTHERS[0], job(100))
    fleet.run_for(0.1)
    limits.pending.limit = limits.pending.used
    again.add(OTHERS[1], job(100))
    other.add(OTHERS[1], job(101))
    fleet.run_for(0.1)
    assert again.statuses == [HttpStatus.GATEWAY_TIMEOUT]
    assert other.statuses == [HttpStatus.TOO_MANY_REQUESTS]
    fleet.run_for(1.0)
    assert first.statuses == [HttpStatus.OK]


def test_a_job_that_waited_at_the_holder_was_not_admitted_when_it_came_again(
    fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.store.append_latency_s = 0.4
    first, again, other = Submitted(fleet), Submitted(fleet), Submitted(fleet)
    first.add(OTHERS[0], job(100))
    fleet.run_for(0.1)
    refusal = Refusal(RefusalReason.BACKLOG, 5.0)
    monkeypatch.setattr(Holder, "_check_admission", lambda _holder, _record: refusal)
    again.add(OTHERS[1], job(100))
    other.add(OTHERS[1], job(101))
    fleet.run_for(0.1)
    assert again.statuses == [HttpStatus.GATEWAY_TIMEOUT]
    assert other.statuses == [HttpStatus.TOO_MANY_REQUESTS]
    fleet.run_for(1.0)
    assert first.statuses == [HttpStatus.OK]


def test_a_job_that_came_once_was_taken_for_one_that_came_again(
    fleet: MemoryFleet,
) -> None:
    limits = fleet.node(HOLDER).jobs._limits
    once = job(100)
    size = len(encode_record(once)) + job_size(encode_record(once)).record
    # There is room for the job at its node, and none for it at the holder.
    limits.pending.limit = limits.pending.used + size
    jobs = Submitted(fleet)
    jobs.add(HOLDER, once)
    fleet.run_for(0.1)
    assert jobs.statuses == [HttpStatus.TOO_MANY_REQUESTS]


def test_nodes_that_keep_no_jobs_filled_the_memory_of_the_holder(
    fleet: MemoryFleet,
) -> None:
    (outsider, *_) = set(OTHERS) - set(fleet.followers())
    index = fleet.node(HOLDER)._context.job_index
    limits = fleet.node(HOLDER).jobs._limits
    limits._sizes = replace(limits._sizes, kept=200_000)
    jobs = Submitted(fleet)
    for number in range(20):
        jobs.add(outsider, job(100 + number, *[step()] * 10))
        fleet.run_for(0.1)
    assert 0 < index.kept_bytes <= 200_000
    assert set(jobs.statuses) == {HttpStatus.OK, HttpStatus.TOO_MANY_REQUESTS}
    assert all(
        response.retry_after_s
        for response in jobs.responses
        if response.status is HttpStatus.TOO_MANY_REQUESTS
    )
