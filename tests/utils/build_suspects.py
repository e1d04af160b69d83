"""Builder of a pool with many tasks against which there is evidence."""

from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepSpec
from tamarackmount.scheduling.evidence.crash_evidence import record_crash
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.store.journal import CrashRecord
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    worker_entry,
)

CRASHED = incarnation("crashed")
CEILING = Resources(100_000_000, 100_000_000, 0)


def small_tasks(number: int, count: int) -> AcceptedJob:
    """Return a job with tasks that are far smaller than a worker."""
    return job(number, StepSpec(count, Resources(10, 10, 0), 3_000))


def pool_of_large_workers(worker_count: int) -> SchedulerHarness:
    """Return a pool whose workers have room for thousands of small tasks."""
    harness = SchedulerHarness(ceiling=CEILING)
    capacity = Resources(1_000_000, 1_000_000, 0)
    entries = [
        worker_entry(f"w{number}", capacity=capacity) for number in range(worker_count)
    ]
    harness.register_workers(*entries)
    return harness


def only_step(harness: SchedulerHarness, accepted: AcceptedJob) -> StepState:
    """Return the state of a job's only step."""
    job_state = harness.scheduler._state.jobs_by_id[accepted.job_id]
    (found,) = job_state.steps_by_key.values()
    return found


def record_crash_under(harness: SchedulerHarness, accepted: AcceptedJob) -> None:
    """Record that a worker crashed under all tasks of a job, which had just started."""
    found = only_step(harness, accepted)
    crash = CrashRecord(CRASHED, "crashed:1", 20, is_early=True, is_confirmed=True)
    for index in range(found.spec.count):
        record_crash(harness.scheduler._state, found, index, crash, harness.now)
