"""Records stay within the length that the store takes.

Guards against a record that the store refuses for good: the holder repeated it, and
nothing was stored or started any more.
"""

from dataclasses import replace

import orjson
import pytest

from tamarackmount.platform.store import KeyedRecord, record_bytes
from tamarackmount.resources import Resources
from tamarackmount.scheduling.contact.store_batches import Batch
from tamarackmount.scheduling.domain.model import JobPhase, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import EndedRun, RunEnd
from tamarackmount.scheduling.store.journal import (
    CrashRecord,
    JobProgress,
    encode_record,
)
from tamarackmount.scheduling.store.record_limits import (
    DEFAULT_MAX_RECORD_BYTES,
    KEY_BYTES,
    encode_progress,
)
from tests.test_journal_writer import JOBS, Writer
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

ROOM = Resources(9_000_000, 9_000_000, 0)


def longest_record(records: dict[str, bytes]) -> int:
    """Return the size of the longest record, in bytes."""
    return max(record_bytes(KeyedRecord(*row)) for row in records.items())


def test_a_job_whose_checkpoints_wait_made_a_record_too_long_for_the_store() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", capacity=ROOM))
    accepted = job(1, step(84, saves_progress=True))
    harness.submit_job(accepted)
    starts = harness.answer_starts()
    ends = tuple(
        EndedRun(
            number, one.order.task, one.order.run_number, RunEnd.STOPPED, "c" * 4000
        )
        for number, one in enumerate(starts, 1)
    )
    shut = worker_entry("w1", capacity=Resources(0, 0, 0))
    harness.scheduler.set_registered_workers([shut], harness.now)
    harness.answer_poll(worker_report(ended=ends))
    records = harness.store_pending()
    assert longest_record(records) <= DEFAULT_MAX_RECORD_BYTES
    after = build_next_holder(
        harness, build_job_index([accepted], records), ceiling=Resources()
    )
    after.register_workers(worker_entry("w2", capacity=ROOM))
    assert len(after.starts) == 84
    # As many resume as fit into a record; the others begin anew.
    resumed = [start for start in after.starts if start.order.checkpoint]
    assert 60 <= len(resumed) < 84


def test_the_runs_of_one_worker_made_a_record_too_long_for_the_store() -> None:
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", capacity=ROOM))
    tiny = replace(step(10_000), amount=Resources(1, 1, 0))
    harness.submit_job(job(1, tiny))
    records = harness.store_pending()
    assert len(harness.starts) > 4_000
    assert longest_record(records) <= DEFAULT_MAX_RECORD_BYTES
    harness.answer_starts()
    ended = harness.scheduler._state.workers_by_incarnation[incarnation("w1")]
    running = tuple(
        (task, run.number) for task, run in list(ended.runs_by_task.items())[100:]
    )
    harness.tick(0.5)
    harness.answer_poll(worker_report(running=running))
    assert len(harness.starts) == 100


@pytest.mark.parametrize("is_gang", [False, True])
def test_a_step_wider_than_a_worker_record_starts_on_several(is_gang: bool) -> None:
    harness = SchedulerHarness(ceiling=Resources())
    entries = [worker_entry(name, capacity=ROOM) for name in ("w1", "w2")]
    harness.register_workers(*entries)
    tiny = replace(step(5_000, gang=is_gang), amount=Resources(1, 1, 0))
    harness.submit_job(job(1, tiny))
    assert len(harness.starts) == 5_000
    assert longest_record(harness.store_pending()) <= DEFAULT_MAX_RECORD_BYTES


def test_optional_entries_are_left_out_only_as_far_as_needed() -> None:
    crash = CrashRecord(WorkerIncarnation(worker_entry().incarnation.worker_id, 1))
    progress = JobProgress(
        JobPhase.RUNNING,
        failures_by_task={f"0.0.{index}": 1 for index in range(900)},
        failed_runs_by_task={f"0.0.{index}": [index] for index in range(900)},
        checkpoints_by_task={f"0.0.{index}": "c" * 90 for index in range(900)},
        crashes_by_task={f"0.0.{index}": [crash] for index in range(900)},
    )
    whole = len(encode_record(progress))
    kept_by_limit = {}
    for limit in (whole, whole - 1, whole // 2, 40_000):
        text = encode_progress(job().job_id, progress, limit + KEY_BYTES)
        assert len(text) <= limit
        kept_by_limit[limit] = orjson.loads(text)
        assert len(kept_by_limit[limit]["failures_by_task"]) == 900
    assert len(kept_by_limit[whole]["checkpoints_by_task"]) == 900
    assert len(kept_by_limit[whole - 1]["checkpoints_by_task"]) == 899
    assert len(kept_by_limit[whole - 1]["crashes_by_task"]) == 900
    assert not kept_by_limit[40_000]["checkpoints_by_task"]
    assert len(kept_by_limit[40_000]["failed_runs_by_task"]) == 900


def test_one_record_that_is_too_long_kept_all_others_from_the_store() -> None:
    # An earlier version may have left a worker with more runs than a record holds.
    too_long = b"x" * (DEFAULT_MAX_RECORD_BYTES + 1)
    batch = Batch((("worker/w1@1", too_long), ("progress/1", b"{}")), (), ())
    batches = [batch]
    writer = Writer(0.01, lambda: batches.pop() if batches else None)
    writer.writer.start_writing()
    writer.clock.pump([0.01] * 20)
    keys = [row.key for row in writer.store.records(JOBS)]
    assert keys == ["progress/1"]
