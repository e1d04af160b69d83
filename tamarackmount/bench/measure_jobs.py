"""What workers and jobs cost their owner's kernel."""

from itertools import count

from tamarackmount.bench.cell import EPOCH, OWNER, BenchCell
from tamarackmount.bench.costs import Cost
from tamarackmount.bench.loads import HERE, START, record_of, workers_of
from tamarackmount.bench.measuring import (
    Effort,
    Line,
    cpu_seconds,
    measure_line,
    memory_bytes,
)
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tamarackmount.job_spec import JobKind
from tamarackmount.kernel.job_effects import SyncWorker
from tamarackmount.kernel.job_record_store import JobRecordStore
from tamarackmount.kernel.messages import JobCopy

WORKERS = 355
"""Workers of one data centre."""

TASKS_PER_WORKER = 32
"""Tasks of one core that a worker holds."""

TASKS_PER_JOB = 20
PERIODS_TO_END = 6
"""Sync periods after which a job that ended is saved and forgotten."""


def measure_jobs(effort: Effort) -> dict[Cost, Line]:
    """Measure syncs, starts, placement and records."""
    return {
        Cost.SYNC_KERNEL: _syncs(effort),
        Cost.JOB_LIFE: _job_lives(effort),
        Cost.JOB_RECORDS: _job_records(effort),
        Cost.PLACE: _placements(effort),
        Cost.VM_LIST_OWNER: _worker_lists(effort),
        Cost.COPY_BYTES: _copy_bytes(effort),
        Cost.HELD_MEMORY: _held_memory(effort),
        Cost.CELL_MEMORY: _cell_memory(effort),
        Cost.WORKER_MEMORY: _worker_memory(effort),
    }


def _tasks_per_job(effort: Effort) -> int:
    return 2 if effort.is_small else TASKS_PER_JOB


def _workers(effort: Effort) -> int:
    return 2 if effort.is_small else WORKERS


def _syncs(effort: Effort) -> Line:
    workers = _workers(effort)

    def sample(tasks: int) -> float:
        cell = BenchCell(workers)
        # Services spread, so that every worker gets about the same number.
        cell.fill(workers, tasks, JobKind.SERVICE)
        cell.apply(cell.due_syncs())
        return _one_period(cell) / workers

    return measure_line(effort.sizes(1, 10, 20), sample, effort.repeats)


def _one_period(cell: BenchCell) -> float:
    """Return the kernel's share of one period of syncs, without the workers'."""
    effects = []
    taken = cpu_seconds(lambda: effects.extend(cell.due_syncs()))
    syncs = [effect for effect in effects if isinstance(effect, SyncWorker)]
    reports = [(sync.worker_id, cell.report_of(sync)) for sync in syncs]
    scheduler = cell.scheduler
    taken += cpu_seconds(
        lambda: [
            scheduler.worker_synced(worker_id, report, cell.now)
            for worker_id, report in reports
        ]
    )
    return taken


def _live(cell: BenchCell, first: int, jobs: int, tasks: int) -> None:
    """Submit jobs, report all their tasks as ended and let them be saved."""
    cell.ended_below = 0
    for number in range(first, first + jobs):
        cell.submit(number, tasks)
    cell.ended_below = tasks
    for _ in range(PERIODS_TO_END):
        cell.apply(cell.due_syncs())
    if cell.running():
        raise RuntimeError(f"{cell.running()} attempts were not forgotten")


def _job_lives(effort: Effort) -> Line:
    """Measure jobs' lives; the syncs that pass meanwhile are taken off."""
    workers = _workers(effort)
    cell = BenchCell(workers)
    numbers = count()

    def sample(tasks: int) -> float:
        room = workers * TASKS_PER_WORKER // 2
        jobs = max(1, min(effort.rounds, room // tasks))
        first = next(numbers) * effort.rounds
        started = cell.started
        idle = cpu_seconds(lambda: _live(cell, first, 0, tasks))
        taken = cpu_seconds(lambda: _live(cell, first, jobs, tasks))
        if cell.started != started + jobs * tasks:
            raise RuntimeError("not every task was started")
        return (taken - idle) / jobs

    return measure_line(effort.sizes(1, 10, 40), sample, effort.repeats)


def _job_records(effort: Effort) -> Line:
    """Let the tasks of one job end in groups, further apart than a save waits."""

    def sample(moments: int) -> float:
        cell = BenchCell(_workers(effort))
        cell.fill(1, TASKS_PER_JOB)
        for moment in range(1, moments + 1):
            cell.ended_below = TASKS_PER_JOB * moment // moments
            for _ in range(PERIODS_TO_END):
                cell.apply(cell.due_syncs())
        return float(cell.saved_records)

    return measure_line(effort.sizes(1, 5, 20), sample, 1)


def _placements(effort: Effort) -> Line:
    cells = {
        workers: _half_full(workers) for workers in effort.sizes(300, 1_000, 3_900)
    }
    numbers = count(1)

    def sample(workers: int) -> float:
        cell = cells[workers]
        started = cell.started
        rounds = max(1, min(effort.rounds, workers))
        first = next(numbers) * 10_000

        def submit_all() -> None:
            for number in range(first, first + rounds):
                cell.submit(number, 1)

        taken = cpu_seconds(submit_all)
        if cell.started != started + rounds:
            raise RuntimeError("not every job was placed at once")
        return taken / rounds

    return measure_line(list(cells), sample, effort.repeats)


def _half_full(workers: int) -> BenchCell:
    cell = BenchCell(workers)
    cell.fill(workers, TASKS_PER_WORKER // 2)
    return cell


def _worker_lists(effort: Effort) -> Line:
    def sample(workers: int) -> float:
        cell = BenchCell(workers)
        listed = workers_of(workers)
        return cpu_seconds(lambda: cell.scheduler.set_workers(listed, cell.now))

    return measure_line(effort.sizes(100, 355, 1_000), sample, effort.repeats)


def _copy_bytes(effort: Effort) -> Line:
    def sample(records: int) -> float:
        texts = [record_of(number) for number in range(records)]
        return float(len(encode(Envelope(OWNER, JobCopy(EPOCH, 1, texts)))))

    return measure_line(effort.sizes(1, 20, 200), sample, 1)


def _held_memory(effort: Effort) -> Line:
    def build(jobs: int) -> JobRecordStore:
        held = JobRecordStore()
        held.take([record_of(number, HERE) for number in range(jobs)], START)
        return held

    return measure_line(
        effort.sizes(100, 500, 1_000),
        lambda jobs: memory_bytes(lambda: build(jobs)),
        min(effort.repeats, 3),
    )


def _cell_memory(effort: Effort) -> Line:
    def build(jobs: int) -> BenchCell:
        cell = BenchCell(_workers(effort))
        cell.fill(jobs, _tasks_per_job(effort))
        return cell

    return measure_line(
        effort.sizes(50, 150, 300),
        lambda jobs: memory_bytes(lambda: build(jobs)),
        min(effort.repeats, 3),
    )


def _worker_memory(effort: Effort) -> Line:
    return measure_line(
        effort.sizes(100, 355, 1_000),
        lambda workers: memory_bytes(lambda: BenchCell(workers)),
        min(effort.repeats, 3),
    )
