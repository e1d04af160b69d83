"""Replay of a burst whose lines about waits exceed the limits of the log.

Load pattern: on the heaviest day 486 of 1,998 urgent jobs had no end in the logs, as
their lines were dropped in the busiest seconds among tens of thousands about waits.
"""

import json
import logging
from collections.abc import Iterator

import pytest

from tamarackmount.delays import Cause, JobDelay, Unexplained, find_delays, is_harmed
from tamarackmount.explain import read_lines
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.load_simulation import LoadSimulation
from tests.utils.pipe_log import PipeLog

JOBS = 120
JOBS_PER_S = 24.0
NOISE_LINES_PER_TICK = 150
"""Lines about waits of other steps: 3,000 a second, beyond the total limit."""


class LoggedHarness(SchedulerHarness, logging.Handler):
    """Writes what is logged through the handler of a node, in virtual time."""

    def __init__(self) -> None:
        """Begin without lines, and with many steps that wait beside the jobs."""
        logging.Handler.__init__(self)
        self.pipe = PipeLog()
        self.lines: list[dict[str, object]] = []
        self.noise_lines_per_tick = NOISE_LINES_PER_TICK
        SchedulerHarness.__init__(self, ceiling=Resources())

    def emit(self, record: logging.LogRecord) -> None:
        """Stamp a record with the virtual time and write it."""
        record.created = self.unix_ms / 1_000
        self.pipe.handler.handle(record)

    def tick(self, seconds: float = 0.0) -> None:
        """Let time pass while many other steps wait."""
        for _ in range(self.noise_lines_per_tick if seconds else 0):
            noise = logging.makeLogRecord(
                {"msg": "step waits", "levelno": logging.INFO}
            )
            self.emit(noise)
        super().tick(seconds)
        self.lines += self.pipe.read(at=self.unix_ms / 1_000)

    def submit_job(self, accepted: AcceptedJob) -> None:
        """Submit a job, and log it as the node that takes it."""
        extra = {"job": accepted.job_id, "queue": "stock", "stored": "yes"}
        record = {"msg": "job handed in", "levelno": logging.INFO, **extra}
        self.emit(logging.makeLogRecord(record))
        super().submit_job(accepted)


@pytest.fixture(name="harness")
def _harness() -> Iterator[LoggedHarness]:
    harness = LoggedHarness()
    logger = logging.getLogger("tamarackmount.scheduling")
    level = logger.level
    logger.addHandler(harness)
    logger.setLevel(logging.INFO)
    yield harness
    logger.removeHandler(harness)
    logger.setLevel(level)


def replay(harness: LoggedHarness, seconds: float) -> list[JobDelay]:
    """Submit more jobs than one worker can run, and read the logs."""
    harness.register_workers(worker_entry("w1", cores=8))
    jobs = [
        job(number, step(1, estimated_ms=700), in_queue=HIGH_PRIORITY)
        for number in range(1, JOBS + 1)
    ]
    arrivals = [(number / JOBS_PER_S, one) for number, one in enumerate(jobs)]
    LoadSimulation(harness).run_for(arrivals, seconds)
    text = "\n".join(json.dumps(line) for line in harness.lines)
    return find_delays(read_lines([text]))


def test_every_job_of_a_burst_has_its_end_in_the_log(harness: LoggedHarness) -> None:
    delays = replay(harness, 16.0)
    assert len(delays) == JOBS
    assert [row.job for row in delays if not row.has_ended] == []


def test_few_lost_jobs_of_a_burst_are_unexplained(harness: LoggedHarness) -> None:
    """Guards against jobs whose waits and runs alone exceed the limit of details."""
    harness.noise_lines_per_tick = 0
    # The last job is handed in 5 s before the logs end, so that it is judged.
    delays = replay(harness, 10.2)
    assert not all(row.has_ended for row in delays)
    lost = [row for row in delays if is_harmed(row)]
    unexplained = [row for row in lost if row.cause is Cause.UNEXPLAINED]
    assert len(lost) > JOBS / 2
    assert len(unexplained) < len(lost) / 10


def test_jobs_whose_waits_were_summed_are_unexplained_for_that_reason(
    harness: LoggedHarness,
) -> None:
    delays = replay(harness, 9.0)
    reasons = {row.unexplained for row in delays if not row.has_ended}
    assert Unexplained.LINES_DROPPED in reasons
    assert Unexplained.NO_TRACE not in reasons


def test_lines_beyond_the_limits_are_summed(harness: LoggedHarness) -> None:
    replay(harness, 5.0)
    summed = [row for row in harness.lines if row["message"] == "log lines summed"]
    assert 4 <= len(summed) <= 5
