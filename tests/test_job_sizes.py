"""Estimates of the memory that jobs take are not below what they do take."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

import pytest

from tamarackmount.resources import NOTHING
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobSpec, StepSpec
from tamarackmount.scheduling.jobs.runs import make_job
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.job_sizes import MAX_TASKS, job_size
from tamarackmount.scheduling.store.journal import (
    decode_record,
    encode_record,
    job_key,
)
from tests.utils.build_scheduling import (
    START,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)

TASK = StepSpec(1, NOTHING)
SPEC_BY_SHAPE = {
    "ordinary": JobSpec("text" * 50, (StepSpec(4, NOTHING), StepSpec(20, NOTHING))),
    "many steps": JobSpec("", (TASK,) * 900),
    "many dependencies": JobSpec(
        "", tuple(replace(TASK, after=tuple(range(number))) for number in range(300))
    ),
    "wide characters": JobSpec(
        "", (replace(TASK, label="a" * 200_000 + "\U0001f600"),)
    ),
    "many tasks": JobSpec("", (StepSpec(MAX_TASKS, NOTHING),)),
    "many occurrences": JobSpec("", (TASK,), 0, 1, MAX_TASKS),
}


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that an object and all its parts take."""
    build()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return after - before


@pytest.mark.parametrize("shape", SPEC_BY_SHAPE)
def test_a_job_took_more_memory_than_was_counted(shape: str) -> None:
    accepted = replace(job(), spec=SPEC_BY_SHAPE[shape])
    text = encode_record(accepted)
    decoded = decode_record(text, AcceptedJob).unwrap()

    def build_index() -> JobIndex:
        index = JobIndex()
        index.apply(job_key(accepted), encode_record(accepted))
        assert index.phase(accepted.job_id) is not None
        return index

    size = job_size(text)
    assert allocated_bytes(build_index) <= size.record
    assert allocated_bytes(lambda: make_job(decoded, None, START)) <= size.state


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"spec":7}',
        b'{"spec":{"steps":[7],"repetitions":0}}',
        b'{"spec":{"steps":[{"count":"many"}],"repetitions":0}}',
        b'{"spec":{"steps":[{"count":1e300}],"repetitions":1e300}}',
    ],
)
def test_the_size_of_an_odd_record_was_an_error_or_without_bound(text: bytes) -> None:
    many = job_size(
        encode_record(replace(job(), spec=JobSpec("", (TASK,), 0, 1, 9**9)))
    )
    assert job_size(text).state <= many.state


def test_a_record_took_several_times_the_memory_of_its_text() -> None:
    accepted = replace(job(), spec=JobSpec("", (replace(TASK, label="a" * 200_000),)))
    text = encode_record(accepted)
    assert allocated_bytes(lambda: encode_record(accepted)) < 2 * len(text)


@pytest.mark.parametrize("cores", [1, 100])
def test_the_check_of_a_job_left_its_steps_in_memory(cores: int) -> None:
    harness = SchedulerHarness(ceiling=NOTHING)
    harness.register_workers(worker_entry())
    accepted = job(1, *[step(1, cores)] * 900)
    harness.scheduler.check_admission(accepted, harness.now)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        harness.scheduler.check_admission(accepted, harness.now)
        left_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert left_bytes < job_size(encode_record(accepted)).state // 10
