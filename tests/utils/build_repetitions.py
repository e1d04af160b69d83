"""Builders of jobs with many repetitions or tasks, and a pool that runs them."""

from collections.abc import Sequence
from dataclasses import replace

from tamarackmount.ids import JobId
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepSpec, TaskKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import (
    RecordKind,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_scheduling import (
    START,
    UNIX_MS,
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)

INTERVAL_MS = 10_000


def repeated_job(
    number: int, repetitions: int, *steps: StepSpec, first_in_ms: int | None = None
) -> AcceptedJob:
    """Return a job that repeats; all repetitions are due unless ``first_in_ms`` is set.

    That is when the first one is due, in milliseconds from the harness's start.
    """
    if first_in_ms is None:
        first_in_ms = -repetitions * INTERVAL_MS
    accepted = job(number, *steps)
    spec = replace(
        accepted.spec,
        first_run_unix_ms=UNIX_MS + first_in_ms,
        interval_ms=INTERVAL_MS,
        repetitions=repetitions,
    )
    return replace(accepted, spec=spec)


def full_pool(cores: int = 8) -> SchedulerHarness:
    """Return a worker that runs one task for a long time."""
    harness = SchedulerHarness()
    harness.register_workers(worker_entry(cores=cores))
    harness.submit_job(job(999, step(1, cores=cores, estimated_ms=600_000)))
    assert len(harness.answer_starts()) == 1
    return harness


class RunningPool:
    """A worker whose tasks end when the caller says so."""

    def __init__(self, cores: int = 8) -> None:
        """Register the worker with a new holder."""
        self.cores = cores
        self.harness = SchedulerHarness()
        self.harness.register_workers(worker_entry(cores=cores))
        self.started: list[TaskKey] = []
        self._ends = 0

    def start(self) -> list[tuple[TaskKey, int]]:
        """Confirm what was ordered; return the runs."""
        orders = [row.order for row in self.harness.answer_starts()]
        runs = [(order.task, order.run_number) for order in orders]
        self.started += [task for task, _ in runs]
        return runs

    def end(self, runs: list[tuple[TaskKey, int]], checkpoint: str = "") -> None:
        """Report that runs are done, with their last checkpoint, and store it."""
        rows = []
        for task, run in runs:
            self._ends += 1
            row = ended_run(self._ends, task, run, RunEnd.DONE)
            rows.append(replace(row, checkpoint=checkpoint))
        self.harness.answer_poll(worker_report(ended=tuple(rows)))
        self.harness.store_pending()
        self.harness.tick()

    def run_rounds(self, rounds: int) -> None:
        """Run what is ordered, round after round."""
        for _ in range(rounds):
            self.end(self.start())

    def take_over(
        self, *jobs: AcceptedJob, running: Sequence[tuple[TaskKey, int]] = ()
    ) -> None:
        """Let a new holder restore the stored records; the worker runs ``running``."""
        index = stored_index(self.harness.records, *jobs)
        accepted_by_id = {accepted.job_id: accepted for accepted in jobs}
        now, unix_ms = self.harness.now, self.harness.unix_ms
        self.harness = SchedulerHarness(find_job=accepted_by_id.get)
        self.harness.now = now
        self.harness.scheduler.restore(
            index.open_jobs(), [], None, START, True, now, unix_ms
        )
        self._ends = 0
        entry = worker_entry(cores=self.cores)
        self.harness.scheduler.set_registered_workers([entry], now)
        self.harness.tick()
        self.harness.answer_poll(worker_report(running=tuple(running)))
        self.harness.store_pending()
        self.harness.tick()


def stored_index(records: dict[str, bytes], *jobs: AcceptedJob) -> JobIndex:
    """Return the index of stored jobs and of records of their progress."""
    index = JobIndex()
    for accepted in jobs:
        index.apply(job_key(accepted), encode_record(accepted))
    for key, value in records.items():
        if key.startswith(RecordKind.PROGRESS.value):
            index.apply(key, value)
    return index


def progress_text(pool: RunningPool, job_id: JobId) -> bytes:
    """Return the newest stored progress of a job."""
    return pool.harness.records[record_key(RecordKind.PROGRESS, job_id)]


def occurrence_starts(pool: RunningPool, accepted: AcceptedJob) -> list[int]:
    """Return the occurrences of a job of which tasks have started, in order."""
    return [task.occurrence for task in pool.started if task.job_id == accepted.job_id]
