"""Measures the cost of workers and jobs in their owner's kernel."""

from itertools import count

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.measuring import (
    Line,
    SamplingOptions,
    cpu_seconds,
    measure_line,
    memory_bytes,
)
from tamarackmount.bench.scheduler_harness import EPOCH, OWNER, SchedulerHarness
from tamarackmount.bench.synthetic_data import (
    DATA_CENTRE,
    START_TIME,
    make_record,
    make_workers,
)
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tamarackmount.job_spec import JobKind
from tamarackmount.kernel.job_effects import SyncWorker
from tamarackmount.kernel.job_record_store import JobRecordStore
from tamarackmount.kernel.messages import JobCopy

WORKERS = 355
"""Number of workers in one data centre."""

TASKS_PER_WORKER = 32
"""Number of one-core tasks that fit on a worker."""

TASKS_PER_JOB = 20
PERIODS_UNTIL_FORGOTTEN = 6
"""Sync periods after which an ended job is saved and its workers have forgotten it."""


def measure_jobs(sampling: SamplingOptions) -> dict[Cost, Line]:
    """Measure syncs, job lifecycles, placement, job records and memory."""
    return {
        Cost.SYNC_KERNEL: _sync_cost(sampling),
        Cost.JOB_LIFE: _job_lifecycles(sampling),
        Cost.JOB_RECORDS: _job_records(sampling),
        Cost.PLACE: _placements(sampling),
        Cost.VM_LIST_OWNER: _worker_lists(sampling),
        Cost.COPY_BYTES: _copy_bytes(sampling),
        Cost.HELD_MEMORY: _record_store_memory(sampling),
        Cost.CELL_MEMORY: _job_memory(sampling),
        Cost.WORKER_MEMORY: _worker_memory(sampling),
    }


def _tasks_per_job(sampling: SamplingOptions) -> int:
    return 2 if sampling.is_small else TASKS_PER_JOB


def _workers(sampling: SamplingOptions) -> int:
    return 2 if sampling.is_small else WORKERS


def _sync_cost(sampling: SamplingOptions) -> Line:
    workers = _workers(sampling)

    def sample(tasks: int) -> float:
        harness = SchedulerHarness(workers)
        # Tasks of services are spread, so every worker gets about the same number.
        harness.fill(workers, tasks, JobKind.SERVICE)
        harness.apply(harness.advance_period())
        return _sync_period_cpu(harness) / workers

    return measure_line(sampling.sizes(1, 10, 20), sample, sampling.repeats)


def _sync_period_cpu(harness: SchedulerHarness) -> float:
    """Return the kernel's processor time for one sync period, without the workers'."""
    effects = []
    cpu_s = cpu_seconds(lambda: effects.extend(harness.advance_period()))
    syncs = [effect for effect in effects if isinstance(effect, SyncWorker)]
    reports = [(sync.worker_id, harness.worker_report(sync)) for sync in syncs]
    scheduler = harness.scheduler
    cpu_s += cpu_seconds(
        lambda: [
            scheduler.worker_synced(worker_id, report, harness.now)
            for worker_id, report in reports
        ]
    )
    return cpu_s


def _run_to_completion(
    harness: SchedulerHarness, first: int, jobs: int, tasks: int
) -> None:
    """Submit jobs, report all their tasks as ended and wait until they are saved."""
    harness.succeeded_below = 0
    for number in range(first, first + jobs):
        harness.submit(number, tasks)
    harness.succeeded_below = tasks
    for _ in range(PERIODS_UNTIL_FORGOTTEN):
        harness.apply(harness.advance_period())
    if harness.running_attempts():
        raise RuntimeError(
            f"{harness.running_attempts()} attempts of ended tasks were not forgotten"
        )


def _job_lifecycles(sampling: SamplingOptions) -> Line:
    """Measure jobs from submission to end, less the cost of the syncs in that time."""
    workers = _workers(sampling)
    harness = SchedulerHarness(workers)
    numbers = count()

    def sample(tasks: int) -> float:
        capacity = workers * TASKS_PER_WORKER // 2
        jobs = max(1, min(sampling.rounds, capacity // tasks))
        first = next(numbers) * sampling.rounds
        started_tasks = harness.started_tasks
        idle_cpu_s = cpu_seconds(lambda: _run_to_completion(harness, first, 0, tasks))
        cpu_s = cpu_seconds(lambda: _run_to_completion(harness, first, jobs, tasks))
        if harness.started_tasks != started_tasks + jobs * tasks:
            raise RuntimeError("some tasks of the submitted jobs were not started")
        return (cpu_s - idle_cpu_s) / jobs

    return measure_line(sampling.sizes(1, 10, 40), sample, sampling.repeats)


def _job_records(sampling: SamplingOptions) -> Line:
    """Count the records of a job whose tasks end in groups.

    The groups are further apart than a save is delayed, so each is saved by itself.
    """

    def sample(moments: int) -> float:
        harness = SchedulerHarness(_workers(sampling))
        harness.fill(1, TASKS_PER_JOB)
        for moment in range(1, moments + 1):
            harness.succeeded_below = TASKS_PER_JOB * moment // moments
            for _ in range(PERIODS_UNTIL_FORGOTTEN):
                harness.apply(harness.advance_period())
        return float(harness.saved_records)

    return measure_line(sampling.sizes(1, 5, 20), sample, 1)


def _placements(sampling: SamplingOptions) -> Line:
    harnesses_by_workers = {
        workers: _half_full_harness(workers)
        for workers in sampling.sizes(300, 1_000, 3_900)
    }
    numbers = count(1)

    def sample(workers: int) -> float:
        harness = harnesses_by_workers[workers]
        started_tasks = harness.started_tasks
        rounds = max(1, min(sampling.rounds, workers))
        first = next(numbers) * 10_000

        def submit_all() -> None:
            for number in range(first, first + rounds):
                harness.submit(number, 1)

        cpu_s = cpu_seconds(submit_all)
        if harness.started_tasks != started_tasks + rounds:
            raise RuntimeError("some of the submitted jobs were not placed immediately")
        return cpu_s / rounds

    return measure_line(list(harnesses_by_workers), sample, sampling.repeats)


def _half_full_harness(workers: int) -> SchedulerHarness:
    harness = SchedulerHarness(workers)
    harness.fill(workers, TASKS_PER_WORKER // 2)
    return harness


def _worker_lists(sampling: SamplingOptions) -> Line:
    def sample(workers: int) -> float:
        harness = SchedulerHarness(workers)
        listed = make_workers(workers)
        return cpu_seconds(lambda: harness.scheduler.set_workers(listed, harness.now))

    return measure_line(sampling.sizes(100, 355, 1_000), sample, sampling.repeats)


def _copy_bytes(sampling: SamplingOptions) -> Line:
    def sample(records: int) -> float:
        texts = [make_record(number) for number in range(records)]
        return float(len(encode(Envelope(OWNER, JobCopy(EPOCH, 1, texts)))))

    return measure_line(sampling.sizes(1, 20, 200), sample, 1)


def _record_store_memory(sampling: SamplingOptions) -> Line:
    def build(jobs: int) -> JobRecordStore:
        store = JobRecordStore()
        store.merge(
            [make_record(number, DATA_CENTRE) for number in range(jobs)], START_TIME
        )
        return store

    return measure_line(
        sampling.sizes(100, 500, 1_000),
        lambda jobs: memory_bytes(lambda: build(jobs)),
        min(sampling.repeats, 3),
    )


def _job_memory(sampling: SamplingOptions) -> Line:
    def build(jobs: int) -> SchedulerHarness:
        harness = SchedulerHarness(_workers(sampling))
        harness.fill(jobs, _tasks_per_job(sampling))
        return harness

    return measure_line(
        sampling.sizes(50, 150, 300),
        lambda jobs: memory_bytes(lambda: build(jobs)),
        min(sampling.repeats, 3),
    )


def _worker_memory(sampling: SamplingOptions) -> Line:
    return measure_line(
        sampling.sizes(100, 355, 1_000),
        lambda workers: memory_bytes(lambda: SchedulerHarness(workers)),
        min(sampling.repeats, 3),
    )
